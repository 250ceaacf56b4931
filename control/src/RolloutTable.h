#ifndef AMARANTH_CONTROL_SRC_ROLLOUTTABLE_H
#define AMARANTH_CONTROL_SRC_ROLLOUTTABLE_H

#include "WireConversion.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/document/Document.h"

#include <map>

namespace amaranth::control::detail {

/// `waiting`, `stepping`, `watching`, `done` or `rolled-back`.
const char *phaseName(RolloutPhase Phase);

inline bool isFinal(RolloutPhase Phase) {
  return Phase == RolloutPhase::Done || Phase == RolloutPhase::RolledBack;
}

/// State of the rollouts, by service.
class RolloutTable {
public:
  /// Applies a decision of the controller; refuses it when it is about
  /// another revision or epoch, or when the rollout has ended.
  CommandResult decide(const RolloutDecision &Decision, base::WallTime Now);

  /// A new revision of the section: the rollout begins again and the version
  /// that was rolled back is no longer barred.
  void restart(const document::RolloutSection &Section, base::Revision Rev,
               base::WallTime Now);
  /// The section was deleted. A barred version stays barred.
  void remove(const base::ServiceName &Service);
  /// Forgets the barred versions of services that no longer exist.
  void keepServices(const document::Document &Current);

  /// The version that gets the traffic outside of steps: the new one after
  /// the rollout is done, otherwise the old one; `Default` without rollout.
  base::VersionName carrying(const base::ServiceName &Service,
                             const base::VersionName &Default) const;

  /// Without the bodies of the sections.
  const std::map<base::ServiceName, RolloutStatus> &records() const {
    return Records;
  }
  document::RolloutTraffics traffic() const;
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
