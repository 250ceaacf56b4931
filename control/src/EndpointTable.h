#ifndef AMARANTH_CONTROL_SRC_ENDPOINTTABLE_H
#define AMARANTH_CONTROL_SRC_ENDPOINTTABLE_H

#include "WireConversion.h"

#include <map>

namespace amaranth::control::detail {

/// Maximum number of endpoints: nine times the target size of 1,800 upstreams.
inline constexpr std::size_t MaxEndpoints = 16'384;
/// How long an endpoint is kept after its lease expired.
inline constexpr base::Millis UnreachableRetention =
    base::Millis::seconds(86'400);

/// Upstreams as announced by their nodes. Updates of an endpoint are ordered by
/// incarnation and sequence.
class EndpointTable {
public:
  struct Record {
    document::Endpoint Entry;
    base::WallTime ExpiredAt;
  };

  /// Sets `Changed` if an endpoint was changed.
  CommandResult put(const PutEndpoint &Request, bool &Changed);
  CommandResult expire(const ExpireEndpoints &Request, base::WallTime Now,
                       bool &Changed);
  /// Removes unreachable endpoints whose retention has expired. Returns whether
  /// any were removed.
  bool removeExpired(base::WallTime Now);

  const std::map<base::EndpointId, Record> &records() const { return Records; }

  /// The entry as nodes see it.
  static document::Endpoint visible(const Record &Value);

  Offset<flatbuffers::Vector<Offset<wire::EndpointRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  /// Removes the endpoint that has been unreachable for the longest time.
  /// Returns false if there is none.
  bool evictOldestUnreachable();

  std::map<base::EndpointId, Record> Records;
};

} // namespace amaranth::control::detail

#endif
