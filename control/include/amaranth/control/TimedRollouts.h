#ifndef AMARANTH_CONTROL_TIMEDROLLOUTS_H
#define AMARANTH_CONTROL_TIMEDROLLOUTS_H

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
class TimedRollouts {
public:
  /// The references must outlive the run.
  TimedRollouts(base::Clock &Time, replication::ReplicatedLog &Log,
                const ControlState &State, const EvidenceTable &Evidence,
                rollout::TimedPacing Pace)
      : Time(Time), Log(Log), State(State), Evidence(Evidence), Pace(Pace) {}

  /// Runs until it is cancelled.
  boost::asio::awaitable<void> run();
  /// One look at all rollouts.
  boost::asio::awaitable<void> tick();

private:
  struct Known {
    base::TimePoint Applied;
    /// When the current epoch was first seen, and the time elapsed by then.
    base::TimePoint EpochSeen;
    std::uint64_t Epoch = 0;
    /// When upstreams of the new version were first seen ready.
    std::optional<base::TimePoint> NewReady;
  };

  void observe(const std::vector<TimedRollout> &Rollouts);
  rollout::TimedProgress progress(const TimedRollout &Entry,
                                  const Known &Seen) const;
  boost::asio::awaitable<void> propose(TimedRollout Entry,
                                       rollout::TimedAction Action,
                                       base::Millis Elapsed);

  base::Clock &Time;
  replication::ReplicatedLog &Log;
  const ControlState &State;
  const EvidenceTable &Evidence;
  rollout::TimedPacing Pace;
  /// By the log index of the order.
  std::map<base::LogIndex, Known> Orders;
};

/// Time between two looks.
inline constexpr base::Millis TimedInterval = base::Millis(200);

} // namespace amaranth::control

#endif
