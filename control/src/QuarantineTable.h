#ifndef AMARANTH_CONTROL_SRC_QUARANTINETABLE_H
#define AMARANTH_CONTROL_SRC_QUARANTINETABLE_H

#include "WireConversion.h"

#include <map>

namespace amaranth::control::detail {

inline constexpr std::size_t MaxQuarantineEntries = 10'000;
/// Maximum number of requests in one crash report; far above the number of
/// slots of an upstream.
inline constexpr std::size_t MaxCrashFingerprints = 1024;

/// Requests that crashed upstreams or are suspected of it. A request becomes a
/// suspect when an upstream crashes while the request is in flight, even if it
/// was the only one, because the crash may have another cause. It is convicted
/// only by a crash during an isolated run.
class QuarantineTable {
public:
  struct Record {
    document::QuarantineEntry Entry;
    /// Last attempt that was granted the lease to run the suspect.
    std::string LastAttempt;
  };

  /// Sets `Changed` if the entries distributed to nodes changed.
  CommandResult reportCrash(const ReportCrash &Request, base::WallTime Now,
                            bool &Changed);
  CommandResult beginRun(const BeginSuspectRun &Request, base::WallTime Now,
                         bool &Changed);
  /// Sets `Convicted` if this call convicted the request.
  CommandResult endRun(const EndSuspectRun &Request, base::WallTime Now,
                       bool &Changed, bool &Convicted);
  /// Removes expired entries and leases. Returns whether an entry was removed.
  bool expire(base::WallTime Now);

  const std::map<std::uint64_t, Record> &records() const { return Records; }

  Offset<flatbuffers::Vector<Offset<wire::QuarantineRecord>>>
  write(Builder &Out) const;
  Offset<flatbuffers::Vector<Offset<wire::SuspectLeaseRecord>>>
  writeLeases(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  struct Lease {
    std::uint64_t Fingerprint = 0;
    std::string Attempt;
    base::WallTime Until;
  };

  /// Removes the suspect that expires first. Convicted requests are kept.
  /// Returns false if there is no suspect.
  bool evictOldestSuspect();
  /// Returns false if the table is full of convicted requests.
  bool addSuspect(std::uint64_t Fingerprint, const base::ServiceName &Service,
                  base::WallTime Now);

  std::map<std::uint64_t, Record> Records;
  std::map<base::ServiceName, Lease> Leases;
};

} // namespace amaranth::control::detail

#endif
