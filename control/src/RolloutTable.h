#ifndef AMARANTH_CONTROL_SRC_ROLLOUTTABLE_H
#define AMARANTH_CONTROL_SRC_ROLLOUTTABLE_H

#include "WireConversion.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/document/Document.h"

#include <map>

namespace amaranth::control::detail {

/// Returns `waiting`, `stepping`, `watching`, `done` or `rolled-back`.
const char *phaseName(RolloutPhase Phase);

inline bool isFinal(RolloutPhase Phase) {
  return Phase == RolloutPhase::Done || Phase == RolloutPhase::RolledBack;
}

/// States of the rollouts defined by `rollout` sections, by service.
class RolloutTable {
public:
  /// Applies a decision of the controller. Refuses a decision for another
  /// revision or epoch, or for a rollout that has ended.
  CommandResult decide(const RolloutDecision &Decision, base::WallTime Now);

  /// Restarts the rollout for a new revision of the section. A version that was
  /// rolled back is no longer barred.
  void restart(const document::RolloutSection &Section, base::Revision Rev,
               base::WallTime Now);
  /// Removes the rollout after its section was deleted. A barred version stays
  /// barred.
  void remove(const base::ServiceName &Service);
  /// Removes the barred versions of services that no longer exist.
  void pruneBarredVersions(const document::Document &Current);

  /// The version that receives the traffic outside of rollout steps: the new
  /// version when the rollout is done, otherwise the old one. `Default` if the
  /// service has no rollout.
  base::VersionName currentVersion(const base::ServiceName &Service,
                                   const base::VersionName &Default) const;

  /// `RolloutStatus::Body` is empty in these records.
  const std::map<base::ServiceName, RolloutStatus> &records() const {
    return Records;
  }
  document::RolloutTrafficMap traffic() const;
  document::BarredVersions barred() const;

  Offset<flatbuffers::Vector<Offset<wire::RolloutRecord>>>
  write(Builder &Out) const;
  Offset<flatbuffers::Vector<Offset<wire::BarredRecord>>>
  writeBarred(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  std::map<base::ServiceName, RolloutStatus> Records;
  document::BarredVersions Barred;
};

} // namespace amaranth::control::detail

#endif
