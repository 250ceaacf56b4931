#ifndef AMARANTH_CONTROL_SRC_ENDPOINTTABLE_H
#define AMARANTH_CONTROL_SRC_ENDPOINTTABLE_H

#include "WireConversion.h"

#include <map>

namespace amaranth::control::detail {

/// Nine times the target size of 1,800 upstreams.
inline constexpr std::size_t MaxEndpoints = 16'384;
/// How long an endpoint whose lease expired stays known.
inline constexpr base::Millis UnreachableRetention =
    base::Millis::seconds(86'400);

/// Upstreams as their nodes announced them, ordered by incarnation and
/// sequence.
class EndpointTable {
public:
  struct Record {
    document::Endpoint Entry;
    base::WallTime ExpiredAt;
  };

  /// `Changed` is set when an endpoint differs afterwards.
  CommandResult put(const PutEndpoint &Request, bool &Changed);
  CommandResult expire(const ExpireEndpoints &Request, base::WallTime Now,
                       bool &Changed);
  /// Drops unreachable endpoints after their retention. True when some were.
  bool dropOld(base::WallTime Now);

  const std::map<base::EndpointId, Record> &records() const { return Records; }

  Offset<flatbuffers::Vector<Offset<wire::EndpointRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  /// Removes the endpoint that has been unreachable longest, if any.
  bool makeRoom();

  std::map<base::EndpointId, Record> Records;
};

} // namespace amaranth::control::detail

#endif
