#ifndef AMARANTH_ROLLOUT_BASELINE_H
#define AMARANTH_ROLLOUT_BASELINE_H

#include "amaranth/rollout/Evidence.h"

#include <array>
#include <cstddef>
#include <optional>

namespace amaranth::rollout {

/// Recent behaviour of one version on one route, as exponentially decaying
/// sums.
class Baseline {
public:
  /// Each addition first multiplies the sums by `Decay`. The default averages
  /// over about 60 additions.
  explicit Baseline(double Decay = 0.983) : Decay(Decay) {}

  void add(const EvidenceCounts &Counts);

  /// Decayed number of requests.
  double requests() const { return Requests; }
  /// Estimated error rate, clamped to 0.001..0.8. The estimate is 0.01 before
  /// the first request.
  double errorRate() const;

  struct LatencyThreshold {
    /// The lowest latency bucket with at most `TailFraction` of all requests
    /// above it.
    std::size_t Bucket = 0;
    /// Estimated share of requests in the buckets above it.
    double Rate = 0;
  };
  /// Returns nothing if there are too few requests to estimate the threshold.
  std::optional<LatencyThreshold> latencyThreshold(double TailFraction) const;

private:
  double Decay;
  double Requests = 0;
  double Errors = 0;
  std::array<double, LatencyBuckets> Latency{};
};

} // namespace amaranth::rollout

#endif
