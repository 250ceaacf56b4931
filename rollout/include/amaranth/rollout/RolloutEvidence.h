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

/// Evidence on one rollout, from the windows that this controller has received.
struct EvidenceSummary {
  struct Route {
    /// Requests of the new version since this controller started and since the
    /// last decision.
    std::uint64_t NewRequests = 0;
    std::uint64_t NewRequestsInStep = 0;
    /// Requests per second of both versions together.
    double RequestRate = 0;
  };
  std::map<base::RouteName, Route> Routes;
  /// Number of windows since the last decision.
  std::uint64_t StepWindows = 0;
  /// Reason why the sequential test rejected the new version; empty if it did
  /// not.
  std::string Rejection;
  /// Largest log wealth against the new version; see
  /// `SequentialTest::logEvidence`.
  double LogEvidence = 0;
  /// Reason of the reference alarm; empty if there is none.
  std::string Alarm;
  /// True if an alarm lowered the share and it has not been raised since.
  bool Recheck = false;
  /// The route of the alarm that started the recheck.
  base::RouteName RecheckRoute;
  /// Number of times that an alarm lowered the share.
  unsigned RecheckCount = 0;
  /// Requests per second of the service over the last 30 windows.
  double ServiceRate = 0;
  /// Highest load that the new version has sustained for 10 windows, in
  /// requests per second. Computed as its share of the service's rate, which is
  /// less noisy than the count of its own requests.
  double MaxSustainedRate = 0;
  /// Mean latency of the new version in seconds over the last 30 windows.
  double MeanLatency = 0;
  std::uint32_t NewSlots = 0;
};

/// Accumulates the windows of one rollout. Not replicated: a new controller
/// starts with an empty object.
class RolloutEvidence {
public:
  explicit RolloutEvidence(const RolloutPlan &Plan);

  /// Sets the current state. Call it before `add` and after each decision.
  void setState(const RolloutState &NewState);
  /// Adds a window, which must be newer than all previous ones. Ignores windows
  /// that started before the last decision reached the nodes.
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
