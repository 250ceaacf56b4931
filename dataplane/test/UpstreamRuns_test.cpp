#include "amaranth/dataplane/UpstreamRuns.h"

#include <catch2/catch.hpp>

namespace amaranth::dataplane {

class UpstreamRunsTest {
protected:
  UpstreamRuns::Request request(std::int64_t Deadline,
                                double RepeatShare) const {
    return {base::TimePoint(Deadline), RepeatShare};
  }
  double call(std::int64_t Deadline) {
    return Runs.recordCall(base::TimePoint(Deadline));
  }

  UpstreamRuns Runs;
};

TEST_CASE_METHOD(
    UpstreamRunsTest,
    "A call is attributed in equal parts to the running requests") {
  UpstreamRuns::Run First(Runs, request(1'000, 0));
  UpstreamRuns::Run Repeat(Runs, request(1'000, 1));
  CHECK(call(900) == 0.5);
  UpstreamRuns::Run CallOfRepeat(Runs, request(1'000, 0.25));
  UpstreamRuns::Run Last(Runs, request(1'000, 0));
  CHECK(call(900) == 1.25 / 4);
}

// Guards against callers on this VM whose requests are taken for calls.
TEST_CASE_METHOD(UpstreamRunsTest,
                 "A request that ends after all running ones is no call") {
  UpstreamRuns::Run Short(Runs, request(1'000, 0));
  UpstreamRuns::Run Repeat(Runs, request(2'000, 1));
  CHECK(call(1'000) == 0.5);
  CHECK(call(2'000 + UpstreamRuns::MaxDelay.count()) == 1);
  CHECK(call(2'001 + UpstreamRuns::MaxDelay.count()) == 0);
}

TEST_CASE_METHOD(UpstreamRunsTest, "A run that has ended makes no calls") {
  { UpstreamRuns::Run Repeat(Runs, request(1'000, 1)); }
  CHECK(call(1'000) == 0);
}

} // namespace amaranth::dataplane
