#include "amaranth/scheduling/CostModel.h"

#include <algorithm>
#include <cmath>

namespace amaranth::scheduling {

namespace {

/// Weight of the samples of all routes from which on anything is expected.
constexpr double MinWeight = 3.5;
/// Samples of all routes that a route without samples of its own starts with,
/// and the number of own samples at which they no longer count.
constexpr double PriorWeight = 4;
constexpr double FullWeight = 20;
/// Own samples from which on a route shows that the upstream has become slow.
/// With fewer, its requests may just cost more than those of other routes.
constexpr double MinReferenceWeight = 8;
/// Half life of a deviation: half a second or eight requests, whichever is
/// longer.
constexpr double DeviationHalfLifeMs = 500;
constexpr double DeviationHalfLifeSamples = 8;
/// Samples without deviation that are added, so that a single request that took
/// long does not count as a slow upstream.
constexpr double DeviationPrior = 4;
/// A deviation fades over this half life while no request ends.
constexpr double IdleHalfLifeMs = 5000;
/// Time over which the slowness is averaged, and the largest weight of a single
/// value.
constexpr double SlownessTimeMs = 1000;
/// Longer than the pauses between the responses of an upstream that gets few
/// requests, which would hide its slowness.
constexpr double IdleSlownessHalfLifeMs = 30'000;
constexpr double MaxSlownessWeight = 0.25;
constexpr double MinSlowness = 10;
constexpr double MaxSlowness = 10'000;
/// Weight of a fictitious longer request. It matters only for requests that
/// have run longer than all that are known: they are expected to take half as
/// long again.
constexpr double TailWeight = 0.1;
constexpr double TailFraction = 0.5;

base::Millis toMillis(double Ms) {
  // Bounds the values for the message fields.
  constexpr double MaxMs = 86'400'000;
  return base::Millis(std::llround(std::clamp(Ms, 0.0, MaxMs)));
}

double elapsedMs(base::TimePoint From, base::TimePoint To) {
  return std::max(0.0, static_cast<double>((To - From).count()));
}

} // namespace

class CostModel::Blend {
public:
  Blend(const ServiceTimes *Own, const ServiceTimes &All) : Own(Own), All(All) {
    double Weight = Own ? Own->weight() : 0;
    if (All.weight() > 0)
      AllFactor =
          PriorWeight * std::max(0.0, 1 - Weight / FullWeight) / All.weight();
  }

  WeightedSum longerThan(double ElapsedMs) const {
    WeightedSum Sum = Own ? Own->longerThan(ElapsedMs) : WeightedSum();
    if (AllFactor > 0) {
      WeightedSum Others = All.longerThan(ElapsedMs);
      Sum.Weight += AllFactor * Others.Weight;
      Sum.Total += AllFactor * Others.Total;
    }
    return Sum;
  }

  /// The first requests of an upstream are often not typical.
  bool isEmpty() const { return All.weight() < MinWeight; }

  double remainingMs(double ElapsedMs) const {
    WeightedSum Longer = longerThan(ElapsedMs);
    if (ElapsedMs <= 0)
      return Longer.Total / Longer.Weight;
    double Total = Longer.Total - ElapsedMs * Longer.Weight;
    return (Total + TailWeight * TailFraction * ElapsedMs) /
           (Longer.Weight + TailWeight);
  }

  double remainingQuantileMs(double ElapsedMs, double Fraction) const {
    double Longer = longerThan(ElapsedMs).Weight;
    if (Longer < TailWeight)
      return -std::log(1 - Fraction) * TailFraction * ElapsedMs;
    double Target = Longer * (1 - Fraction);
    // The bucket in which the weight of the longer requests falls to `Target`.
    std::size_t First = ServiceTimes::bucketOf(ElapsedMs);
    std::size_t Last = ServiceTimes::BucketCount - 1;
    while (First < Last) {
      std::size_t Middle = (First + Last) / 2;
      if (weightFrom(Middle + 1) > Target)
        First = Middle + 1;
      else
        Last = Middle;
    }
    double Low = ServiceTimes::lowerBound(First);
    double High = ServiceTimes::lowerBound(First + 1);
    double Weight = weightFrom(First) - weightFrom(First + 1);
    double Part =
        Weight > 0 ? std::clamp((weightFrom(First) - Target) / Weight, 0.0, 1.0)
                   : 1;
    return std::max(0.0, Low + Part * (High - Low) - ElapsedMs);
  }

private:
  double weightFrom(std::size_t Bucket) const {
    return (Own ? Own->weightFrom(Bucket) : 0) +
           AllFactor * All.weightFrom(Bucket);
  }

