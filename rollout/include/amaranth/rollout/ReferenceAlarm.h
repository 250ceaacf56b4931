#ifndef AMARANTH_ROLLOUT_REFERENCEALARM_H
#define AMARANTH_ROLLOUT_REFERENCEALARM_H

#include "amaranth/rollout/Baseline.h"
#include "amaranth/rollout/EvidenceWindow.h"
#include "amaranth/rollout/RolloutPlan.h"
#include "amaranth/rollout/SequentialTest.h"

#include <array>
#include <map>
#include <string>

namespace amaranth::rollout {

/// Watches a new version that has all of the traffic, when there is no
/// concurrent old version to compare it with.
///
/// Compares with the last behaviour of the old version. This cannot tell a
/// bad version from a failed dependency, so an alarm does not reject: the
/// share is lowered until the sequential test has compared both versions
/// again. A false alarm costs only time, so it may be less sure than the test.
class ReferenceAlarm {
public:
  explicit ReferenceAlarm(const RolloutThresholds &Thresholds);

  /// Adds one window; `HasAllTraffic` tells that the new version has all
  /// traffic.
  void add(const EvidenceWindow &Window, bool HasAllTraffic,
           const SlowStartAllowance &Allowance);
  /// Forgets the bets but not the old version's behaviour.
  void reset();
  /// Measure and route; empty without an alarm.
  const std::string &alarm() const { return Alarm; }
  /// The route of the alarm.
  const base::RouteName &route() const { return AlarmRoute; }

private:
  struct Route {
    Baseline OldBaseline;
    BettingProcess Errors;
    std::array<BettingProcess, 2> Latency;
  };
  void evaluate(const base::RouteName &Name, Route &Reference,
                const EvidenceCounts &New, const SlowStartAllowance &Allowance);
  void raiseAlarm(const std::string &Description, const base::RouteName &Name);

  RolloutThresholds Thresholds;
  std::map<base::RouteName, Route> Routes;
  std::string Alarm;
  base::RouteName AlarmRoute;
};

} // namespace amaranth::rollout

#endif
