#include "amaranth/rollout/SequentialTest.h"

#include "TwoSample.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace amaranth::rollout {

namespace {

/// How much of the range above the tolerance the new version's rate takes
/// under each alternative: from small faults to a total failure.
constexpr std::array<double, BettingProcess::Alternatives> Lifts = {
    0.02, 0.05, 0.12, 0.3, 0.6, 0.95};

/// The difference of the shares of slow requests that is accepted besides
/// the ratio, because buckets are 41 % wide.
constexpr double LatencyTolerance = 0.02;

/// Old requests that make a window a block of its own: with fewer the e-value
/// of one failure is small.
constexpr std::uint64_t BlockRequests = 5;
/// Windows after which a smaller block is evaluated, and after which a block
/// without both versions is dropped.
constexpr unsigned BlockWindows = 10;

/// Parts of the old version's requests above the two latency limits.
constexpr std::array<double, 2> LatencyParts = {0.05, 0.5};
/// Factor over the usual median from which the old version itself counts as
/// disturbed.
constexpr double SlowOutage = 3;
/// How alpha is split among errors and the two latency limits.
constexpr std::array<double, 3> MeasureParts = {0.5, 0.25, 0.25};
/// Part of alpha for the routes together; the rest is for single routes.
constexpr double PooledSplit = 0.5;
/// Half of the capital is for faults that are there from the beginning.
constexpr double InitialInvestment = 0.5;

/// Largest log factor of one block, so that no single second decides.
constexpr double BlockCap = 5;

double logAdd(double Left, double Right) {
  double High = std::max(Left, Right);
  if (High == -std::numeric_limits<double>::infinity())
    return High;
  return High + std::log1p(std::exp(std::min(Left, Right) - High));
}

BettingProcess::LogFactors factors(const detail::Scores &Old,
                                   const detail::Scores &New, double OldRate,
                                   double Tolerance) {
  BettingProcess::LogFactors Result{};
  for (std::size_t I = 0; I < Lifts.size(); ++I) {
    double Floor = OldRate + Tolerance;
    detail::Rates Alternative{OldRate, Floor + Lifts[I] * (1 - Floor)};
    Result[I] = detail::logEValue(Old, New, Alternative, Tolerance);
  }
  return Result;
}

void addTo(BettingProcess::LogFactors &Sum,
           const BettingProcess::LogFactors &Value) {
  for (std::size_t I = 0; I < Sum.size(); ++I)
    Sum[I] += Value[I];
}

template <typename Bets> void investAll(Bets &Against, double Part) {
  for (BettingProcess &Each : Against)
    Each.invest(Part);
}

template <typename Bets> double logMost(const Bets &Against, double Split) {
  double Most = -std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < Against.size(); ++I)
    Most = std::max(Most,
                    std::log(MeasureParts[I] * Split) + Against[I].logWealth());
  return Most;
}

} // namespace

BettingProcess::BettingProcess() {
  LogBets.fill(-std::numeric_limits<double>::infinity());
}

void BettingProcess::invest(double Part) {
  Part = std::min(Part, Cash);
  if (Part <= 0)
    return;
  Cash -= Part;
  addCapital(Part);
}

void BettingProcess::addCapital(double Part) {
  for (double &Bet : LogBets)
    Bet = logAdd(Bet, std::log(Part / static_cast<double>(Alternatives)));
}