  const ServiceTimes *Own;
  const ServiceTimes &All;
  double AllFactor = 0;
};

CostModel::Blend CostModel::blend(const base::RouteName &Route) const {
  auto Found = Routes.find(Route);
  return Blend(Found == Routes.end() ? nullptr : &Found->second.Times, Overall);
}

CostModel::Entry &CostModel::entryOf(const base::RouteName &Route) {
  auto Found = Routes.find(Route);
  if (Found != Routes.end()) {
    Order.splice(Order.begin(), Order, Found->second.Order);
    return Found->second;
  }
  if (Routes.size() >= MaxRoutes) {
    Routes.erase(Order.back());
    Order.pop_back();
  }
  Order.push_front(Route);
  Entry &Added = Routes[Route];
  Added.Order = Order.begin();
  return Added;
}

void CostModel::add(const base::RouteName &Route, base::Millis Taken,
                    base::TimePoint Now) {
  double TimeMs = static_cast<double>(Taken.count()) * 100 / slownessAt(Now);
  ServiceTimes &Times = entryOf(Route).Times;
  if (Times.weight() >= MinReferenceWeight)
    addDeviation(std::log(std::max(1.0, TimeMs)) - Times.meanLog(), Now);
  Times.add(TimeMs, Now);
  Overall.add(TimeMs, Now);
}

void CostModel::addDeviation(double Log, base::TimePoint Now) {
  double Kept =
      std::exp2(-std::min(elapsedMs(DeviationAt, Now) / DeviationHalfLifeMs,
                          1 / DeviationHalfLifeSamples));
  Deviation.Weight = Deviation.Weight * Kept + 1;
  Deviation.Total = Deviation.Total * Kept + Log;
  DeviationAt = Now;
}

void CostModel::recordSlowness(double Percent, base::TimePoint Now) {
  if (!std::isfinite(Percent))
    return;
  double Value = std::clamp(Percent, MinSlowness, MaxSlowness);
  double Weight = 1 - std::exp(-elapsedMs(SlownessAt, Now) / SlownessTimeMs);
  Slowness = slownessAt(Now);
  Slowness += std::min(Weight, MaxSlownessWeight) * (Value - Slowness);
  SlownessAt = Now;
}

double CostModel::slownessAt(base::TimePoint Now) const {
  // Without responses, a slow phase is forgotten, as nothing shows its end.
  return UsualSlowness +
         (Slowness - UsualSlowness) *
             std::exp2(-elapsedMs(SlownessAt, Now) / IdleSlownessHalfLifeMs);
}

double CostModel::slowdown(base::TimePoint Now) const {
  double Mean = Deviation.Total / (Deviation.Weight + DeviationPrior);
  Mean *= std::exp2(-elapsedMs(DeviationAt, Now) / IdleHalfLifeMs);
  return slownessAt(Now) / UsualSlowness * std::exp(Mean);
}

base::Millis CostModel::mean(const base::RouteName &Route,
                             base::TimePoint Now) const {
  return remaining(Route, base::Millis(0), Now);
}

base::Millis CostModel::mean(base::TimePoint Now) const {
  Blend Times(nullptr, Overall);
  return Times.isEmpty() ? base::Millis(0)
                         : toMillis(Times.remainingMs(0) * slowdown(Now));
}

base::Millis CostModel::quantile(const base::RouteName &Route, double Fraction,
                                 base::TimePoint Now) const {
  return remainingQuantile(Route, base::Millis(0), Fraction, Now);
}

base::Millis CostModel::remaining(const base::RouteName &Route,
                                  base::Millis Elapsed,
                                  base::TimePoint Now) const {
  Blend Times = blend(Route);
  if (Times.isEmpty())
    return base::Millis(0);
  double Factor = slowdown(Now);
  double Passed = static_cast<double>(Elapsed.count()) / Factor;
  return toMillis(Times.remainingMs(std::max(0.0, Passed)) * Factor);
}

base::Millis CostModel::remainingQuantile(const base::RouteName &Route,
                                          base::Millis Elapsed, double Fraction,
                                          base::TimePoint Now) const {
  Blend Times = blend(Route);
  if (Times.isEmpty())
    return base::Millis(0);
  double Factor = slowdown(Now);
  double Passed = std::max(0.0, static_cast<double>(Elapsed.count()) / Factor);
  return toMillis(Times.remainingQuantileMs(Passed, Fraction) * Factor);
}

} // namespace amaranth::scheduling
