#ifndef AMARANTH_DATAPLANE_TEST_DECISIONSIMULATION_H
#define AMARANTH_DATAPLANE_TEST_DECISIONSIMULATION_H

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::dataplane {

/// Requests of one route.
struct SimulatedRoute {
  std::string Name;
  /// Part of all requests.
  double Share = 1;
  double MedianMs = 160;
};

/// Load and upstreams of a simulation. Times are in milliseconds.
struct SimulationPlan {
  std::size_t Entries = 10;
  std::size_t Upstreams = 8;
  std::uint32_t Slots = 9;
  /// Factor between the service times of the slowest and the fastest upstream.
  double SpeedSpread = 1;
  std::vector<SimulatedRoute> Routes = {{"r"}};
  /// Part of the requests that costs `TailFactor` times as much.
  double TailShare = 0;
  double TailFactor = 7;
  /// Work that arrives as a fraction of what all slots can do.
  double Load = 0.7;
  /// Amplitude of a wave of the load with a period of 10 s.
  double Wave = 0;
  /// One upstream is slow between these times.
  std::int64_t SlowFrom = 0;
  std::int64_t SlowUntil = 0;
  double SlowFactor = 4;
  /// Age of a report when the entry node gets it.
  std::int64_t ReportDelay = 2;
  std::int64_t Objective = 800;
  std::int64_t Deadline = 3'000;
  std::int64_t Warmup = 5'000;
  std::int64_t Duration = 30'000;
  std::uint64_t Seed = 1;
};

enum class DecisionRule : std::uint8_t {
  /// Random upstream, first come first served, no refusal before the deadline.
  FirstCome,
  /// Queue lengths and medians, as before the work was reported.
  Previous,
  Current,
};

/// Results after the warm-up.
struct SimulationResult {
  int Requests = 0;
  int InTime = 0;
  int Late = 0;
  int Refused = 0;
  int Refusals = 0;
  double MeanMs = 0;
  double P99Ms = 0;
  /// Requests of the busiest upstream relative to the mean.
  double Imbalance = 0;
  /// Mean completion time by upstream, from fast to slow.
  std::vector<double> MeanByUpstream;
  /// Refused requests by route.
  std::vector<int> RefusedByRoute;
  std::vector<int> RequestsByRoute;
};

/// Runs the decisions of entry nodes and gates under generated load, without a
/// network: the balancer, the cost model, the simulated slots and the order and
/// admission of the queue are those of the nodes.
SimulationResult simulate(const SimulationPlan &Plan, DecisionRule Rule);

} // namespace amaranth::dataplane

#endif
