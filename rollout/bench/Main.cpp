#include "Simulation.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace amaranth::rollout::bench {
namespace {

constexpr const char *Usage = R"(Measures version rollouts on simulated traffic.

Usage:
  amaranth-bench-rollout [--runs=N] [--seed=N] [--scenario=TEXT] [--threads=N]
                         [--json=FILE] [--reasons]
  amaranth-bench-rollout --list
  amaranth-bench-rollout --help

Options:
  --runs=N         Runs of each scenario [default: 200].
  --seed=N         Seed of the first run; the same seed gives the same table
                   [default: 1].
  --scenario=TEXT  Only scenarios with TEXT in their name.
  --threads=N      Threads [default: 2].
  --json=FILE      Also write the results as JSON.
  --reasons        Also print the reasons of unwanted results.
  --list           Print the names of the scenarios.

Goals:
  good versions rolled back           at most 1 %
  good versions done in time          at least 99 %
  bad versions rolled back            at least 99 %, when the fault exceeds
                                      the thresholds
  requests hit by a bad version       at most 1 % of the service's requests
                                      from the fault to the deadline (mean)

Columns: runs; done and back (rolled back) in % of the runs; for bad versions
shown (runs in which the fault was active), caught (rolled back, % of shown), hits
(requests failed or slowed by the fault: mean and 95th percentile), hit %
(mean and 95th percentile of hits / requests from the fault to the deadline)
and seconds from the fault to share zero (mean and 95th percentile).
)";

/// Returns true if the scenario meets the goals listed in the usage text. All
/// faults exceed the thresholds of the default plan.
bool meetsGoals(const Totals &Sum) {
  if (!Sum.Config.isBad())
    return Sum.RolledBack * 100 <= Sum.Runs && Sum.Done * 100 >= Sum.Runs * 99;
  return Sum.Detected * 100 >= Sum.FaultObserved * 99 &&
         mean(Sum.AffectedShare) <= 0.01;
}

double percent(int Part, int Whole) {
  return Whole == 0 ? 0 : 100.0 * Part / Whole;
}

void printTable(const std::vector<Totals> &All) {
  std::printf("%-20s %5s %6s %6s %6s %6s %7s %7s %6s %6s %6s %6s %s\n",
              "scenario", "runs", "done%", "back%", "shown", "caught", "hits",
              "p95", "hit%", "p95%", "zero", "p95", "goal");
  for (const Totals &Sum : All) {
    std::printf("%-20s %5d %6.1f %6.1f ", Sum.Config.Name.c_str(), Sum.Runs,
                percent(Sum.Done, Sum.Runs), percent(Sum.RolledBack, Sum.Runs));
    if (Sum.Config.isBad())
      std::printf(
          "%6d %6.1f %7.1f %7.1f %6.2f %6.2f %6.1f %6.1f ", Sum.FaultObserved,
          percent(Sum.Detected, Sum.FaultObserved), mean(Sum.AffectedCounts),
          percentile(Sum.AffectedCounts, 0.95), 100 * mean(Sum.AffectedShare),
          100 * percentile(Sum.AffectedShare, 0.95), mean(Sum.SecondsToZero),
          percentile(Sum.SecondsToZero, 0.95));
    else
      std::printf("%6s %6s %7s %7s %6s %6s %6s %6s ", "-", "-", "-", "-", "-",
                  "-", "-", "-");
    std::printf("%s\n", meetsGoals(Sum) ? "met" : "MISSED");
  }
}

