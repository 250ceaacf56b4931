#include "amaranth/rollout/RolloutPlan.h"

#include <catch2/catch.hpp>

namespace amaranth::rollout {

namespace {

RolloutPlan validPlan() {
  RolloutPlan Plan;
  Plan.From = base::VersionName("v1");
  Plan.To = base::VersionName("v2");
  Plan.Deadline = Plan.Start + base::Millis::seconds(600);
  return Plan;
}

} // namespace

// Guards against plans that the machine could not end, such as steps that
// never reach the whole traffic.
TEST_CASE("RolloutPlan each fault is named, all at once") {
  CHECK(planFaults(validPlan()).empty());
  RolloutPlan Plan = validPlan();
  Plan.To = Plan.From;
  Plan.Deadline = Plan.Start;
  Plan.Steps = {200'000, 100'000};
  Plan.Guards.MaxErrorIncrease = -1;
  Plan.Guards.MaxLatencyRatio = 0.5;
  Plan.Guards.MinRequests = 0;
  CHECK(planFaults(Plan).size() == 7);
}

TEST_CASE("RolloutPlan final time lies before the deadline") {
  RolloutPlan Plan = validPlan();
  CHECK(Plan.Deadline - Plan.finalTime() == base::Millis::seconds(5));
  Plan.Deadline = Plan.Start + base::Millis::seconds(60);
  CHECK(Plan.Deadline - Plan.finalTime() == base::Millis::seconds(3));
  CHECK(Plan.finalTime() - Plan.steppingEnd() == base::Millis::seconds(9));
}

} // namespace amaranth::rollout
