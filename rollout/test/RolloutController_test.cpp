#include "RequestGenerator.h"
#include "amaranth/base/Error.h"
#include "amaranth/rollout/RolloutController.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::rollout {

namespace {

/// Accepts decisions that are based on the current epoch.
class MemoryStore final : public RolloutStore {
public:
  explicit MemoryStore(base::Clock &Time) : Time(Time) {}

  bool isLeader() const override { return Leader; }
  base::Term term() const override { return CurrentTerm; }
  std::vector<RunningRollout> running() const override {
    ++ReadCount;
    if (isFinal(State.CurrentPhase))
      return {};
    return {{Plan, State}};
  }
  asio::awaitable<CommitResult> commitDecision(Decision Value) override {
    ++ProposalCount;
    if (FailNext) {
      FailNext = false;
      throw base::TimeoutError("no majority");
    }
    if (ConflictNext) {
      // Another decision was committed first.
      ConflictNext = false;
      ++State.Epoch;
    }
    if (Value.ExpectedEpoch != State.Epoch) {
      ++RefusalCount;
      co_return CommitResult::Refused;
    }
    State = {Value.NextPhase, Value.Share, Value.Step, State.Epoch + 1,
             Time.wallNow()};
    co_return CommitResult::Accepted;
  }

  base::Clock &Time;
  RolloutPlan Plan;
  RolloutState State;
  base::Term CurrentTerm{1};
  bool Leader = true;
  bool FailNext = false;
  bool ConflictNext = false;
  int ProposalCount = 0;
  int RefusalCount = 0;
  mutable int ReadCount = 0;
};

class MemorySource final : public EvidenceSource {
public:
  std::vector<EvidenceWindow> windowsSince(const RolloutPlan &,
                                           base::WallTime Since) override {
    std::vector<EvidenceWindow> Result;
    for (const EvidenceWindow &Window : Windows)
      if (Window.Start >= Since)
        Result.push_back(Window);
    return Result;
  }

  std::vector<EvidenceWindow> Windows;
};

} // namespace

class RolloutControllerTest {
protected:
  RolloutControllerTest() {
    Store.Plan.Service = base::ServiceName("gallring");
    Store.Plan.From = base::VersionName("v1");
    Store.Plan.To = base::VersionName("v2");
    Store.Plan.Start = Time.wallNow();
    Store.Plan.Deadline = Store.Plan.Start + base::Millis::seconds(600);
    asio::co_spawn(Context, Controller.run(), asio::detached);
  }

  void advanceSeconds(int Count) {
    for (int I = 0; I < Count; ++I) {
      Context.poll();
      double Share = double(Store.State.Share) / FullShare;
      Source.Windows.push_back(
          Generator.window(Time.wallNow(), 40, Share, {}, New));
      Time.advance(base::Millis::seconds(1));
    }
    Context.poll();
  }

  asio::io_context Context;
  base::ManualClock Time;
  MemoryStore Store{Time};
  MemorySource Source;
  test::RequestGenerator Generator{5};
  test::Behaviour New;
  RolloutController Controller{Time, Store, Source};
};

TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController completes a good version by the deadline") {
  advanceSeconds(600);
  CHECK(Store.State.CurrentPhase == Phase::Done);
  CHECK(Store.State.LastChange <= Store.Plan.Deadline);
  CHECK(Controller.trackedCount() == 0);
}

TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController rolls back a bad version") {
  New.ErrorRate = 0.7;
  advanceSeconds(600);
  CHECK(Store.State.CurrentPhase == Phase::RolledBack);
}

// Guards against a controller that proposes decisions on a stale epoch for ever
// instead of reading the state again.
TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController reads the state again after a refusal") {
  Store.ConflictNext = true;
  advanceSeconds(1);
  CHECK(Store.RefusalCount == 1);
  int ReadCount = Store.ReadCount;
  advanceSeconds(1);
  CHECK(Store.ReadCount > ReadCount);
  CHECK(Store.State.CurrentPhase == Phase::Stepping);
  CHECK(Store.RefusalCount == 1);
}

// Guards against a controller that stops after the store lost its majority and
// a proposal failed.
TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController retries a failed proposal") {
  Store.FailNext = true;
  advanceSeconds(3);
  CHECK(Store.ProposalCount >= 2);
  CHECK(Store.State.CurrentPhase == Phase::Stepping);
}

TEST_CASE_METHOD(
    RolloutControllerTest,
    "RolloutController discards evidence and stays idle as follower") {
  advanceSeconds(30);
  REQUIRE(Controller.evidence(Store.Plan.Service)->StepWindows > 5);
  Store.Leader = false;
  int ProposalCount = Store.ProposalCount;
  advanceSeconds(5);
  CHECK(Controller.trackedCount() == 0);
  CHECK(Store.ProposalCount == ProposalCount);
}

// Guards against evidence that spans a period in which another process was the
// leader.
TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController restarts the tests in a new term") {
  advanceSeconds(40);
  REQUIRE(Controller.evidence(Store.Plan.Service)->StepWindows > 5);
  Store.CurrentTerm = base::Term(2);
  advanceSeconds(2);
  CHECK(Controller.evidence(Store.Plan.Service)->StepWindows <= 2);
}

} // namespace amaranth::rollout
