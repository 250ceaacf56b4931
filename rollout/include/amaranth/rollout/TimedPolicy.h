#ifndef AMARANTH_ROLLOUT_TIMEDPOLICY_H
#define AMARANTH_ROLLOUT_TIMEDPOLICY_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/rollout/EvidenceWindow.h"

#include <cstdint>
#include <map>
#include <string>

namespace amaranth::rollout {

/// What is known of a rollout that must end within seconds.
struct TimedProgress {
  base::Millis Elapsed;
  base::Millis Duration;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  /// All traffic goes to the new version, but the old one still runs.
  bool Finishing = false;
  /// Time since the last decision.
  base::Millis SinceDecision;
  /// Time for which upstreams of the new version have been ready; negative
  /// while there are none.
  base::Millis NewReadyFor = base::Millis(-1);
  std::uint32_t OldSlots = 0;
  std::uint32_t NewSlots = 0;
  /// Results of both versions since the rollout began.
  std::map<base::RouteName, RouteWindow> Routes;
};

struct TimedAction {
  enum class Kind : std::uint8_t {
    Wait,
    /// Give the new version `Share`.
    Share,
    /// Send everything to the new version.
    Finish,
    /// Declare the rollout done; the old version may be stopped.
    Complete,
    RollBack,
  };
  Kind Type = Kind::Wait;
  std::uint32_t Share = 0;
  std::string Reason;
};

/// How a timed rollout is paced. All parts are of its duration.
struct TimedPacing {
  /// Upstreams that have just started are slow for some seconds.
  base::Millis WarmUpTime = base::Millis(3500);
  /// Time between the last requests to the old version and the word that it
  /// may be stopped: nodes learn of a decision within 0.3 s, and the requests
  /// that run then need about a second.
  base::Millis FinishingTime = base::Millis(1200);
};

/// Decides the next step of a rollout of 10 to 60 s, in which the sequential
/// test of longer rollouts would not see enough requests.
///
/// The new version gets little traffic for most of the time, more shortly
/// before the end so that faults under load show, and all of it for the last
/// moment. A version that fails or slows down from its start, later or under
/// load is so seen by at most about a tenth of the service's requests.
TimedAction decideTimed(const TimedProgress &Now, const TimedPacing &Pacing);

/// Logarithm of the evidence that one version does worse than another: how
/// much likelier its results are if it were bad than if it were as good as
/// the old one.
double degradationLogRatio(std::uint64_t OldRequests,
                           std::uint64_t OldBadRequests,
                           std::uint64_t NewRequests,
                           std::uint64_t NewBadRequests);

} // namespace amaranth::rollout

#endif
