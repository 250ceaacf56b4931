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

/// Monitors a new version that receives all traffic, when there is no
/// concurrent old version to compare it with.
///
/// Compares the new version with the most recent behaviour of the old one. This
/// cannot distinguish a bad version from a failed dependency, so an alarm does
/// not reject the version: the share is lowered until the sequential test has
/// compared both versions again. A false alarm costs only time, so the alarm
/// may use a weaker threshold than the test.
class ReferenceAlarm {
public:
  explicit ReferenceAlarm(const RolloutThresholds &Thresholds);

  /// Adds one window. `HasAllTraffic` is true if the new version receives all
  /// traffic; only then is it compared with the old one.
  void add(const EvidenceWindow &Window, bool HasAllTraffic,
           const SlowStartAllowance &Allowance);
  /// Clears the alarm and the betting processes, but keeps the baselines of the
  /// old version.
  void reset();
  /// Describes the measure and the route of the alarm; empty if there is none.
  const std::string &alarm() const { return Alarm; }
  /// The route that raised the last alarm.
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
