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

/// Number of buckets of the latency histogram. Bucket i counts latencies in
/// [2^(i/2), 2^((i+1)/2)) ms; the first bucket also covers lower values and the
/// last one has no upper bound.
inline constexpr std::size_t LatencyBuckets = 32;

/// Returns the histogram bucket of a latency.
std::size_t latencyBucket(base::Millis Latency);

/// Requests are counted separately for each key.
struct EvidenceKey {
  base::ServiceName Service;
  base::VersionName Version;
  base::RouteName Route;

  auto operator<=>(const EvidenceKey &) const = default;
};

/// Request results as measured at the entry nodes. Excludes requests that the
/// system itself refused as "not run".
struct EvidenceCounts {
  std::uint64_t Requests = 0;
  /// Responses with status 5xx, broken responses and timeouts.
  std::uint64_t Errors = 0;
  std::array<std::uint64_t, LatencyBuckets> Latency{};

  void add(bool Error, base::Millis ResponseTime);
  EvidenceCounts &operator+=(const EvidenceCounts &Other);
  /// The counts since `Earlier`. Counts that are lower than `Earlier` have
  /// started anew and are returned as they are.
  EvidenceCounts since(const EvidenceCounts &Earlier) const;
};

/// Counts of one node since its previous report. Nodes report only services
/// that have an active rollout.
struct EvidenceReport {
  std::map<EvidenceKey, EvidenceCounts> Counts;
};

} // namespace amaranth::rollout

#endif
