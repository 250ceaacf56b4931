#ifndef AMARANTH_ROLLOUT_BENCH_SCENARIO_H
#define AMARANTH_ROLLOUT_BENCH_SCENARIO_H

#include <string>
#include <vector>

namespace amaranth::rollout::bench {

/// A condition that is not a fault of the new version.
enum class Disturbance {
  None,
  /// Stronger common fluctuations of error rate, latency and traffic.
  Noise,
  /// Upstreams of the new version have a long cold start, and one restarts.
  ColdStart,
  LostZone,
  SharedOutage,
  /// The old version has 3 % more errors than the new one, and 10 % during
  /// bursts.
  OldErrors,
  /// Low traffic of 0.2 to 1 request per second.
  Night,
};

enum class FaultKind { None, Fail, Slow };
enum class FaultTime { AtOnce, Later, UnderLoad, OneRoute };

struct Scenario {
  std::string Name;
  Disturbance Shared = Disturbance::None;
  FaultKind Kind = FaultKind::None;
  FaultTime Time = FaultTime::AtOnce;
  /// Additional failure probability for `Fail`, latency factor for `Slow`.
  double Size = 0;
  bool HighRisk = false;

  bool isBad() const { return Kind != FaultKind::None; }
};

/// Returns all scenarios, good versions first.
std::vector<Scenario> allScenarios();

} // namespace amaranth::rollout::bench

#endif
