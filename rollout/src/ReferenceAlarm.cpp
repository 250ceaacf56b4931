#include "amaranth/rollout/ReferenceAlarm.h"

#include "TwoSample.h"

#include <algorithm>
#include <cmath>

namespace amaranth::rollout {

namespace {

/// Wealth of a betting process from which it raises an alarm.
constexpr double AlarmWealthThreshold = 1000;
/// Capital that is added at each window, so that a late fault is detected as
/// fast as an early one. A measure raises a false alarm at most once in 100,000
/// windows.
constexpr double CapitalPerWindow = 0.01;
/// Accepted increase of the share of slow requests over that of the old
/// version.
constexpr double SlowTolerance = 0.05;
/// Fractions of the old version's requests above the two latency thresholds.
constexpr std::array<double, 2> LatencyTailFractions = {0.05, 0.5};
/// Rates of the alternatives, as fractions of the range from the limit to 1.
constexpr std::array<double, BettingProcess::Alternatives> Lifts = {
    0.02, 0.05, 0.12, 0.3, 0.6, 0.95};

BettingProcess::LogFactors oneSampleFactors(const detail::Scores &New,
                                            double Limit) {
  BettingProcess::LogFactors Result{};
  for (std::size_t I = 0; I < Lifts.size(); ++I)
    Result[I] =
        detail::logLikelihoodRatio(New, Limit + Lifts[I] * (1 - Limit), Limit);
  return Result;
}

} // namespace

ReferenceAlarm::ReferenceAlarm(const RolloutThresholds &Thresholds)
    : Thresholds(Thresholds) {}

void ReferenceAlarm::add(const EvidenceWindow &Window, bool HasAllTraffic,
                         const SlowStartAllowance &Allowance) {
  for (const auto &[Name, Counts] : Window.Routes) {
    Route &Reference = Routes[Name];
    if (Counts.Old.Requests > 0)
      Reference.OldBaseline.add(Counts.Old);
    if (HasAllTraffic && Counts.New.Requests > 0)
      evaluate(Name, Reference, Counts.New, Allowance);
  }
}

void ReferenceAlarm::evaluate(const base::RouteName &Name, Route &Reference,
                              const EvidenceCounts &New,
                              const SlowStartAllowance &Allowance) {
  // The baseline may be estimated from few requests. A margin of 1.5 standard
  // deviations keeps the estimation error from raising false alarms.
  double Rate = Reference.OldBaseline.errorRate();
  double Deviation =
      std::sqrt(Rate * (1 - Rate) / (Reference.OldBaseline.requests() + 20));
  double Limit = std::min(Rate + 1.5 * Deviation + Thresholds.MaxErrorIncrease +
                              Allowance.ExtraErrors,
                          0.9);
  Reference.Errors.addCapital(CapitalPerWindow);
  Reference.Errors.multiply(oneSampleFactors(detail::errorScores(New), Limit));
  if (Reference.Errors.logWealth() >= std::log(AlarmWealthThreshold))
    raiseAlarm("more errors", Name);
  for (std::size_t I = 0; I < Reference.Latency.size(); ++I) {
    auto Threshold =
        Reference.OldBaseline.latencyThreshold(LatencyTailFractions[I]);
    if (!Threshold)
      return;
    Reference.Latency[I].addCapital(CapitalPerWindow);
    auto Scores = detail::latencyScores(New, Threshold->Bucket,
                                        Thresholds.MaxLatencyRatio *
                                            Allowance.LatencyFactor);
    Reference.Latency[I].multiply(
        oneSampleFactors(Scores, Threshold->Rate + SlowTolerance));
    if (Reference.Latency[I].logWealth() >= std::log(AlarmWealthThreshold))
      raiseAlarm("slower", Name);
  }
}

void ReferenceAlarm::raiseAlarm(const std::string &Description,
                                const base::RouteName &Name) {
  Alarm = Description + " than before on route " + Name.value();
  AlarmRoute = Name;
}

void ReferenceAlarm::reset() {
  Alarm.clear();
  for (auto &[Name, Reference] : Routes) {
    Reference.Errors = {};
    Reference.Latency = {};
  }
}

} // namespace amaranth::rollout
