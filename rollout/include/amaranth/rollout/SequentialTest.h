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

/// Settings of the tests of one rollout.
struct TestSettings {
  /// Bound on the probability that a version within the guards is rejected,
  /// over all looks, routes and measures.
  double Alpha = 0.001;
  double MaxErrorIncrease = 0.01;
  double MaxLatencyRatio = 1.5;
  /// Number of windows that the capital is spread over.
  double HorizonWindows = 1800;
};

/// Accepted differences of a window in which the new version may be cold.
struct SlowStartAllowance {
  double ExtraErrors = 0;
  double LatencyFactor = 1;
};

/// Capital of a bet against the null hypothesis, for a fixed set of
/// alternatives. Starts as cash 1; a part is invested at each window so that
/// a fault that appears late is not offset by the good time before it. The
/// expected wealth never grows under the null hypothesis, so by Ville's
/// inequality the probability that it ever reaches 1/a is at most a.
class BettingProcess {
public:
  static constexpr std::size_t Alternatives = 6;
  using LogFactors = std::array<double, Alternatives>;

  BettingProcess();
  /// Moves up to `Fraction` of the initial capital from cash into the bets.
  void invest(double Fraction);
  /// Adds new capital to the bets. The wealth is then no bound on an error
  /// probability, but reaches 1/a at most once in 1/(a * Part) additions.
  void addCapital(double Fraction);
  /// Multiplies the bet on each alternative with its e-value.
  void multiply(const LogFactors &Factors);
  double logWealth() const;

private:
  double Cash = 1;
  LogFactors LogBets;
};

/// Compares a new version with the old one that runs at the same time.
///
/// Method: for each block of concurrent requests the two-sample e-value of
/// Turner, Ly and Gruenwald (2022) for "rate of new <= rate of old + guard",
/// that is the likelihood ratio of an alternative against its projection on
/// the null hypothesis; products of it over blocks form a betting process.
/// Reasons: it holds at every look, for any counts (also 1 request) and any
/// imbalance, and the rates may change from block to block in any way as
/// long as they change for both versions, so a lost availability zone or a
/// failed shared dependency gives no evidence. Estimates of the old version
/// come from earlier blocks and affect only the power.
///
/// Latency counts as a rate: requests of the old version above its 95th
/// percentile bucket (of earlier blocks), against requests of the new one
/// above that limit times max-latency-ratio. The same is done with the median
/// bucket: a version that is slower by a factor moves the median's count far
/// more than the tail's (in the experiment, 2x was missed in 8 % to 55 % of
/// the runs with the tail alone).
///
/// A block after one in which most of the old version's own requests were
/// slow gives no evidence on latency: then a shared dependency is slow, and
/// the versions queue differently when their numbers of slots differ.
///
/// Alpha is split: half for errors and a quarter for each of the latency
/// limits; of that half for all routes together (product of the routes'
/// e-values, so a different mix of routes does no harm) and 1/(2j(j+1)) for
/// the j-th route.
class SequentialTest {
public:
  explicit SequentialTest(TestSettings Settings);

  /// Adds one window. A route whose window is too small is joined with its
  /// next ones, up to 10 s.
  void add(const EvidenceWindow &Window, const SlowStartAllowance &Allowance);

  /// The share changed: requests before and after are not compared.
  void discardOpenBlocks();

  /// Largest log of (wealth * part of alpha) now; at log(1/alpha) the new
  /// version is rejected.
  double logEvidence() const;
  /// Stays true once it was true.
  bool rejected() const { return !Rejection.empty(); }
  /// Measure and route of the rejection; empty without one.
  const std::string &rejection() const { return Rejection; }

private:
  static constexpr std::size_t MeasureCount = 3;
  using ProcessSet = std::array<BettingProcess, MeasureCount>;
  using Factors = std::array<BettingProcess::LogFactors, MeasureCount>;
  struct RouteTest {
    double AlphaFraction = 0;
    RouteWindow OpenBlock;
    unsigned OpenWindowCount = 0;
    /// Most of the old version's requests of the last block took several
    /// times the usual median.
    bool OldDegraded = false;
    Baseline OldBaseline;
    /// Remembers about 500 blocks, so that an outage does not become usual.
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
