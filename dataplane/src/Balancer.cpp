#include "amaranth/dataplane/Balancer.h"

#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"

#include <algorithm>
#include <random>

using amaranth::document::Endpoint;
using amaranth::document::EndpointState;

namespace amaranth::dataplane {

namespace {

/// The weight of a load report falls to zero over this time, so that an
/// endpoint without requests since its last report is tried again.
constexpr base::Millis ReportDecayTime = base::Millis::seconds(2);
/// Fraction of its slots that an endpoint in slow start has at least.
constexpr double MinSlowStartFraction = 0.1;
/// Assumed for endpoints that have not reported a service time.
constexpr double DefaultServiceTimeMs = 100;
/// Cost that full load adds, as a fraction of the service time, even when no
/// request waits: some upstreams slow down under load.
constexpr double LoadWeight = 0.3;
/// Weight of the newest result in the moving average of the success rate.
constexpr double SuccessRateSmoothing = 0.1;
constexpr double MinSuccessRate = 0.05;
constexpr std::size_t MaxSampledCandidates = 4;

/// Part of the endpoints of a new version that gets most of its requests, and
/// the part of their slots that is used.
constexpr std::size_t ConcentrationDivisor = 3;
constexpr double MaxConcentratedLoad = 0.8;

} // namespace

double Balancer::outstandingRequests(const EndpointStats &Stats,
                                     base::TimePoint Now) {
  base::Millis Age = Now - Stats.ReportedAt;
  double Weight = 0;
  if (Age < ReportDecayTime)
    Weight = 1 - static_cast<double>(Age.count()) / ReportDecayTime.count();
  double Reported = Stats.Reported.InFlight + Stats.Reported.Queued;
  return Stats.InFlight +
         Weight * std::max(0.0, Reported - Stats.InFlightAtReport);
}

double Balancer::serviceTimeMs(const EndpointStats &Stats) {
  base::Millis ServiceTime = Stats.Reported.ServiceTime;
  return ServiceTime > base::Millis(0)
             ? static_cast<double>(ServiceTime.count())
             : DefaultServiceTimeMs;
}

double Balancer::slotsOf(const Candidate &Option) {
  std::uint32_t Slots = Option.Entry->Slots;
  if (Option.Stats->Reported.Slots != 0)
    Slots = std::min(Slots, Option.Stats->Reported.Slots);
  return std::max<std::uint32_t>(1, Slots);
}

double Balancer::reportedWaitMs(const EndpointStats &Stats,
                                base::TimePoint Now) {
  base::Millis Left = Stats.Reported.QueueWait - (Now - Stats.ReportedAt);
  return static_cast<double>(std::max(base::Millis(0), Left).count());
}

double Balancer::linkBacklogMs(const EndpointStats &Stats,
                               base::TimePoint Now) {
  // The link has drained its backlog since the report.
  base::Millis Age = Now - Stats.ReportedAt;
  base::Millis Remaining = Stats.Reported.LinkBacklog - Age;
  return static_cast<double>(std::max(base::Millis(0), Remaining).count());
}

double Balancer::expectedWaitMs(const Candidate &Option,
                                const Selection &Pick) {
  double Slots = slotsOf(Option);
  double Waiting = outstandingRequests(*Option.Stats, Pick.Now) + 1 - Slots;
  double Wait =
      std::max(std::max(0.0, Waiting) / Slots * serviceTimeMs(*Option.Stats),
               reportedWaitMs(*Option.Stats, Pick.Now));
  if (Pick.Request.LargeResponse)
    Wait += linkBacklogMs(*Option.Stats, Pick.Now);
  return Wait;
}

double Balancer::cost(const Candidate &Option, const Selection &Pick) const {
  const EndpointStats &Stats = *Option.Stats;
  double SuccessRate = std::max(MinSuccessRate, Stats.SuccessRate);
  double Slots = slotsOf(Option);
  std::int64_t ReadyForMs = Pick.WallNow.count() - Option.Entry->ReadySince;
  if (ReadyForMs < Options.SlowStart.count())
    Slots *=
        std::clamp(static_cast<double>(ReadyForMs) / Options.SlowStart.count(),
                   MinSlowStartFraction, 1.0);
  // The new request is included, so that an idle endpoint in slow start costs
  // more than an idle warm one.
  double Load = (outstandingRequests(Stats, Pick.Now) + 1) / Slots;
  double Link = Pick.Request.LargeResponse ? linkBacklogMs(Stats, Pick.Now) : 0;
  double Service = serviceTimeMs(Stats);
  double Time = std::max(Service * std::max(1.0, Load),
                         Service + reportedWaitMs(Stats, Pick.Now));
  return (Time + Service * LoadWeight * Load + Link) / SuccessRate;
}

base::Millis Balancer::expectedServiceTime(const base::EndpointId &Id) const {
  auto Found = StatsById.find(Id);
  return Found == StatsById.end() ? base::Millis(0)
                                  : Found->second.Reported.ServiceTime;
}

/// Returns the cheapest of a few randomly sampled candidates. If all nodes took
/// the cheapest candidate by the same reports, they would overload it together.
const Endpoint *Balancer::pickLeastCost(CandidateList Candidates,
                                        const Selection &Pick) {
  std::size_t Count = std::min(Candidates.size(), MaxSampledCandidates);
  const Endpoint *Best = nullptr;
  double BestCost = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    std::uniform_int_distribution<std::size_t> Draw(I, Candidates.size() - 1);
    std::swap(Candidates[I], Candidates[Draw(Random)]);
    double Cost = cost(Candidates[I], Pick);
    if (Best && Cost >= BestCost)
      continue;
    Best = Candidates[I].Entry;
    BestCost = Cost;
  }
  return Best;
}

