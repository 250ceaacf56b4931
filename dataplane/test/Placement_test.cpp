#include "DecisionSimulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace amaranth::dataplane {

namespace {

std::string text(const SimulationResult &Result) {
  std::string Means;
  for (double Each : Result.MeanByUpstream)
    Means += fmt::format(" {:.0f}", Each);
  return fmt::format("{} requests: {} in time, {} late, {} refused, mean "
                     "{:.0f} ms, 99th percentile {:.0f} ms, busiest upstream "
                     "{:.2f} times the mean; by upstream{}",
                     Result.Requests, Result.InTime, Result.Late,
                     Result.Refused, Result.MeanMs, Result.P99Ms,
                     Result.Imbalance, Means);
}

} // namespace

// Upstreams whose speed differs by three, 90 % used. Guards against placement
// by queue lengths, which sends too much to some of them.
TEST_CASE("Placement equalises completion times of uneven upstreams") {
  SimulationPlan Plan;
  Plan.SpeedSpread = 3;
  Plan.Load = 0.9;
  Plan.Entries = GENERATE(10U, 80U);
  Plan.Seed = GENERATE(1U, 2U, 3U);
  SimulationResult Previous = simulate(Plan, DecisionRule::Previous);
  SimulationResult Current = simulate(Plan, DecisionRule::Current);
  INFO("seed " << Plan.Seed << ", entry nodes " << Plan.Entries);
  INFO("previous " << text(Previous));
  INFO("current " << text(Current));
  CHECK(Current.MeanMs < Previous.MeanMs);
  CHECK(Current.P99Ms <= Previous.P99Ms);
  CHECK(Current.InTime >= Previous.InTime);
  // The slow upstreams alone need half of it more than the mean.
  CHECK(*std::max_element(Current.MeanByUpstream.begin(),
                          Current.MeanByUpstream.end()) < 1.5 * Current.MeanMs);
}

// A service shared by requests of 190 ms and 1,100 ms. Guards against short
// requests that are refused because of a median that mixes both.
TEST_CASE("Short requests are not refused because of long ones") {
  SimulationPlan Plan;
  Plan.Routes = {{"short", 0.7, 190}, {"long", 0.3, 1'100}};
  Plan.Load = 0.8;
  Plan.Objective = 1'800;
  Plan.Seed = GENERATE(1U, 2U, 3U);
  SimulationResult Previous = simulate(Plan, DecisionRule::Previous);
  SimulationResult Current = simulate(Plan, DecisionRule::Current);
  INFO("seed " << Plan.Seed);
  INFO("previous " << text(Previous));
  INFO("current " << text(Current));
  CHECK(Current.RefusedByRoute[0] * 1'000 <= Current.RequestsByRoute[0]);
  CHECK(Current.InTime > Previous.InTime);
}

// The same within one route, where most requests are long.
TEST_CASE("Short requests of a route with long ones are served") {
  SimulationPlan Plan;
  Plan.Routes = {{"r", 0.4, 190}, {"r", 0.6, 1'100}};
  Plan.Load = 0.6;
  Plan.Objective = 700;
  Plan.Deadline = 900;
  Plan.Seed = GENERATE(1U, 2U, 3U);
  SimulationResult Previous = simulate(Plan, DecisionRule::Previous);
  SimulationResult Current = simulate(Plan, DecisionRule::Current);
  INFO("seed " << Plan.Seed);
  INFO("previous " << text(Previous) << ", short refused "
                   << Previous.RefusedByRoute[0]);
  INFO("current " << text(Current) << ", short refused "
                  << Current.RefusedByRoute[0]);
  CHECK(Current.RefusedByRoute[0] * 100 <= Current.RequestsByRoute[0]);
  CHECK(Previous.RefusedByRoute[0] > Current.RefusedByRoute[0]);
}

// An upstream that turns slow for 5 s and recovers. Guards against requests
// that go on to it by the median of faster times.
TEST_CASE("Fewer requests go to an upstream while it is slow") {
  SimulationPlan Plan;
  Plan.Load = 0.7;
  Plan.SlowFrom = 12'000;
  Plan.SlowUntil = 17'000;
  Plan.SlowFactor = GENERATE(3, 5, 10);
  int PreviousMissed = 0;
  int Missed = 0;
  for (Plan.Seed = 1; Plan.Seed <= 6; ++Plan.Seed) {
    SimulationResult Previous = simulate(Plan, DecisionRule::Previous);
    SimulationResult Current = simulate(Plan, DecisionRule::Current);
    INFO("seed " << Plan.Seed << ", factor " << Plan.SlowFactor);
    INFO("previous " << text(Previous));
    INFO("current " << text(Current));
    CHECK(Current.MeanMs < Previous.MeanMs);
    PreviousMissed += Previous.Late + Previous.Refused;
    Missed += Current.Late + Current.Refused;
  }
  CHECK(Missed <= PreviousMissed);
  // It gets its share again afterwards.
  Plan.Warmup = 20'000;
  CHECK(simulate(Plan, DecisionRule::Current).Imbalance < 1.3);
}

// Ten entry nodes that decide by reports which are 50 ms old. Guards against
// all of them choosing the same upstream.
TEST_CASE("Entry nodes with old reports do not choose the same upstream") {
  SimulationPlan Plan;
  Plan.ReportDelay = 50;
  Plan.Load = GENERATE(0.7, 0.9);
  Plan.TailShare = GENERATE(0.0, 0.03);
  Plan.Seed = GENERATE(1U, 2U, 3U);
  SimulationResult Current = simulate(Plan, DecisionRule::Current);
  INFO("seed " << Plan.Seed << ", load " << Plan.Load);
  INFO(text(Current));
  CHECK(Current.Imbalance <= 1.3);
}

} // namespace amaranth::dataplane
