#ifndef AMARANTH_CONTROL_TIMEDROLLOUTCONTROLLER_H
#define AMARANTH_CONTROL_TIMEDROLLOUTCONTROLLER_H

#include "amaranth/base/Clock.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/control/EvidenceTable.h"
#include "amaranth/replication/ReplicatedLog.h"
#include "amaranth/rollout/TimedPolicy.h"

#include <map>

namespace amaranth::control {

/// Controls the timed rollouts while this process is leader.
///
/// Elapsed times are measured with the steady clock. Every process records when
/// it first observed a rollout, so a new leader knows how much of the duration
/// is left. A process that started later falls back on the elapsed time in the
/// last decision.
class TimedRolloutController {
public:
  /// The references must outlive this object.
  TimedRolloutController(base::Clock &Time, replication::ReplicatedLog &Log,
                         const ControlState &State,
                         const EvidenceTable &Evidence,
                         rollout::TimedPacing Pace)
      : Time(Time), Log(Log), State(State), Evidence(Evidence), Pace(Pace) {}

  /// Polls all rollouts until cancelled.
  boost::asio::awaitable<void> run();
  /// Evaluates all rollouts once and proposes the decisions that are due.
  boost::asio::awaitable<void> tick();

private:
  struct Observation {
    /// When the rollout started, on the clock of this process.
    base::TimePoint Applied;
    /// When the current epoch was first observed.
    base::TimePoint EpochObserved;
    std::uint64_t Epoch = 0;
    /// All results until then.
    EvidenceTable::Counts AtEpoch;
    /// Since when upstreams of the new version have been ready.
    std::optional<base::TimePoint> NewVersionReady;
  };

  void observe(const std::vector<TimedRollout> &Rollouts);
  rollout::TimedProgress progress(const TimedRollout &Entry,
                                  const Observation &Observed) const;
  boost::asio::awaitable<void> propose(TimedRollout Entry,
                                       rollout::TimedAction Action,
                                       base::Millis Elapsed);

  base::Clock &Time;
  replication::ReplicatedLog &Log;
  const ControlState &State;
  const EvidenceTable &Evidence;
  rollout::TimedPacing Pace;
  /// By log index of the `StartRollout` command.
  std::map<base::LogIndex, Observation> Observations;
};

/// Time between two evaluations of the rollouts.
inline constexpr base::Millis TimedRolloutPollInterval = base::Millis(200);

} // namespace amaranth::control

#endif
