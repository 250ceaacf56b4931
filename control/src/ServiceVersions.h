#ifndef AMARANTH_CONTROL_SRC_SERVICEVERSIONS_H
#define AMARANTH_CONTROL_SRC_SERVICEVERSIONS_H

#include "WireConversion.h"
#include "amaranth/control/ControlState.h"

#include <map>
#include <set>

namespace amaranth::control::detail {

/// Returns `active`, `finishing`, `complete` or `rolled-back`.
const char *phaseName(TimedRolloutPhase Phase);

/// The current version of each service, and the timed rollouts that move the
/// traffic to another version.
///
/// The first version announced for a service receives its traffic. Any other
/// version receives traffic only after a rollout to it was started.
class ServiceVersions {
public:
  /// Records the version announced by an upstream. Returns whether the state
  /// changed.
  bool recordAnnouncement(const base::ServiceName &Service,
                          const base::VersionName &Version);

  CommandResult start(const StartRollout &Request, base::LogIndex Index,
                      base::WallTime Now, bool &Changed);
  CommandResult decide(const TimedDecision &Request);

  /// Sets the versions, shares and running rollout of a service.
  void fillService(document::Service &Entry) const;

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
    base::VersionName CurrentVersion;
    /// Versions that were rolled back or replaced by a rollout.
    std::set<base::VersionName> Barred;
  };

  std::map<base::ServiceName, Record> Records;
  std::map<base::ServiceName, TimedRollout> Rollouts;
};

} // namespace amaranth::control::detail

#endif
