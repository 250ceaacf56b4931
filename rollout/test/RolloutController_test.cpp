#include "Requests.h"
#include "amaranth/base/Error.h"
#include "amaranth/rollout/RolloutController.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::rollout {

namespace {

/// Accepts decisions on the current epoch.
class MemoryStore final : public RolloutStore {
public:
  explicit MemoryStore(base::Clock &Time) : Time(Time) {}

  bool isLeader() const override { return Leader; }
  base::Term term() const override { return Leading; }
  std::vector<RunningRollout> running() const override {
    ++Reads;
    if (isFinal(State.Current))
      return {};
    return {{Plan, State}};
  }
  asio::awaitable<DecideResult> decide(Decision Value) override {
    ++Proposals;
    if (FailNext) {
      FailNext = false;
      throw base::TimeoutError("no majority");
    }
    if (RaceNext) {
      // Another decision came first.
      RaceNext = false;
      ++State.Epoch;
    }
    if (Value.ExpectedEpoch != State.Epoch) {
      ++Refusals;
      co_return DecideResult::Refused;
    }
    State = {Value.Next, Value.Share, Value.Step, State.Epoch + 1,
             Time.wallNow()};
    co_return DecideResult::Accepted;
  }

  base::Clock &Time;
  RolloutPlan Plan;
  RolloutState State;
  base::Term Leading{1};
  bool Leader = true;
  bool FailNext = false;
  bool RaceNext = false;
  int Proposals = 0;
  int Refusals = 0;
  mutable int Reads = 0;
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

  void seconds(int Count) {
    for (int I = 0; I < Count; ++I) {
      Context.poll();
      double Share = double(Store.State.Share) / FullShare;
      Source.Windows.push_back(
          Requests.window(Time.wallNow(), 40, Share, {}, New));
      Time.advance(base::Millis::seconds(1));
    }
    Context.poll();
  }

  asio::io_context Context;
  base::ManualClock Time;
  MemoryStore Store{Time};
  MemorySource Source;
  test::Requests Requests{5};
  test::Behaviour New;
  RolloutController Controller{Time, Store, Source};
};

TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController good version is done by the deadline") {
  seconds(600);
  CHECK(Store.State.Current == Phase::Done);
  CHECK(Store.State.LastChange <= Store.Plan.Deadline);
  CHECK(Controller.followed() == 0);
}

TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController bad version is rolled back") {
  New.ErrorRate = 0.7;
  seconds(600);
  CHECK(Store.State.Current == Phase::RolledBack);
}

// Guards against decisions repeated on a stale epoch for ever.
TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController refused epoch leads to a fresh read") {
  Store.RaceNext = true;
  seconds(1);
  CHECK(Store.Refusals == 1);
  int Reads = Store.Reads;
  seconds(1);
  CHECK(Store.Reads > Reads);
  CHECK(Store.State.Current == Phase::Stepping);
  CHECK(Store.Refusals == 1);
}

// Guards against a controller that a lost majority ends.
TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController failed proposal is made again") {
  Store.FailNext = true;
  seconds(3);
  CHECK(Store.Proposals >= 2);
  CHECK(Store.State.Current == Phase::Stepping);
}

TEST_CASE_METHOD(
    RolloutControllerTest,
    "RolloutController without leadership forgets and stays idle") {
  seconds(30);
  REQUIRE(Controller.evidence(Store.Plan.Service)->StepWindows > 5);
  Store.Leader = false;
  int Proposals = Store.Proposals;
  seconds(5);
  CHECK(Controller.followed() == 0);
  CHECK(Store.Proposals == Proposals);
}

// Guards against evidence that spans a time in which another process led.
TEST_CASE_METHOD(RolloutControllerTest,
                 "RolloutController new term starts the tests anew") {
  seconds(40);
  REQUIRE(Controller.evidence(Store.Plan.Service)->StepWindows > 5);
  Store.Leading = base::Term(2);
  seconds(2);
  CHECK(Controller.evidence(Store.Plan.Service)->StepWindows <= 2);
}

} // namespace amaranth::rollout
