#include "amaranth/dataplane/Balancer.h"

#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"

#include <algorithm>
#include <random>

using amaranth::document::Endpoint;
using amaranth::document::EndpointState;

namespace amaranth::dataplane {

namespace {

/// A report loses its weight over this time, so that an endpoint that got no
/// requests since then is tried again.
constexpr base::Millis ReportLife = base::Millis::seconds(2);
/// An endpoint in slow start counts as having at least this part of its slots.
constexpr double MinSlowStart = 0.1;
/// Time of a request at an endpoint that has not reported one.
constexpr double UnknownServiceMs = 100;
/// Part of the expected time by which a fully loaded endpoint looks worse than
/// an idle one, although no request waits: some upstreams slow down.
constexpr double LoadWeight = 0.3;
/// Weight of the newest result in the part of requests that were served.
constexpr double ResultWeight = 0.1;
constexpr double MinServed = 0.05;
/// Candidates that are compared for one request.
constexpr std::size_t MaxDrawn = 4;

} // namespace

double Balancer::work(const base::EndpointId &Id) const {
  auto Found = States.find(Id);
  if (Found == States.end())
    return 0;
  const State &Known = Found->second;
  base::Millis Age = Time.now() - Known.ReportedAt;
  double Weight = 0;
  if (Age < ReportLife)
    Weight = 1 - static_cast<double>(Age.count()) / ReportLife.count();
  double Reported = Known.Reported.InFlight + Known.Reported.Queued;
  return Known.InFlight + Weight * std::max(0.0, Reported - Known.OwnAtReport);
}

double Balancer::serviceMs(const base::EndpointId &Id) const {
  base::Millis Known = expectedService(Id);
  return Known > base::Millis(0) ? static_cast<double>(Known.count())
                                 : UnknownServiceMs;
}

double Balancer::linkMs(const base::EndpointId &Id) const {
  auto Found = States.find(Id);
  if (Found == States.end())
    return 0;
  // The link works off its backlog as time passes.
  base::Millis Age = Time.now() - Found->second.ReportedAt;
  base::Millis Rest = Found->second.Reported.LinkBacklog - Age;
  return static_cast<double>(std::max(base::Millis(0), Rest).count());
}

double Balancer::expectedWait(const Endpoint &Entry,
                              const Demand &Request) const {
  double Slots = std::max<std::uint32_t>(1, Entry.Slots);
  double Wait =
      std::max(0.0, work(Entry.Id) + 1 - Slots) / Slots * serviceMs(Entry.Id);
  return Request.Large ? Wait + linkMs(Entry.Id) : Wait;
}

double Balancer::cost(const Endpoint &Entry, const Demand &Request) const {
  auto Found = States.find(Entry.Id);
  double Served = 1;
  if (Found != States.end())
    Served = std::max(MinServed, Found->second.Served);
  double Slots = std::max<std::uint32_t>(1, Entry.Slots);
  std::int64_t Since = Time.wallNow().count() - Entry.ReadySince;
  if (Since < Options.SlowStart.count())
    Slots *= std::clamp(static_cast<double>(Since) / Options.SlowStart.count(),
                        MinSlowStart, 1.0);
  // The request to be placed counts, so that an idle endpoint in slow start
  // loses against an idle warm one.
  double Load = (work(Entry.Id) + 1) / Slots;
  double Link = Request.Large ? linkMs(Entry.Id) : 0;
  return (serviceMs(Entry.Id) * (std::max(1.0, Load) + LoadWeight * Load) +
          Link) /
         Served;
}

base::Millis Balancer::expectedService(const base::EndpointId &Id) const {
  auto Found = States.find(Id);
  return Found == States.end() ? base::Millis(0)
                               : Found->second.Reported.ServiceTime;
}

/// The cheapest of a few candidates drawn at random. Nodes that all took the
/// cheapest one of many by the same reports would overload it together.
const Endpoint *Balancer::pick(const Candidates &From, const Demand &Request) {
  Candidates Drawn = From;
  std::shuffle(Drawn.begin(), Drawn.end(), Random);
  if (Drawn.size() > MaxDrawn)
    Drawn.resize(MaxDrawn);
  auto Best = std::min_element(Drawn.begin(), Drawn.end(),
                               [&](const Endpoint *A, const Endpoint *B) {
                                 return cost(*A, Request) < cost(*B, Request);
                               });
  return Best == Drawn.end() ? nullptr : *Best;
}

Balancer::Candidates Balancer::localOnes(const Candidates &From,
                                         const Demand &Request) const {
  Candidates Local;
  Candidates Soon;
  double Work = 0;
  double Slots = 0;
  auto Longest = static_cast<double>(Request.LocalWait.count());
  for (const Endpoint *Entry : From) {
    if (Entry->Zone != Options.Zone)
      continue;
    Local.push_back(Entry);
    Work += work(Entry->Id);
    Slots += Entry->Slots;
    if (expectedWait(*Entry, Request) <= Longest)
      Soon.push_back(Entry);
  }
  // Free slots say nothing about the link.
  if (!Request.Large && !Local.empty() && Work <= Options.ZoneLoadLimit * Slots)
    return Local;
  if (!Soon.empty() && (Request.LocalWait > base::Millis(0) || Request.Large))
    return Soon;
  return From;
}

const Endpoint *Balancer::choose(const document::MeshSnapshot &Mesh,
                                 const base::ServiceName &Service,
                                 const base::VersionName &Version,
                                 const std::set<base::EndpointId> &Avoid,
                                 const Demand &Request) {
  Candidates Usable;
  Candidates Ejected;
  Candidates Unreachable;
  for (const auto &[Id, Entry] : Mesh.Endpoints) {
    if (Entry.Service != Service || Entry.Version != Version ||
        Avoid.contains(Id))
      continue;
    if (Entry.State == EndpointState::Unreachable)
      Unreachable.push_back(&Entry);
    else if (Entry.State == EndpointState::Ready)
      (ejected(Id) ? Ejected : Usable).push_back(&Entry);
  }
  const Endpoint *Chosen = pick(localOnes(Usable, Request), Request);
  if (!Chosen)
    Chosen = pick(Ejected, Request);
  if (!Chosen)
    Chosen = pick(Unreachable, Request);
  AMARANTH_INVARIANT(!Chosen || (Chosen->State != EndpointState::Draining &&
                                 Chosen->State != EndpointState::Starting),
                     "endpoint that takes no work was chosen");
  return Chosen;
}

void Balancer::started(const base::EndpointId &Id) { ++States[Id].InFlight; }

void Balancer::finished(const base::EndpointId &Id) {
  auto Found = States.find(Id);
  if (Found != States.end() && Found->second.InFlight > 0)
    --Found->second.InFlight;
}

void Balancer::reported(const base::EndpointId &Id, const UpstreamLoad &Work) {
  State &Known = States[Id];
  Known.Reported = Work;
  Known.ReportedAt = Time.now();
  Known.OwnAtReport = Known.InFlight;
}

void Balancer::succeeded(const base::EndpointId &Id) {
  State &Known = States[Id];
  Known.FailuresInRow = 0;
  Known.Served += ResultWeight * (1 - Known.Served);
  constexpr base::Millis Forget = base::Millis::seconds(60);
  if (Known.Ejections != 0 && Time.now() - Known.EjectedUntil > Forget)
    Known.Ejections = 0;
}

void Balancer::failed(const document::MeshSnapshot &Mesh,
                      const base::EndpointId &Id, bool Certain) {
  State &Known = States[Id];
  ++Known.FailuresInRow;
  Known.Served -= ResultWeight * Known.Served;
  if (!Certain && Known.FailuresInRow < Options.FailuresToEject)
    return;
  auto Entry = Mesh.Endpoints.find(Id);
  if (Entry != Mesh.Endpoints.end() && !ejected(Id))
    eject(Mesh, Entry->second, Known);
}

void Balancer::eject(const document::MeshSnapshot &Mesh, const Endpoint &Entry,
                     State &Known) {
  std::size_t Total = 0;
  std::size_t Out = 0;
  for (const auto &[Id, Other] : Mesh.Endpoints) {
    if (Other.Service != Entry.Service || Other.State != EndpointState::Ready)
      continue;
    ++Total;
    Out += ejected(Id) ? 1 : 0;
  }
  if ((Out + 1) * 2 > Total)
    return;
  Known.FailuresInRow = 0;
  std::int64_t Factor = std::int64_t{1} << std::min(Known.Ejections, 8U);
  ++Known.Ejections;
  Known.EjectedUntil =
      Time.now() + std::min(Options.Ejection * Factor, Options.MaxEjection);
  Counters.countEjection(Entry.Service);
  base::logger("dataplane")
      ->info("endpoint ejected endpoint={} service={}", Entry.Id.value(),
             Entry.Service.value());
}

bool Balancer::ejected(const base::EndpointId &Id) const {
  auto Found = States.find(Id);
  return Found != States.end() && Time.now() < Found->second.EjectedUntil;
}

void Balancer::prune(const document::MeshSnapshot &Mesh) {
  std::erase_if(States, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !Mesh.Endpoints.contains(Entry.first);
  });
}

} // namespace amaranth::dataplane
