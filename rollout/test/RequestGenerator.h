#ifndef AMARANTH_ROLLOUT_TEST_REQUESTGENERATOR_H
#define AMARANTH_ROLLOUT_TEST_REQUESTGENERATOR_H

#include "amaranth/rollout/EvidenceWindow.h"

#include <cmath>
#include <cstdint>
#include <random>
#include <string>

namespace amaranth::rollout::test {

/// Simulated behaviour of one version on one route.
struct Behaviour {
  double ErrorRate = 0.01;
  /// Latencies are log-normal with sigma 0.5.
  double MedianLatencyMs = 20;
};

/// Generates random evidence windows of a service.
class RequestGenerator {
public:
  explicit RequestGenerator(std::uint64_t Seed) : Random(Seed) {}

  void fill(EvidenceWindow &Window, const std::string &Route, double Rate,
            double NewShare, const Behaviour &Old, const Behaviour &New) {
    RouteWindow &Counts = Window.Routes[base::RouteName(Route)];
    int Count = std::poisson_distribution<int>(Rate)(Random);
    for (int I = 0; I < Count; ++I) {
      bool ToNew = std::bernoulli_distribution(NewShare)(Random);
      const Behaviour &Version = ToNew ? New : Old;
      double LatencyMs = Version.MedianLatencyMs *
                         std::exp(std::normal_distribution<>(0, 0.5)(Random));
      (ToNew ? Counts.New : Counts.Old)
          .add(std::bernoulli_distribution(Version.ErrorRate)(Random),
               base::Millis(std::lround(LatencyMs)));
    }
  }

  /// Generates a window with the single route `/r0`.
  EvidenceWindow window(base::WallTime Start, double Rate, double NewShare,
                        const Behaviour &Old, const Behaviour &New) {
    EvidenceWindow Result;
    Result.Start = Start;
    fill(Result, "/r0", Rate, NewShare, Old, New);
    return Result;
  }

  std::mt19937_64 Random;
};

} // namespace amaranth::rollout::test

#endif