Balancer::CandidateList Balancer::preferLocalZone(CandidateList Candidates,
                                                  const Selection &Pick) const {
  const RequestTraits &Request = Pick.Request;
  if (Request.AnyZone)
    return Candidates;
  CandidateList Local;
  CandidateList WithinWait;
  double Outstanding = 0;
  double Slots = 0;
  auto MaxWaitMs = static_cast<double>(Request.MaxLocalWait.count());
  for (const Candidate &Option : Candidates) {
    if (!Option.Local)
      continue;
    Local.push_back(Option);
    Outstanding += outstandingRequests(*Option.Stats, Pick.Now);
    Slots += slotsOf(Option);
    if (expectedWaitMs(Option, Pick) <= MaxWaitMs)
      WithinWait.push_back(Option);
  }
  // Free slots do not imply free link capacity.
  if (!Request.LargeResponse && !Local.empty() &&
      Outstanding <= Options.ZoneLoadLimit * Slots)
    return Local;
  if (!WithinWait.empty() &&
      (Request.MaxLocalWait > base::Millis(0) || Request.LargeResponse))
    return WithinWait;
  return Candidates;
}

Balancer::CandidateList Balancer::concentrate(const CandidateList &Candidates,
                                              const Selection &Pick) {
  // The candidates are in the order of their ids.
  std::size_t Count =
      (Candidates.size() + ConcentrationDivisor - 1) / ConcentrationDivisor;
  CandidateList Preferred;
  for (std::size_t I = 0; I < Count; ++I)
    if (outstandingRequests(*Candidates[I].Stats, Pick.Now) + 1 <=
        MaxConcentratedLoad * slotsOf(Candidates[I]))
      Preferred.push_back(Candidates[I]);
  return Preferred;
}

void Balancer::updateIndex(const document::MeshSnapshot &Mesh) {
  if (Mesh.Endpoints.sharesWith(Indexed))
    return;
  Indexed = Mesh.Endpoints;
  CandidatesByVersion.clear();
  for (const auto &[Id, Entry] : Indexed)
    CandidatesByVersion[{Entry.Service, Entry.Version}].push_back(
        {&Entry, &StatsById[Id], Entry.Zone == Options.Zone});
}

