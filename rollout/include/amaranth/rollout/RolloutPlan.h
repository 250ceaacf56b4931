#ifndef AMARANTH_ROLLOUT_ROLLOUTPLAN_H
#define AMARANTH_ROLLOUT_ROLLOUTPLAN_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::rollout {

/// All traffic of a service. Shares are given in millionths.
inline constexpr std::uint32_t FullShare = 1'000'000;

/// What to do if there is too little traffic to evaluate the new version:
/// `Normal` proceeds if there is no evidence against it, `High` rolls back.
enum class Risk : std::uint8_t { Normal = 1, High = 2 };

/// Thresholds that a good version must meet.
struct RolloutThresholds {
  /// Largest accepted increase of the error rate (new - old), 0..1.
  double MaxErrorIncrease = 0.01;
  /// Largest accepted ratio of the latencies (new / old), at least 1.
  double MaxLatencyRatio = 1.5;
  /// Requests of the new version required on each route before its share is
  /// raised to 100 % and before the rollout is done; proportionally fewer for
  /// smaller shares.
  std::uint32_t MinRequests = 50;
};

/// The configuration of a rollout; the values of a `rollout` section.
struct RolloutPlan {
  base::ServiceName Service;
  /// Revision of the section. A final decision is permanent for this revision.
  base::Revision Section;
  base::VersionName From;
  base::VersionName To;
  base::WallTime Start;
  base::WallTime Deadline;
  /// Shares of the new version in millionths, strictly increasing; the last one
  /// is `FullShare`.
  std::vector<std::uint32_t> Steps = {10'000, 50'000, 200'000, 500'000,
                                      FullShare};
  RolloutThresholds Thresholds;
  Risk RiskLevel = Risk::Normal;

  /// Time from start to deadline.
  base::Millis duration() const { return Deadline - Start; }
  /// Duration of the watch phase: 15 % of the total time.
  base::Millis watchDuration() const { return duration() * 15 / 100; }
  /// The time from which every decision ends the rollout: 5 s before the
  /// deadline, or 5 % of the duration if that is shorter, which leaves time to
  /// commit the decision.
  base::WallTime finalDecisionTime() const;
  /// The latest time at which the watch phase must start.
  base::WallTime latestWatchStart() const {
    return finalDecisionTime() - watchDuration();
  }
};

/// Shortest time from start to deadline. The default steps and the intermediate
/// step at 90 % take at least 12 s each; a good version missed a deadline of 90
/// s.
inline constexpr base::Millis MinRolloutDuration = base::Millis::seconds(120);

/// Returns all reasons why a plan is invalid; empty if it is valid.
std::vector<std::string> validatePlan(const RolloutPlan &Plan);

} // namespace amaranth::rollout

#endif
