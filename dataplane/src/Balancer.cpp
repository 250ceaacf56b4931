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

} // namespace

double Balancer::outstandingRequests(const base::EndpointId &Id) const {
  auto Found = StatsById.find(Id);
  if (Found == StatsById.end())
    return 0;
  const EndpointStats &Stats = Found->second;
  base::Millis Age = Time.now() - Stats.ReportedAt;
  double Weight = 0;
  if (Age < ReportDecayTime)
    Weight = 1 - static_cast<double>(Age.count()) / ReportDecayTime.count();
  double Reported = Stats.Reported.InFlight + Stats.Reported.Queued;
  return Stats.InFlight +
         Weight * std::max(0.0, Reported - Stats.InFlightAtReport);
}

double Balancer::serviceTimeMs(const base::EndpointId &Id) const {
  base::Millis ServiceTime = expectedServiceTime(Id);
  return ServiceTime > base::Millis(0)
             ? static_cast<double>(ServiceTime.count())
             : DefaultServiceTimeMs;
}

double Balancer::slotsOf(const Endpoint &Entry) const {
  std::uint32_t Slots = Entry.Slots;
  auto Found = StatsById.find(Entry.Id);
  if (Found != StatsById.end() && Found->second.Reported.Slots != 0)
    Slots = std::min(Slots, Found->second.Reported.Slots);
  return std::max<std::uint32_t>(1, Slots);
}

double Balancer::linkBacklogMs(const base::EndpointId &Id) const {
  auto Found = StatsById.find(Id);
  if (Found == StatsById.end())
    return 0;
  // The link has drained its backlog since the report.
  base::Millis Age = Time.now() - Found->second.ReportedAt;
  base::Millis Remaining = Found->second.Reported.LinkBacklog - Age;
  return static_cast<double>(std::max(base::Millis(0), Remaining).count());
}

double Balancer::expectedWaitMs(const Endpoint &Entry,
                                const RequestTraits &Request) const {
  double Slots = slotsOf(Entry);
  double Wait = std::max(0.0, outstandingRequests(Entry.Id) + 1 - Slots) /
                Slots * serviceTimeMs(Entry.Id);
  return Request.LargeResponse ? Wait + linkBacklogMs(Entry.Id) : Wait;
}

double Balancer::cost(const Endpoint &Entry,
                      const RequestTraits &Request) const {
  auto Found = StatsById.find(Entry.Id);
  double SuccessRate = 1;
  if (Found != StatsById.end())
    SuccessRate = std::max(MinSuccessRate, Found->second.SuccessRate);
  double Slots = slotsOf(Entry);
  std::int64_t ReadyForMs = Time.wallNow().count() - Entry.ReadySince;
  if (ReadyForMs < Options.SlowStart.count())
    Slots *=
        std::clamp(static_cast<double>(ReadyForMs) / Options.SlowStart.count(),
                   MinSlowStartFraction, 1.0);
  // The new request is included, so that an idle endpoint in slow start costs
  // more than an idle warm one.
  double Load = (outstandingRequests(Entry.Id) + 1) / Slots;
  double Link = Request.LargeResponse ? linkBacklogMs(Entry.Id) : 0;
  return (serviceTimeMs(Entry.Id) * (std::max(1.0, Load) + LoadWeight * Load) +
          Link) /
         SuccessRate;
}

base::Millis Balancer::expectedServiceTime(const base::EndpointId &Id) const {
  auto Found = StatsById.find(Id);
  return Found == StatsById.end() ? base::Millis(0)
                                  : Found->second.Reported.ServiceTime;
}

/// Returns the cheapest of a few randomly sampled candidates. If all nodes took
/// the cheapest candidate by the same reports, they would overload it together.
const Endpoint *Balancer::pickLeastCost(const EndpointList &Candidates,
                                        const RequestTraits &Request) {
  EndpointList Sample = Candidates;
  std::shuffle(Sample.begin(), Sample.end(), Random);
  if (Sample.size() > MaxSampledCandidates)
    Sample.resize(MaxSampledCandidates);
  auto Best = std::min_element(Sample.begin(), Sample.end(),
                               [&](const Endpoint *A, const Endpoint *B) {
                                 return cost(*A, Request) < cost(*B, Request);
                               });
  return Best == Sample.end() ? nullptr : *Best;
}

Balancer::EndpointList
Balancer::preferLocalZone(const EndpointList &Candidates,
                          const RequestTraits &Request) const {
  EndpointList Local;
  EndpointList WithinWait;
  double Outstanding = 0;
  double Slots = 0;
  auto MaxWaitMs = static_cast<double>(Request.MaxLocalWait.count());
  for (const Endpoint *Entry : Candidates) {
    if (Entry->Zone != Options.Zone)
      continue;
    Local.push_back(Entry);
    Outstanding += outstandingRequests(Entry->Id);
    Slots += slotsOf(*Entry);
    if (expectedWaitMs(*Entry, Request) <= MaxWaitMs)
      WithinWait.push_back(Entry);
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

const Endpoint *Balancer::choose(const document::MeshSnapshot &Mesh,
                                 const base::ServiceName &Service,
                                 const base::VersionName &Version,
                                 const std::set<base::EndpointId> &Excluded,
                                 const RequestTraits &Request) {
  EndpointList Usable;
  EndpointList Ejected;
  EndpointList Unreachable;
  for (const auto &[Id, Entry] : Mesh.Endpoints) {
    if (Entry.Service != Service || Entry.Version != Version ||
        Excluded.contains(Id))
      continue;
    if (Entry.State == EndpointState::Unreachable)
      Unreachable.push_back(&Entry);
    else if (Entry.State == EndpointState::Ready)
      (isEjected(Id) ? Ejected : Usable).push_back(&Entry);
  }
  const Endpoint *Chosen =
      pickLeastCost(preferLocalZone(Usable, Request), Request);
  if (!Chosen)
    Chosen = pickLeastCost(Ejected, Request);
  if (!Chosen)
    Chosen = pickLeastCost(Unreachable, Request);
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
    if (Other.Service != Entry.Service || Other.State != EndpointState::Ready)
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
  std::erase_if(StatsById, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !Mesh.Endpoints.contains(Entry.first);
  });
}

} // namespace amaranth::dataplane
