// Measures the quotas over all nodes in simulated time: usable share of the
// limits, refusals below the limit, messages and bytes a second.
// Usage: amaranth-bench-quotas [NODES [SECONDS [SEED]]]

#include "QuotaSimulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <numeric>
#include <string>

namespace amaranth::dataplane::testing {

namespace {

constexpr std::size_t CustomerCount = 78;
constexpr double Total = 1850;
constexpr double Largest = Total / 3;
constexpr double Smallest = 3;
/// The other customers' shares fall with this power of their rank.
constexpr double Power = 1.1;
constexpr std::int64_t WarmMs = 3000;
/// Reserves fill slowly.
constexpr std::int64_t ReserveWarmMs = 20'000;

std::vector<document::Customer> makeCustomers() {
  double Sum = 0;
  for (std::size_t I = 1; I < CustomerCount; ++I)
    Sum += std::pow(static_cast<double>(I), -Power);
  std::vector<document::Customer> Result;
  for (std::size_t I = 0; I < CustomerCount; ++I) {
    document::Customer Each;
    Each.Name = base::CustomerName(fmt::format("customer-{}", I));
    double Share = I == 0 ? Largest
                          : (Total - Largest) *
                                std::pow(static_cast<double>(I), -Power) / Sum;
    Each.RequestsPerSecond = std::max(Smallest, std::round(Share));
    Each.Burst = std::ceil(Each.RequestsPerSecond / 2);
    Result.push_back(std::move(Each));
  }
  return Result;
}

/// `Hot`: customers, from the largest, that send six times their limit; all
/// others send up to 80 % of theirs.
void measure(std::size_t Nodes, std::int64_t Seconds, std::uint64_t Seed,
             std::size_t Hot) {
  QuotaSimulation::Settings Options;
  Options.Nodes = Nodes;
  Options.Zones = Nodes > 1000 ? 9 : 3;
  Options.Seed = Seed;
  auto Started = std::chrono::steady_clock::now();
  QuotaSimulation Mesh(Options);
  Mesh.CountBytes = true;
  auto Customers = makeCustomers();
  Mesh.setCustomers(Customers);
  Mesh.run(WarmMs);
  auto Loaded = std::chrono::steady_clock::now();
  std::uint64_t Messages = Mesh.Messages;
  std::uint64_t Bytes = Mesh.Bytes;
  std::vector<std::size_t> All(Nodes);
  std::iota(All.begin(), All.end(), 0);
  std::int64_t End = WarmMs + Seconds * 1000;
  for (std::size_t I = 0; I < Customers.size(); ++I)
    Mesh.load(Customers[I],
              Customers[I].RequestsPerSecond * (I < Hot ? 6 : 0.8), All, End,
              I < Hot ? 0 : 0.8);
  Mesh.run(End);
  auto Finished = std::chrono::steady_clock::now();
  double UsableMin = 1e9;
  std::uint64_t Refused = 0;
  std::uint64_t Requests = 0;
  double WorstOfBound = 0;
  for (std::size_t I = 0; I < Customers.size(); ++I) {
    const document::Customer &Each = Customers[I];
    auto &Result = Mesh.result(Each);
    Requests += Result.Requests;
    if (I < Hot)
      UsableMin =
          std::min(UsableMin,
                   static_cast<double>(Result.AdmittedAt.size()) /
                       (Each.RequestsPerSecond * static_cast<double>(Seconds)));
    else
      Refused += Result.Refused;
    WorstOfBound =
        std::max(WorstOfBound, static_cast<double>(Mesh.worstWindow(Each)) /
                                   QuotaSimulation::bound(Each));
  }
  auto Span = static_cast<double>(Seconds);
  std::string Usable = Hot > 0 ? fmt::format("{:.3f}", UsableMin) : "-";
  std::cout << fmt::format(
                   "nodes={} hot={} requests/s={:.0f} usable={} "
                   "refused-below-limit={} messages/s={:.0f} KB/s={:.0f} "
                   "worst-window-of-bound={:.3f} setup={:.1f}s cpu={:.1f}s",
                   Nodes, Hot, static_cast<double>(Requests) / Span, Usable,
                   Refused,
                   static_cast<double>(Mesh.Messages - Messages) / Span,
                   static_cast<double>(Mesh.Bytes - Bytes) / Span / 1000,
                   WorstOfBound,
                   std::chrono::duration<double>(Loaded - Started).count(),
                   std::chrono::duration<double>(Finished - Loaded).count())
            << std::endl;
}

/// Refusals of one customer at up to 80 % of its limit while an owner is away
/// for `Away` ms, in the 8 s after its loss and in the 4 s after its return.
void measureLoss(double Rate, std::int64_t Away, std::uint64_t Seed) {
  constexpr std::size_t NodeCount = 71;
  QuotaSimulation::Settings Options;
  Options.ControlLease = 8000;
  Options.MaxViewLag = 1000;
  Options.Seed = Seed;
  QuotaSimulation Mesh(Options);
  document::Customer Limit;
  Limit.Name = base::CustomerName("c");
  Limit.RequestsPerSecond = Rate;
  Limit.Burst = std::ceil(Rate / 2);
  Mesh.setCustomers({Limit});
  Mesh.run(ReserveWarmMs);
  std::vector<std::size_t> Callers;
  std::size_t Owner = NodeCount;
  for (std::size_t I = 0; I < NodeCount; ++I)
    if (Mesh.owned(I) > 0 && Owner == NodeCount)
      Owner = I;
    else
      Callers.push_back(I);
  Mesh.load(Limit, Rate * 0.8, Callers, Mesh.now() + 2000 + Away + 4000, 0.8);
  Mesh.run(Mesh.now() + 2000);
  std::uint64_t Before = Mesh.result(Limit).Refused;
  Mesh.restart(Owner, Mesh.now() + Away);
  Mesh.run(Mesh.now() + Away);
  std::uint64_t Gone = Mesh.result(Limit).Refused;
  Mesh.run(Mesh.now() + 4000);
  std::cout << fmt::format("rate={} owner-away={}ms refused-before={} "
                           "refused-while-away={} refused-after-return={}",
                           Rate, Away, Before, Gone - Before,
                           Mesh.result(Limit).Refused - Gone)
            << std::endl;
}

} // namespace

} // namespace amaranth::dataplane::testing

int main(int Count, char **Values) {
  std::vector<std::string> Args(Values + 1, Values + Count);
  std::size_t Nodes = Args.empty() ? 71 : std::stoul(Args[0]);
  std::int64_t Seconds = Args.size() < 2 ? 20 : std::stol(Args[1]);
  std::uint64_t Seed = Args.size() < 3 ? 1 : std::stoull(Args[2]);
  std::cout << "seed " << Seed << std::endl;
  for (std::size_t Hot : {0, 1, 3})
    amaranth::dataplane::testing::measure(Nodes, Seconds, Seed, Hot);
  for (double Rate : {3, 20, 120, 600})
    for (std::int64_t Away : {2000, 12'000})
      amaranth::dataplane::testing::measureLoss(Rate, Away, Seed);
}
