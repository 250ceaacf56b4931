#include "amaranth/rollout/RolloutEvidence.h"

#include <algorithm>
#include <cmath>

namespace amaranth::rollout {

namespace {

/// Nodes apply a decision within about a second; windows before that mix two
/// shares.
constexpr base::Millis SettleTime = base::Millis::seconds(1);

/// Slow-start allowance: new upstreams are cold for their first requests, and
/// for some seconds after more traffic reaches them. Each upstream needs its
/// own first requests, so their number goes by the slots: 20 requests in all
/// rolled back 70 % of the good versions with long cold starts. The time is
/// short because faults under load show right after a step: with 20 s, 4x the
/// latency under load hit 2.5 % of the requests.
constexpr base::Millis SlowStart = base::Millis::seconds(5);
constexpr std::uint64_t SlowStartRequestsPerSlot = 3;
constexpr std::uint64_t SlowStartRequests = 100; // number of slots unknown
constexpr double ColdErrors = 0.05;
constexpr double ColdLatency = 4;

constexpr std::size_t RecentWindows = 30;
/// Windows at a share after which its load counts as seen.
constexpr std::uint64_t ProvenWindows = 10;

/// Sum of latencies in seconds, from the middles of the buckets.
double latencySum(const EvidenceCounts &Counts) {
  double Sum = 0;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Sum += static_cast<double>(Counts.Latency[I]) *
           std::exp2((static_cast<double>(I) + 0.5) / 2) / 1000;
  return Sum;
}

TestSettings testSettings(const RolloutPlan &Plan) {
  TestSettings Settings;
  Settings.MaxErrorIncrease = Plan.Guards.MaxErrorIncrease;
  Settings.MaxLatencyRatio = Plan.Guards.MaxLatencyRatio;
  Settings.Horizon = static_cast<double>(Plan.total().count()) /
                     static_cast<double>(WindowLength.count());
  return Settings;
}

} // namespace

RolloutEvidence::RolloutEvidence(const RolloutPlan &Plan)
    : Test(testSettings(Plan)), Reference(Plan.Guards) {}

void RolloutEvidence::follow(const RolloutState &State) {
  if (Following && State.Epoch == Followed.Epoch)
    return;
  if (Following && State.Share < Followed.Share) {
    Recheck = true;
    RecheckRoute = Reference.route();
    ++Rechecks;
  }
  if (Following && State.Share > Followed.Share)
    Recheck = false;
  Following = true;
  Followed = State;
  Test.cut();
  Reference.reset();
  StepWindows = 0;
  for (auto &[Name, Counts] : Routes)
    Counts.NewInStep = 0;
}

Allowance RolloutEvidence::allowance(base::WallTime Start) const {
  std::uint64_t ColdRequests =
      NewSlots == 0 ? SlowStartRequests : NewSlots * SlowStartRequestsPerSlot;
  // A share that was lowered makes nothing cold.
  if (!Recheck && Start < Followed.LastChange + SlowStart)
    return {ColdErrors, ColdLatency};
  if (NewRequests < ColdRequests)
    return {0, ColdLatency};
  return {};
}

void RolloutEvidence::add(const EvidenceWindow &Window) {
  if (!Following || Window.Start < Followed.LastChange + SettleTime)
    return;
  Allowance Cold = allowance(Window.Start);
  Test.add(Window, Cold);
  Reference.add(Window, Followed.Share == FullShare, Cold);
  count(Window);
}

void RolloutEvidence::count(const EvidenceWindow &Window) {
  ++Windows;
  ++StepWindows;
  NewSlots = Window.NewSlots;
  Recent Sum;
  for (const auto &[Name, Counts] : Window.Routes) {
    RouteCounts &Route = Routes[Name];
    Route.New += Counts.New.Requests;
    Route.NewInStep += Counts.New.Requests;
    Route.Total += Counts.Old.Requests + Counts.New.Requests;
    Sum.Requests += Counts.Old.Requests + Counts.New.Requests;
    Sum.New += Counts.New.Requests;
    Sum.NewLatency += latencySum(Counts.New);
  }
  NewRequests += Sum.New;
  Last.push_back(Sum);
  if (Last.size() > RecentWindows)
    Last.pop_front();
  if (StepWindows >= ProvenWindows)
    ProvenRate = std::max(ProvenRate, serviceRate() * Followed.Share /
                                          static_cast<double>(FullShare));
}

double RolloutEvidence::serviceRate() const {
  double Requests = 0;
  for (const Recent &Entry : Last)
    Requests += static_cast<double>(Entry.Requests);
  return Last.empty() ? 0 : Requests / static_cast<double>(Last.size());
}

EvidenceSummary RolloutEvidence::summary() const {
  EvidenceSummary Result;
  for (const auto &[Name, Counts] : Routes)
    Result.Routes[Name] = {Counts.New, Counts.NewInStep,
                           static_cast<double>(Counts.Total) /
                               static_cast<double>(Windows)};
  Result.StepWindows = StepWindows;
  Result.Against = Test.rejection();
  Result.LogEvidence = Test.logEvidence();
  Result.Alarm = Reference.alarm();
  Result.Recheck = Recheck;
  Result.RecheckRoute = RecheckRoute;
  Result.Rechecks = Rechecks;
  Result.ServiceRate = serviceRate();
  double New = 0;
  double Latency = 0;
  for (const Recent &Entry : Last) {
    Result.ServiceRate +=
        static_cast<double>(Entry.Requests) / static_cast<double>(Last.size());
    New += static_cast<double>(Entry.New);
    Latency += Entry.NewLatency;
  }
  Result.MeanLatency = New > 0 ? Latency / New : 0;
  Result.ProvenRate = ProvenRate;
  Result.NewSlots = NewSlots;
  return Result;
}

} // namespace amaranth::rollout
