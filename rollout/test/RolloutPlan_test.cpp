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

// Guards against plans that the machine cannot complete, such as steps that
// never reach all traffic.
TEST_CASE("validatePlan reports every fault at once") {
  CHECK(validatePlan(validPlan()).empty());
  RolloutPlan Plan = validPlan();
  Plan.To = Plan.From;
  Plan.Deadline = Plan.Start;
  Plan.Steps = {200'000, 100'000};
  Plan.Thresholds.MaxErrorIncrease = -1;
  Plan.Thresholds.MaxLatencyRatio = 0.5;
  Plan.Thresholds.MinRequests = 0;
  CHECK(validatePlan(Plan).size() == 7);
}

TEST_CASE("RolloutPlan final time lies before the deadline") {
  RolloutPlan Plan = validPlan();
  CHECK(Plan.Deadline - Plan.finalDecisionTime() == base::Millis::seconds(5));
  Plan.Deadline = Plan.Start + base::Millis::seconds(60);
  CHECK(Plan.Deadline - Plan.finalDecisionTime() == base::Millis::seconds(3));
  CHECK(Plan.finalDecisionTime() - Plan.latestWatchStart() ==
        base::Millis::seconds(9));
}

} // namespace amaranth::rollout