const Endpoint *Balancer::choose(const document::MeshSnapshot &Mesh,
                                 const base::ServiceName &Service,
                                 const base::VersionName &Version,
                                 const std::set<base::EndpointId> &Excluded,
                                 const RequestTraits &Request) {
  updateIndex(Mesh);
  Selection Pick{Request, Time.now(), Time.wallNow()};
  auto Found = CandidatesByVersion.find({Service, Version});
  if (Found == CandidatesByVersion.end())
    return nullptr;
  CandidateList Usable;
  CandidateList Ejected;
  CandidateList Unreachable;
  Usable.reserve(Found->second.size());
  for (const Candidate &Option : Found->second) {
    const Endpoint &Entry = *Option.Entry;
    if (!Mesh.EvacuatedZones.empty() &&
        Mesh.EvacuatedZones.contains(Entry.Zone))
      continue;
    if (Request.AvoidedZones && Request.AvoidedZones->contains(Entry.Zone))
      continue;
    if (!Excluded.empty() && Excluded.contains(Entry.Id))
      continue;
    if (Entry.State == EndpointState::Unreachable)
      Unreachable.push_back(Option);
    else if (Entry.State == EndpointState::Ready)
      (Pick.Now < Option.Stats->EjectedUntil ? Ejected : Usable)
          .push_back(Option);
  }
  const Endpoint *Chosen = nullptr;
  if (Request.Concentrate)
    Chosen = pickLeastCost(concentrate(Usable, Pick), Pick);
  if (!Chosen)
    Chosen = pickLeastCost(preferLocalZone(std::move(Usable), Pick), Pick);
  if (!Chosen)
    Chosen = pickLeastCost(std::move(Ejected), Pick);
  if (!Chosen)
    Chosen = pickLeastCost(std::move(Unreachable), Pick);
  AMARANTH_INVARIANT(!Chosen || (Chosen->State != EndpointState::Draining &&
                                 Chosen->State != EndpointState::Starting),
                     "a draining or starting endpoint was chosen");
  return Chosen;
}

void Balancer::requestStarted(const base::EndpointId &Id) {
  ++StatsById[Id].InFlight;
}

void Balancer::requestFinished(const base::EndpointId &Id) {
  auto Found = StatsById.find(Id);
  if (Found != StatsById.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void Balancer::recordLoad(const base::EndpointId &Id,
                          const UpstreamLoad &NewLoad) {
  EndpointStats &Stats = StatsById[Id];
  Stats.Reported = NewLoad;
  Stats.ReportedAt = Time.now();
  Stats.InFlightAtReport = Stats.InFlight;
}

void Balancer::recordSuccess(const base::EndpointId &Id) {
  EndpointStats &Stats = StatsById[Id];
  Stats.ConsecutiveFailures = 0;
  Stats.SuccessRate += SuccessRateSmoothing * (1 - Stats.SuccessRate);
  constexpr base::Millis EjectionCountReset = base::Millis::seconds(60);
  if (Stats.EjectionCount != 0 &&
      Time.now() - Stats.EjectedUntil > EjectionCountReset)
    Stats.EjectionCount = 0;
}

void Balancer::recordFailure(const document::MeshSnapshot &Mesh,
                             const base::EndpointId &Id, bool HardFault) {
  EndpointStats &Stats = StatsById[Id];
  ++Stats.ConsecutiveFailures;
  Stats.SuccessRate -= SuccessRateSmoothing * Stats.SuccessRate;
  if (!HardFault &&
      Stats.ConsecutiveFailures < Options.ConsecutiveFailuresToEject)
    return;
  auto Entry = Mesh.Endpoints.find(Id);
  if (Entry != Mesh.Endpoints.end() && !isEjected(Id))
    eject(Mesh, Entry->second, Stats);
}

void Balancer::eject(const document::MeshSnapshot &Mesh, const Endpoint &Entry,
                     EndpointStats &Stats) {
  std::size_t Total = 0;
  std::size_t EjectedCount = 0;
  for (const auto &[Id, Other] : Mesh.Endpoints) {
    if (Other.Service != Entry.Service || Other.State != EndpointState::Ready ||
        Mesh.EvacuatedZones.contains(Other.Zone))
      continue;
    ++Total;
    EjectedCount += isEjected(Id) ? 1 : 0;
  }
  if ((EjectedCount + 1) * 2 > Total)
    return;
  Stats.ConsecutiveFailures = 0;
  std::int64_t Factor = std::int64_t{1} << std::min(Stats.EjectionCount, 8U);
  ++Stats.EjectionCount;
  Stats.EjectedUntil = Time.now() + std::min(Options.BaseEjectionTime * Factor,
                                             Options.MaxEjectionTime);
  Counters.countEjection(Entry.Service);
  base::logger("dataplane")
      ->info("endpoint ejected endpoint={} service={}", Entry.Id.value(),
             Entry.Service.value());
}

bool Balancer::isEjected(const base::EndpointId &Id) const {
  auto Found = StatsById.find(Id);
  return Found != StatsById.end() && Time.now() < Found->second.EjectedUntil;
}

void Balancer::prune(const document::MeshSnapshot &Mesh) {
  // The index refers to the statistics.
  updateIndex(Mesh);
  std::erase_if(StatsById, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !Mesh.Endpoints.contains(Entry.first);
  });
}

} // namespace amaranth::dataplane
