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
    std::uint64_t New = 0;
    std::uint64_t NewInStep = 0;
    /// Requests per second of both versions.
    double Rate = 0;
  };
  std::map<base::RouteName, Route> Routes;
  /// Windows seen since the last decision.
  std::uint64_t StepWindows = 0;
  /// Reason of the sequential test's rejection; empty without one.
  std::string Against;
  /// Log of the wealth against the new version; see `SequentialTest`.
  double LogEvidence = 0;
  /// Reason of the reference alarm; empty without one.
  std::string Alarm;
  /// The share was lowered by an alarm and has not risen since.
  bool Recheck = false;
  /// The route of that alarm.
  base::RouteName RecheckRoute;
  /// How often an alarm lowered the share.
  unsigned Rechecks = 0;
  /// Requests per second of the service, over the last 30 windows.
  double ServiceRate = 0;
  /// Highest load that the new version was seen under for 10 windows, in
  /// requests per second: its share of the service's rate, which is less
  /// noisy than the count of its own requests.
  double ProvenRate = 0;
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
  void follow(const RolloutState &State);
  /// Adds a window that is newer than all before. Windows that began before
  /// the last decision reached the nodes are ignored.
  void add(const EvidenceWindow &Window);
  EvidenceSummary summary() const;

private:
  struct RouteCounts {
    std::uint64_t New = 0;
    std::uint64_t NewInStep = 0;
    std::uint64_t Total = 0;
  };
  struct Recent {
    std::uint64_t Requests = 0;
    std::uint64_t New = 0;
    double NewLatency = 0;
  };
  Allowance allowance(base::WallTime Start) const;
  void count(const EvidenceWindow &Window);
  double serviceRate() const;

  SequentialTest Test;
  ReferenceAlarm Reference;
  RolloutState Followed;
  bool Following = false;
  bool Recheck = false;
  base::RouteName RecheckRoute;
  unsigned Rechecks = 0;
  std::map<base::RouteName, RouteCounts> Routes;
  std::deque<Recent> Last;
  std::uint64_t Windows = 0;
  std::uint64_t StepWindows = 0;
  std::uint64_t NewRequests = 0;
  double ProvenRate = 0;
  std::uint32_t NewSlots = 0;
};

} // namespace amaranth::rollout

#endif