void BettingProcess::multiply(const LogFactors &Factors) {
  for (std::size_t I = 0; I < Alternatives; ++I)
    LogBets[I] += std::min(Factors[I], BlockCap);
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
      InvestPerWindow(0.5 / std::max(Settings.Horizon, 1.0)) {
  investAll(Pooled, InitialInvestment);
}

void SequentialTest::admitRoutes(const EvidenceWindow &Window) {
  for (const auto &[Name, Counts] : Window.Routes) {
    auto [Found, New] = Routes.try_emplace(Name);
    if (!New)
      continue;
    auto Order = static_cast<double>(Routes.size());
    Found->second.Split = 0.5 / (Order * (Order + 1));
    investAll(Found->second.Against, InitialInvestment);
  }
}

bool SequentialTest::complete(const RouteTest &Route) {
  std::uint64_t Old = Route.Open.Old.Requests;
  if (Old == 0 || Route.Open.New.Requests == 0)
    return false;
  return Old >= BlockRequests || Route.OpenWindows >= BlockWindows;
}

SequentialTest::Factors SequentialTest::evaluate(const RouteTest &Route,
                                                 const Allowance &Cold) const {
  const Baseline &Old = Route.Old;
  Factors Result{};
  double ErrorRate = Old.errorRate();
  double Tolerance =
      std::min(Settings.MaxErrorIncrease + Cold.ExtraErrors, 0.9 - ErrorRate);
  Result[0] = factors(detail::errorScores(Route.Open.Old),
                      detail::errorScores(Route.Open.New), ErrorRate,
                      std::max(Tolerance, 0.0));
  for (std::size_t I = 1; I < Measures; ++I) {
    auto Slow = Old.slowLimit(LatencyParts[I - 1]);
    if (!Slow || Route.OldSlow)
      continue;
    Result[I] = factors(
        detail::latencyScores(Route.Open.Old, Slow->Bucket, 1),
        detail::latencyScores(Route.Open.New, Slow->Bucket,
                              Settings.MaxLatencyRatio * Cold.LatencyFactor),
        Slow->Rate, LatencyTolerance);
  }
  return Result;
}

void SequentialTest::closeBlock(RouteTest &Route, const Allowance &Cold,
                                Factors &Sums) {
  if (complete(Route)) {
    Factors Block = evaluate(Route, Cold);
    for (std::size_t I = 0; I < Measures; ++I) {
      Route.Against[I].multiply(Block[I]);
      addTo(Sums[I], Block[I]);
    }
  }
  if (auto Slow = Route.Usual.slowLimit(0.5))
    Route.OldSlow =
        2 * detail::latencyScores(Route.Open.Old, Slow->Bucket, SlowOutage)
                .Ones >
        static_cast<double>(Route.Open.Old.Requests);
  Route.Usual.add(Route.Open.Old);
  Route.Old.add(Route.Open.Old);
  Route.Open = {};
  Route.OpenWindows = 0;
}

void SequentialTest::add(const EvidenceWindow &Window, const Allowance &Cold) {
  admitRoutes(Window);
  Factors Sums{};
  investAll(Pooled, InvestPerWindow);
  for (auto &[Name, Route] : Routes) {
    investAll(Route.Against, InvestPerWindow);
    auto Found = Window.Routes.find(Name);
    if (Found != Window.Routes.end()) {
      Route.Open.Old += Found->second.Old;
      Route.Open.New += Found->second.New;
    }
    ++Route.OpenWindows;
    if (complete(Route) || Route.OpenWindows >= BlockWindows)
      closeBlock(Route, Cold, Sums);
    checkRejection(Route.Against, Route.Split, "on route " + Name.value());
  }
  for (std::size_t I = 0; I < Measures; ++I)
    Pooled[I].multiply(Sums[I]);
  checkRejection(Pooled, PooledSplit, "on all routes together");
}

void SequentialTest::cut() {
  for (auto &[Name, Route] : Routes) {
    Route.Open = {};
    Route.OpenWindows = 0;
  }
}

double SequentialTest::logEvidence() const {
  double Most = logMost(Pooled, PooledSplit);
  for (const auto &[Name, Route] : Routes)
    Most = std::max(Most, logMost(Route.Against, Route.Split));
  return Most;
}

void SequentialTest::checkRejection(const Bets &Against, double Split,
                                    const std::string &Where) {
  double Limit = std::log(1 / Settings.Alpha);
  if (rejected() || logMost(Against, Split) < Limit)
    return;
  bool Errors =
      std::log(MeasureParts[0] * Split) + Against[0].logWealth() >= Limit;
  Rejection = Errors ? "more errors than the old version "
                     : "slower than the old version ";
  Rejection += Where;
}

} // namespace amaranth::rollout
