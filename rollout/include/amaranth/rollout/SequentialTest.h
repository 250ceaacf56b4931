#ifndef AMARANTH_ROLLOUT_SEQUENTIALTEST_H
#define AMARANTH_ROLLOUT_SEQUENTIALTEST_H

#include "amaranth/rollout/Baseline.h"
#include "amaranth/rollout/EvidenceWindow.h"
#include "amaranth/rollout/RolloutPlan.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace amaranth::rollout {

/// Settings of the sequential test of one rollout.
struct TestSettings {
  /// Upper bound on the probability of rejecting a version that meets the
  /// thresholds, over all evaluations, routes and measures.
  double Alpha = 0.001;
  double MaxErrorIncrease = 0.01;
  double MaxLatencyRatio = 1.5;
  /// Number of windows over which the capital is invested.
  double HorizonWindows = 1800;
};

/// Additional differences that are accepted while the new version warms up.
struct SlowStartAllowance {
  double ExtraErrors = 0;
  double LatencyFactor = 1;
};

/// A betting process against the null hypothesis, for a fixed set of
/// alternatives. It starts with a cash capital of 1. A fraction of it is
/// invested at each window, so that good windows do not offset a fault that
/// appears late. The expected wealth never grows under the null hypothesis, so
/// by Ville's inequality the probability that it ever reaches 1/a is at most a.
class BettingProcess {
public:
  static constexpr std::size_t Alternatives = 6;
  using LogFactors = std::array<double, Alternatives>;

  BettingProcess();
  /// Moves up to `Fraction` of the initial capital from cash into the bets.
  void invest(double Fraction);
  /// Adds new capital to the bets. The wealth is then no bound on an error
  /// probability, but reaches 1/a at most once in 1/(a * Fraction) additions.
  void addCapital(double Fraction);
  /// Multiplies the bet on each alternative by its e-value.
  void multiply(const LogFactors &Factors);
  double logWealth() const;

private:
  double Cash = 1;
  LogFactors LogBets;
};

/// Compares a new version with the old one on concurrent traffic.
///
/// Method: for each block of concurrent requests the two-sample e-value of
/// Turner, Ly and Gruenwald (2022) for "rate of new <= rate of old +
/// threshold", that is the likelihood ratio of an alternative against its
/// projection on the null hypothesis; the product over the blocks forms a
/// betting process. The method was chosen because it is valid at every
/// evaluation, for any counts (even a single request) and any imbalance. The
/// rates may change arbitrarily from block to block as long as they change for
/// both versions, so a lost availability zone or a failed shared dependency
/// gives no evidence. Estimates of the old version come from earlier blocks and
/// affect only the power.
///
/// Latency is compared as a rate: requests of the old version above its 95th
/// percentile bucket (of earlier blocks), against requests of the new one above
/// that threshold times max-latency-ratio. The same is done with the median
/// bucket: a version that is slower by a factor changes the count above the
/// median far more than the count in the tail. With the tail alone, a factor of
/// 2 was missed in 8 % to 55 % of the runs of amaranth-bench-rollout.
///
/// A block gives no evidence on latency if most of the old version's own
/// requests were slow in the previous block. A shared dependency is slow in
/// that case, and the versions queue differently if their numbers of slots
/// differ.
///
/// Alpha is split: half for errors and a quarter for each of the latency
/// thresholds. Of each part, half is for all routes together (product of the
/// routes' e-values, so a different mix of routes is harmless) and 1/(2j(j+1))
/// for the j-th route.
class SequentialTest {
public:
  explicit SequentialTest(TestSettings Settings);

  /// Adds one window. Windows of a route with too few requests are combined
  /// into a block of up to 10 windows.
  void add(const EvidenceWindow &Window, const SlowStartAllowance &Allowance);

  /// Discards incomplete blocks. Call it if the share changed, because requests
  /// from before and after the change must not be compared.
  void discardOpenBlocks();

  /// Current maximum of log(wealth * fraction of alpha). The new version is
  /// rejected at log(1/alpha).
  double logEvidence() const;
  /// Never returns to false.
  bool rejected() const { return !Rejection.empty(); }
  /// Describes the measure and the route of the rejection; empty if there is
  /// none.
  const std::string &rejection() const { return Rejection; }

private:
  static constexpr std::size_t MeasureCount = 3;
  using ProcessSet = std::array<BettingProcess, MeasureCount>;
  using Factors = std::array<BettingProcess::LogFactors, MeasureCount>;
  struct RouteTest {
    double AlphaFraction = 0;
    RouteWindow OpenBlock;
    unsigned OpenWindowCount = 0;
    /// True if most of the old version's requests in the last block took
    /// several times the long-term median.
    bool OldDegraded = false;
    Baseline OldBaseline;
    /// Averages over about 500 blocks, so that an outage does not become the
    /// norm.
    Baseline LongTermBaseline{0.998};
    ProcessSet Processes;
  };

  void addNewRoutes(const EvidenceWindow &Window);
  static bool isBlockComplete(const RouteTest &Route);
  Factors evaluate(const RouteTest &Route,
                   const SlowStartAllowance &Allowance) const;
  void closeBlock(RouteTest &Route, const SlowStartAllowance &Allowance,
                  Factors &Sums);
  void checkRejection(const ProcessSet &Processes, double AlphaFraction,
                      const std::string &Scope);

  TestSettings Settings;
  double InvestmentPerWindow;
  std::map<base::RouteName, RouteTest> Routes;
  ProcessSet PooledProcesses;
  std::string Rejection;
};

} // namespace amaranth::rollout

#endif
