#ifndef AMARANTH_ROLLOUT_ROLLOUTEVIDENCE_H
#define AMARANTH_ROLLOUT_ROLLOUTEVIDENCE_H

#include "amaranth/rollout/EvidenceWindow.h"
#include "amaranth/rollout/ReferenceAlarm.h"
#include "amaranth/rollout/RolloutPlan.h"
#include "amaranth/rollout/RolloutState.h"
#include "amaranth/rollout/SequentialTest.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace amaranth::rollout {

/// What a controller knows of one rollout from the windows it saw itself.
struct EvidenceSummary {
  struct Route {
    /// Requests of the new version, since this controller began and since
    /// the last decision.
    std::uint64_t NewRequests = 0;
    std::uint64_t NewRequestsInStep = 0;
    /// Requests per second of both versions.
    double RequestRate = 0;
  };
  std::map<base::RouteName, Route> Routes;
  /// Windows seen since the last decision.
  std::uint64_t StepWindows = 0;
  /// Reason of the sequential test's rejection; empty without one.
  std::string Rejection;
  /// Log of the wealth against the new version; see `SequentialTest`.
  double LogEvidence = 0;
  /// Reason of the reference alarm; empty without one.
  std::string Alarm;
  /// The share was lowered by an alarm and has not risen since.
  bool Recheck = false;
  /// The route of that alarm.
  base::RouteName RecheckRoute;
  /// How often an alarm lowered the share.
  unsigned RecheckCount = 0;
  /// Requests per second of the service, over the last 30 windows.
  double ServiceRate = 0;
  /// Highest load that the new version was seen under for 10 windows, in
  /// requests per second: its share of the service's rate, which is less
  /// noisy than the count of its own requests.
  double MaxSustainedRate = 0;
  /// Mean latency of the new version in seconds, over the last 30 windows.
  double MeanLatency = 0;
  std::uint32_t NewSlots = 0;
};

/// Collects the windows of one rollout. Owned by one controller; a new
/// controller starts with an empty one.
class RolloutEvidence {
public:
  explicit RolloutEvidence(const RolloutPlan &Plan);

  /// Tells the current state; call before `add` and after each decision.
  void setState(const RolloutState &NewState);
  /// Adds a window that is newer than all before. Windows that began before
  /// the last decision reached the nodes are ignored.
  void add(const EvidenceWindow &Window);
  EvidenceSummary summary() const;

private:
  struct RouteCounts {
    std::uint64_t NewRequests = 0;
    std::uint64_t NewRequestsInStep = 0;
    std::uint64_t TotalRequests = 0;
  };
  struct WindowTotals {
    std::uint64_t TotalRequests = 0;
    std::uint64_t NewRequests = 0;
    double NewLatencySum = 0;
  };
  SlowStartAllowance slowStartAllowance(base::WallTime Start) const;
  void updateTotals(const EvidenceWindow &Window);
  double serviceRate() const;

  SequentialTest Test;
  ReferenceAlarm Reference;
  RolloutState State;
  bool HasState = false;
  bool Recheck = false;
  base::RouteName RecheckRoute;
  unsigned RecheckCount = 0;
  std::map<base::RouteName, RouteCounts> Routes;
  std::deque<WindowTotals> RecentTotals;
  std::uint64_t WindowCount = 0;
  std::uint64_t StepWindows = 0;
  std::uint64_t NewRequests = 0;
  double MaxSustainedRate = 0;
  std::uint32_t NewSlots = 0;
};

} // namespace amaranth::rollout

#endif
