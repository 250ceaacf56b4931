#ifndef AMARANTH_ROLLOUT_TIMEDPOLICY_H
#define AMARANTH_ROLLOUT_TIMEDPOLICY_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/rollout/EvidenceWindow.h"

#include <cstdint>
#include <map>
#include <string>

namespace amaranth::rollout {

/// Progress of a rollout that must end within seconds.
struct TimedProgress {
  base::Millis Elapsed;
  base::Millis Duration;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  /// The new version receives all traffic, but the old one is still running.
  bool Finishing = false;
  /// Time since the last decision.
  base::Millis SinceDecision;
  /// Time since upstreams of the new version became ready; negative if none is
  /// ready.
  base::Millis NewReadyFor = base::Millis(-1);
  std::uint32_t OldSlots = 0;
  std::uint32_t NewSlots = 0;
  /// Results of both versions since the rollout started.
  std::map<base::RouteName, RouteWindow> Routes;
  /// Results since the last decision. A version that fails under load only is
  /// judged by these: its good results at smaller shares say nothing about the
  /// current one.
  std::map<base::RouteName, RouteWindow> RecentRoutes;
};

struct TimedAction {
  enum class Kind : std::uint8_t {
    Wait,
    /// Set the new version's share to `Share`.
    Share,
    /// Send all traffic to the new version.
    Finish,
    /// Complete the rollout; the old version may be stopped.
    Complete,
    RollBack,
  };
  Kind Type = Kind::Wait;
  std::uint32_t Share = 0;
  std::string Reason;
};

/// Minimum times of a timed rollout.
struct TimedPacing {
  /// Newly started upstreams are slow for a few seconds.
  base::Millis WarmUpTime = base::Millis(3500);
  /// Time between sending all traffic to the new version and completing the
  /// rollout, after which the old version may be stopped. Nodes receive a
  /// decision within 0.3 s, and requests in flight then need about a second.
  base::Millis FinishingTime = base::Millis(1200);
  /// Shortest time for which the new version receives all traffic before it is
  /// judged for the last time.
  base::Millis MinLoadProbeTime = base::Millis(700);
};

/// Decides the next action for a rollout of 10 to 60 s, which is too short for
/// the sequential test of longer rollouts to get enough requests.
///
/// The new version gets little traffic for most of the time. Before the end it
/// gets all traffic for a moment, which exposes faults under load, then a
/// quarter while the results come in, and all traffic only if they are good.
/// At most about a tenth of the service's requests therefore reach a version
/// that fails or slows down from its start, later or under load.
TimedAction decideTimed(const TimedProgress &Now, const TimedPacing &Pacing);

/// Log likelihood ratio of the new version's results under the hypothesis that
/// it is bad, with a rate of bad results of at least `MinBadRate`, against the
/// hypothesis that it is as good as the old version. 0 if there are too few bad
/// results.
double degradationLogRatio(std::uint64_t OldRequests,
                           std::uint64_t OldBadRequests,
                           std::uint64_t NewRequests,
                           std::uint64_t NewBadRequests,
                           double MinBadRate = 0.3);

} // namespace amaranth::rollout

#endif
