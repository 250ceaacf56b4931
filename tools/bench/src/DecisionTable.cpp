#include "DecisionTable.h"

#include "DecisionSimulation.h"
#include "amaranth/dataplane/Balancer.h"
#include "amaranth/scheduling/OutstandingWork.h"

#include <fmt/format.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace amaranth::bench {

namespace {

using dataplane::DecisionRule;
using dataplane::SimulationPlan;
using dataplane::SimulationResult;

struct Pattern {
  std::string Name;
  std::function<void(SimulationPlan &)> Apply;
};

std::vector<Pattern> patterns() {
  std::vector<Pattern> All;
  for (int Percent : {70, 90, 110, 140})
    All.push_back(
        {fmt::format("steady {} %", Percent),
         [Percent](SimulationPlan &Plan) { Plan.Load = Percent / 100.0; }});
  All.push_back({"wave 85 +- 25 %", [](SimulationPlan &Plan) {
                   Plan.Load = 0.85;
                   Plan.Wave = 0.3;
                 }});
  All.push_back({"heavy tail 85 %", [](SimulationPlan &Plan) {
                   Plan.Load = 0.85;
                   Plan.TailShare = 0.03;
                 }});
  All.push_back({"uneven speed 90 %", [](SimulationPlan &Plan) {
                   Plan.Load = 0.9;
                   Plan.SpeedSpread = 3;
                 }});
  All.push_back({"uneven, tail 90 %", [](SimulationPlan &Plan) {
                   Plan.Load = 0.9;
                   Plan.SpeedSpread = 3;
                   Plan.TailShare = 0.03;
                 }});
  All.push_back({"190/1100 ms 80 %", [](SimulationPlan &Plan) {
                   Plan.Load = 0.8;
                   Plan.Routes = {{"short", 0.7, 190}, {"long", 0.3, 1'100}};
                   Plan.Objective = 1'800;
                 }});
  All.push_back({"slow 5 s 85 %", [](SimulationPlan &Plan) {
                   Plan.Load = 0.85;
                   Plan.SlowFrom = 12'000;
                   Plan.SlowUntil = 17'000;
                 }});
  return All;
}

void printRow(const Pattern &Each, SimulationPlan Plan, const char *Name,
              DecisionRule Rule, std::uint64_t FirstSeed, unsigned Seeds) {
  Each.Apply(Plan);
  double Requests = 0;
  double InTime = 0;
  double Late = 0;
  double Refused = 0;
  double MeanMs = 0;
  double P99Ms = 0;
  for (unsigned I = 0; I < Seeds; ++I) {
    Plan.Seed = FirstSeed + I;
    SimulationResult Result = simulate(Plan, Rule);
    Requests += Result.Requests;
    InTime += Result.InTime;
    Late += Result.Late;
    Refused += Result.Refused;
    MeanMs += Result.MeanMs / Seeds;
    P99Ms += Result.P99Ms / Seeds;
  }
  auto Percent = [Requests](double Part) { return 100 * Part / Requests; };
  std::cout << fmt::format(
                   "{:<18} {:>7} {:<12} {:>8.0f} {:>9.2f} {:>8.2f} {:>9.2f} "
                   "{:>8.0f} {:>8.0f}",
                   Each.Name, Plan.Entries, Name, Requests, Percent(InTime),
                   Percent(Late), Percent(Refused), MeanMs, P99Ms)
            << std::endl;
}

/// Mean time of one choice among `Upstreams` in nanoseconds.
double choiceNs(std::size_t Upstreams, std::uint64_t Seed) {
  base::ManualClock Time;
  prometheus::Registry Registry;
  dataplane::Metrics Counters(Registry);
  dataplane::Balancer Balance({}, Time, Counters, Seed);
  document::MeshSnapshot Mesh;
  base::ServiceName Service("s");
  base::VersionName Version("v");
  dataplane::Balancer::RequestTraits Traits;
  Traits.Route = base::RouteName("r");
  for (std::size_t I = 0; I < Upstreams; ++I) {
    document::Endpoint Next;
    Next.Id = base::EndpointId(fmt::format("{:04}", I));
    Next.Service = Service;
    Next.Version = Version;
    Next.Slots = 9;
    Next.State = document::EndpointState::Ready;
    Mesh.Endpoints[Next.Id] = Next;
    dataplane::UpstreamLoad Load{5, 0, 9, base::Millis(100)};
    Load.Work = base::Millis(250);
    Load.RouteServiceTime = base::Millis(100);
    Balance.recordLoad(Next.Id, Load, Traits.Route);
  }
  constexpr int Choices = 200'000;
  Balance.choose(Mesh, Service, Version, {}, Traits);
  auto Started = std::chrono::steady_clock::now();
  for (int I = 0; I < Choices; ++I)
    Balance.choose(Mesh, Service, Version, {}, Traits);
  std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Started;
  return Took.count() / Choices;
}

/// Mean time to estimate the wait at an upstream with all slots in use and as
/// many requests waiting, in nanoseconds.
double waitNs(std::uint32_t Slots) {
  scheduling::CostModel Costs;
  base::RouteName Route("r");
  base::TimePoint Now(0);
  for (int I = 0; I < 1'000; ++I) {
    Now = Now + base::Millis(10);
    Costs.add(Route, base::Millis(100 + I % 200), Now);
  }
  constexpr int Rounds = 2'000;
  std::int64_t Sum = 0;
  auto Started = std::chrono::steady_clock::now();
  for (int I = 0; I < Rounds; ++I) {
    scheduling::OutstandingWork Work(Costs, Slots, Now);
    for (std::uint32_t J = 0; J < Slots; ++J) {
      Work.addRunning(Route, base::Millis((I + 7 * J) % 200));
      Work.addWaiting(base::Millis(200));
    }
    Sum += Work.untilSlot().count();
  }
  std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Started;
  return Sum > 0 ? Took.count() / Rounds : 0;
}

} // namespace

void printDecisionTable(std::uint64_t FirstSeed, unsigned Seeds) {
  std::cout << fmt::format("seeds {} to {}; 8 upstreams with 9 slots, 160 ms, "
                           "objective 800 ms, deadline 3 s, unless the pattern "
                           "says otherwise; in time, late and refused in %\n",
                           FirstSeed, FirstSeed + Seeds - 1);
  std::cout << fmt::format("{:<18} {:>7} {:<12} {:>8} {:>9} {:>8} {:>9} {:>8} "
                           "{:>8}\n",
                           "pattern", "entries", "rule", "requests", "in time",
                           "late", "refused", "mean ms", "p99 ms");
  for (const Pattern &Each : patterns())
    for (std::size_t Entries : {10U, 80U}) {
      SimulationPlan Plan;
      Plan.Entries = Entries;
      printRow(Each, Plan, "first-come", DecisionRule::FirstCome, FirstSeed,
               Seeds);
      printRow(Each, Plan, "previous", DecisionRule::Previous, FirstSeed,
               Seeds);
      printRow(Each, Plan, "current", DecisionRule::Current, FirstSeed, Seeds);
    }
  for (std::size_t Upstreams : {8U, 164U, 1'800U})
    std::cout << fmt::format("one choice among {} upstreams: {:.0f} ns\n",
                             Upstreams, choiceNs(Upstreams, FirstSeed));
  for (std::uint32_t Slots : {9U, 64U, 500U})
    std::cout << fmt::format("one expected wait with {} slots: {:.0f} ns\n",
                             Slots, waitNs(Slots));
}

} // namespace amaranth::bench
