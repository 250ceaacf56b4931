#ifndef AMARANTH_ROLLOUT_EVIDENCE_H
#define AMARANTH_ROLLOUT_EVIDENCE_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>

namespace amaranth::rollout {

/// Buckets of the latency histogram: bucket i counts latencies in
/// [2^(i/2), 2^((i+1)/2)) ms; the last one is open, the first one starts at 0.
inline constexpr std::size_t LatencyBuckets = 32;

/// Bucket of a latency.
std::size_t latencyBucket(base::Millis Latency);

/// What is counted separately.
struct EvidenceKey {
  base::ServiceName Service;
  base::VersionName Version;
  base::RouteName Route;

  auto operator<=>(const EvidenceKey &) const = default;
};

/// Results of requests, seen at entry nodes. Requests that the system itself
/// refused as "not run" are not counted.
struct EvidenceCounts {
  std::uint64_t Requests = 0;
  /// Status 5xx, broken responses, and time-outs.
  std::uint64_t Errors = 0;
  std::array<std::uint64_t, LatencyBuckets> Latency{};

  void add(bool Error, base::Millis ResponseTime);
  EvidenceCounts &operator+=(const EvidenceCounts &Other);
};

/// Counts of one node since its last report. Nodes report only services with
/// a running rollout.
struct EvidenceReport {
  std::map<EvidenceKey, EvidenceCounts> Counts;
};

} // namespace amaranth::rollout

#endif
