#include "SchedulingOrder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace amaranth::dataplane {

namespace {

constexpr int Customers = 10;

/// Requests of each customer in one run.
struct Served {
  std::vector<int> Sent = std::vector<int>(Customers);
  std::vector<int> InTime = std::vector<int>(Customers);
};

/// Simulates an upstream with the gate's rules for waiting requests. Customer
/// 0 sends `FirstFactor` times as much as each of the others.
struct ShareSimulation {
  bool UseShares = true;
  double FirstFactor = 7.5;
  std::int64_t ObjectiveMs = 500;
  std::int64_t DeadlineMs = 2000;

  static constexpr double UsualPerMs = 0.01;
  static constexpr std::int64_t DurationMs = 60'000;
  /// 70 % of the load: 16.5 times 10 requests a second.
  static constexpr std::uint32_t Slots = 12;
  static constexpr std::int64_t ServiceMs = 104;

  Served run(std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::lognormal_distribution<double> Service(
        std::log(static_cast<double>(ServiceMs)) - 0.02, 0.2);
    Served Totals;
    std::vector<std::int64_t> Running;
    std::vector<SchedulingParams> Waiting;
    CustomerShares Shares;
    std::uint64_t Sequence = 0;
    for (std::int64_t Now = 0; Now < DurationMs; ++Now) {
      base::TimePoint Time(Now);
      for (std::size_t Id = 0; Id < Customers; ++Id) {
        std::poisson_distribution<int> Count(UsualPerMs *
                                             (Id == 0 ? FirstFactor : 1));
        for (int I = Count(Random); I > 0; --I) {
          ++Totals.Sent[Id];
          Waiting.push_back({0, base::TimePoint(Now + ObjectiveMs),
                             base::TimePoint(Now + DeadlineMs),
                             base::Millis(ServiceMs), ++Sequence,
                             static_cast<ShareId>(Id + 1)});
          assign(Shares, Waiting, Time);
          if (Running.size() >= Slots && !admits(Waiting, Time))
            Waiting.pop_back();
        }
      }
      std::erase_if(Running, [Now](std::int64_t End) { return End <= Now; });
      while (Running.size() < Slots && !Waiting.empty()) {
        assign(Shares, Waiting, Time);
        auto Next = std::ranges::min_element(
            Waiting, [Time](const auto &Left, const auto &Right) {
              return precedes(Left, Right, Time);
            });
        std::int64_t End = Now + static_cast<std::int64_t>(Service(Random));
        if (End <= Next->Deadline.count())
          ++Totals.InTime[Next->Customer - 1];
        Shares.recordService(*Next, Time);
        Running.push_back(End);
        Waiting.erase(Next);
      }
      bool KeepsLate = acceptsLateRequests(Waiting.size(), Slots);
      std::erase_if(Waiting, [&](const SchedulingParams &Each) {
        return isLate(Each, Time) && !KeepsLate;
      });
    }
    return Totals;
  }

private:
  void assign(const CustomerShares &Shares,
              std::vector<SchedulingParams> &Waiting,
              base::TimePoint Time) const {
    if (UseShares)
      Shares.assignTurns(Waiting, Time);
  }

  /// Whether the gate admits the last one of `Waiting`.
  static bool admits(const std::vector<SchedulingParams> &Waiting,
                     base::TimePoint Time) {
    const SchedulingParams &New = Waiting.back();
    auto Ahead = std::ranges::count_if(
        Waiting, [&](const auto &Each) { return precedes(Each, New, Time); });
    base::Millis Wait((Ahead + 1) * ServiceMs / Slots);
    return Ahead < 2 * Slots &&
           admitsToQueue(New, Time, Wait, Waiting.size() - 1, Slots);
  }
};

double servedPart(const Served &Totals, std::size_t Id) {
  return static_cast<double>(Totals.InTime[Id]) / Totals.Sent[Id];
}

} // namespace

// One customer sends 7.5 times its usual, nine others theirs, and the slots
// suffice for 70 % of the sum. Guards against a customer that takes slots away
// from the others.
TEST_CASE("CustomerShares keeps nine customers served beside a large one") {
  ShareSimulation Fair;
  ShareSimulation ByArrival = Fair;
  ByArrival.UseShares = false;
  ShareSimulation Alone = Fair;
  Alone.FirstFactor = 0;
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    INFO("seed " << Seed);
    Served WithFirst = Fair.run(Seed);
    Served WithoutShares = ByArrival.run(Seed);
    Served WithoutFirst = Alone.run(Seed);
    for (std::size_t Id = 1; Id < Customers; ++Id) {
      INFO("customer " << Id);
      double Bound = 0.9 * servedPart(WithoutFirst, Id);
      CHECK(servedPart(WithFirst, Id) >= Bound);
      CHECK(servedPart(WithoutShares, Id) < Bound);
    }
    // The large one gets what is left.
    int All = 0;
    for (int Count : WithFirst.InTime)
      All += Count;
    double Capacity = static_cast<double>(ShareSimulation::DurationMs) *
                      ShareSimulation::Slots / ShareSimulation::ServiceMs;
    CHECK(All > 0.9 * Capacity);
    CHECK(servedPart(WithFirst, 0) > 0.25 * 0.7);
  }
}

TEST_CASE("CustomerShares leaves the order of requests without customers") {
  CustomerShares Shares;
  base::TimePoint Now(0);
  std::vector<SchedulingParams> Calls(3);
  for (int I = 0; I < 100; ++I)
    Shares.recordService(Calls[0], Now);
  Shares.assignTurns(Calls, Now);
  for (const SchedulingParams &Each : Calls)
    CHECK(Each.Turn == 0);
  // Calls do not count against callers without a customer in another rank.
  std::vector<SchedulingParams> Mixed(2);
  Mixed[0].Priority = Mixed[1].Priority = 1001;
  Mixed[1].Customer = shareIdOf(base::CustomerName("acme"));
  Shares.recordService(Mixed[1], Now);
  Shares.assignTurns(Mixed, Now);
  CHECK(precedes(Mixed[0], Mixed[1], Now));
}

} // namespace amaranth::dataplane
