#include "AttemptPlan.h"
#include "IdleLimit.h"
#include "WorkOrder.h"
#include "amaranth/dataplane/RetryBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>

namespace amaranth::dataplane {

namespace {

WaitingWork work(std::uint32_t Priority, std::int64_t Objective,
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

TEST_CASE("goesFirst puts the rank before the objective") {
  base::TimePoint Now(0);
  CHECK(goesFirst(work(0, 500, 900, 50), work(1, 100, 900, 50), Now));
}

TEST_CASE("goesFirst puts what can still be in time before what cannot") {
  base::TimePoint Now(100);
  CHECK(goesFirst(work(1, 400, 900, 90), work(1, 150, 900, 90), Now));
  CHECK(goesFirst(work(1, 260, 900, 90), work(1, 400, 900, 90), Now));
}

// Guards against calls of running work that are refused because the mean time
// of other routes makes them look late.
TEST_CASE("goesFirst judges each request by its own time") {
  base::TimePoint Now(0);
  WaitingWork Call = work(1, 100, 250, 22);
  WaitingWork Order = work(1, 400, 1000, 120);
  CHECK(goesFirst(Call, Order, Now));
}

namespace {

/// An upstream under a recorded or generated load, with the order and the
/// rule for late requests of the gate, or with a plain queue.
struct Replay {
  bool Plain = false;
  std::uint32_t Slots = 9;
  std::int64_t ServiceMs = 160;
  std::int64_t ObjectiveMs = 500;
  std::int64_t DeadlineMs = 3000;

  struct Result {
    int Asked = 0;
    int InTime = 0;
    int Late = 0;
    /// Refused after more than an eighth of the objective.
    int RefusedLate = 0;
  };

  /// `Rate` requests a second, `Burst` times as many in the middle third.
  Result play(double Rate, double Burst, std::uint64_t Seed) const {
    std::mt19937_64 Random(Seed);
    std::lognormal_distribution<double> Service(
        std::log(static_cast<double>(ServiceMs)), 0.3);
    constexpr std::int64_t Length = 30'000;
    std::vector<std::int64_t> Running;
    std::deque<WaitingWork> Waiting;
    Result Sum;
    for (std::int64_t Now = 0; Now < Length + DeadlineMs; ++Now) {
      bool Middle = Now > Length / 3 && Now < 2 * Length / 3;
      std::poisson_distribution<int> Count(Rate * (Middle ? Burst : 1) / 1000);
      for (int I = Now < Length ? Count(Random) : 0; I > 0; --I) {
        ++Sum.Asked;
        WaitingWork New =
            work(0, Now + ObjectiveMs, Now + DeadlineMs, ServiceMs,
                 static_cast<std::uint64_t>(Sum.Asked));
        bool Refused = !Plain && Running.size() >= Slots &&
                       !hasRoom(New, base::TimePoint(Now),
                                base::Millis(waitOf(Waiting.size())),
                                Waiting.size(), Slots);
        if (!Refused)
          Waiting.push_back(New);
      }
      std::erase_if(Running, [Now](std::int64_t End) { return End <= Now; });
      while (Running.size() < Slots && !Waiting.empty()) {
        auto Next = pick(Waiting, Now);
        std::int64_t End = Now + static_cast<std::int64_t>(Service(Random));
        Sum.InTime += End <= Next->Objective.count() ? 1 : 0;
        Sum.Late +=
            End > Next->Objective.count() && End <= Next->Deadline.count() ? 1
                                                                           : 0;
        Running.push_back(End);
        Waiting.erase(Next);
      }
      std::erase_if(Waiting, [&](const WaitingWork &Each) {
        bool Kept = holdsLate(Waiting.size(), Slots);
        bool Gone = Plain ? Now >= Each.Deadline.count()
                          : isLate(Each, base::TimePoint(Now)) && !Kept;
        Sum.RefusedLate += Gone ? 1 : 0;
        return Gone;
      });
    }
    return Sum;
  }

  std::int64_t waitOf(std::size_t Queued) const {
    return static_cast<std::int64_t>(Queued + 1) * ServiceMs / Slots;
  }

  std::deque<WaitingWork>::iterator pick(std::deque<WaitingWork> &From,
                                         std::int64_t Now) const {
    if (Plain)
      return From.begin();
    return std::min_element(
        From.begin(), From.end(), [Now](const auto &Left, const auto &Right) {
          return goesFirst(Left, Right, base::TimePoint(Now));
        });
  }
};

} // namespace

// Sustained overload: one upstream with nine slots of 160 ms serves 56
// requests a second and gets 80.
TEST_CASE("Replay of overload serves most of the capacity in time") {
  Replay Ours;
  Replay Plain = Ours;
  Plain.Plain = true;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Replay::Result With = Ours.play(80, 1, Seed);
    Replay::Result Without = Plain.play(80, 1, Seed);
    double Capacity = 30 * 9 / 0.167;
    CHECK(With.InTime > 0.85 * Capacity);
    CHECK(With.InTime > 5 * Without.InTime);
    CHECK(With.RefusedLate < With.Asked / 20);
  }
}

// A burst of 1.7 times for ten seconds: what queued up is served, late at
// worst, and the time after the burst is not spent on old requests.
TEST_CASE("Replay of a burst loses little beyond the burst") {
  Replay Ours;
  Replay Plain = Ours;
  Plain.Plain = true;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Replay::Result With = Ours.play(45, 1.7, Seed);
    Replay::Result Without = Plain.play(45, 1.7, Seed);
    CHECK(With.InTime > Without.InTime);
    CHECK(With.InTime > 0.7 * With.Asked);
  }
}

TEST_CASE("AttemptPlan redirects without the budget until three are busy") {
  AttemptPlan Plan;
  for (const char *Name : {"a", "b"}) {
    base::EndpointId Id(Name);
    Plan.begin(Id);
    CHECK(Plan.refused(
              Id, refusal(ExecutionOutcome::NotRun, RefusalReason::WaitTooLong),
              true, 2) == AttemptPlan::Step::Redirect);
    CHECK(Plan.patient());
  }
  base::EndpointId Third("c");
  Plan.begin(Third);
  CHECK(Plan.refused(
            Third,
            refusal(ExecutionOutcome::NotRun, RefusalReason::WaitTooLong), true,
            2) == AttemptPlan::Step::Redirect);
  // Now any of them, however late; its refusal is the last word.
  CHECK_FALSE(Plan.patient());
  CHECK(Plan.avoided().empty());
  Plan.begin(Third);
  CHECK(Plan.refused(
            Third, refusal(ExecutionOutcome::NotRun, RefusalReason::QueueFull),
            true, 2) == AttemptPlan::Step::Stop);
  CHECK(Plan.sends() == 0);
}

// Guards at-most-once: what may have run is repeated only if it may be.
TEST_CASE("AttemptPlan repeats only what may run again") {
  base::EndpointId Id("a");
  AttemptPlan Once;
  Once.begin(Id);
  CHECK(Once.refused(
            Id,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            false, 3) == AttemptPlan::Step::Stop);
  AttemptPlan Often;
  Often.begin(Id);
  CHECK(Often.refused(
            Id,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            true, 3) == AttemptPlan::Step::Retry);
  AttemptPlan Shed;
  Shed.begin(Id);
  CHECK(Shed.refused(
            Id, refusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamShed),
            false, 3) == AttemptPlan::Step::Retry);
}

