#include "Simulation.h"

#include "Traffic.h"
#include "amaranth/rollout/RolloutMachine.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

namespace amaranth::rollout::bench {

namespace {

using base::Millis;
using base::WallTime;

/// The replicated state and the controller that changes it.
class SimulatedController {
public:
  SimulatedController(const RolloutPlan &Plan, int RestartAt)
      : Plan(Plan), RestartAt(RestartAt),
        Evidence(std::make_unique<RolloutEvidence>(Plan)) {}

  /// Evaluates the rollout `Second` seconds after its start.
  void evaluate(int Second, const EvidenceWindow *Window) {
    WallTime Now = Plan.Start + Millis::seconds(Second);
    if (Second == RestartAt) {
      Evidence = std::make_unique<RolloutEvidence>(Plan);
      LeaderSince = Second + 3;
    }
    if (Second < LeaderSince || isFinal(State.CurrentPhase))
      return;
    Evidence->setState(State);
    if (Window)
      Evidence->add(*Window);
    auto Next = decide(Now, Plan, State, Evidence->summary());
    if (!Next)
      return;
    State = {Next->NextPhase, Next->Share, Next->Step, State.Epoch + 1, Now};
    Reason = Next->Reason;
  }

  RolloutState State;
  std::string Reason;

private:
  const RolloutPlan &Plan;
  int RestartAt;
  int LeaderSince = 0;
  std::unique_ptr<RolloutEvidence> Evidence;
};

RolloutPlan drawPlan(const Scenario &Config, std::mt19937_64 &Random) {
  RolloutPlan Plan;
  Plan.Service = base::ServiceName("service");
  Plan.From = base::VersionName("old");
  Plan.To = base::VersionName("new");
  Plan.Start = WallTime(1'700'000'000'000);
  auto Seconds = std::uniform_int_distribution<int>(600, 3600)(Random);
  Plan.Deadline = Plan.Start + Millis::seconds(Seconds);
  Plan.RiskLevel = Config.HighRisk ? Risk::High : Risk::Normal;
  return Plan;
}

void countSecond(RunResult &Run, const SecondResult &Second, double Share) {
  Run.FaultObserved = Run.FaultObserved || Second.FaultActive;
  if (!Run.FaultObserved)
    return;
  Run.RequestsSinceFault += Second.Requests;
  Run.AffectedRequests += Second.AffectedRequests;
  Run.SecondsToZero += Share > 0 ? 1 : 0;
}

} // namespace

RunResult simulate(const Scenario &Config, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  RolloutPlan Plan = drawPlan(Config, Random);
  RunResult Run;
  Run.Total = static_cast<int>(Plan.duration().count() / 1000);
  bool Restart = std::bernoulli_distribution(0.2)(Random);
  int RestartAt = std::uniform_int_distribution<int>(1, Run.Total)(Random);
  SimulatedController Leader(Plan, Restart ? RestartAt : -1);
  Traffic Source(Config, Run.Total, Random());
  // Windows in transit to the controller, and the share that nodes apply.
  std::deque<EvidenceWindow> Reported;
  double ShareInForce = 0;
  for (int Second = 0; Second < Run.Total; ++Second) {
    bool Ended = isFinal(Leader.State.CurrentPhase);
    // The traffic after the end is only of interest for a bad version.
    if (Ended && !Config.isBad())
      break;
    Run.EndedAt += Ended ? 0 : 1;
    EvidenceWindow Seen;
    bool Arrived = Reported.size() >= 2;
    if (Arrived) {
      Seen = std::move(Reported.front());
      Reported.pop_front();
    }
    double NextShare = ShareInForce;
    Leader.evaluate(Second, Arrived ? &Seen : nullptr);
    NextShare = double(Leader.State.Share) / FullShare;
    SecondResult Result = Source.next(ShareInForce);
    Result.Window.Start = Plan.Start + Millis::seconds(Second);
    countSecond(Run, Result, ShareInForce);
    Reported.push_back(std::move(Result.Window));
    ShareInForce = NextShare;
  }
  Run.Done = Leader.State.CurrentPhase == Phase::Done;
  Run.RolledBack = Leader.State.CurrentPhase == Phase::RolledBack;
  Run.Reason = Leader.Reason;
  return Run;
}

void Totals::add(const RunResult &Run) {
  ++Runs;
  Done += Run.Done ? 1 : 0;
  RolledBack += Run.RolledBack ? 1 : 0;
  if (!Run.FaultObserved)
    return;
  ++FaultObserved;
  Detected += Run.RolledBack ? 1 : 0;
  AffectedCounts.push_back(double(Run.AffectedRequests));
  AffectedShare.push_back(
      double(Run.AffectedRequests) /
      double(std::max<std::uint64_t>(Run.RequestsSinceFault, 1)));
  if (Run.RolledBack)
    SecondsToZero.push_back(Run.SecondsToZero);
}

double mean(const std::vector<double> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  return Values.empty() ? 0 : Sum / double(Values.size());
}

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index =
      static_cast<std::size_t>(std::lround(Part * double(Values.size() - 1)));
  return Values[Index];
}

} // namespace amaranth::rollout::bench
