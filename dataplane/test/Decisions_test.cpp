#include "IdleLimit.h"
#include "RetryState.h"
#include "SchedulingOrder.h"
#include "SlotOdds.h"
#include "amaranth/dataplane/RequestRateLimit.h"
#include "amaranth/dataplane/RetryBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>

namespace amaranth::dataplane {

namespace {

SchedulingParams waitingWork(std::uint32_t Priority, std::int64_t Objective,
                             std::int64_t Deadline, std::int64_t Service,
                             std::uint64_t Sequence = 0) {
  return {Priority, base::TimePoint(Objective), base::TimePoint(Deadline),
          base::Millis(Service), Sequence};
}

Refusal refusal(ExecutionOutcome What, RefusalReason Why) {
  Refusal Value;
  Value.Outcome = What;
  Value.Reason = Why;
  return Value;
}

} // namespace

// Guards against the storm of redirects of a service that is full: each refused
// request asked four gates, and the messages delayed all responses.
TEST_CASE("SlotOdds stops redirects while the gates of all zones are full") {
  SlotOdds Odds;
  base::TimePoint Now(1'000);
  for (int I = 0; I < 20; ++I)
    Odds.record(I % 2 == 0, false, Now);
  CHECK(Odds.advice(Now) == SlotOdds::Advice::AcceptAnyWait);
  // Gates are asked again although no answer came meanwhile.
  CHECK(Odds.advice(Now + base::Millis(2'000)) ==
        SlotOdds::Advice::AskLocalZone);
}

// Guards against requests that are refused while another zone has free slots.
TEST_CASE("SlotOdds leaves a full zone while others have slots") {
  SlotOdds Odds;
  base::TimePoint Now(1'000);
  for (int I = 0; I < 20; ++I)
    Odds.record(true, false, Now);
  CHECK(Odds.advice(Now) == SlotOdds::Advice::AskAllZones);
  for (int I = 0; I < 20; ++I)
    Odds.record(false, I % 4 != 0, Now);
  CHECK(Odds.advice(Now) == SlotOdds::Advice::AskAllZones);
}

// A few refusals say little about gates that were not asked.
TEST_CASE("SlotOdds allows redirects after single refusals") {
  SlotOdds Odds;
  Odds.record(true, false, base::TimePoint(1'000));
  Odds.record(true, false, base::TimePoint(1'000));
  CHECK(Odds.advice(base::TimePoint(1'000)) == SlotOdds::Advice::AskLocalZone);
}

TEST_CASE("RequestRateLimit spreads requests over time") {
  RequestRateLimit Limit;
  base::TimePoint Now(0);
  CHECK(Limit.tryAcquire(Now));
  Limit.setRate(RequestRate{10}, Now);
  // A new limit grants no burst: the upstream is in need.
  CHECK_FALSE(Limit.tryAcquire(Now));
  CHECK(Limit.timeUntil(1, Now) == base::Millis(100));
  CHECK(Limit.timeUntil(3, Now) == base::Millis(300));
  Now = base::TimePoint(100);
  CHECK(Limit.tryAcquire(Now));
  CHECK_FALSE(Limit.tryAcquire(Now));
  Limit.giveBack(Now);
  CHECK(Limit.timeUntil(1, Now) == base::Millis(0));
  Limit.setRate(std::nullopt, Now);
  CHECK(Limit.timeUntil(1000, Now) == base::Millis(0));
}

// Guards against a burst after an idle time that exceeds what the upstream
// takes.
TEST_CASE("RequestRateLimit keeps unused capacity for a quarter of a second") {
  auto PerSecond = GENERATE(0.25, 1.0, 43.2, 1000.0);
  RequestRateLimit Limit;
  Limit.setRate(RequestRate{PerSecond}, base::TimePoint(0));
  base::TimePoint Now(60'000);
  unsigned Burst = 0;
  while (Limit.tryAcquire(Now))
    ++Burst;
  CHECK(Burst >= 1);
  CHECK(Burst <= std::max(1.0, PerSecond / 4));
  CHECK(Limit.timeUntil(1, Now) <= base::Millis(2000));
}

TEST_CASE("precedes compares the priority before the objective") {
  base::TimePoint Now(0);
  CHECK(precedes(waitingWork(0, 500, 900, 50), waitingWork(1, 100, 900, 50),
                 Now));
}

TEST_CASE("precedes prefers requests that can still meet their objective") {
  base::TimePoint Now(100);
  CHECK(precedes(waitingWork(1, 400, 900, 90), waitingWork(1, 150, 900, 90),
                 Now));
  CHECK(precedes(waitingWork(1, 260, 900, 90), waitingWork(1, 400, 900, 90),
                 Now));
}

// Guards against nested calls that are refused as late because the mean service
// time of other routes is used for them.
TEST_CASE("precedes uses the service time of each request") {
  base::TimePoint Now(0);
  SchedulingParams ShortRequest = waitingWork(1, 100, 250, 22);
  SchedulingParams LongRequest = waitingWork(1, 400, 1000, 120);
  CHECK(precedes(ShortRequest, LongRequest, Now));
}

namespace {

/// Simulates an upstream under generated load. Its queue uses the gate's order
/// and its rule for late requests, or is a plain FIFO queue.
struct QueueSimulation {
  bool UseFifo = false;
  std::uint32_t Slots = 9;
  std::int64_t ServiceMs = 160;
  std::int64_t ObjectiveMs = 500;
  std::int64_t DeadlineMs = 3000;

  struct Result {
    int Requests = 0;
    int InTime = 0;
    int Late = 0;
    /// Refused after they were queued.
    int RefusedLate = 0;
  };

  /// `Rate` requests per second, `Burst` times as many in the middle third.
  Result run(double Rate, double Burst, std::uint64_t Seed) const {
    std::mt19937_64 Random(Seed);
    std::lognormal_distribution<double> Service(
        std::log(static_cast<double>(ServiceMs)), 0.3);
    constexpr std::int64_t DurationMs = 30'000;
    std::vector<std::int64_t> Running;
    std::deque<SchedulingParams> Waiting;
    Result Totals;
    for (std::int64_t Now = 0; Now < DurationMs + DeadlineMs; ++Now) {
      bool InBurst = Now > DurationMs / 3 && Now < 2 * DurationMs / 3;
      std::poisson_distribution<int> Count(Rate * (InBurst ? Burst : 1) / 1000);
      for (int I = Now < DurationMs ? Count(Random) : 0; I > 0; --I) {
        ++Totals.Requests;
        SchedulingParams Arrival =
            waitingWork(0, Now + ObjectiveMs, Now + DeadlineMs, ServiceMs,
                        static_cast<std::uint64_t>(Totals.Requests));
        bool Refused =
            !UseFifo && Running.size() >= Slots &&
            !admitsToQueue(Arrival, base::TimePoint(Now),
                           base::Millis(expectedWaitMs(Waiting.size())),
                           Waiting.size(), Slots);
        if (!Refused)
          Waiting.push_back(Arrival);
      }
      std::erase_if(Running, [Now](std::int64_t End) { return End <= Now; });
      while (Running.size() < Slots && !Waiting.empty()) {
        auto Next = selectNext(Waiting, Now);
        std::int64_t End = Now + static_cast<std::int64_t>(Service(Random));
        Totals.InTime += End <= Next->Objective.count() ? 1 : 0;
        Totals.Late +=
            End > Next->Objective.count() && End <= Next->Deadline.count() ? 1
                                                                           : 0;
        Running.push_back(End);
        Waiting.erase(Next);
      }
      std::erase_if(Waiting, [&](const SchedulingParams &Each) {
        bool Kept = acceptsLateRequests(Waiting.size(), Slots);
        bool Removed = UseFifo ? Now >= Each.Deadline.count()
                               : isLate(Each, base::TimePoint(Now)) && !Kept;
        Totals.RefusedLate += Removed ? 1 : 0;
        return Removed;
      });
    }
    return Totals;
  }

  std::int64_t expectedWaitMs(std::size_t Queued) const {
    return static_cast<std::int64_t>(Queued + 1) * ServiceMs / Slots;
  }

  std::deque<SchedulingParams>::iterator
  selectNext(std::deque<SchedulingParams> &From, std::int64_t Now) const {
    if (UseFifo)
      return From.begin();
    return std::min_element(
        From.begin(), From.end(), [Now](const auto &Left, const auto &Right) {
          return precedes(Left, Right, base::TimePoint(Now));
        });
  }
};

} // namespace

// Sustained overload: one upstream with nine slots and 160 ms per request has a
// capacity of 56 requests per second and receives 80.
TEST_CASE(
    "Overload simulation uses most of the capacity for requests in time") {
  QueueSimulation Prioritized;
  QueueSimulation Fifo = Prioritized;
  Fifo.UseFifo = true;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    QueueSimulation::Result PrioritizedResult = Prioritized.run(80, 1, Seed);
    QueueSimulation::Result FifoResult = Fifo.run(80, 1, Seed);
    double Capacity = 30 * 9 / 0.167;
    CHECK(PrioritizedResult.InTime > 0.85 * Capacity);
    CHECK(PrioritizedResult.InTime > 5 * FifoResult.InTime);
    CHECK(PrioritizedResult.RefusedLate < PrioritizedResult.Requests / 20);
  }
}

// A burst of 1.7 times the load for ten seconds: queued requests are served, if
// necessary late, and the capacity after the burst is not spent on old
// requests.
TEST_CASE("Burst simulation loses few requests beyond the burst") {
  QueueSimulation Prioritized;
  QueueSimulation Fifo = Prioritized;
  Fifo.UseFifo = true;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    QueueSimulation::Result PrioritizedResult = Prioritized.run(45, 1.7, Seed);
    QueueSimulation::Result FifoResult = Fifo.run(45, 1.7, Seed);
    CHECK(PrioritizedResult.InTime > FifoResult.InTime);
    CHECK(PrioritizedResult.InTime > 0.7 * PrioritizedResult.Requests);
  }
}

TEST_CASE(
    "RetryState redirects without the retry budget until three are busy") {
  RetryState State;
  for (const char *Name : {"a", "b"}) {
    base::EndpointId Id(Name);
    State.beginAttempt(Id);
    CHECK(State.onRefusal(
              Id, refusal(ExecutionOutcome::NotRun, RefusalReason::WaitTooLong),
              true, 2) == RetryState::Step::Redirect);
    CHECK(State.limitsQueueWait());
  }
  base::EndpointId Third("c");
  State.beginAttempt(Third);
  CHECK(State.onRefusal(
            Third,
            refusal(ExecutionOutcome::NotRun, RefusalReason::WaitTooLong), true,
            2) == RetryState::Step::Redirect);
  // Now any endpoint may be asked without a wait limit; its refusal is final.
  CHECK_FALSE(State.limitsQueueWait());
  CHECK(State.excluded().empty());
  State.beginAttempt(Third);
  CHECK(State.onRefusal(
            Third, refusal(ExecutionOutcome::NotRun, RefusalReason::QueueFull),
            true, 2) == RetryState::Step::Stop);
  CHECK(State.upstreamAttempts() == 0);
}

// Guards at-most-once execution: a request that may have run is resent only if
// it is repeatable.
TEST_CASE("RetryState retries only requests that may run again") {
  base::EndpointId Id("a");
  RetryState Once;
  Once.beginAttempt(Id);
  CHECK(Once.onRefusal(
            Id,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            false, 3) == RetryState::Step::Stop);
  RetryState Often;
  Often.beginAttempt(Id);
  CHECK(Often.onRefusal(
            Id,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            true, 3) == RetryState::Step::Retry);
  RetryState Shed;
  Shed.beginAttempt(Id);
  CHECK(Shed.onRefusal(
            Id, refusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamShed),
            false, 3) == RetryState::Step::Retry);
}

TEST_CASE("RetryState respects the maximum attempts of its route") {
  RetryState State;
  base::EndpointId First("a");
  base::EndpointId Second("b");
  State.beginAttempt(First);
  CHECK(State.onRefusal(
            First,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            true, 2) == RetryState::Step::Retry);
  State.beginAttempt(Second);
  CHECK(State.onRefusal(
            Second,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            true, 2) == RetryState::Step::Stop);
}

TEST_CASE("retryAfter follows the capacity delay up to a third of the time") {
  CHECK(retryAfter(base::Millis(200), base::Millis(3000), 0) ==
        base::Millis(200));
  CHECK(retryAfter(base::Millis(900), base::Millis(600), 0) ==
        base::Millis(200));
  CHECK(retryAfter(base::Millis(0), base::Millis(3000), 0) == base::Millis(30));
  // Jitter separates callers that were refused together.
  CHECK(retryAfter(base::Millis(200), base::Millis(3000), -1) <
        retryAfter(base::Millis(200), base::Millis(3000), 1));
}

// Guards the shared retry budget: nodes exchange no messages about it, so the
// sum of their retries must not exceed the budget in any window.
TEST_CASE("SharedRetryBudget is not exceeded in any window") {
  constexpr std::uint64_t Seed = 5;
  std::mt19937_64 Random(Seed);
  INFO("seed " << Seed);
  SharedRetryBudget Shared{0.2, 60, base::Millis(10'000)};
  constexpr std::size_t Nodes = 15;
  std::vector<RetryBudget> Parts(
      Nodes, RetryBudget(base::TimePoint(0), Shared.ratesPerNode(Nodes)));
  std::vector<std::pair<int, int>> PerTick;
  for (std::int64_t Now = 0; Now < 60'000; Now += 100) {
    int Requests = 0;
    int Retries = 0;
    for (RetryBudget &Each : Parts) {
      if (Random() % 4 == 0) {
        Each.recordRequest(base::TimePoint(Now));
        ++Requests;
      }
      while (Each.tryAcquire(base::TimePoint(Now)))
        ++Retries;
    }
    PerTick.emplace_back(Requests, Retries);
  }
  for (std::size_t Begin = 0; Begin + 100 <= PerTick.size(); ++Begin) {
    int Requests = 0;
    int Retries = 0;
    for (std::size_t I = Begin; I < Begin + 100; ++I) {
      Requests += PerTick[I].first;
      Retries += PerTick[I].second;
    }
    REQUIRE(Retries <= 0.2 * Requests + 60);
  }
}

// Load pattern: a VM is lost, and all requests that ran there fail at once. One
// of 294 nodes has a part of the shared retries that is less than one a second.
TEST_CASE("SharedRetryBudget covers requests that fail together") {
  SharedRetryBudget Shared{0.2, 630, base::Millis(10'000)};
  RetryBudget Node(base::TimePoint(0), Shared.ratesPerNode(294));
  std::int64_t Now = 0;
  for (; Now < 10'000; Now += 50)
    Node.recordRequest(base::TimePoint(Now));
  int Granted = 0;
  while (Node.tryAcquire(base::TimePoint(Now)))
    ++Granted;
  // A third of what 180 or more requests in the window allow.
  CHECK(Granted >= 10);
  // The rest is granted over the window.
  for (std::int64_t Passed = 0; Passed < 9'000; Passed += 50) {
    Node.recordRequest(base::TimePoint(Now + Passed));
    while (Node.tryAcquire(base::TimePoint(Now + Passed)))
      ++Granted;
  }
  CHECK(Granted >= 30);
  CHECK(Granted <= 0.2 * 200 + 630.0 / 294);
}

// Load pattern: all upstreams refuse half of their requests for seconds.
TEST_CASE("RetryBudget lasts as long as a fault") {
  RetryBudget Node(base::TimePoint(0), {0.18, 2, base::Millis(10'000)});
  std::int64_t Now = 0;
  for (; Now < 10'000; Now += 50)
    Node.recordRequest(base::TimePoint(Now));
  std::vector<int> PerThreeSeconds(3);
  for (std::int64_t Passed = 0; Passed < 9'000; Passed += 50) {
    Node.recordRequest(base::TimePoint(Now + Passed));
    while (Node.tryAcquire(base::TimePoint(Now + Passed)))
      ++PerThreeSeconds[static_cast<std::size_t>(Passed / 3'000)];
  }
  for (int Granted : PerThreeSeconds)
    CHECK(Granted >= 8);
}

// Guards against nodes that outnumber the shared retries and take one each.
TEST_CASE("SharedRetryBudget holds with more nodes than retries") {
  SharedRetryBudget Shared{0.2, 60, base::Millis(10'000)};
  constexpr std::size_t Nodes = 200;
  int Granted = 0;
  for (std::size_t I = 0; I < Nodes; ++I) {
    RetryBudget Node(base::TimePoint(0), Shared.ratesPerNode(Nodes));
    for (std::int64_t Now = 0; Now < 10'000; Now += 100)
      Granted += Node.tryAcquire(base::TimePoint(Now)) ? 1 : 0;
  }
  CHECK(Granted <= 60);
}

// Guards against repeated request failures on connections that the upstream has
// already dropped.
TEST_CASE(
    "IdleLimit halves the idle time after which a connection was dropped") {
  IdleLimit Limit;
  base::TimePoint Now(1'000);
  CHECK(Limit.allows(Now, base::Millis(900)));
  Limit.recordReset(Now, base::Millis(400), base::Millis(1));
  CHECK_FALSE(Limit.allows(Now, base::Millis(400)));
  CHECK(Limit.allows(Now, base::Millis(200)));
  Limit.recordReset(Now, base::Millis(300), base::Millis(1));
  CHECK_FALSE(Limit.allows(Now, base::Millis(150)));
  CHECK(Limit.allows(Now, base::Millis(100)));
}

TEST_CASE("IdleLimit ignores a reset while the request was running") {
  IdleLimit Limit;
  Limit.recordReset(base::TimePoint(1'000), base::Millis(400),
                    base::Millis(150));
  CHECK(Limit.allows(base::TimePoint(1'000), base::Millis(900)));
}

TEST_CASE("IdleLimit expires a loss and keeps some reuse") {
  IdleLimit Limit;
  base::TimePoint Now(1'000);
  for (int I = 0; I < 10; ++I)
    Limit.recordReset(Now, base::Millis(30), base::Millis(1));
  CHECK(Limit.allows(Now, IdleLimit::MinLimit));
  CHECK_FALSE(Limit.allows(Now, base::Millis(900)));
  CHECK(Limit.allows(Now + IdleLimit::Retention, base::Millis(900)));
}

// Guards against callers that use up their attempts within the second that a
// newly started node needs to get its configuration.
TEST_CASE("capacityDelayAfter delays callers of a newly started node") {
  CHECK(capacityDelayAfter(RefusalReason::NoConfiguration, std::nullopt)
            ->count() >= 500);
  CHECK(capacityDelayAfter(RefusalReason::NoEndpoint, base::Millis(30))
            ->count() >= 500);
  CHECK(capacityDelayAfter(RefusalReason::QueueFull, base::Millis(30)) ==
        base::Millis(30));
  CHECK_FALSE(capacityDelayAfter(RefusalReason::QueueFull, std::nullopt));
  auto Delay = capacityDelayAfter(RefusalReason::NoConfiguration, std::nullopt);
  CHECK(retryAfter(Delay, base::Millis(2'000), 0).count() == 666);
}

} // namespace amaranth::dataplane
