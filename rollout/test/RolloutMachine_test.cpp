#include "RequestGenerator.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/rollout/RolloutMachine.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>

namespace amaranth::rollout {

using base::Millis;
using base::WallTime;

class RolloutMachineTest {
protected:
  RolloutMachineTest() {
    Plan.Service = base::ServiceName("plati");
    Plan.From = base::VersionName("v1");
    Plan.To = base::VersionName("v2");
    Plan.Start = WallTime(1'000'000);
    Plan.Deadline = Plan.Start + Millis::seconds(1200);
    Now = Plan.Start;
    restartController();
  }

  void restartController() {
    Evidence = std::make_unique<RolloutEvidence>(Plan);
  }

  /// Simulates one second: adds a window and commits the decision at once.
  std::optional<Decision> advanceSecond(const EvidenceWindow &Window) {
    Evidence->setState(State);
    Evidence->add(Window);
    Now = Now + WindowLength;
    auto Result = decide(Now, Plan, State, Evidence->summary());
    if (Result)
      State = {Result->NextPhase, Result->Share, Result->Step, State.Epoch + 1,
               Now};
    return Result;
  }

  EvidenceWindow window(double Rate, const test::Behaviour &Old,
                        const test::Behaviour &New) {
    return Source.window(Now, Rate, double(State.Share) / FullShare, Old, New);
  }

