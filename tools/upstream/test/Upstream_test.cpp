#include "amaranth/upstream/Faults.h"
#include "amaranth/upstream/Options.h"

#include <catch2/catch.hpp>

namespace amaranth::upstream {

TEST_CASE("parseServiceTime reads its three forms and nothing else") {
  CHECK(parseServiceTime("fixed:10")->First == 10);
  CHECK(parseServiceTime("uniform:5,20")->Second == 20);
  CHECK(parseServiceTime("exp:7.5")->Kind == ServiceTime::Shape::Exponential);
  for (const char *Text : {"", "10", "fixed:", "fixed:1x", "uniform:5",
                           "uniform:9,5", "exp:0", "other:1"})
    CHECK_FALSE(parseServiceTime(Text));
}

TEST_CASE("Fault appears only under all of its conditions") {
  FaultPlan Plan;
  Plan.What = FaultPlan::Kind::Fail;
  Plan.After = base::Millis(100);
  Plan.AboveLoad = 2;
  Plan.PathPrefix = "/bad";
  Faults Behaviour(Plan, {}, 1);
  CHECK(Behaviour.decide("/bad/1", 3, base::Millis(100)).Fail);
  CHECK_FALSE(Behaviour.decide("/good", 3, base::Millis(100)).Fail);
  CHECK_FALSE(Behaviour.decide("/bad/1", 2, base::Millis(100)).Fail);
  CHECK_FALSE(Behaviour.decide("/bad/1", 3, base::Millis(99)).Fail);
}

// Guards the repetition of a run by its seed.
TEST_CASE("Equal seeds give equal decisions") {
  FaultPlan Plan;
  Plan.What = FaultPlan::Kind::Slow;
  Plan.Rate = 0.5;
  ServiceTime Time{ServiceTime::Shape::Exponential, 10, 0};
  Faults First(Plan, Time, 42);
  Faults Second(Plan, Time, 42);
  for (int I = 0; I < 100; ++I)
    REQUIRE(First.decide("/", 1, base::Millis(0)).Took ==
            Second.decide("/", 1, base::Millis(0)).Took);
}

TEST_CASE("parseOptions names the option that is not valid") {
  std::vector<std::string> Given = {"--service=s", "--version=v",
                                    "--listen=127.0.0.1:1",
                                    "--node=127.0.0.1:2", "--slots=3"};
  CHECK(parseOptions(Given).Self.Slots == 3);
  Given.back() = "--slots=none";
  CHECK_THROWS_WITH(parseOptions(Given), Catch::Contains("--slots"));
}

} // namespace amaranth::upstream
