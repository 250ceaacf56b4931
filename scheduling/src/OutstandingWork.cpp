#include "amaranth/scheduling/OutstandingWork.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace amaranth::scheduling {

namespace {

/// Returns the `Count` fractions 1/(n+1) to n/(n+1) in an order without
/// relation to that of the requests. Independent requests with the same
/// distribution end at these quantiles on average, so the first of many ends
/// long before its mean.
std::vector<double> spreadFractions(std::size_t Count) {
  constexpr double GoldenRatio = 0.6180339887498949;
  std::vector<std::size_t> Order(Count);
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  auto Key = [](std::size_t Index) {
    double Position = static_cast<double>(Index + 1) * GoldenRatio;
    return Position - std::floor(Position);
  };
  std::sort(Order.begin(), Order.end(),
            [&](std::size_t Left, std::size_t Right) {
              return Key(Left) < Key(Right);
            });
  std::vector<double> Fractions(Count);
  for (std::size_t Rank = 0; Rank < Count; ++Rank)
    Fractions[Order[Rank]] =
        static_cast<double>(Rank + 1) / static_cast<double>(Count + 1);
  return Fractions;
}

} // namespace

void OutstandingWork::addRunning(const base::RouteName &Route,
                                 base::Millis Elapsed) {
  base::Millis Left = Costs.remaining(Route, Elapsed, Now);
  TotalMs += Left.count();
  Running.push_back({&Route, Elapsed, Left});
}

void OutstandingWork::addWaiting(base::Millis Expected) {
  TotalMs += Expected.count();
  // A request that costs nothing would never delay the next one.
  Waiting.push_back(std::max(Expected, base::Millis(1)));
}

std::int64_t
OutstandingWork::simulate(const std::vector<double> &Fractions) const {
  // Times at which slots become free, as a heap with the earliest first.
  std::vector<std::int64_t> Free;
  Free.reserve(std::max<std::size_t>(Slots, Running.size()));
  for (std::size_t I = 0; I < Running.size(); ++I)
    Free.push_back(Costs
                       .remainingQuantile(*Running[I].Route, Running[I].Elapsed,
                                          Fractions[I], Now)
                       .count());
  while (Free.size() < Slots)
    Free.push_back(0);
  std::make_heap(Free.begin(), Free.end(), std::greater<>());
  auto PopFirst = [&Free] {
    std::pop_heap(Free.begin(), Free.end(), std::greater<>());
    std::int64_t First = Free.back();
    Free.pop_back();
    return First;
  };
  // The slot limit may have been lowered: the first requests that end make no
  // room.
  while (Free.size() > Slots)
    PopFirst();
  for (base::Millis Each : Waiting) {
    Free.push_back(PopFirst() + Each.count());
    std::push_heap(Free.begin(), Free.end(), std::greater<>());
  }
  return Free.front();
}

base::Millis OutstandingWork::untilSlot() const {
  if (Running.size() + Waiting.size() < Slots)
    return base::Millis(0);
  if (Slots == 0)
    return Costs.mean(Now);
  std::vector<double> Fractions = spreadFractions(Running.size());
  std::int64_t Sum = simulate(Fractions);
  // The mirrored fractions make up for the arbitrary order.
  for (double &Each : Fractions)
    Each = 1 - Each;
  Sum += simulate(Fractions);
  return base::Millis(Sum / 2);
}

} // namespace amaranth::scheduling
