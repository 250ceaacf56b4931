#ifndef AMARANTH_ROLLOUT_BENCH_SIMULATION_H
#define AMARANTH_ROLLOUT_BENCH_SIMULATION_H

#include "Scenario.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::rollout::bench {

/// Result of one simulated rollout.
struct RunResult {
  bool Done = false;
  bool RolledBack = false;
  /// Reason of the last decision.
  std::string Reason;
  /// The fault was active while the new version had traffic.
  bool FaultObserved = false;
  /// Requests from the first second with the fault to the deadline.
  std::uint64_t RequestsSinceFault = 0;
  std::uint64_t AffectedRequests = 0;
  /// Seconds with traffic on the new version since the fault appeared.
  double SecondsToZero = 0;
  int EndedAt = 0;
  int Total = 0;
};

/// Simulates one rollout with a random duration of 10 to 60 minutes. Evidence
/// reaches the controller 1 s after its window ends, and a decision takes
/// effect 1 s after it was made. In one of five runs the controller is replaced
/// once, with no leader for 3 s.
RunResult simulate(const Scenario &Config, std::uint64_t Seed);

/// Aggregated results of the runs of one scenario.
struct Totals {
  Scenario Config;
  int Runs = 0;
  int Done = 0;
  int RolledBack = 0;
  int FaultObserved = 0;
  /// Rolled back after the fault was observed.
  int Detected = 0;
  std::vector<double> AffectedShare;
  std::vector<double> AffectedCounts;
  std::vector<double> SecondsToZero;

  void add(const RunResult &Run);
};

double mean(const std::vector<double> &Values);
double percentile(std::vector<double> Values, double Part);

} // namespace amaranth::rollout::bench

#endif
