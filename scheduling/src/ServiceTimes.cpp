#include "amaranth/scheduling/ServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace amaranth::scheduling {

namespace {

constexpr double HalfLifeMs = 10'000;
constexpr double HalfLifeSamples = 200;

} // namespace

std::size_t ServiceTimes::bucketOf(double TimeMs) {
  double Position = std::log2(std::max(1.0, TimeMs)) * BucketsPerDoubling;
  return std::min(static_cast<std::size_t>(Position), BucketCount - 1);
}

double ServiceTimes::lowerBound(std::size_t Bucket) {
  static const auto Bounds = [] {
    std::array<double, BucketCount + 1> Values{};
    for (std::size_t I = 1; I <= BucketCount; ++I)
      Values[I] = std::exp2(static_cast<double>(I) / BucketsPerDoubling);
    return Values;
  }();
  return Bounds[Bucket];
}

void ServiceTimes::add(double TimeMs, base::TimePoint Now) {
  auto PassedMs = static_cast<double>((Now - LastAdded).count());
  double Kept = std::exp2(
      -std::min(std::max(0.0, PassedMs) / HalfLifeMs, 1 / HalfLifeSamples));
  LastAdded = Now;
  for (WeightedSum &Each : Buckets) {
    Each.Weight *= Kept;
    Each.Total *= Kept;
  }
  WeightedSum &Own = Buckets[bucketOf(TimeMs)];
  Own.Weight += 1;
  Own.Total += TimeMs;
  LogTotal = LogTotal * Kept + std::log(std::max(1.0, TimeMs));
  for (std::size_t I = BucketCount; I-- > 0;)
    Tail[I] = {Tail[I + 1].Weight + Buckets[I].Weight,
               Tail[I + 1].Total + Buckets[I].Total};
}

double ServiceTimes::meanLog() const {
  return weight() > 0 ? LogTotal / weight() : 0;
}

WeightedSum ServiceTimes::longerThan(double ElapsedMs) const {
  if (ElapsedMs <= 0)
    return Tail[0];
  std::size_t Bucket = bucketOf(ElapsedMs);
  double Low = lowerBound(Bucket);
  double High = lowerBound(Bucket + 1);
  double Share = std::clamp((High - ElapsedMs) / (High - Low), 0.0, 1.0);
  WeightedSum Longer = Tail[Bucket + 1];
  double Weight = Buckets[Bucket].Weight * Share;
  Longer.Weight += Weight;
  Longer.Total += Weight * (ElapsedMs + High) / 2;
  return Longer;
}

} // namespace amaranth::scheduling