void writeJson(const std::string &File, const std::vector<Totals> &All) {
  std::ofstream Out(File);
  Out << "[\n";
  for (std::size_t I = 0; I < All.size(); ++I) {
    const Totals &Sum = All[I];
    Out << R"(  {"scenario": ")" << Sum.Config.Name << R"(", "runs": )"
        << Sum.Runs << R"(, "done": )" << Sum.Done << R"(, "rolled_back": )"
        << Sum.RolledBack << R"(, "fault_shown": )" << Sum.FaultObserved
        << R"(, "caught": )" << Sum.Detected << R"(, "hits_mean": )"
        << mean(Sum.AffectedCounts) << R"(, "hits_p95": )"
        << percentile(Sum.AffectedCounts, 0.95) << R"(, "hit_share_mean": )"
        << mean(Sum.AffectedShare) << R"(, "hit_share_p95": )"
        << percentile(Sum.AffectedShare, 0.95)
        << R"(, "seconds_to_zero_mean": )" << mean(Sum.SecondsToZero)
        << R"(, "seconds_to_zero_p95": )" << percentile(Sum.SecondsToZero, 0.95)
        << R"(, "goals_met": )" << (meetsGoals(Sum) ? "true" : "false") << "}"
        << (I + 1 < All.size() ? ",\n" : "\n");
  }
  Out << "]\n";
  if (!Out.flush())
    throw std::runtime_error("cannot write " + File);
}

std::vector<RunResult> runAll(const Scenario &Config, int Runs,
                              std::uint64_t Seed, unsigned Threads) {
  std::vector<RunResult> Results(static_cast<std::size_t>(Runs));
  std::atomic<std::size_t> Next{0};
  auto Work = [&] {
    for (std::size_t I = Next++; I < Results.size(); I = Next++)
      Results[I] = simulate(Config, Seed * 1'000'003 + I);
  };
  std::vector<std::thread> Workers;
  for (unsigned I = 0; I < Threads; ++I)
    Workers.emplace_back(Work);
  for (std::thread &Worker : Workers)
    Worker.join();
  return Results;
}

void printReasons(const Scenario &Config,
                  const std::vector<RunResult> &Results) {
  std::map<std::string, int> Reasons;
  for (const RunResult &Run : Results)
    if (Config.isBad() ? Run.FaultObserved && !Run.RolledBack : !Run.Done)
      ++Reasons[Run.Reason];
  for (const auto &[Reason, Count] : Reasons)
    std::printf("  %s: %d x %s\n", Config.Name.c_str(), Count, Reason.c_str());
}

int run(int Count, char **Values) {
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  auto Options = docopt::docopt(Usage, Arguments, true);
  bool List = Options["--list"].asBool();
  int Runs = static_cast<int>(Options["--runs"].asLong());
  long Seed = Options["--seed"].asLong();
  long Threads = std::clamp(Options["--threads"].asLong(), 1L, 64L);
  if (Runs < 1 || Seed < 0)
    throw std::runtime_error("--runs must be at least 1 and --seed at least 0");
  std::string NameFilter =
      Options["--scenario"] ? Options["--scenario"].asString() : "";
  std::vector<Totals> All;
  for (const Scenario &Config : allScenarios()) {
    if (List)
      std::puts(Config.Name.c_str());
    if (List || Config.Name.find(NameFilter) == std::string::npos)
      continue;
    auto Results = runAll(Config, Runs, static_cast<std::uint64_t>(Seed),
                          static_cast<unsigned>(Threads));
    Totals Sum;
    Sum.Config = Config;
    for (const RunResult &Run : Results)
      Sum.add(Run);
    All.push_back(std::move(Sum));
    if (Options["--reasons"].asBool())
      printReasons(Config, Results);
  }
  if (List)
    return 0;
  std::printf("seed %ld, %d runs\n", Seed, Runs);
  printTable(All);
  if (Options["--json"])
    writeJson(Options["--json"].asString(), All);
  return 0;
}

} // namespace
} // namespace amaranth::rollout::bench

int main(int Count, char **Values) {
  try {
    return amaranth::rollout::bench::run(Count, Values);
  } catch (const std::exception &Failure) {
    std::cerr << "amaranth-bench-rollout: " << Failure.what() << '\n';
    return 1;
  }
}
