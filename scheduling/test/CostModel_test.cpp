#include "amaranth/scheduling/CostModel.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <string>

namespace amaranth::scheduling {

class CostModelTest {
protected:
  static constexpr std::uint64_t Seed = 7;

  /// Adds `Count` samples, one every `EveryMs`.
  template <typename Draw>
  void feed(const base::RouteName &To, int Count, std::int64_t EveryMs,
            Draw Next) {
    for (int I = 0; I < Count; ++I) {
      Now = Now + base::Millis(EveryMs);
      Costs.add(To, base::Millis(Next()), Now);
    }
  }
  std::int64_t bodyMs() { return std::llround(100 * std::exp(Noise(Random))); }
  /// 3 in 100 requests cost seven times as much.
  std::int64_t heavyTailMs() {
    return bodyMs() *
           (std::uniform_int_distribution<int>(0, 99)(Random) < 3 ? 7 : 1);
  }

  std::mt19937_64 Random{Seed};
  std::normal_distribution<double> Noise{0, 0.2};
  base::TimePoint Now{0};
  CostModel Costs;
  base::RouteName Route{"r"};
};

// Heavy tail. Guards against a slot that counts as soon free because the
// median of the service has passed.
TEST_CASE_METHOD(CostModelTest,
                 "A request that has run long is not expected to end soon") {
  feed(Route, 3'000, 20, [this] { return heavyTailMs(); });
  base::Millis Mean = Costs.mean(Route, Now);
  CHECK(Mean.count() >= 105);
  CHECK(Mean.count() <= 140);
  CHECK(Costs.quantile(Route, 0.5, Now).count() == Approx(100).epsilon(0.1));
  // Only the expensive requests take longer than 300 ms: 700 ms on average.
  CHECK(Costs.remaining(Route, base::Millis(300), Now).count() ==
        Approx(400).epsilon(0.25));
  CHECK(Costs.remaining(Route, base::Millis(90), Now) < Mean);
  // Longer than any known request.
  CHECK(Costs.remaining(Route, base::Millis(8'000), Now) > base::Millis(2'000));
}

// Upstream that turns slow for 5 s. Guards against placement that follows a
// slow phase after its end, or not at all.
TEST_CASE_METHOD(CostModelTest, "A slow phase of 5 s shows, and its end too") {
  feed(Route, 600, 50, [this] { return bodyMs(); });
  feed(Route, 30, 50, [this] { return 3 * bodyMs(); });
  CHECK(Costs.mean(Route, Now).count() > 200);
  feed(Route, 70, 50, [this] { return 3 * bodyMs(); });
  CHECK(Costs.mean(Route, Now).count() > 240);
  feed(Route, 40, 50, [this] { return bodyMs(); });
  CHECK(Costs.mean(Route, Now).count() < 140);
}

// Guards against a single expensive request that makes its upstream look slow.
TEST_CASE_METHOD(CostModelTest, "One long request is no slow phase") {
  feed(Route, 200, 50, [this] { return bodyMs(); });
  Costs.add(Route, base::Millis(700), Now);
  CHECK(Costs.slowdown(Now) < 1.35);
}

// Guards against an upstream that stays slow in the model because it gets no
// requests while it is expected to be slow.
TEST_CASE_METHOD(CostModelTest, "A slow phase fades while nothing runs") {
  feed(Route, 300, 50, [this] { return bodyMs(); });
  feed(Route, 30, 50, [this] { return 3 * bodyMs(); });
  Now = Now + base::Millis::seconds(30);
  CHECK(Costs.slowdown(Now) < 1.1);
}

// Unknown route and restart.
TEST_CASE_METHOD(CostModelTest,
                 "An unknown route is expected to be like the others") {
  base::RouteName Other("other");
  CHECK(Costs.mean(Route, Now) == base::Millis(0));
  CHECK(Costs.remaining(Route, base::Millis(50), Now) == base::Millis(0));
  CHECK(Costs.quantile(Route, 0.25, Now) == base::Millis(0));
  feed(Route, 100, 50, [] { return 100; });
  CHECK(Costs.mean(Other, Now) == base::Millis(100));
  feed(Other, 20, 50, [] { return 1'100; });
  CHECK(Costs.mean(Other, Now).count() == Approx(1'100).epsilon(0.1));
  // A route that costs more does not make the upstream look slow.
  CHECK(Costs.mean(Route, Now).count() == Approx(100).epsilon(0.1));
}

// Guards against memory that grows with the names that requests have had.
TEST_CASE_METHOD(CostModelTest, "The number of routes is bounded") {
  for (int I = 0; I < 1'000; ++I)
    Costs.add(base::RouteName(std::to_string(I)), base::Millis(100), Now);
  CHECK(Costs.routeCount() == 256);
}

// Slowness that changes many times a second. Guards against placement by one
// value of it.
TEST_CASE_METHOD(CostModelTest, "The recent mean of the slowness is speed") {
  feed(Route, 200, 50, [] { return 100; });
  Costs.recordSlowness(400, Now);
  CHECK(Costs.slownessPercent() < 200);
  std::uniform_real_distribution<double> Value(100, 500);
  for (int I = 0; I < 300; ++I) {
    Now = Now + base::Millis(20);
    Costs.recordSlowness(Value(Random), Now);
    CHECK(Costs.slownessPercent() < 450);
  }
  CHECK(Costs.slownessPercent() == Approx(300).epsilon(0.2));
  CHECK(Costs.mean(Route, Now).count() == Approx(300).epsilon(0.2));
  // Nothing shows the end of a slow phase while no response arrives.
  CHECK(Costs.mean(Route, Now + base::Millis::seconds(600)).count() ==
        Approx(100).epsilon(0.1));
  // Samples that were taken at this slowness do not count twice.
  for (int I = 0; I < 200; ++I) {
    feed(Route, 1, 20, [] { return 300; });
    Costs.recordSlowness(300, Now);
  }
  CHECK(Costs.mean(Route, Now).count() == Approx(300).epsilon(0.1));
}

} // namespace amaranth::scheduling
