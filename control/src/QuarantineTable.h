#ifndef AMARANTH_CONTROL_SRC_QUARANTINETABLE_H
#define AMARANTH_CONTROL_SRC_QUARANTINETABLE_H

#include "WireConversion.h"

#include <map>

namespace amaranth::control::detail {

inline constexpr std::size_t MaxQuarantine = 10'000;
/// Most requests named by one crash report; far above the slots of an
/// upstream.
inline constexpr std::size_t MaxCrashFingerprints = 1024;

/// Requests that crashed upstreams, or may have. A request becomes a suspect
/// by a crash while it was in flight, also when it was the only one: the
/// upstream may have died for another reason. Only a crash during a run
/// alone convicts it.
class QuarantineTable {
public:
  struct Record {
    document::QuarantineEntry Entry;
    /// Last attempt that was allowed to run the suspect.
    std::string LastAttempt;
  };

  /// `Changed` is set when the entries for nodes differ afterwards.
  CommandResult report(const ReportCrash &Request, base::WallTime Now,
                       bool &Changed);
  CommandResult begin(const BeginSuspectRun &Request, base::WallTime Now,
                      bool &Changed);
  /// `Convicted` is set when the request was convicted by this call.
  CommandResult end(const EndSuspectRun &Request, base::WallTime Now,
                    bool &Changed, bool &Convicted);
  /// Drops entries and leases that ended. True when an entry was dropped.
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

  bool makeRoom();
  bool addSuspect(std::uint64_t Fingerprint, const base::ServiceName &Service,
                  base::WallTime Now);

  std::map<std::uint64_t, Record> Records;
  std::map<base::ServiceName, Lease> Leases;
};

} // namespace amaranth::control::detail

#endif
