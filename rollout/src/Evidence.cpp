#include "amaranth/rollout/Evidence.h"

#include <algorithm>
#include <cmath>

namespace amaranth::rollout {

std::size_t latencyBucket(base::Millis Latency) {
  if (Latency.count() <= 1)
    return 0;
  double HalfOctaves = 2 * std::log2(static_cast<double>(Latency.count()));
  return std::min(static_cast<std::size_t>(HalfOctaves), LatencyBuckets - 1);
}

void EvidenceCounts::add(bool Error, base::Millis ResponseTime) {
  ++Requests;
  Errors += Error ? 1 : 0;
  ++Latency[latencyBucket(ResponseTime)];
}

EvidenceCounts &EvidenceCounts::operator+=(const EvidenceCounts &Other) {
  Requests += Other.Requests;
  Errors += Other.Errors;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Latency[I] += Other.Latency[I];
  return *this;
}

EvidenceCounts EvidenceCounts::since(const EvidenceCounts &Earlier) const {
  if (Requests < Earlier.Requests)
    return *this;
  EvidenceCounts Result;
  Result.Requests = Requests - Earlier.Requests;
  Result.Errors = Errors - std::min(Errors, Earlier.Errors);
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Result.Latency[I] = Latency[I] - std::min(Latency[I], Earlier.Latency[I]);
  return Result;
}

} // namespace amaranth::rollout
