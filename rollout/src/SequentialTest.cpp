#include "amaranth/rollout/SequentialTest.h"

#include "TwoSample.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace amaranth::rollout {

namespace {

/// Rates of the new version under the alternatives, as fractions of the range
/// above the tolerance: from small faults to a total failure.
constexpr std::array<double, BettingProcess::Alternatives> Lifts = {
    0.02, 0.05, 0.12, 0.3, 0.6, 0.95};

/// Accepted difference of the shares of slow requests, in addition to the
/// ratio, because buckets are 41 % wide.
constexpr double LatencyTolerance = 0.02;

/// Requests of the old version that complete a block. With fewer requests, the
/// e-value of a single failure is small.
constexpr std::uint64_t MinBlockRequests = 5;
/// Number of windows after which a smaller block is evaluated. A block that
/// lacks requests of either version is then dropped.
constexpr unsigned MaxBlockWindows = 10;

/// Fractions of the old version's requests above the two latency thresholds.
constexpr std::array<double, 2> LatencyTailFractions = {0.05, 0.5};
/// Multiple of the long-term median from which the old version itself counts as
/// degraded.
constexpr double DegradedLatencyFactor = 3;
/// Split of alpha among errors and the two latency thresholds.
constexpr std::array<double, 3> MeasureAlphaFractions = {0.5, 0.25, 0.25};
/// Fraction of alpha for all routes together; the rest is for single routes.
constexpr double PooledAlphaFraction = 0.5;
/// Half of the capital is invested at once, for faults that are present from
/// the start.
constexpr double InitialInvestment = 0.5;

/// Largest log factor of one block, so that no single block decides the test.
constexpr double MaxBlockLogFactor = 5;

double logAdd(double Left, double Right) {
  double Larger = std::max(Left, Right);
  if (Larger == -std::numeric_limits<double>::infinity())
    return Larger;
  return Larger + std::log1p(std::exp(std::min(Left, Right) - Larger));
}

BettingProcess::LogFactors twoSampleFactors(const detail::Scores &Old,
                                            const detail::Scores &New,
                                            double OldRate, double Tolerance) {
  BettingProcess::LogFactors Result{};
  for (std::size_t I = 0; I < Lifts.size(); ++I) {
    double NullRate = OldRate + Tolerance;
    detail::Rates Alternative{OldRate, NullRate + Lifts[I] * (1 - NullRate)};
    Result[I] = detail::logEValue(Old, New, Alternative, Tolerance);
  }
  return Result;
}

void accumulate(BettingProcess::LogFactors &Sum,
                const BettingProcess::LogFactors &Value) {
  for (std::size_t I = 0; I < Sum.size(); ++I)
    Sum[I] += Value[I];
}

template <typename ProcessSet>
void investAll(ProcessSet &Processes, double Fraction) {
  for (BettingProcess &Process : Processes)
    Process.invest(Fraction);
}

template <typename ProcessSet>
double maxLogWealth(const ProcessSet &Processes, double AlphaFraction) {
  double Max = -std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < Processes.size(); ++I)
    Max = std::max(Max, std::log(MeasureAlphaFractions[I] * AlphaFraction) +
                            Processes[I].logWealth());
  return Max;
}

} // namespace

BettingProcess::BettingProcess() {
  LogBets.fill(-std::numeric_limits<double>::infinity());
}

void BettingProcess::invest(double Fraction) {
  Fraction = std::min(Fraction, Cash);
  if (Fraction <= 0)
    return;
  Cash -= Fraction;
  addCapital(Fraction);
}

void BettingProcess::addCapital(double Fraction) {
  for (double &Bet : LogBets)
    Bet = logAdd(Bet, std::log(Fraction / static_cast<double>(Alternatives)));
}

void BettingProcess::multiply(const LogFactors &Factors) {
  for (std::size_t I = 0; I < Alternatives; ++I)
    LogBets[I] += std::min(Factors[I], MaxBlockLogFactor);
}

double BettingProcess::logWealth() const {
  double Sum =
      Cash > 0 ? std::log(Cash) : -std::numeric_limits<double>::infinity();
  for (double Bet : LogBets)
    Sum = logAdd(Sum, Bet);
  return Sum;
}

SequentialTest::SequentialTest(TestSettings Settings)
    : Settings(Settings),
      InvestmentPerWindow(0.5 / std::max(Settings.HorizonWindows, 1.0)) {
  investAll(PooledProcesses, InitialInvestment);
}

void SequentialTest::addNewRoutes(const EvidenceWindow &Window) {
  for (const auto &[Name, Counts] : Window.Routes) {
    auto [Found, Inserted] = Routes.try_emplace(Name);
    if (!Inserted)
      continue;
    auto RouteNumber = static_cast<double>(Routes.size());
    Found->second.AlphaFraction = 0.5 / (RouteNumber * (RouteNumber + 1));
    investAll(Found->second.Processes, InitialInvestment);
  }
}

