#ifndef AMARANTH_SCHEDULING_SERVICETIMES_H
#define AMARANTH_SCHEDULING_SERVICETIMES_H

#include "amaranth/base/Millis.h"

#include <array>
#include <cstddef>

namespace amaranth::scheduling {

/// Service times and their weights, summed over a range of a distribution.
struct WeightedSum {
  double Weight = 0;
  /// Sum of the times in milliseconds, each multiplied by its weight.
  double Total = 0;
};

/// Distribution of recent service times in logarithmic buckets. Answers heavy
/// tails and mixed requests, which one median does not describe.
///
/// The weight of a sample halves over 10 s or 200 further samples, whichever is
/// longer.
class ServiceTimes {
public:
  void add(double TimeMs, base::TimePoint Now);

  double weight() const { return Tail[0].Weight; }
  /// Mean of the logarithms of the times; 0 without samples.
  double meanLog() const;
  /// Samples longer than `ElapsedMs`. Samples of one bucket count as spread
  /// evenly over it.
  WeightedSum longerThan(double ElapsedMs) const;

  /// Four buckets to a factor of two, from 1 ms to 131 s.
  static constexpr std::size_t BucketsPerDoubling = 4;
  static constexpr std::size_t BucketCount = 17 * BucketsPerDoubling;

  static std::size_t bucketOf(double TimeMs);
  /// Shortest time of a bucket; that of `BucketCount` ends the last one.
  static double lowerBound(std::size_t Bucket);
  /// Weight of a bucket and all longer ones.
  double weightFrom(std::size_t Bucket) const { return Tail[Bucket].Weight; }

private:
  std::array<WeightedSum, BucketCount> Buckets{};
  /// Sums over each bucket and all longer ones.
  std::array<WeightedSum, BucketCount + 1> Tail{};
  double LogTotal = 0;
  base::TimePoint LastAdded{0};
};

} // namespace amaranth::scheduling

#endif
