#include "amaranth/rollout/ReferenceAlarm.h"

#include "TwoSample.h"

#include <algorithm>
#include <cmath>

namespace amaranth::rollout {

namespace {

/// Wealth of an alarm.
constexpr double AlarmWealth = 1000;
/// New capital per window, so that a late fault shows as soon as an early one:
/// a false alarm of a measure comes once in 100,000 windows or less often.
constexpr double CapitalPerWindow = 0.01;
/// Share of slow requests accepted besides the old version's.
constexpr double SlowTolerance = 0.05;
/// Parts of the old version's requests above the latency limits.
constexpr std::array<double, 2> LatencyParts = {0.05, 0.5};
constexpr std::array<double, BettingProcess::Alternatives> Lifts = {
    0.02, 0.05, 0.12, 0.3, 0.6, 0.95};

BettingProcess::LogFactors oneSample(const detail::Scores &New, double Limit) {
  BettingProcess::LogFactors Result{};
  for (std::size_t I = 0; I < Lifts.size(); ++I)
    Result[I] = detail::logRatio(New, Limit + Lifts[I] * (1 - Limit), Limit);
  return Result;
}

} // namespace

ReferenceAlarm::ReferenceAlarm(const RolloutGuards &Guards) : Guards(Guards) {}

void ReferenceAlarm::add(const EvidenceWindow &Window, bool Alone,
                         const Allowance &Cold) {
  for (const auto &[Name, Counts] : Window.Routes) {
    Route &Target = Routes[Name];
    if (Counts.Old.Requests > 0)
      Target.Old.add(Counts.Old);
    if (Alone && Counts.New.Requests > 0)
      judge(Name, Target, Counts.New, Cold);
  }
}

void ReferenceAlarm::judge(const base::RouteName &Name, Route &Target,
                           const EvidenceCounts &New, const Allowance &Cold) {
  // The reference is an estimate from few requests; 1.5 standard deviations
  // keep its error from raising alarms.
  double Rate = Target.Old.errorRate();
  double Deviation =
      std::sqrt(Rate * (1 - Rate) / (Target.Old.requests() + 20));
  double Limit = std::min(
      Rate + 1.5 * Deviation + Guards.MaxErrorIncrease + Cold.ExtraErrors, 0.9);
  Target.Errors.addCapital(CapitalPerWindow);
  Target.Errors.multiply(oneSample(detail::errorScores(New), Limit));
  if (Target.Errors.logWealth() >= std::log(AlarmWealth))
    raise("more errors", Name);
  for (std::size_t I = 0; I < Target.Latency.size(); ++I) {
    auto Slow = Target.Old.slowLimit(LatencyParts[I]);
    if (!Slow)
      return;
    Target.Latency[I].addCapital(CapitalPerWindow);
    auto Scores = detail::latencyScores(
        New, Slow->Bucket, Guards.MaxLatencyRatio * Cold.LatencyFactor);
    Target.Latency[I].multiply(oneSample(Scores, Slow->Rate + SlowTolerance));
    if (Target.Latency[I].logWealth() >= std::log(AlarmWealth))
      raise("slower", Name);
  }
}

void ReferenceAlarm::raise(const std::string &What,
                           const base::RouteName &Name) {
  Alarm = What + " than before on route " + Name.value();
  AlarmRoute = Name;
}

void ReferenceAlarm::reset() {
  Alarm.clear();
  for (auto &[Name, Target] : Routes) {
    Target.Errors = {};
    Target.Latency = {};
  }
}

} // namespace amaranth::rollout
