#include "Fakes.h"
#include "RetryAllowance.h"
#include "amaranth/dataplane/UpstreamRuns.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <optional>

namespace amaranth::dataplane {

class UpstreamRunsTest {
protected:
  UpstreamRuns::Request request(std::int64_t Deadline, bool Repeat) const {
    return {Route, base::TimePoint(Deadline), Repeat};
  }
  double call(std::int64_t Deadline) {
    return Runs.recordCall({Called, CalledRoute, base::TimePoint(Deadline)});
  }
  RetryBudget &budget() { return Budgets.budgetOf(Called); }
  void useUpBudget() {
    while (budget().tryAcquire(Time.now()))
      ;
  }
  /// Lets runs of the route make `Calls` calls each.
  void learn(int Calls) {
    for (int I = 0; I < 10; ++I) {
      UpstreamRuns::Run Each(Runs, request(1'000, false));
      for (int Made = 0; Made < Calls; ++Made)
        call(1'000);
    }
  }

  boost::asio::io_context Context;
  base::ManualClock Time;
  testing::FakeSnapshots Snapshots{Context.get_executor()};
  base::ServiceName Called{"called"};
  base::RouteName Route{"route"};
  base::RouteName CalledRoute{"called route"};
  RetryBudgets Budgets{Time, Snapshots, std::nullopt};
  UpstreamRuns Runs{Time, Budgets};
};

TEST_CASE_METHOD(
    UpstreamRunsTest,
    "A call is attributed in equal parts to the running requests") {
  UpstreamRuns::Run First(Runs, request(1'000, false));
  UpstreamRuns::Run Repeat(Runs, request(1'000, true));
  CHECK(call(900) == 0.5);
  UpstreamRuns::Run Third(Runs, request(1'000, false));
  UpstreamRuns::Run Last(Runs, request(1'000, false));
  CHECK(call(900) == 0.25);
}

// Guards against callers on this VM whose requests are taken for calls.
TEST_CASE_METHOD(UpstreamRunsTest,
                 "A request that ends after all running ones is no call") {
  UpstreamRuns::Run Short(Runs, request(1'000, false));
  UpstreamRuns::Run Repeat(Runs, request(2'000, true));
  CHECK(call(900) == 0.5);
  CHECK(call(2'000 + UpstreamRuns::MaxDelay.count()) == 1);
  CHECK(call(2'001 + UpstreamRuns::MaxDelay.count()) == 0);
}

// Guards against calls of late repeats that are attributed to newer requests.
TEST_CASE_METHOD(UpstreamRunsTest,
                 "A call is attributed to the request that ends with it") {
  UpstreamRuns::Run Repeat(Runs, request(1'000, true));
  UpstreamRuns::Run First(Runs, request(1'010, false));
  UpstreamRuns::Run Last(Runs, request(3'000, false));
  call(2'000);
  CHECK(call(1'000) == 1);
  CHECK(call(1'009) == 1);
  CHECK(call(1'010) == 0);
  CHECK(call(999) == Approx(1.0 / 3));
}

// Guards against calls with a limit of their own that are attributed to a
// request which happens to end at the same time.
TEST_CASE_METHOD(UpstreamRunsTest,
                 "A call that waits as long as any other ends by its own "
                 "limit") {
  UpstreamRuns::Run Repeat(Runs, request(495, true));
  UpstreamRuns::Run First(Runs, request(3'000, false));
  CHECK(call(500) == 0);
  CHECK(call(495) == 0);
}

// Guards against a short route that is charged with the calls of another one.
TEST_CASE_METHOD(UpstreamRunsTest,
                 "A call is attributed to the routes that make calls") {
  for (int I = 0; I < 50; ++I) {
    {
      UpstreamRuns::Run Short(
          Runs, {base::RouteName("short"), base::TimePoint(90'000), false});
      Time.advance(base::Millis(50));
    }
    UpstreamRuns::Run Calls(Runs, request(90'000, false));
    UpstreamRuns::Run Short(
        Runs, {base::RouteName("short"), base::TimePoint(90'000), false});
    Time.advance(base::Millis(50));
    call(Time.now().count() + 500);
  }
  UpstreamRuns::Run Calls(Runs, request(90'000, false));
  UpstreamRuns::Run Repeat(
      Runs, {base::RouteName("short"), base::TimePoint(90'000), true});
  CHECK(call(Time.now().count() + 500) < 0.2);
}

// Guards against tasks that are destroyed with the event loop of a process that
// ends, after the parts of the node.
TEST_CASE_METHOD(UpstreamRunsTest,
                 "Runs and requests may outlive the node's budgets") {
  std::optional<RetryBudgets> EarlyBudgets;
  EarlyBudgets.emplace(Time, Snapshots, std::nullopt);
  std::optional<UpstreamRuns> EarlyRuns;
  EarlyRuns.emplace(Time, *EarlyBudgets);
  UpstreamRuns::Run Last(*EarlyRuns, request(1'000, true));
  RetryAllowance Unused(*EarlyBudgets, Called, false, Time.now());
  Unused.recordAttempt(true);
  REQUIRE(Unused.admitAttempt(Time.now()));
  Unused.recordAttempt(false);
  EarlyRuns.reset();
  EarlyBudgets.reset();
}

TEST_CASE_METHOD(UpstreamRunsTest, "A run that has ended makes no calls") {
  { UpstreamRuns::Run Repeat(Runs, request(1'000, true)); }
  CHECK(call(1'000) == 0);
}

// Guards against repeats that run in vain because their calls are refused.
TEST_CASE_METHOD(UpstreamRunsTest,
                 "A repeat needs the tokens of the calls of its route") {
  learn(2);
  CHECK(Runs.allowsRepeat(Route));
  while (budget().hasTokens(2, Time.now()))
    budget().tryAcquire(Time.now());
  CHECK_FALSE(Runs.allowsRepeat(Route));
  CHECK(Runs.allowsRepeat(base::RouteName("without calls")));
}

TEST_CASE_METHOD(UpstreamRunsTest,
                 "A repeat is charged with the calls of its route") {
  learn(2);
  int Before = 0;
  for (; budget().tryAcquire(Time.now()); ++Before)
    ;
  Time.advance(base::Millis(20'000));
  UpstreamRuns::Run Repeat(Runs, request(30'000, true));
  int After = 0;
  for (; budget().tryAcquire(Time.now()); ++After)
    ;
  // Somewhat more than the mean.
  CHECK(After < Before - 2);
  CHECK(After >= Before - 3);
}

class RetryAllowanceTest : public UpstreamRunsTest {};

// Guards against redirects that use up the budget without an arrival.
TEST_CASE_METHOD(RetryAllowanceTest,
                 "An attempt that reaches no upstream leaves its token to the "
                 "next one") {
  RetryAllowance Request(Budgets, Called, false, Time.now());
  Request.recordAttempt(true);
  REQUIRE(Request.admitAttempt(Time.now()));
  useUpBudget();
  Request.recordAttempt(false);
  CHECK(Request.admitAttempt(Time.now()));
  Request.recordAttempt(true);
  CHECK_FALSE(Request.admitAttempt(Time.now()));
}

TEST_CASE_METHOD(RetryAllowanceTest,
                 "A request returns a token that it has not used") {
  {
    RetryAllowance Request(Budgets, Called, false, Time.now());
    Request.recordAttempt(true);
    REQUIRE(Request.admitAttempt(Time.now()));
    useUpBudget();
    Request.recordAttempt(false);
  }
  CHECK(budget().hasToken(Time.now()));
}

// Guards against a token that is returned although its attempt, whose end the
// node did not learn, may have reached an upstream.
TEST_CASE_METHOD(RetryAllowanceTest,
                 "A request does not return the token of a running attempt") {
  {
    RetryAllowance Request(Budgets, Called, false, Time.now());
    Request.recordAttempt(true);
    REQUIRE(Request.admitAttempt(Time.now()));
    useUpBudget();
  }
  CHECK_FALSE(budget().hasToken(Time.now()));
}

// Guards against calls of repeats that allow further repeats.
TEST_CASE_METHOD(RetryAllowanceTest,
                 "A call of a repeat does not enlarge the budget") {
  for (int I = 0; I < 100; ++I)
    RetryAllowance(Budgets, Called, true, Time.now());
  CHECK(budget().hasTokens(9, Time.now()));
  CHECK_FALSE(budget().hasTokens(10, Time.now()));
  for (int I = 0; I < 100; ++I)
    RetryAllowance(Budgets, Called, false, Time.now());
  CHECK(budget().hasTokens(12, Time.now()));
}

TEST_CASE_METHOD(RetryAllowanceTest,
                 "A later attempt of a request is a repeat for its calls") {
  RetryAllowance Request(Budgets, Called, false, Time.now());
  CHECK_FALSE(Request.isRepeatedWork());
  Request.recordAttempt(false);
  CHECK_FALSE(Request.isRepeatedWork());
  Request.recordAttempt(true);
  CHECK(Request.isRepeatedWork());
  RetryAllowance Call(Budgets, Called, true, Time.now());
  CHECK(Call.isRepeatedWork());
}

} // namespace amaranth::dataplane
