#ifndef AMARANTH_ROLLOUT_BASELINE_H
#define AMARANTH_ROLLOUT_BASELINE_H

#include "amaranth/rollout/Evidence.h"

#include <array>
#include <cstddef>
#include <optional>

namespace amaranth::rollout {

/// Recent behaviour of one version on one route: sums that forget.
class Baseline {
public:
  /// Each addition multiplies the sums before it with `Decay`; the default
  /// remembers about 60 additions.
  explicit Baseline(double Decay = 0.983) : Decay(Decay) {}

  void add(const EvidenceCounts &Counts);

  /// Requests remembered.
  double requests() const { return Requests; }
  /// Estimated error rate, 0.001..0.8; one error in 100 before any request.
  double errorRate() const;

  struct LatencyThreshold {
    /// The lowest bucket with at most `TailFraction` of the requests above it.
    std::size_t Bucket = 0;
    /// Estimated share of requests in the buckets above it.
    double Rate = 0;
  };
  /// Nothing while too few requests were seen.
  std::optional<LatencyThreshold> latencyThreshold(double TailFraction) const;

private:
  double Decay;
  double Requests = 0;
  double Errors = 0;
  std::array<double, LatencyBuckets> Latency{};
};

} // namespace amaranth::rollout

#endif
