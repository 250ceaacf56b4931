#ifndef AMARANTH_CONTROL_SRC_SERVICEVERSIONS_H
#define AMARANTH_CONTROL_SRC_SERVICEVERSIONS_H

#include "WireConversion.h"
#include "amaranth/control/ControlState.h"

#include <map>
#include <set>

namespace amaranth::control::detail {

/// `active`, `finishing`, `complete` or `rolled-back`.
const char *phaseName(TimedPhase Phase);

/// The version of each service that carries its traffic, and the timed
/// rollouts that move the traffic to another one.
///
/// The first version that is announced for a service carries its traffic. No
/// other version gets any before a rollout to it was ordered.
class ServiceVersions {
public:
  /// An upstream announced its version. True when that changed anything.
  bool announced(const base::ServiceName &Service,
                 const base::VersionName &Version);

  CommandResult start(const StartRollout &Request, base::LogIndex Index,
                      base::WallTime Now, bool &Changed);
  CommandResult decide(const TimedDecision &Request);

  /// Fills in the versions, shares and the running rollout of a service.
  void fill(document::Service &Entry) const;

  const std::map<base::ServiceName, TimedRollout> &rollouts() const {
    return Rollouts;
  }

  Offset<flatbuffers::Vector<Offset<wire::ServiceVersionRecord>>>
  write(Builder &Out) const;
  Offset<flatbuffers::Vector<Offset<wire::TimedRolloutRecord>>>
  writeRollouts(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  struct Record {
    base::VersionName Carrying;
    /// Versions that were rolled back or replaced.
    std::set<base::VersionName> Barred;
  };

  std::map<base::ServiceName, Record> Records;
  std::map<base::ServiceName, TimedRollout> Rollouts;
};

} // namespace amaranth::control::detail

#endif
