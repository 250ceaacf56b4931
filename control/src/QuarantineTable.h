#ifndef AMARANTH_CONTROL_SRC_QUARANTINETABLE_H
#define AMARANTH_CONTROL_SRC_QUARANTINETABLE_H

#include "WireConversion.h"

#include <map>
#include <vector>

namespace amaranth::control::detail {

inline constexpr std::size_t MaxQuarantineEntries = 10'000;
/// Maximum number of requests in one crash report; far above the number of
/// slots of an upstream.
inline constexpr std::size_t MaxCrashFingerprints = 1024;
/// A suspect of so many crashes is convicted even if other suspects were
/// running each time.
inline constexpr std::uint32_t MaxSuspectCrashes = 3;

/// Requests that crashed upstreams or are suspected of it. The requests that
/// were running during a crash become suspects. A suspect is convicted by a
/// second crash during which it was the only suspect running.
class QuarantineTable {
public:
  struct Record {
    document::QuarantineEntry Entry;
    /// Crashes during which the request was running.
    std::uint32_t Crashes = 0;
    /// Id of the last one.
    std::uint64_t LastCrash = 0;
  };
  /// What a command changed.
  struct Effect {
    /// The entries distributed to nodes changed.
    bool Changed = false;
    std::vector<std::uint64_t> Convicted;
  };

  CommandResult reportCrash(const ReportCrash &Request, base::WallTime Now,
                            Effect &Result);
  CommandResult endRun(const EndSuspectRun &Request, base::WallTime Now,
                       Effect &Result);
  CommandResult lift(const LiftQuarantine &Request, Effect &Result);
  /// Removes expired entries. Returns whether an entry was removed.
  bool expire(base::WallTime Now);

  const std::map<std::uint64_t, Record> &records() const { return Records; }

  Offset<flatbuffers::Vector<Offset<wire::QuarantineRecord>>>
  write(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  /// Removes the suspect that expires first. Convicted requests are kept.
  /// Returns false if there is no suspect.
  bool evictOldestSuspect();
  /// Returns null if the table is full of convicted requests.
  Record *findOrAdd(std::uint64_t Fingerprint, const base::ServiceName &Service,
                    base::WallTime Now);
  /// Convicts the request and clears the suspects of its earlier crash, which
  /// it explains.
  void convict(Record &Culprit, base::WallTime Now, Effect &Result);

  std::map<std::uint64_t, Record> Records;
};

} // namespace amaranth::control::detail

#endif
