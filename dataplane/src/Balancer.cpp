#include "amaranth/dataplane/Balancer.h"

#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"

#include <algorithm>
#include <cmath>
#include <random>

using amaranth::document::Endpoint;
using amaranth::document::EndpointState;

namespace amaranth::dataplane {

namespace {

/// The weight of a load report falls to zero over this time, so that an
/// endpoint without requests since its last report is tried again. Its delay
/// counts as the usual one then.
constexpr base::Millis ReportDecayTime = base::Millis::seconds(2);
/// Fraction of its slots that an endpoint in slow start has at least.
constexpr double MinSlowStartFraction = 0.1;
/// Assumed for endpoints that have not reported a service time.
constexpr double DefaultServiceTimeMs = 100;
/// Weight of the newest result in the moving averages of the results, and the
/// time over which an average halves without results.
constexpr double ResultSmoothing = 0.1;
constexpr double ResultHalfLifeMs = 5'000;
constexpr double MinResultRate = 0.01;
constexpr double MaxResultRate = 0.95;
/// Price of a request that fails, in service times. A shed request is repeated
/// elsewhere and costs one.
constexpr double FailurePrice = 10;
/// Part of the work over the slots that counts as a delay although a slot may
/// be free: reports are old when they are used, and some upstreams slow down
/// under load. In simulations with upstreams whose speed differs by three, 1
/// sent too much to the fast ones and 0.15 was no better.
constexpr double UsedSlotWeight = 0.3;
/// Weight of the newest report in the mean delays of an endpoint and of a
/// version, and the time over which the former fades to the latter without
/// reports.
constexpr double EndpointDelaySmoothing = 0.1;
constexpr double VersionDelaySmoothing = 0.05;
constexpr double MeanDelayHalfLifeMs = 5'000;
/// Candidates that one selection looks at when there are more than twice as
/// many, and draws to find them.
constexpr std::size_t SampleSize = 8;
constexpr std::size_t MaxDraws = 32;
/// Candidates whose costs are compared if there are more: two, and two further
/// ones if both cost more than `AcceptableCost` times the usual cost. With four
/// in any case, the nodes sent too many requests to the fastest upstreams by
/// reports that were out of date.
constexpr std::size_t MinComparedCandidates = 2;
constexpr std::size_t MaxComparedCandidates = 4;
constexpr double AcceptableCost = 2;

/// Part of the endpoints of a new version that gets most of its requests, and
/// the part of their slots that is used.
constexpr std::size_t ConcentrationDivisor = 3;
constexpr double MaxConcentratedLoad = 0.8;

} // namespace

double Balancer::ResultRate::at(base::TimePoint Now) const {
  auto PassedMs = static_cast<double>((Now - RecordedAt).count());
  double Faded = Rate * std::exp2(-PassedMs / ResultHalfLifeMs);
  return Faded < MinResultRate ? 0 : Faded;
}

void Balancer::ResultRate::record(bool Happened, base::TimePoint Now) {
  Rate = at(Now) * (1 - ResultSmoothing) + (Happened ? ResultSmoothing : 0);
  RecordedAt = Now;
}

/// Weight of a report that was received `Age` ago.
static double reportWeight(base::Millis Age) {
  return std::max(0.0, 1 - static_cast<double>(Age.count()) /
                               ReportDecayTime.count());
}

double Balancer::outstandingRequests(const EndpointStats &Stats,
                                     base::TimePoint Now) {
  double Reported = Stats.Reported.InFlight + Stats.Reported.Queued;
  return Stats.InFlight + reportWeight(Now - Stats.ReportedAt) *
                              std::max(0.0, Reported - Stats.InFlightAtReport);
}

double Balancer::expectedDelayMs(const Candidate &Option, base::TimePoint Now) {
  const EndpointStats &Stats = *Option.Stats;
  double Slots = slotsOf(Option);
  // Others go on sending, so the delay tends to its mean and not to zero.
  double Usual = Stats.Index ? Stats.Index->MeanDelayMs : 0;
  if (Stats.HasReport) {
    auto AgeMs = static_cast<double>((Now - Stats.ReportedAt).count());
    Usual +=
        (Stats.MeanDelayMs - Usual) * std::exp2(-AgeMs / MeanDelayHalfLifeMs);
  }
  double Weight = Stats.HasReport ? reportWeight(Now - Stats.ReportedAt) : 0;
  // Only the requests for which no slot was free wait.
  double Free = Slots - Stats.Reported.InFlight - Stats.Reported.Queued;
  double Sent = Stats.SentSinceReport;
  double WaitingPart = Sent > 0 ? std::clamp(1 - Free / Sent, 0.0, 1.0) : 0;
  return Usual + Weight * (Stats.ReportedDelayMs - Usual) +
         Stats.SentWorkMs / Slots *
             (UsedSlotWeight + (1 - UsedSlotWeight) * WaitingPart);
}

double Balancer::serviceTimeMs(const EndpointStats &Stats) {
  base::Millis ServiceTime = Stats.Reported.ServiceTime;
  return ServiceTime > base::Millis(0)
             ? static_cast<double>(ServiceTime.count())
             : DefaultServiceTimeMs;
}

double Balancer::ownTimeMs(const EndpointStats &Stats,
                           const std::optional<double> &RouteLog) {
  return RouteLog ? std::exp(*RouteLog + Stats.Speed.LogFactor)
                  : serviceTimeMs(Stats);
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

double Balancer::transitMs(const EndpointStats &Stats, base::TimePoint Now) {
  return static_cast<double>(Stats.Reported.Transit.count()) *
         reportWeight(Now - Stats.ReportedAt);
}

double Balancer::expectedWaitMs(const Candidate &Option,
                                const Selection &Pick) {
  double Slots = slotsOf(Option);
  double Waiting = outstandingRequests(*Option.Stats, Pick.Now) + 1 - Slots;
  double Wait =
      std::max(std::max(0.0, Waiting) / Slots * serviceTimeMs(*Option.Stats),
               reportedWaitMs(*Option.Stats, Pick.Now)) +
      transitMs(*Option.Stats, Pick.Now);
  if (Pick.Request.LargeResponse)
    Wait += linkBacklogMs(*Option.Stats, Pick.Now);
  return Wait;
}

double Balancer::cost(const Candidate &Option, const Selection &Pick) const {
  const EndpointStats &Stats = *Option.Stats;
  double Slots = slotsOf(Option);
  std::int64_t ReadyForMs = Pick.WallNow.count() - Option.Entry->ReadySince;
  double WarmPart = 1;
  if (ReadyForMs < Options.SlowStart.count())
    WarmPart =
        std::clamp(static_cast<double>(ReadyForMs) / Options.SlowStart.count(),
                   MinSlowStartFraction, 1.0);
  double Own = ownTimeMs(Stats, Pick.RouteLog);
  // The delay includes the request, so that an idle endpoint in slow start
  // costs more than an idle warm one.
  double Delay = std::max(
      (expectedDelayMs(Option, Pick.Now) + UsedSlotWeight * Own / Slots) /
          WarmPart,
      reportedWaitMs(Stats, Pick.Now));
  double Link = Pick.Request.LargeResponse ? linkBacklogMs(Stats, Pick.Now) : 0;
  auto Odds = [&](const ResultRate &Result) {
    double Rate = std::min(MaxResultRate, Result.at(Pick.Now));
    return Rate / (1 - Rate);
  };
  return Delay + Own + Link + transitMs(Stats, Pick.Now) +
         Own * (Odds(Stats.Sheds) + FailurePrice * Odds(Stats.Failures));
}

base::Millis Balancer::expectedServiceTime(const base::EndpointId &Id,
                                           const base::RouteName &Route) const {
  auto Found = StatsById.find(Id);
  if (Found == StatsById.end())
    return base::Millis(0);
  if (auto Known = Costs.expectedMs(Route, Found->second.Speed))
    return base::Millis(std::llround(*Known));
  return Found->second.Reported.ServiceTime;
}

const Endpoint *Balancer::pickLeastCost(CandidateList Candidates,
                                        const Selection &Pick) {
  std::size_t Count = std::min(Candidates.size(), MaxComparedCandidates);
  const Endpoint *Best = nullptr;
  double BestCost = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    if (I == MinComparedCandidates &&
        Candidates.size() > MaxComparedCandidates &&
        BestCost <= AcceptableCost * Pick.UsualCostMs)
      break;
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

bool Balancer::isAllowed(const Candidate &Option, const Selection &Pick) {
  const Endpoint &Entry = *Option.Entry;
  const auto *Avoided = Pick.Request.AvoidedZones;
  return (Pick.Excluded.empty() || !Pick.Excluded.contains(Entry.Id)) &&
         (Pick.EvacuatedZones.empty() ||
          !Pick.EvacuatedZones.contains(Entry.Zone)) &&
         (!Avoided || Avoided->empty() || !Avoided->contains(Entry.Zone));
}

bool Balancer::isUsable(const Candidate &Option, const Selection &Pick) {
  return Pick.Now >= Option.Stats->EjectedUntil && isAllowed(Option, Pick);
}

Balancer::CandidateList Balancer::sample(const CandidateList &From,
                                         std::size_t Count,
                                         const Selection &Pick) {
  CandidateList Found;
  if (Count > 2 * SampleSize) {
    Found.reserve(SampleSize);
    std::uniform_int_distribution<std::size_t> Draw(0, Count - 1);
    for (std::size_t I = 0; I < MaxDraws && Found.size() < SampleSize; ++I) {
      const Candidate &Option = From[Draw(Random)];
      bool Known =
          std::any_of(Found.begin(), Found.end(), [&](const Candidate &Each) {
            return Each.Entry == Option.Entry;
          });
      if (!Known && isUsable(Option, Pick))
        Found.push_back(Option);
    }
    if (!Found.empty())
      return Found;
  }
  // A short list, or most of it is ejected.
  for (std::size_t I = 0; I < Count; ++I)
    if (isUsable(From[I], Pick))
      Found.push_back(From[I]);
  return Found;
}

Balancer::CandidateList
Balancer::preferLocalZone(const CandidateList &ReadyLocal,
                          const Selection &Pick) {
  const RequestTraits &Request = Pick.Request;
  if (Request.AnyZone || Pick.EvacuatedZones.contains(Options.Zone))
    return {};
  CandidateList Local = sample(ReadyLocal, ReadyLocal.size(), Pick);
  CandidateList WithinWait;
  double Outstanding = 0;
  double Slots = 0;
  auto MaxWaitMs = static_cast<double>(Request.MaxLocalWait.count());
  for (const Candidate &Option : Local) {
    Outstanding += outstandingRequests(*Option.Stats, Pick.Now);
    Slots += slotsOf(Option);
    if (expectedWaitMs(Option, Pick) <= MaxWaitMs)
      WithinWait.push_back(Option);
  }
  // Free slots do not imply free link capacity.
  if (!Request.LargeResponse && Outstanding <= Options.ZoneLoadLimit * Slots)
    return Local;
  if (Request.MaxLocalWait > base::Millis(0) || Request.LargeResponse)
    return WithinWait;
  return {};
}

Balancer::CandidateList Balancer::concentrate(const CandidateList &Ready,
                                              const Selection &Pick) {
  std::size_t Count =
      (Ready.size() + ConcentrationDivisor - 1) / ConcentrationDivisor;
  CandidateList Preferred = sample(Ready, Count, Pick);
  std::erase_if(Preferred, [&](const Candidate &Option) {
    return outstandingRequests(*Option.Stats, Pick.Now) + 1 >
           MaxConcentratedLoad * slotsOf(Option);
  });
  return Preferred;
}

void Balancer::updateIndex(const document::MeshSnapshot &Mesh) {
  if (Mesh.Endpoints.sharesWith(Indexed))
    return;
  Indexed = Mesh.Endpoints;
  for (auto &[Id, Stats] : StatsById)
    Stats.Index = nullptr;
  for (auto &[Key, Index] : IndexByVersion)
    Index = {{}, {}, {}, Index.MeanDelayMs};
  for (const auto &[Id, Entry] : Indexed) {
    VersionIndex &Index = IndexByVersion[{Entry.Service, Entry.Version}];
    EndpointStats &Stats = StatsById[Id];
    Stats.Index = &Index;
    Candidate Option{&Entry, &Stats, Entry.Zone == Options.Zone};
    Index.All.push_back(Option);
    if (Entry.State != EndpointState::Ready)
      continue;
    Index.Ready.push_back(Option);
    if (Option.Local)
      Index.ReadyLocal.push_back(Option);
  }
  std::erase_if(IndexByVersion,
                [](const auto &Each) { return Each.second.All.empty(); });
}

const Endpoint *Balancer::choose(const document::MeshSnapshot &Mesh,
                                 const base::ServiceName &Service,
                                 const base::VersionName &Version,
                                 const std::set<base::EndpointId> &Excluded,
                                 const RequestTraits &Request) {
  updateIndex(Mesh);
  auto Found = IndexByVersion.find({Service, Version});
  if (Found == IndexByVersion.end())
    return nullptr;
  const VersionIndex &Index = Found->second;
  Selection Pick{Request,    Excluded,       Mesh.EvacuatedZones,
                 Time.now(), Time.wallNow(), Costs.meanLog(Request.Route)};
  if (Pick.RouteLog)
    Pick.UsualCostMs = std::exp(*Pick.RouteLog) + Index.MeanDelayMs;
  const Endpoint *Chosen = nullptr;
  if (Request.Concentrate)
    Chosen = pickLeastCost(concentrate(Index.Ready, Pick), Pick);
  if (!Chosen)
    Chosen = pickLeastCost(preferLocalZone(Index.ReadyLocal, Pick), Pick);
  if (!Chosen)
    Chosen = pickLeastCost(sample(Index.Ready, Index.Ready.size(), Pick), Pick);
  if (!Chosen)
    Chosen = chooseLastResort(Index.All, Pick);
  AMARANTH_INVARIANT(!Chosen || (Chosen->State != EndpointState::Draining &&
                                 Chosen->State != EndpointState::Starting),
                     "a draining or starting endpoint was chosen");
  return Chosen;
}

const Endpoint *Balancer::chooseLastResort(const CandidateList &All,
                                           const Selection &Pick) {
  CandidateList Ejected;
  CandidateList Unreachable;
  for (const Candidate &Option : All) {
    if (!isAllowed(Option, Pick))
      continue;
    if (Option.Entry->State == EndpointState::Unreachable)
      Unreachable.push_back(Option);
    else if (Option.Entry->State == EndpointState::Ready)
      Ejected.push_back(Option);
  }
  const Endpoint *Chosen = pickLeastCost(std::move(Ejected), Pick);
  return Chosen ? Chosen : pickLeastCost(std::move(Unreachable), Pick);
}

void Balancer::requestStarted(const base::EndpointId &Id,
                              const base::RouteName &Route) {
  EndpointStats &Stats = StatsById[Id];
  ++Stats.InFlight;
  ++Stats.SentSinceReport;
  Stats.SentWorkMs += ownTimeMs(Stats, Costs.meanLog(Route));
}

void Balancer::requestFinished(const base::EndpointId &Id) {
  auto Found = StatsById.find(Id);
  if (Found == StatsById.end() || Found->second.InFlight == 0)
    return;
  EndpointStats &Stats = Found->second;
  --Stats.InFlight;
  // It ended without a report.
  if (Stats.SentSinceReport > Stats.InFlight) {
    Stats.SentWorkMs *=
        static_cast<double>(Stats.InFlight) / Stats.SentSinceReport;
    Stats.SentSinceReport = Stats.InFlight;
  }
}

void Balancer::recordLoad(const base::EndpointId &Id,
                          const UpstreamLoad &NewLoad,
                          const base::RouteName &Route) {
  EndpointStats &Stats = StatsById[Id];
  Stats.Reported = NewLoad;
  bool First = !std::exchange(Stats.HasReport, true);
  Stats.ReportedAt = Time.now();
  Stats.InFlightAtReport = Stats.InFlight;
  Stats.SentSinceReport = 0;
  Stats.SentWorkMs = 0;
  Costs.add(Route, Stats.Speed, NewLoad.RouteServiceTime);
  // A gate that does not report its work: running requests have half of their
  // time left on average.
  double Work = NewLoad.Work ? static_cast<double>(NewLoad.Work->count())
                             : (NewLoad.InFlight * 0.5 + NewLoad.Queued) *
                                   serviceTimeMs(Stats);
  Stats.ReportedDelayMs =
      UsedSlotWeight * Work / std::max(1U, NewLoad.Slots) +
      (1 - UsedSlotWeight) * static_cast<double>(NewLoad.QueueWait.count());
  auto Average = [&Stats](double &Mean, double Smoothing) {
    Mean += Smoothing * (Stats.ReportedDelayMs - Mean);
  };
  if (Stats.Index)
    Average(Stats.Index->MeanDelayMs, VersionDelaySmoothing);
  if (First)
    Stats.MeanDelayMs = Stats.Index ? Stats.Index->MeanDelayMs : 0;
  else
    Average(Stats.MeanDelayMs, EndpointDelaySmoothing);
}

void Balancer::recordSuccess(const base::EndpointId &Id) {
  EndpointStats &Stats = StatsById[Id];
  base::TimePoint Now = Time.now();
  Stats.ConsecutiveFailures = 0;
  Stats.Failures.record(false, Now);
  Stats.Sheds.record(false, Now);
  constexpr base::Millis EjectionCountReset = base::Millis::seconds(60);
  if (Stats.EjectionCount != 0 && Now - Stats.EjectedUntil > EjectionCountReset)
    Stats.EjectionCount = 0;
}

void Balancer::recordShed(const base::EndpointId &Id) {
  StatsById[Id].Sheds.record(true, Time.now());
}

void Balancer::recordFailure(const document::MeshSnapshot &Mesh,
                             const base::EndpointId &Id, bool HardFault) {
  EndpointStats &Stats = StatsById[Id];
  ++Stats.ConsecutiveFailures;
  Stats.Failures.record(true, Time.now());
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
