#ifndef AMARANTH_ROLLOUT_ROLLOUTPLAN_H
#define AMARANTH_ROLLOUT_ROLLOUTPLAN_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::rollout {

/// The whole traffic of a service, in the unit of shares (millionths).
inline constexpr std::uint32_t FullShare = 1'000'000;

/// What to do when there is too little traffic to judge the new version:
/// `Normal` proceeds when nothing speaks against it, `High` rolls back.
enum class Risk : std::uint8_t { Normal = 1, High = 2 };

/// Limits of what counts as a good version.
struct RolloutThresholds {
  /// Largest accepted difference of the error rates (new - old), 0..1.
  double MaxErrorIncrease = 0.01;
  /// Largest accepted ratio of the latencies (new / old), at least 1.
  double MaxLatencyRatio = 1.5;
  /// Requests of the new version wanted on each route before the share goes
  /// to 100 % and before the end; less for smaller shares in proportion.
  std::uint32_t MinRequests = 50;
};

/// A rollout as its owner wants it; the values of a `rollout` section.
struct RolloutPlan {
  base::ServiceName Service;
  /// Revision of the section; a final decision stands for this revision.
  base::Revision Section;
  base::VersionName From;
  base::VersionName To;
  base::WallTime Start;
  base::WallTime Deadline;
  /// Shares of the new version in millionths, rising, the last one
  /// `FullShare`.
  std::vector<std::uint32_t> Steps = {10'000, 50'000, 200'000, 500'000,
                                      FullShare};
  RolloutThresholds Thresholds;
  Risk RiskLevel = Risk::Normal;

  /// Time from start to deadline.
  base::Millis duration() const { return Deadline - Start; }
  /// Length of the watch phase: 15 % of the total time.
  base::Millis watchDuration() const { return duration() * 15 / 100; }
  /// From here on the machine ends the rollout. Before the deadline by 5 s,
  /// or 5 % of a shorter rollout, so that the decision can be committed.
  base::WallTime finalDecisionTime() const;
  /// The time by which the watch phase must begin.
  base::WallTime latestWatchStart() const {
    return finalDecisionTime() - watchDuration();
  }
};

/// Shortest time from start to deadline. The default steps and the approach
/// at 90 % take at least 12 s each; a good version missed a deadline of 90 s.
inline constexpr base::Millis MinRolloutDuration = base::Millis::seconds(120);

/// Every reason why a plan cannot be run; empty for a valid one.
std::vector<std::string> validatePlan(const RolloutPlan &Plan);

} // namespace amaranth::rollout

#endif
