#ifndef AMARANTH_ROLLOUT_BENCH_SCENARIO_H
#define AMARANTH_ROLLOUT_BENCH_SCENARIO_H

#include <string>
#include <vector>

namespace amaranth::rollout::bench {

/// What happens to both versions alike.
enum class Disturbance {
  None,
  /// Stronger common swings of errors, latency and traffic.
  Noise,
  /// Upstreams of the new version are cold for long, and one restarts.
  ColdStart,
  LostZone,
  SharedOutage,
  /// The old version has 3 to 10 % errors, also in bursts; the new has not.
  OldErrors,
  /// 0.2 to 1 request per second.
  Night,
};

enum class FaultKind { None, Fail, Slow };
enum class FaultTime { AtOnce, Later, UnderLoad, OneRoute };

struct Scenario {
  std::string Name;
  Disturbance Shared = Disturbance::None;
  FaultKind Kind = FaultKind::None;
  FaultTime Time = FaultTime::AtOnce;
  /// Fail: probability of failure added; slow: factor of the latency.
  double Size = 0;
  bool HighRisk = false;

  bool isBad() const { return Kind != FaultKind::None; }
};

/// All scenarios, good versions first.
std::vector<Scenario> allScenarios();

} // namespace amaranth::rollout::bench

#endif
