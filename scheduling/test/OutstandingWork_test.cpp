#include "amaranth/scheduling/OutstandingWork.h"
#include "amaranth/scheduling/RouteCosts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace amaranth::scheduling {

class OutstandingWorkTest {
protected:
  static constexpr std::uint64_t Seed = 11;

  void feed(const base::RouteName &To, int Count, std::int64_t Ms) {
    for (int I = 0; I < Count; ++I) {
      Now = Now + base::Millis(20);
      Costs.add(To, base::Millis(Ms), Now);
    }
  }

  base::TimePoint Now{0};
  CostModel Costs;
  base::RouteName Short{"short"};
  base::RouteName Long{"long"};
};

// Slots that are 65 to 90 % used. Guards against a wait that is the sum over
// the slots, although the first of them comes free early.
TEST_CASE_METHOD(OutstandingWorkTest,
                 "The wait ends when the first slot comes free") {
  feed(Short, 500, 190);
  feed(Long, 500, 1'100);
  OutstandingWork Work(Costs, 4, Now);
  for (int I = 0; I < 3; ++I)
    Work.addRunning(Long, base::Millis(50));
  CHECK(Work.untilSlot() == base::Millis(0));
  Work.addRunning(Short, base::Millis(150));
  CHECK(Work.untilSlot() <= base::Millis(80));
  CHECK(Work.untilSlot() > base::Millis(0));
  CHECK(Work.total().count() == Approx(3 * 1'050 + 40).epsilon(0.1));
  // A short one that waits takes that slot first, and returns it early.
  Work.addWaiting(base::Millis(190));
  CHECK(Work.untilSlot().count() == Approx(230).margin(60));
}

// Heavy tail. Guards against a wait that is the same whatever has run so long.
TEST_CASE_METHOD(OutstandingWorkTest,
                 "The wait is close to that of simulated upstreams") {
  std::mt19937_64 Random(Seed);
  INFO("seed " << Seed);
  std::normal_distribution<double> Noise(0, 0.3);
  auto Draw = [&] {
    bool Expensive = std::uniform_int_distribution<int>(0, 99)(Random) < 3;
    return std::exp(Noise(Random)) * (Expensive ? 1'120 : 160);
  };
  for (int I = 0; I < 3'000; ++I) {
    Now = Now + base::Millis(20);
    Costs.add(Short, base::Millis(std::llround(Draw())), Now);
  }
  constexpr std::uint32_t Slots = 9;
  double Expected = 0;
  double Actual = 0;
  double BySum = 0;
  for (int Round = 0; Round < 300; ++Round) {
    // Requests that run at a random time, each at a random point of its time.
    std::vector<double> Free;
    OutstandingWork Work(Costs, Slots, Now);
    while (Free.size() < Slots) {
      double Time = Draw();
      double Elapsed = std::uniform_real_distribution<double>(0, 1'500)(Random);
      if (Elapsed >= Time)
        continue;
      Free.push_back(Time - Elapsed);
      Work.addRunning(Short, base::Millis(std::llround(Elapsed)));
    }
    std::size_t Ahead = static_cast<std::size_t>(Round) % 10;
    for (std::size_t I = 0; I < Ahead; ++I) {
      Work.addWaiting(Costs.mean(Short, Now));
      auto First = std::min_element(Free.begin(), Free.end());
      *First += Draw();
    }
    Expected += static_cast<double>(Work.untilSlot().count());
    Actual += *std::min_element(Free.begin(), Free.end());
    BySum += static_cast<double>(Work.total().count()) / Slots;
  }
  INFO("expected " << Expected / 300 << " ms, actual " << Actual / 300
                   << " ms, work over slots " << BySum / 300 << " ms");
  CHECK(Expected == Approx(Actual).epsilon(0.25));
  CHECK(BySum > 1.25 * Actual);
}

TEST_CASE_METHOD(OutstandingWorkTest,
                 "A lowered limit frees no slot for the first that end") {
  feed(Short, 100, 100);
  OutstandingWork Work(Costs, 2, Now);
  for (std::int64_t Elapsed : {0, 20, 40, 60})
    Work.addRunning(Short, base::Millis(Elapsed));
  OutstandingWork Unchanged(Costs, 4, Now);
  for (std::int64_t Elapsed : {0, 20, 40, 60})
    Unchanged.addRunning(Short, base::Millis(Elapsed));
  CHECK(Work.untilSlot() > Unchanged.untilSlot());
}

// Restart. Nothing is known yet, so nothing may be refused because of it.
TEST_CASE_METHOD(OutstandingWorkTest, "Unknown requests cost no wait") {
  OutstandingWork Work(Costs, 1, Now);
  Work.addRunning(Short, base::Millis(100));
  CHECK(Work.untilSlot() == base::Millis(0));
  CHECK(Work.total() == base::Millis(0));
}

// Upstreams whose speed differs by three, of which an entry node has seen few
// pairs of route and upstream.
TEST_CASE("RouteCosts combines the times of routes and upstreams") {
  RouteCosts Costs;
  RelativeSpeed Fast;
  RelativeSpeed Slow;
  RelativeSpeed Unknown;
  base::RouteName Short("short");
  base::RouteName Long("long");
  CHECK_FALSE(Costs.expectedMs(Short, Unknown));
  for (int I = 0; I < 100; ++I) {
    Costs.add(Short, Fast, base::Millis(100));
    Costs.add(Short, Slow, base::Millis(300));
  }
  for (int I = 0; I < 20; ++I)
    Costs.add(Long, Fast, base::Millis(600));
  CHECK(*Costs.expectedMs(Short, Fast) == Approx(100).epsilon(0.1));
  CHECK(*Costs.expectedMs(Short, Slow) == Approx(300).epsilon(0.1));
  CHECK(*Costs.expectedMs(Long, Slow) == Approx(1'800).epsilon(0.2));
  double Usual = *Costs.expectedMs(Short, Unknown);
  CHECK(Usual > 100);
  CHECK(Usual < 300);
}

} // namespace amaranth::scheduling