bool SequentialTest::isBlockComplete(const RouteTest &Route) {
  std::uint64_t OldRequests = Route.OpenBlock.Old.Requests;
  if (OldRequests == 0 || Route.OpenBlock.New.Requests == 0)
    return false;
  return OldRequests >= MinBlockRequests ||
         Route.OpenWindowCount >= MaxBlockWindows;
}

SequentialTest::Factors
SequentialTest::evaluate(const RouteTest &Route,
                         const SlowStartAllowance &Allowance) const {
  const Baseline &OldBaseline = Route.OldBaseline;
  Factors Result{};
  double ErrorRate = OldBaseline.errorRate();
  double Tolerance = std::min(Settings.MaxErrorIncrease + Allowance.ExtraErrors,
                              0.9 - ErrorRate);
  Result[0] = twoSampleFactors(detail::errorScores(Route.OpenBlock.Old),
                               detail::errorScores(Route.OpenBlock.New),
                               ErrorRate, std::max(Tolerance, 0.0));
  for (std::size_t I = 1; I < MeasureCount; ++I) {
    auto Threshold = OldBaseline.latencyThreshold(LatencyTailFractions[I - 1]);
    if (!Threshold || Route.OldDegraded)
      continue;
    Result[I] = twoSampleFactors(
        detail::latencyScores(Route.OpenBlock.Old, Threshold->Bucket, 1),
        detail::latencyScores(Route.OpenBlock.New, Threshold->Bucket,
                              Settings.MaxLatencyRatio *
                                  Allowance.LatencyFactor),
        Threshold->Rate, LatencyTolerance);
  }
  return Result;
}

void SequentialTest::closeBlock(RouteTest &Route,
                                const SlowStartAllowance &Allowance,
                                Factors &Sums) {
  if (isBlockComplete(Route)) {
    Factors Block = evaluate(Route, Allowance);
    for (std::size_t I = 0; I < MeasureCount; ++I) {
      Route.Processes[I].multiply(Block[I]);
      accumulate(Sums[I], Block[I]);
    }
  }
  if (auto Threshold = Route.LongTermBaseline.latencyThreshold(0.5))
    Route.OldDegraded =
        2 * detail::latencyScores(Route.OpenBlock.Old, Threshold->Bucket,
                                  DegradedLatencyFactor)
                .Ones >
        static_cast<double>(Route.OpenBlock.Old.Requests);
  Route.LongTermBaseline.add(Route.OpenBlock.Old);
  Route.OldBaseline.add(Route.OpenBlock.Old);
  Route.OpenBlock = {};
  Route.OpenWindowCount = 0;
}

void SequentialTest::add(const EvidenceWindow &Window,
                         const SlowStartAllowance &Allowance) {
  addNewRoutes(Window);
  Factors Sums{};
  investAll(PooledProcesses, InvestmentPerWindow);
  for (auto &[Name, Route] : Routes) {
    investAll(Route.Processes, InvestmentPerWindow);
    auto Found = Window.Routes.find(Name);
    if (Found != Window.Routes.end()) {
      Route.OpenBlock.Old += Found->second.Old;
      Route.OpenBlock.New += Found->second.New;
    }
    ++Route.OpenWindowCount;
    if (isBlockComplete(Route) || Route.OpenWindowCount >= MaxBlockWindows)
      closeBlock(Route, Allowance, Sums);
    checkRejection(Route.Processes, Route.AlphaFraction,
                   "on route " + Name.value());
  }
  for (std::size_t I = 0; I < MeasureCount; ++I)
    PooledProcesses[I].multiply(Sums[I]);
  checkRejection(PooledProcesses, PooledAlphaFraction,
                 "on all routes together");
}

void SequentialTest::discardOpenBlocks() {
  for (auto &[Name, Route] : Routes) {
    Route.OpenBlock = {};
    Route.OpenWindowCount = 0;
  }
}

double SequentialTest::logEvidence() const {
  double Max = maxLogWealth(PooledProcesses, PooledAlphaFraction);
  for (const auto &[Name, Route] : Routes)
    Max = std::max(Max, maxLogWealth(Route.Processes, Route.AlphaFraction));
  return Max;
}

void SequentialTest::checkRejection(const ProcessSet &Processes,
                                    double AlphaFraction,
                                    const std::string &Scope) {
  double Limit = std::log(1 / Settings.Alpha);
  if (rejected() || maxLogWealth(Processes, AlphaFraction) < Limit)
    return;
  bool ByErrors = std::log(MeasureAlphaFractions[0] * AlphaFraction) +
                      Processes[0].logWealth() >=
                  Limit;
  Rejection = ByErrors ? "more errors than the old version "
                       : "slower than the old version ";
  Rejection += Scope;
}

} // namespace amaranth::rollout
