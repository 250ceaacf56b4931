#include "amaranth/rollout/SequentialTest.h"

#include "TwoSample.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

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

} // namespace

BettingProcess::BettingProcess() {
  LogBets.fill(-std::numeric_limits<double>::infinity());
}

void BettingProcess::invest(double Part) {
  Part = std::min(Part, Cash);
  if (Part <= 0)
    return;
  Cash -= Part;
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
  // Half of the capital is for faults that are there from the beginning.
  PooledErrors.invest(0.5);
  PooledLatency.invest(0.5);
}

void SequentialTest::admitRoutes(const EvidenceWindow &Window) {
  for (const auto &[Name, Counts] : Window.Routes) {
    auto [Found, New] = Routes.try_emplace(Name);
    if (!New)
      continue;
    auto Order = static_cast<double>(Routes.size());
    Found->second.Split = 0.25 / (Order * (Order + 1));
    Found->second.Errors.invest(0.5);
    Found->second.Latency.invest(0.5);
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
  Factors Result;
  double ErrorRate = Old.errorRate();
  double Tolerance =
      std::min(Settings.MaxErrorIncrease + Cold.ExtraErrors, 0.9 - ErrorRate);
  Result.Errors = factors(detail::errorScores(Route.Open.Old),
                          detail::errorScores(Route.Open.New), ErrorRate,
                          std::max(Tolerance, 0.0));
  std::optional<Baseline::SlowLimit> Slow = Old.slowLimit();
  if (!Slow)
    return Result;
  Result.Latency = factors(
      detail::latencyScores(Route.Open.Old, Slow->Bucket, 1),
      detail::latencyScores(Route.Open.New, Slow->Bucket,
                            Settings.MaxLatencyRatio * Cold.LatencyFactor),
      Slow->Rate, LatencyTolerance);
  return Result;
}

void SequentialTest::add(const EvidenceWindow &Window, const Allowance &Cold) {
  admitRoutes(Window);
  Factors Pooled;
  PooledErrors.invest(InvestPerWindow);
  PooledLatency.invest(InvestPerWindow);
  for (auto &[Name, Route] : Routes) {
    Route.Errors.invest(InvestPerWindow);
    Route.Latency.invest(InvestPerWindow);
    auto Found = Window.Routes.find(Name);
    if (Found != Window.Routes.end()) {
      Route.Open.Old += Found->second.Old;
      Route.Open.New += Found->second.New;
    }
    ++Route.OpenWindows;
    bool Complete = complete(Route);
    if (!Complete && Route.OpenWindows < BlockWindows)
      continue;
    if (Complete) {
      Factors Block = evaluate(Route, Cold);
      Route.Errors.multiply(Block.Errors);
      Route.Latency.multiply(Block.Latency);
      addTo(Pooled.Errors, Block.Errors);
      addTo(Pooled.Latency, Block.Latency);
    }
    Route.Old.add(Route.Open.Old);
    Route.Open = {};
    Route.OpenWindows = 0;
  }
  PooledErrors.multiply(Pooled.Errors);
  PooledLatency.multiply(Pooled.Latency);
  checkRejection();
}

void SequentialTest::cut() {
  for (auto &[Name, Route] : Routes) {
    Route.Open = {};
    Route.OpenWindows = 0;
  }
}

double SequentialTest::logEvidence() const {
  double Most = std::log(0.25) +
                std::max(PooledErrors.logWealth(), PooledLatency.logWealth());
  for (const auto &[Name, Route] : Routes)
    Most = std::max(Most, std::log(Route.Split) +
                              std::max(Route.Errors.logWealth(),
                                       Route.Latency.logWealth()));
  return Most;
}

void SequentialTest::checkRejection() {
  if (rejected())
    return;
  double Limit = std::log(1 / Settings.Alpha);
  if (std::log(0.25) + PooledErrors.logWealth() >= Limit)
    Rejection = "more errors than the old version on all routes together";
  if (std::log(0.25) + PooledLatency.logWealth() >= Limit)
    Rejection = "slower than the old version on all routes together";
  for (const auto &[Name, Route] : Routes) {
    if (std::log(Route.Split) + Route.Errors.logWealth() >= Limit)
      Rejection = "more errors than the old version on route " + Name.value();
    if (std::log(Route.Split) + Route.Latency.logWealth() >= Limit)
      Rejection = "slower than the old version on route " + Name.value();
  }
}

} // namespace amaranth::rollout
