#include "amaranth/rollout/Evidence.h"

#include <catch2/catch.hpp>

namespace amaranth::rollout {

// Guards against latencies that fall outside the histogram.
TEST_CASE("latencyBucket is defined for any latency and monotonic") {
  CHECK(latencyBucket(base::Millis(-5)) == 0);
  CHECK(latencyBucket(base::Millis(0)) == 0);
  CHECK(latencyBucket(base::Millis(2)) == 2);
  CHECK(latencyBucket(base::Millis(1'000'000'000)) == LatencyBuckets - 1);
  std::size_t Last = 0;
  for (std::int64_t Count = 0; Count < 100'000; ++Count) {
    std::size_t Bucket = latencyBucket(base::Millis(Count));
    REQUIRE(Bucket >= Last);
    Last = Bucket;
  }
}

TEST_CASE("EvidenceCounts sums every request once") {
  EvidenceCounts Left;
  EvidenceCounts Right;
  Left.add(false, base::Millis(3));
  Right.add(true, base::Millis(3));
  Left += Right;
  CHECK(Left.Requests == 2);
  CHECK(Left.Errors == 1);
  CHECK(Left.Latency[latencyBucket(base::Millis(3))] == 2);
}

} // namespace amaranth::rollout