  RolloutPlan Plan;
  RolloutState State;
  WallTime Now;
  std::unique_ptr<RolloutEvidence> Evidence;
  test::RequestGenerator Source{11};
};

TEST_CASE_METHOD(RolloutMachineTest,
                 "RolloutMachine completes a good version through all steps") {
  std::vector<std::uint32_t> Shares;
  while (!isFinal(State.CurrentPhase) && Now < Plan.Deadline)
    if (auto Next = advanceSecond(window(30, {}, {})))
      Shares.push_back(Next->Share);
  CHECK(State.CurrentPhase == Phase::Done);
  CHECK(Shares == std::vector<std::uint32_t>{10'000, 50'000, 200'000, 500'000,
                                             900'000, FullShare, FullShare,
                                             FullShare});
}

TEST_CASE_METHOD(RolloutMachineTest,
                 "RolloutMachine rolls back a bad version at a small share") {
  std::uint32_t Highest = 0;
  while (!isFinal(State.CurrentPhase) && Now < Plan.Deadline) {
    advanceSecond(window(30, {}, {0.5}));
    Highest = std::max(Highest, State.Share);
  }
  CHECK(State.CurrentPhase == Phase::RolledBack);
  CHECK(State.Share == 0);
  CHECK(Highest <= 10'000);
}

// Guards against a controller that raises the share after a fail-over without
// evidence of its own.
TEST_CASE_METHOD(RolloutMachineTest,
                 "RolloutMachine never raises the share without own evidence") {
  State = {Phase::Stepping, 10'000, 1, 5, Plan.Start};
  Evidence->setState(State);
  for (int T = 1; T < 1195; ++T)
    REQUIRE(!decide(Plan.Start + Millis::seconds(T), Plan, State,
                    Evidence->summary()));
  auto Last =
      decide(Plan.finalDecisionTime(), Plan, State, Evidence->summary());
  REQUIRE(Last);
  CHECK(Last->NextPhase == Phase::RolledBack);
}

TEST_CASE_METHOD(
    RolloutMachineTest,
    "RolloutMachine result with little traffic depends on the risk") {
  Plan.RiskLevel = GENERATE(Risk::Normal, Risk::High);
  restartController();
  std::uint32_t Highest = 0;
  while (!isFinal(State.CurrentPhase) && Now < Plan.Deadline) {
    advanceSecond(window(0.05, {0}, {0}));
    Highest = std::max(Highest, State.Share);
  }
  bool Normal = Plan.RiskLevel == Risk::Normal;
  CHECK(State.CurrentPhase == (Normal ? Phase::Done : Phase::RolledBack));
  CHECK(Highest == (Normal ? FullShare : Plan.Steps.front()));
}

// Guards against a rollback because of a shared outage while the new version
// has all traffic and there is no concurrent old version to compare it with.
TEST_CASE_METHOD(RolloutMachineTest,
                 "RolloutMachine does not roll back during a shared outage") {
  int Begin = GENERATE(30, 200, 400, 560, 700);
  int T = 0;
  while (!isFinal(State.CurrentPhase) && Now < Plan.Deadline) {
    ++T;
    test::Behaviour Both{T >= Begin && T < Begin + 60 ? 0.8 : 0.01};
    advanceSecond(window(30, Both, Both));
  }
  INFO("outage at " << Begin << " s, ended at " << T << " s");
  CHECK(State.CurrentPhase == Phase::Done);
}

// Guards against an alarm whose capital is spent before the fault appears.
TEST_CASE_METHOD(
    RolloutMachineTest,
    "RolloutMachine rolls back soon after a fault in the watch phase") {
  Millis IntoWatch = Millis::seconds(GENERATE(0, 150));
  int FaultSeconds = 0;
  while (!isFinal(State.CurrentPhase) && Now < Plan.Deadline) {
    bool Fault = FaultSeconds > 0 || (State.CurrentPhase == Phase::Watching &&
                                      Now >= State.LastChange + IntoWatch);
    FaultSeconds += Fault ? 1 : 0;
    advanceSecond(window(30, {}, {Fault ? 0.5 : 0.01}));
  }
  CHECK(State.CurrentPhase == Phase::RolledBack);
  INFO("rolled back after " << FaultSeconds << " s");
  CHECK(FaultSeconds <= 15);
  CHECK(FaultSeconds > 0);
}

// Guards against a step to a load much higher than the version has sustained.
TEST_CASE_METHOD(RolloutMachineTest,
                 "RolloutMachine raises a load near capacity in small steps") {
  Plan.Steps = {100'000, FullShare};
  std::uint32_t Last = 0;
  while (!isFinal(State.CurrentPhase) && Now < Plan.Deadline) {
    EvidenceWindow Window = window(100, {0.01, 100}, {0.01, 100});
    Window.NewSlots = 20;
    auto Next = advanceSecond(Window);
    // The limit is 2.5 times the sustained rate, whose maximum exceeds the mean
    // because of noise.
    if (Next && Last > 0)
      CHECK(Next->Share <= 3 * Last);
    if (Next)
      Last = Next->Share;
  }
  CHECK(State.CurrentPhase == Phase::Done);
}

// The main guarantee of the package: for any evidence and any controller
// restarts, the rollout ends by its deadline and its result does not change.
TEST_CASE_METHOD(
    RolloutMachineTest,
    "RolloutMachine ends by the deadline for any evidence and restarts") {
  std::uint64_t Checks = base::invariantChecks();
  for (std::uint64_t Seed = 1; Seed <= 150; ++Seed) {
    INFO("seed " << Seed);
    Source = test::RequestGenerator(Seed);
    auto Draw = [this](double Low, double High) {
      return std::uniform_real_distribution<>(Low, High)(Source.Random);
    };
    Plan.Deadline = Plan.Start + Millis::seconds(std::lround(Draw(60, 400)));
    Plan.RiskLevel = Draw(0, 1) < 0.5 ? Risk::High : Risk::Normal;
    Plan.Steps = Draw(0, 1) < 0.2 ? std::vector<std::uint32_t>{FullShare}
                                  : RolloutPlan().Steps;
    State = {};
    Now = Plan.Start;
    restartController();
    test::Behaviour Old;
    test::Behaviour New;
    double Rate = 10;
    std::uint64_t WindowsSinceDecision = 0;
    while (Now < Plan.Deadline) {
      if (Draw(0, 1) < 0.02) {
        restartController();
        WindowsSinceDecision = 0;
      }
      if (Draw(0, 1) < 0.02) {
        Old = {Draw(0, 0.2), Draw(1, 100)};
        New = Draw(0, 1) < 0.7 ? Old : test::Behaviour{Draw(0, 1), 50};
        Rate = Draw(0, 60);
      }
      RolloutState Before = State;
      if (Draw(0, 1) < 0.1) {
        // An evaluation without a new window.
        Evidence->setState(State);
        Now = Now + WindowLength;
        auto Next = decide(Now, Plan, State, Evidence->summary());
        if (Next)
          State = {Next->NextPhase, Next->Share, Next->Step, State.Epoch + 1,
                   Now};
      } else {
        ++WindowsSinceDecision;
        advanceSecond(window(Rate, Old, New));
      }
      if (isFinal(Before.CurrentPhase))
        REQUIRE(State.Epoch == Before.Epoch);
      if (State.Epoch != Before.Epoch) {
        if (State.Share > Before.Share && Before.CurrentPhase != Phase::Waiting)
          REQUIRE(WindowsSinceDecision >= 10);
        WindowsSinceDecision = 0;
      }
    }
    REQUIRE(isFinal(State.CurrentPhase));
  }
  CHECK(base::invariantChecks() > Checks + 10'000);
}

} // namespace amaranth::rollout
