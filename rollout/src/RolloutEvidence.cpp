#include "amaranth/rollout/RolloutEvidence.h"

#include <algorithm>
#include <cmath>

namespace amaranth::rollout {

namespace {

/// Nodes apply a decision within about a second. Earlier windows contain
/// requests routed with the previous share.
constexpr base::Millis PropagationDelay = base::Millis::seconds(1);

/// Slow-start allowance: new upstreams are slow for their first requests, and
/// for a few seconds after their traffic increases. Each upstream has to warm
/// up on its own, so the number of requests scales with the slots; with 20
/// requests in total, 70 % of the good versions with long cold starts were
/// rolled back. The duration is short because faults under load appear right
/// after a step; with 20 s, a version with 4x the latency under load affected
/// 2.5 % of the requests.
constexpr base::Millis SlowStartDuration = base::Millis::seconds(5);
constexpr std::uint64_t SlowStartRequestsPerSlot = 3;
/// Used if the number of slots is unknown.
constexpr std::uint64_t SlowStartRequestsUnknownSlots = 100;
constexpr double SlowStartExtraErrors = 0.05;
constexpr double SlowStartLatencyFactor = 4;

constexpr std::size_t RecentWindowCount = 30;
/// Number of windows at a share after which its load counts as sustained.
constexpr std::uint64_t MinSustainedWindows = 10;

/// Sum of latencies in seconds, estimated from the bucket midpoints.
double latencySum(const EvidenceCounts &Counts) {
  double Sum = 0;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Sum += static_cast<double>(Counts.Latency[I]) *
           std::exp2((static_cast<double>(I) + 0.5) / 2) / 1000;
  return Sum;
}

TestSettings testSettings(const RolloutPlan &Plan) {
  TestSettings Settings;
  Settings.MaxErrorIncrease = Plan.Thresholds.MaxErrorIncrease;
  Settings.MaxLatencyRatio = Plan.Thresholds.MaxLatencyRatio;
  Settings.HorizonWindows = static_cast<double>(Plan.duration().count()) /
                            static_cast<double>(WindowLength.count());
  return Settings;
}

} // namespace

RolloutEvidence::RolloutEvidence(const RolloutPlan &Plan)
    : Test(testSettings(Plan)), Reference(Plan.Thresholds) {}

void RolloutEvidence::setState(const RolloutState &NewState) {
  if (HasState && NewState.Epoch == State.Epoch)
    return;
  if (HasState && NewState.Share < State.Share) {
    Recheck = true;
    RecheckRoute = Reference.route();
    ++RecheckCount;
  }
  if (HasState && NewState.Share > State.Share)
    Recheck = false;
  HasState = true;
  State = NewState;
  Test.discardOpenBlocks();
  Reference.reset();
  StepWindows = 0;
  for (auto &[Name, Counts] : Routes)
    Counts.NewRequestsInStep = 0;
}

SlowStartAllowance
RolloutEvidence::slowStartAllowance(base::WallTime Start) const {
  std::uint64_t SlowStartRequests = NewSlots == 0
                                        ? SlowStartRequestsUnknownSlots
                                        : NewSlots * SlowStartRequestsPerSlot;
  // Upstreams do not have to warm up after the share was lowered.
  if (!Recheck && Start < State.LastChange + SlowStartDuration)
    return {SlowStartExtraErrors, SlowStartLatencyFactor};
  if (NewRequests < SlowStartRequests)
    return {0, SlowStartLatencyFactor};
  return {};
}

void RolloutEvidence::add(const EvidenceWindow &Window) {
  if (!HasState || Window.Start < State.LastChange + PropagationDelay)
    return;
  SlowStartAllowance Allowance = slowStartAllowance(Window.Start);
  Test.add(Window, Allowance);
  Reference.add(Window, State.Share == FullShare, Allowance);
  updateTotals(Window);
}

void RolloutEvidence::updateTotals(const EvidenceWindow &Window) {
  ++WindowCount;
  ++StepWindows;
  NewSlots = Window.NewSlots;
  WindowTotals Sum;
  for (const auto &[Name, Counts] : Window.Routes) {
    RouteCounts &Route = Routes[Name];
    Route.NewRequests += Counts.New.Requests;
    Route.NewRequestsInStep += Counts.New.Requests;
    Route.TotalRequests += Counts.Old.Requests + Counts.New.Requests;
    Sum.TotalRequests += Counts.Old.Requests + Counts.New.Requests;
    Sum.NewRequests += Counts.New.Requests;
    Sum.NewLatencySum += latencySum(Counts.New);
  }
  NewRequests += Sum.NewRequests;
  RecentTotals.push_back(Sum);
  if (RecentTotals.size() > RecentWindowCount)
    RecentTotals.pop_front();
  if (StepWindows >= MinSustainedWindows)
    MaxSustainedRate =
        std::max(MaxSustainedRate,
                 serviceRate() * State.Share / static_cast<double>(FullShare));
}

double RolloutEvidence::serviceRate() const {
  double Requests = 0;
  for (const WindowTotals &Entry : RecentTotals)
    Requests += static_cast<double>(Entry.TotalRequests);
  return RecentTotals.empty()
             ? 0
             : Requests / static_cast<double>(RecentTotals.size());
}

EvidenceSummary RolloutEvidence::summary() const {
  EvidenceSummary Result;
  for (const auto &[Name, Counts] : Routes)
    Result.Routes[Name] = {Counts.NewRequests, Counts.NewRequestsInStep,
                           static_cast<double>(Counts.TotalRequests) /
                               static_cast<double>(WindowCount)};
  Result.StepWindows = StepWindows;
  Result.Rejection = Test.rejection();
  Result.LogEvidence = Test.logEvidence();
  Result.Alarm = Reference.alarm();
  Result.Recheck = Recheck;
  Result.RecheckRoute = RecheckRoute;
  Result.RecheckCount = RecheckCount;
  Result.ServiceRate = serviceRate();
  double New = 0;
  double Latency = 0;
  for (const WindowTotals &Entry : RecentTotals) {
    Result.ServiceRate += static_cast<double>(Entry.TotalRequests) /
                          static_cast<double>(RecentTotals.size());
    New += static_cast<double>(Entry.NewRequests);
    Latency += Entry.NewLatencySum;
  }
  Result.MeanLatency = New > 0 ? Latency / New : 0;
  Result.MaxSustainedRate = MaxSustainedRate;
  Result.NewSlots = NewSlots;
  return Result;
}

} // namespace amaranth::rollout
