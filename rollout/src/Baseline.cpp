#include "amaranth/rollout/Baseline.h"

#include <algorithm>

namespace amaranth::rollout {

namespace {

/// The 95th percentile is not defined for fewer than 20 requests.
constexpr double MinQuantileRequests = 20;

} // namespace

void Baseline::add(const EvidenceCounts &Counts) {
  Requests = Requests * Decay + static_cast<double>(Counts.Requests);
  Errors = Errors * Decay + static_cast<double>(Counts.Errors);
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Latency[I] = Latency[I] * Decay + static_cast<double>(Counts.Latency[I]);
}

double Baseline::errorRate() const {
  return std::clamp((Errors + 0.2) / (Requests + 20), 0.001, 0.8);
}

std::optional<Baseline::LatencyThreshold>
Baseline::latencyThreshold(double TailFraction) const {
  if (Requests < MinQuantileRequests)
    return std::nullopt;
  double Above = 0;
  std::size_t Bucket = LatencyBuckets - 1;
  while (Bucket > 0 && Above + Latency[Bucket] <= TailFraction * Requests) {
    Above += Latency[Bucket];
    --Bucket;
  }
  double Rate = (Above + 10 * TailFraction) / (Requests + 20);
  return LatencyThreshold{Bucket, std::clamp(Rate, TailFraction / 10,
                                             std::min(2 * TailFraction, 0.6))};
}

} // namespace amaranth::rollout
