#include "Traffic.h"

#include <algorithm>
#include <cmath>

namespace amaranth::rollout::bench {

namespace {

constexpr int FailuresToEject = 9;
constexpr int LeaseSeconds = 8;

} // namespace

double Traffic::draw(double Low, double High) {
  return std::uniform_real_distribution<>(Low, High)(Random);
}

void Traffic::drawDeployment(Deployment &Target) {
  int Count = static_cast<int>(draw(3, 7));
  int Slots = static_cast<int>(draw(9, 13));
  for (int I = 0; I < Count; ++I)
    Target.Upstreams.push_back({I % 3});
  Target.Slots = Count * Slots;
}

Traffic::Traffic(const Scenario &Config, int TotalSeconds, std::uint64_t Seed)
    : Config(Config), Total(TotalSeconds), Random(Seed) {
  drawDeployment(Versions[0]);
  drawDeployment(Versions[1]);
  // The old version is already warmed up.
  for (Upstream &Old : Versions[0].Upstreams)
    Old.Served = 1e6;
  Rate = Config.Shared == Disturbance::Night ? draw(0.2, 1) : draw(5, 50);
  int Count = static_cast<int>(draw(2, 6));
  double Sum = 0;
  for (int I = 0; I < Count; ++I) {
    Routes.push_back({std::pow(0.5, I), draw(0, 0.02),
                      std::exp(draw(std::log(10), std::log(150))),
                      draw(0.3, 0.7)});
    Sum += Routes.back().Weight;
  }
  for (Route &Entry : Routes)
    Entry.Weight /= Sum;
  EventBegin = static_cast<int>(draw(0, 0.8) * Total);
  EventEnd = EventBegin + static_cast<int>(draw(20, 120));
  EventSeverity = draw(0.3, 1);
  LostZone = static_cast<int>(draw(0, 3));
  drawFault();
}

void Traffic::drawFault() {
  // A good rollout ends after 80 % to 90 % of its time.
  if (Config.Time == FaultTime::Later)
    FaultBegin = static_cast<int>(draw(0.05, 0.8) * Total);
  if (Config.Time == FaultTime::UnderLoad)
    FaultLoad = draw(0.1, 0.8) * Rate;
  FaultRoute = static_cast<std::size_t>(draw(0, double(Routes.size())));
}

Traffic::SharedConditions Traffic::updateConditions() {
  double DriftScale = Config.Shared == Disturbance::Noise ? 3 : 1;
  auto UpdateDrift = [this](double &Drift, double Spread) {
    Drift = 0.95 * Drift + std::normal_distribution<>(0, 0.3 * Spread)(Random);
  };
  UpdateDrift(RateDrift, 0.1 * DriftScale);
  UpdateDrift(ErrorDrift, 0.3 * DriftScale);
  UpdateDrift(LatencyDrift, 0.1 * DriftScale);
  for (Deployment &Entry : Versions)
    UpdateDrift(Entry.Drift, 0.03);
  SharedConditions Result;
  Result.Latency = std::exp(LatencyDrift);
  bool Event = Now >= EventBegin && Now < EventEnd;
  if (Config.Shared == Disturbance::SharedOutage && Event) {
    // Half of the outages fail requests, the others slow them down.
    if (EventSeverity < 0.65)
      Result.Latency *= 20 * EventSeverity;
    else
      Result.Failure = EventSeverity;
  }
  return Result;
}

void Traffic::updateLostZone() {
  if (Config.Shared != Disturbance::LostZone)
    return;
  for (Deployment &Entry : Versions)
    for (Upstream &Member : Entry.Upstreams) {
      if (Member.Zone != LostZone)
        continue;
      if (Now == EventBegin)
        Member.DeadSince = Now;
      if (Now == EventEnd)
        Member = {Member.Zone};
    }
}

bool Traffic::isFaultActive(double NewRate) const {
  if (!Config.isBad() || NewRate <= 0)
    return false;
  if (Config.Time == FaultTime::Later)
    return Now >= FaultBegin;
  if (Config.Time == FaultTime::UnderLoad)
    return NewRate >= FaultLoad;
  return true;
}

Traffic::Upstream *Traffic::pickUpstream(Deployment &From, bool &Dead) {
  std::vector<Upstream *> Candidates;
  for (Upstream &Member : From.Upstreams) {
    bool Ejected =
        Member.DeadSince >= 0 && (Member.Failures >= FailuresToEject ||
                                  Now - Member.DeadSince >= LeaseSeconds);
    if (!Ejected)
      Candidates.push_back(&Member);
  }
  Upstream *Chosen =
      Candidates[static_cast<std::size_t>(draw(0, double(Candidates.size())))];
  Dead = Chosen->DeadSince >= 0;
  Chosen->Failures += Dead ? 1 : 0;
  return Chosen;
}

void Traffic::request(SecondResult &Result, bool New,
                      const SharedConditions &Shared) {
  std::size_t Index = 0;
  for (double At = draw(0, 1);
       Index + 1 < Routes.size() && At >= Routes[Index].Weight; ++Index)
    At -= Routes[Index].Weight;
  const Route &On = Routes[Index];
  Deployment &To = Versions[New ? 1 : 0];
  bool Dead = false;
  Upstream *Member = pickUpstream(To, Dead);
  double Failure = On.ErrorRate * std::exp(ErrorDrift);
  if (Config.Shared == Disturbance::OldErrors && !New)
    Failure += Now % 60 < 10 ? 0.1 : 0.03;
  double ColdSlowdown = Config.Shared == Disturbance::ColdStart ? 5 : 2;
  double ColdRequests = Config.Shared == Disturbance::ColdStart ? 12 : 6;
  double ColdFactor =
      1 + ColdSlowdown * std::exp(-Member->Served / ColdRequests);
  // Connection pools and caches fill for a few seconds after a step.
  if (New)
    ColdFactor *= 1 + 0.5 * std::exp((LastIncrease - Now) / 3.0);
  double Utilisation = std::min(To.BusySeconds / To.Slots, 0.95);
  double LatencyMs = On.Median * Shared.Latency * std::exp(To.Drift) *
                     ColdFactor / (1 - Utilisation) *
                     std::exp(std::normal_distribution<>(0, On.Sigma)(Random));
  bool Error = Dead || draw(0, 1) < Failure || draw(0, 1) < Shared.Failure;
  bool Faulty = New && Result.FaultActive &&
                (Config.Time != FaultTime::OneRoute || Index == FaultRoute);
  if (Faulty && Config.Kind == FaultKind::Slow) {
    LatencyMs *= Config.Size;
    ++Result.AffectedRequests;
  }
  if (Faulty && Config.Kind == FaultKind::Fail && draw(0, 1) < Config.Size) {
    Error = true;
    ++Result.AffectedRequests;
  }
  ++Member->Served;
  ++Result.Requests;
  RouteWindow &Counts =
      Result.Window.Routes[base::RouteName("/r" + std::to_string(Index))];
  (New ? Counts.New : Counts.Old)
      .add(Error, base::Millis(std::lround(LatencyMs)));
}

SecondResult Traffic::next(double NewShare) {
  SecondResult Result;
  Result.Window.NewSlots = static_cast<std::uint32_t>(Versions[1].Slots);
  SharedConditions Shared = updateConditions();
  updateLostZone();
  // One new upstream restarts in the middle of a rollout with cold starts.
  if (Config.Shared == Disturbance::ColdStart && Now == EventBegin)
    Versions[1].Upstreams.front().Served = 0;
  if (NewShare > LastShare)
    LastIncrease = Now;
  LastShare = NewShare;
  double Mean = Rate * std::exp(RateDrift);
  Result.FaultActive = isFaultActive(Mean * NewShare);
  int Count = std::poisson_distribution<int>(Mean)(Random);
  double MeanServiceSeconds = 0;
  for (const Route &Entry : Routes)
    MeanServiceSeconds += Entry.Weight * Entry.Median * Shared.Latency / 1000;
  Versions[0].BusySeconds = Mean * (1 - NewShare) * MeanServiceSeconds;
  Versions[1].BusySeconds = Mean * NewShare * MeanServiceSeconds;
  for (int I = 0; I < Count; ++I)
    request(Result, draw(0, 1) < NewShare, Shared);
  ++Now;
  return Result;
}

} // namespace amaranth::rollout::bench
