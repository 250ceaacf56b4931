#ifndef AMARANTH_CONTROL_ROLLOUTADAPTER_H
#define AMARANTH_CONTROL_ROLLOUTADAPTER_H

#include "amaranth/base/Clock.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/control/EvidenceTable.h"
#include "amaranth/replication/ReplicatedLog.h"
#include "amaranth/rollout/RolloutController.h"

namespace amaranth::control {

/// Gives the rollout controller access to the rollouts of the replicated
/// control state. The references must outlive this object.
class ReplicatedRolloutStore final : public rollout::RolloutStore {
public:
  ReplicatedRolloutStore(replication::ReplicatedLog &Log,
                         const ControlState &State);

  bool isLeader() const override;
  base::Term term() const override;
  std::vector<rollout::RunningRollout> running() const override;
  boost::asio::awaitable<rollout::CommitResult>
  commitDecision(rollout::Decision Value) override;

private:
  replication::ReplicatedLog &Log;
  const ControlState &State;
};

/// Gives the rollout controller access to the evidence that nodes reported to
/// this process while it leads. The references must outlive this object.
class ReportedEvidence final : public rollout::EvidenceSource {
public:
  ReportedEvidence(const EvidenceTable &Table, const ControlState &State,
                   base::Clock &Time);

  std::vector<rollout::EvidenceWindow>
  windowsSince(const rollout::RolloutPlan &Plan, base::WallTime Since) override;

private:
  const EvidenceTable &Table;
  const ControlState &State;
  base::Clock &Time;
};

} // namespace amaranth::control

#endif