TEST_CASE("AttemptPlan stays within the attempts of its route") {
  AttemptPlan Plan;
  base::EndpointId First("a");
  base::EndpointId Second("b");
  Plan.begin(First);
  CHECK(Plan.refused(
            First,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            true, 2) == AttemptPlan::Step::Retry);
  Plan.begin(Second);
  CHECK(Plan.refused(
            Second,
            refusal(ExecutionOutcome::Unknown, RefusalReason::UpstreamBroken),
            true, 2) == AttemptPlan::Step::Stop);
}

TEST_CASE("retryAfter follows the room and stays within a third of the time") {
  CHECK(retryAfter(base::Millis(200), base::Millis(3000), 0) ==
        base::Millis(200));
  CHECK(retryAfter(base::Millis(900), base::Millis(600), 0) ==
        base::Millis(200));
  CHECK(retryAfter(base::Millis(0), base::Millis(3000), 0) == base::Millis(30));
  // Callers that were refused together come back apart.
  CHECK(retryAfter(base::Millis(200), base::Millis(3000), -1) <
        retryAfter(base::Millis(200), base::Millis(3000), 1));
}

// Guards the budget that all nodes share: they exchange no messages about it,
// so the parts must not add up to more than the whole in any window.
TEST_CASE("SharedBudget parts stay within the whole in every window") {
  constexpr std::uint64_t Seed = 5;
  std::mt19937_64 Random(Seed);
  INFO("seed " << Seed);
  SharedBudget Whole{0.2, 60, base::Millis(10'000)};
  constexpr std::size_t Nodes = 15;
  std::vector<RetryBudget> Parts(
      Nodes, RetryBudget(base::TimePoint(0), Whole.partOf(Nodes)));
  std::vector<std::pair<int, int>> PerTick;
  for (std::int64_t Now = 0; Now < 60'000; Now += 100) {
    int Requests = 0;
    int Retries = 0;
    for (RetryBudget &Each : Parts) {
      if (Random() % 4 == 0) {
        Each.request(base::TimePoint(Now));
        ++Requests;
      }
      while (Each.take(base::TimePoint(Now)))
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

// Guards against losing one request after the other on connections that the
// upstream has forgotten.
TEST_CASE("IdleLimit halves the time after which a connection was forgotten") {
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

TEST_CASE("IdleLimit ignores a reset while the request was at work") {
  IdleLimit Limit;
  Limit.recordReset(base::TimePoint(1'000), base::Millis(400),
                    base::Millis(150));
  CHECK(Limit.allows(base::TimePoint(1'000), base::Millis(900)));
}

TEST_CASE("IdleLimit forgets a loss and keeps some reuse") {
  IdleLimit Limit;
  base::TimePoint Now(1'000);
  for (int I = 0; I < 10; ++I)
    Limit.recordReset(Now, base::Millis(30), base::Millis(1));
  CHECK(Limit.allows(Now, IdleLimit::MinLimit));
  CHECK_FALSE(Limit.allows(Now, base::Millis(900)));
  CHECK(Limit.allows(Now + IdleLimit::Retention, base::Millis(900)));
}

// Guards against callers that spend all of their tries within the second in
// which a node that has just started gets its configuration.
TEST_CASE("roomAfter lets callers of a node that has just started wait") {
  CHECK(roomAfter(RefusalReason::NoConfiguration, std::nullopt)->count() >=
        500);
  CHECK(roomAfter(RefusalReason::NoEndpoint, base::Millis(30))->count() >= 500);
  CHECK(roomAfter(RefusalReason::QueueFull, base::Millis(30)) ==
        base::Millis(30));
  CHECK_FALSE(roomAfter(RefusalReason::QueueFull, std::nullopt));
  auto Room = roomAfter(RefusalReason::NoConfiguration, std::nullopt);
  CHECK(retryAfter(Room, base::Millis(2'000), 0).count() == 666);
}

} // namespace amaranth::dataplane
