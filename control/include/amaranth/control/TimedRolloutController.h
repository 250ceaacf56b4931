#ifndef AMARANTH_CONTROL_TIMEDROLLOUTCONTROLLER_H
#define AMARANTH_CONTROL_TIMEDROLLOUTCONTROLLER_H

#include "amaranth/base/Clock.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/control/EvidenceTable.h"
#include "amaranth/replication/ReplicatedLog.h"
#include "amaranth/rollout/TimedPolicy.h"

#include <map>

namespace amaranth::control {

/// Drives the timed rollouts while this process leads.
///
/// Time is that of the steady clock. Every process notes when it applied an
/// order, so that a new leader knows how much of the duration is left; the
/// time in the last decision serves one that started later.
class TimedRolloutController {
public:
  /// The references must outlive the run.
  TimedRolloutController(base::Clock &Time, replication::ReplicatedLog &Log,
                         const ControlState &State,
                         const EvidenceTable &Evidence, rollout::TimedPace Pace)
      : Time(Time), Log(Log), State(State), Evidence(Evidence), Pace(Pace) {}

  /// Runs until it is cancelled.
  boost::asio::awaitable<void> run();
  /// One look at all rollouts.
  boost::asio::awaitable<void> tick();

private:
  struct Observation {
    base::TimePoint Applied;
    /// When the current epoch was first seen, and the time elapsed by then.
    base::TimePoint EpochObserved;
    std::uint64_t Epoch = 0;
    /// When upstreams of the new version were first seen ready.
    std::optional<base::TimePoint> NewVersionReady;
  };

  void observe(const std::vector<TimedRollout> &Rollouts);
  rollout::TimedProgress progress(const TimedRollout &Entry,
                                  const Observation &Observed) const;
  boost::asio::awaitable<void> propose(TimedRollout Entry,
                                       rollout::TimedChoice Choice,
                                       base::Millis Elapsed);

  base::Clock &Time;
  replication::ReplicatedLog &Log;
  const ControlState &State;
  const EvidenceTable &Evidence;
  rollout::TimedPace Pace;
  /// By the log index of the order.
  std::map<base::LogIndex, Observation> Observations;
};

/// Time between two looks.
inline constexpr base::Millis TimedRolloutPollInterval = base::Millis(200);

} // namespace amaranth::control

#endif
