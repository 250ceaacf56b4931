#include "EntryRefusal.h"
#include "GateImpl.h"
#include "SchedulingOrder.h"
#include "amaranth/base/Log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace asio = boost::asio;
using amaranth::document::EndpointState;

namespace amaranth::dataplane {

namespace {

constexpr base::Millis TickInterval = base::Millis(100);
/// Minimum Retry-After of requests that are refused because of load; also used
/// when the expected wait is unknown.
constexpr base::Millis BusyRetryAfter = base::Millis(100);
/// A request may start until this percentage of its expected service time
/// remains before the deadline. Below 100 because the expected time is a median
/// and half of the requests take less.
constexpr std::int64_t LatestStartPercent = 60;
/// Multiplies the expected link time of a response that may be late, because
/// responses that can meet their objective are sent before it.
constexpr std::int64_t LateLinkFactor = 2;
/// A request is refused because of its deadline only if three in four of its
/// route would miss it.
constexpr double LowQuantile = 0.25;
/// The upstream counts as silent after this part of the announcement timeout:
/// two announcements are late, and it may have said that it is cold in them.
constexpr std::int64_t SilentPercent = 66;
/// Announcements with more slots are rejected as invalid.
constexpr std::uint32_t MaxSlots = 100'000;

const char *stateName(UpstreamState State) {
  switch (State) {
  case UpstreamState::Absent:
    return "absent";
  case UpstreamState::Starting:
    return "starting";
  case UpstreamState::Ready:
    return "ready";
  case UpstreamState::Draining:
    return "draining";
  case UpstreamState::Crashed:
    return "crashed";
  case UpstreamState::Stopped:
    return "stopped";
  }
  return "unknown";
}

UpstreamEvent eventOf(Announcement::State What) {
  switch (What) {
  case Announcement::State::Starting:
    return UpstreamEvent::AnnouncedStarting;
  case Announcement::State::Ready:
    return UpstreamEvent::AnnouncedReady;
  case Announcement::State::Draining:
    return UpstreamEvent::AnnouncedDraining;
  case Announcement::State::Stopped:
    return UpstreamEvent::AnnouncedStopped;
  }
  return UpstreamEvent::AnnouncementTimeout;
}

bool isLeaving(Announcement::State What) {
  return What == Announcement::State::Draining ||
         What == Announcement::State::Stopped;
}

EndpointState endpointState(UpstreamState State, bool NodeDraining) {
  switch (State) {
  case UpstreamState::Starting:
    return NodeDraining ? EndpointState::Draining : EndpointState::Starting;
  case UpstreamState::Ready:
    return NodeDraining ? EndpointState::Draining : EndpointState::Ready;
  case UpstreamState::Draining:
  case UpstreamState::Stopped:
    return EndpointState::Draining;
  default:
    return EndpointState::Unreachable;
  }
}

} // namespace

Gate::Impl::Impl(const asio::any_io_executor &Executor, GateSettings Settings,
                 base::Clock &Time, follower::SnapshotSource &Snapshots,
                 follower::ControlCalls &Control, CrashQuarantine &Quarantine,
                 Metrics &Counters, const HttpDialect &Dialect,
                 UpstreamRuns &Runs)
    : Executor(Executor), Options(std::move(Settings)), Time(Time),
      Snapshots(Snapshots), Control(Control), Quarantine(Quarantine),
      Counters(Counters), Dialect(Dialect), Runs(Runs),
      Claims(Executor, Control, Time, Counters),
      Client(Executor, Options.Client, Time),
      Crashes(Executor, Time, Claims, Client, Quarantine, Counters,
              Options.IsolateCrashes,
              [this] {
                this->Counters.countCrash();
                Client.closeIdleConnections();
                applyEvent(UpstreamEvent::Crashed);
              }),
      Slots(Time), Egress(Executor, this->Options.LinkBytesPerSecond, Time),
      Incarnation(static_cast<std::uint64_t>(Time.wallNow().count())) {
  if (Options.Endpoint.value().empty())
    Options.Endpoint = base::EndpointId(Options.Node.value());
}

bool Gate::Impl::announce(const Announcement &Update) {
  if (Update.Slots == 0 || Update.Slots > MaxSlots)
    return false;
  // Another writer may announce something that does not exist.
  bool SameService =
      LastAnnouncement && LastAnnouncement->Service == Update.Service;
  if (!SameService && !isConfigured(Update.Service)) {
    base::logger("gate")->warn(
        "announcement ignored: service is not configured service={} "
        "instance={}",
        Update.Service.value(), Update.Instance);
    return false;
  }
  // An announcement from before the configuration was known may turn out to
  // name no service. It does not outrank others.
  bool Restarted = LastAnnouncement &&
                   (Update.Incarnation > LastAnnouncement->Incarnation ||
                    (!SameService && !isConfigured(LastAnnouncement->Service)));
  if (LastAnnouncement && !Restarted &&
      (Update.Incarnation < LastAnnouncement->Incarnation ||
       Update.Sequence <= LastAnnouncement->Sequence))
    return false;
  if (Restarted) {
    if (!std::exchange(HasLeft, false))
      Crashes.handleRestart(LastAnnouncement->Service, Options.Endpoint);
    Client.closeIdleConnections();
    Lifecycle = UpstreamLifecycle();
    setRequestLimit(std::nullopt);
    MalformedLimit.clear();
    Costs = scheduling::CostModel();
    ResponseSizes = RouteSizes();
  }
  if (!LastAnnouncement || Restarted ||
      LastAnnouncement->Instance != Update.Instance)
    base::logger("gate")->info(
        "upstream announced service={} version={} instance={} slots={} "
        "incarnation={} address={}",
        Update.Service.value(), Update.Version.value(), Update.Instance,
        Update.Slots, Update.Incarnation, Update.Upstream.text());
  bool Changed = !LastAnnouncement || LastAnnouncement->Slots != Update.Slots ||
                 LastAnnouncement->Version != Update.Version ||
                 LastAnnouncement->Service != Update.Service;
  UpstreamState Before = Lifecycle.state();
  if (LastAnnouncement && !Restarted &&
      (Before == UpstreamState::Absent || Before == UpstreamState::Crashed))
    suspectCold("absent");
  LastAnnouncement = Update;
  LastAnnouncedAt = Time.now();
  Silent = false;
  Client.setAddress(Update.Upstream);
  // Before the state changes, which may grant slots.
  recordAnnouncedCold(Update, Restarted);
  applyEarlyDeparture();
  // An announcement that was sent before the departure may arrive after it.
  if (!HasLeft || isLeaving(Update.ReportedState))
    applyEvent(eventOf(Update.ReportedState));
  if (Changed && Lifecycle.state() == Before)
    publish();
  updateLimit();
  return true;
}

bool Gate::Impl::isConfigured(const base::ServiceName &Service) const {
  auto Snapshot = Snapshots.current();
  return !Snapshot || Snapshot->Services.contains(Service);
}

void Gate::Impl::unregister(const std::string &Instance,
                            std::optional<std::uint64_t> Incarnation) {
  bool Current = LastAnnouncement && LastAnnouncement->Instance == Instance &&
                 Incarnation.value_or(LastAnnouncement->Incarnation) ==
                     LastAnnouncement->Incarnation;
  base::logger("gate")->info(
      "received upstream deregistration instance={} current={}", Instance,
      Current);
  if (Current) {
    applyEvent(UpstreamEvent::AnnouncedStopped);
    return;
  }
  // A node that has just started may hear of the departure first.
  if (!LastAnnouncement)
    EarlyDeparture = Departure{Instance, Incarnation};
}

void Gate::Impl::applyEarlyDeparture() {
  bool Early =
      EarlyDeparture &&
      EarlyDeparture->Instance == LastAnnouncement->Instance &&
      EarlyDeparture->Incarnation.value_or(LastAnnouncement->Incarnation) >=
          LastAnnouncement->Incarnation;
  EarlyDeparture.reset();
  if (!Early)
    return;
  base::logger("gate")->warn(
      "upstream has already left; its announcement is out of date instance={} "
      "incarnation={}",
      LastAnnouncement->Instance, LastAnnouncement->Incarnation);
  applyEvent(UpstreamEvent::AnnouncedStopped);
}

void Gate::Impl::applyEvent(UpstreamEvent Event) {
  if (!Lifecycle.apply(Event))
    return;
  UpstreamState State = Lifecycle.state();
  if (State == UpstreamState::Draining || State == UpstreamState::Stopped)
    HasLeft = true;
  base::logger("gate")->info(
      "upstream state={} endpoint={} instance={} in_flight={} queued={}",
      stateName(State), Options.Endpoint.value(),
      LastAnnouncement ? LastAnnouncement->Instance : "", Slots.inFlight(),
      Slots.queued());
  if (State == UpstreamState::Ready) {
    ReadyAt = Time.now();
    ReadyWall = Time.wallNow();
  } else {
    // Queued requests have not run, so their callers can retry elsewhere
    // immediately.
    Slots.dropWaiters();
  }
  updateLimit();
  publish();
}

void Gate::Impl::suspectCold(const char *Cause) {
  if (!IsCold)
    ColdCause = Cause;
  Cold.recordEvent(Time.now());
  updateTerms();
}

void Gate::Impl::recordConnectionsLost() {
  if (ClosesConnections)
    return;
  ConnectionsLostAt = ConnectionsLostAt.value_or(Time.now());
  suspectCold("connections-lost");
}

void Gate::Impl::recordAnnouncedCold(const Announcement &Update,
                                     bool Restarted) {
  base::TimePoint Now = Time.now();
  // A process that announces itself after it closed its connections was not
  // restarted, and may close them again. It would count as cold each time.
  if (Restarted)
    ClosesConnections = false;
  else if (ConnectionsLostAt &&
           Now - *ConnectionsLostAt >= ColdLimit::MaxAnnouncementDelay)
    ClosesConnections = true;
  if (Restarted || ClosesConnections)
    ConnectionsLostAt.reset();
  bool SaysCold = Update.ColdFor > base::Millis(0);
  if (!IsCold)
    ColdCause = Restarted ? "new-process" : "announced";
  if (Restarted)
    Cold.reset(Now);
  // The new process itself says for how long. That it is warm is believed from
  // its second announcement on: the field is optional.
  Cold.recordMessage(
      Update.ColdFor,
      Restarted && SaysCold ? Now : Now - ColdLimit::MaxAnnouncementDelay, Now);
  updateTerms();
}

void Gate::Impl::updateTerms() {
  base::TimePoint Now = Time.now();
  if (auto Snapshot = Snapshots.current()) {
    std::optional<ColdLimit::Terms> Terms;
    if (LastAnnouncement)
      if (auto Found = Snapshot->Services.find(LastAnnouncement->Service);
          Found != Snapshot->Services.end())
        Terms = {Found->second.ColdPeriod, Found->second.ColdRequestsPerSecond};
    Cold.setTerms(Terms);
    bool Ordered = Snapshot->EvacuatedZones.contains(Options.Zone);
    if (std::exchange(Evacuated, Ordered) != Ordered) {
      base::logger("gate")->info(
          "evacuation of the zone {} zone={} in_flight={} queued={}",
          Ordered ? "started" : "ended", Options.Zone.value(), Slots.inFlight(),
          Slots.queued());
      Counters.setZoneEvacuated(Ordered);
      if (Ordered)
        Slots.dropWaiters();
      else
        suspectCold("evacuation-ended");
    }
  }
  if (LastAnnouncement && Lifecycle.state() == UpstreamState::Ready &&
      Now - LastAnnouncedAt > Options.AnnounceTimeout * SilentPercent / 100 &&
      !std::exchange(Silent, true))
    suspectCold("silent");
  bool Before = std::exchange(IsCold, Cold.isCold(Now));
  auto Rate = Cold.lowerRate(std::nullopt, Now);
  if (IsCold == Before) {
    updateRate();
    return;
  }
  if (IsCold) {
    base::logger("gate")->info(
        "upstream is cold cause={} per_second={} instance={} in_flight={} "
        "queued={}",
        ColdCause, Rate.value_or(RequestRate{}).PerSecond,
        LastAnnouncement ? LastAnnouncement->Instance : "", Slots.inFlight(),
        Slots.queued());
    Counters.countColdPeriod(ColdCause);
  } else {
    base::logger("gate")->info("upstream is warm instance={}",
                               LastAnnouncement ? LastAnnouncement->Instance
                                                : "");
  }
  updateRate();
  Counters.setColdLimit(Rate);
  // They were admitted for the rate of a warm upstream, and have not run.
  if (IsCold)
    Slots.dropWaiters();
  if (Lifecycle.state() == UpstreamState::Ready)
    publish();
}

void Gate::Impl::updateRate() {
  base::TimePoint Now = Time.now();
  auto Rate = Cold.lowerRate(NamedLimit, Now);
  if (Rate != Slots.rate())
    Slots.setRate(Rate, Cold.timeUntilPaced(Now));
}

std::optional<Refusal> Gate::Impl::coldRefusal() const {
  base::TimePoint Now = Time.now();
  auto Refused = makeRefusal(ExecutionOutcome::NotRun,
                             RefusalReason::UpstreamCold, "upstream is cold");
  Refused->RetryAfter = std::max(
      {Cold.timeUntilSend(Now), Refused->Load.QueueWait, BusyRetryAfter});
  return Refused;
}

void Gate::Impl::publish() {
  if (!LastAnnouncement)
    return;
  // The incarnation derives from the wall clock, which may have been set back
  // since an earlier process of this node published the endpoint.
  if (auto Snapshot = Snapshots.current()) {
    auto Known = Snapshot->Endpoints.find(Options.Endpoint);
    if (Known != Snapshot->Endpoints.end() &&
        Known->second.Incarnation > Incarnation) {
      base::logger("gate")->warn(
          "a newer incarnation of this endpoint is already published own={} "
          "known={}",
          Incarnation, Known->second.Incarnation);
      Incarnation = Known->second.Incarnation + 1;
    }
  }
  document::Endpoint Entry;
  Entry.Id = Options.Endpoint;
  Entry.Node = Options.Node;
  Entry.NodeAddress = Options.NodeAddress;
  Entry.Service = LastAnnouncement->Service;
  Entry.Version = LastAnnouncement->Version;
  Entry.Zone = Options.Zone;
  // Tells entry nodes that have sent nothing here yet.
  Entry.Slots = std::max<std::uint32_t>(
      1, IsCold ? std::min(LastAnnouncement->Slots, load().Slots)
                : LastAnnouncement->Slots);
  Entry.State = endpointState(Lifecycle.state(), NodeDraining || LameDuck);
  Entry.Incarnation = Incarnation;
  Entry.Sequence = ++Sequence;
  Entry.ReadySince = ReadyWall.count();
  Entry.UpstreamIncarnation = LastAnnouncement->Incarnation;
  Entry.UpstreamLeft = HasLeft;
  Control.publish(std::move(Entry));
}

void Gate::Impl::updateLimit() {
  std::uint32_t Limit = 0;
  if (LastAnnouncement && Lifecycle.state() == UpstreamState::Ready) {
    Limit = LastAnnouncement->Slots;
    base::Millis Since = Time.now() - ReadyAt;
    if (Since < Options.SlowStart)
      Limit = std::max<std::uint32_t>(
          1, static_cast<std::uint32_t>(Limit * Since.count() /
                                        Options.SlowStart.count()));
  }
  Slots.setLimit(Limit);
  Counters.setGateLoad(load());
  Counters.setSlowdown(Costs.slowdown(Time.now()));
}

void Gate::Impl::tick() {
  Client.abortExpiredCalls();
  if (LastAnnouncement &&
      Time.now() - LastAnnouncedAt >= Options.AnnounceTimeout)
    applyEvent(UpstreamEvent::AnnouncementTimeout);
  updateTerms();
  updateLimit();
}

void Gate::Impl::applyNotice(const ResponseHead &Head,
                             std::uint64_t Incarnation,
                             base::TimePoint RequestSent) {
  // A late response of an earlier process says nothing about the current one.
  if (!LastAnnouncement || LastAnnouncement->Incarnation != Incarnation)
    return;
  UpstreamNotice Notice = Dialect.upstreamNotice(Head);
  if (Notice.Slowness)
    Costs.recordSlowness(*Notice.Slowness, Time.now());
  if (Notice.Leaving)
    applyEvent(UpstreamEvent::AnnouncedDraining);
  if (Notice.ColdFor) {
    if (!IsCold)
      ColdCause = "response";
    Cold.recordMessage(*Notice.ColdFor, RequestSent, Time.now());
    updateTerms();
  }
  if (!Notice.MalformedLimit.empty()) {
    if (std::exchange(MalformedLimit, Notice.MalformedLimit) !=
        Notice.MalformedLimit)
      base::logger("gate")->warn(
          "malformed request limit of the upstream is ignored instance={} "
          "fields=\"{}\"",
          LastAnnouncement->Instance, Notice.MalformedLimit);
    return;
  }
  if (Notice.Limit == NamedLimit)
    return;
  // An upstream may name another limit in each response.
  if (Notice.Limit.has_value() != NamedLimit.has_value())
    base::logger("gate")->info(
        "upstream {} instance={} in_flight={} queued={}",
        Notice.Limit ? fmt::format("limits its requests per_second={}",
                                   Notice.Limit->PerSecond)
                     : std::string("no longer limits its requests"),
        LastAnnouncement->Instance, Slots.inFlight(), Slots.queued());
  setRequestLimit(Notice.Limit);
}

void Gate::Impl::setRequestLimit(std::optional<RequestRate> Limit) {
  NamedLimit = Limit;
  updateRate();
  Counters.setRequestLimit(Limit);
}

UpstreamLoad Gate::Impl::countedLoad() const {
  UpstreamLoad Work{Slots.inFlight(),
                    static_cast<std::uint32_t>(Slots.queued()),
                    LastAnnouncement ? LastAnnouncement->Slots : 0};
  Work.ServiceTime = Costs.mean(Time.now());
  if (Slots.rate())
    Work.Slots = Slots.capacity(Work.ServiceTime);
  Work.LinkBacklog =
      Egress.backlog(false) + Egress.transmissionTime(PendingLinkBytes);
  Work.Transit = base::Millis(std::llround(Transit.at(Time.now())));
  return Work;
}

UpstreamLoad Gate::Impl::load() const {
  UpstreamLoad Work = countedLoad();
  SchedulingParams Newest;
  Newest.Priority = std::numeric_limits<std::uint32_t>::max();
  Newest.Objective = Newest.Deadline = Time.now();
  scheduling::OutstandingWork Outstanding = runningWork();
  Work.QueueWait = Slots.expectedWait(Newest, Outstanding);
  Work.Work = Outstanding.total();
  return Work;
}

UpstreamLoad Gate::Impl::loadFor(const RequestHead &Head) const {
  UpstreamLoad Work = load();
  Work.RouteServiceTime = Costs.mean(Head.Route, Time.now());
  return Work;
}

scheduling::OutstandingWork Gate::Impl::runningWork() const {
  static const base::RouteName NoRoute;
  base::TimePoint Now = Time.now();
  scheduling::OutstandingWork Work(Costs, Slots.limit(), Now);
  std::uint32_t Counted = 0;
  for (const ServerExchange *Each : Served) {
    if (!Each->Started || Each->ResponseRead)
      continue;
    Work.addRunning(Each->Head.Route, Now - *Each->Started);
    ++Counted;
  }
  // Granted slots whose requests have not started yet.
  for (; Counted < Slots.inFlight(); ++Counted)
    Work.addRunning(NoRoute, base::Millis(0));
  return Work;
}

base::Millis Gate::Impl::expectedServiceTime(const RequestHead &Head) const {
  // The median, unless short requests share the route with long ones. These
  // must not be refused because of a median that mixes both.
  base::TimePoint Now = Time.now();
  return std::min(Costs.quantile(Head.Route, 0.5, Now),
                  Costs.quantile(Head.Route, LowQuantile, Now) * 2);
}

SchedulingParams
Gate::Impl::schedulingParams(const ServerExchange &Exchange) const {
  return {Exchange.Priority,
          Exchange.Objective,
          Exchange.Deadline,
          expectedServiceTime(Exchange.Head),
          0,
          shareIdOf(Exchange.Head.Customer),
          0,
          Costs.mean(Exchange.Head.Route, Time.now())};
}

void Gate::Impl::reschedule(const ServerExchange &Exchange) {
  SchedulingParams Work = schedulingParams(Exchange);
  Slots.reschedule(Exchange.Body, Work, latestStart(Exchange));
  Egress.reschedule(Exchange.Body, Work);
}

base::TimePoint Gate::Impl::latestStart(const ServerExchange &Exchange) const {
  // An idle upstream accepts a request in any case; see `deadlineReachable`.
  return Exchange.Deadline -
         expectedServiceTime(Exchange.Head) * LatestStartPercent / 100;
}

std::optional<Refusal> Gate::Impl::makeRefusal(ExecutionOutcome What,
                                               RefusalReason Why,
                                               std::string Text) const {
  return Refusal{What, Why, std::move(Text), base::Millis(0), load()};
}

std::optional<Refusal> Gate::Impl::stateRefusal() const {
  if (NodeDraining)
    return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::NodeDraining,
                       "node is draining");
  if (Evacuated)
    return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::ZoneEvacuated,
                       "the zone is evacuated");
  switch (Lifecycle.state()) {
  case UpstreamState::Ready:
    return std::nullopt;
  case UpstreamState::Starting:
    return makeRefusal(ExecutionOutcome::NotRun,
                       RefusalReason::UpstreamStarting, "upstream is starting");
  case UpstreamState::Draining:
  case UpstreamState::Stopped:
    return makeRefusal(ExecutionOutcome::NotRun,
                       RefusalReason::UpstreamDraining, "upstream is leaving");
  case UpstreamState::Crashed:
    return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamCrashed,
                       "upstream has crashed");
  case UpstreamState::Absent:
    break;
  }
  return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamAbsent,
                     "no upstream has announced itself");
}

std::optional<Refusal>
Gate::Impl::quarantineRefusal(const RequestHead &Head) const {
  auto Left = Quarantine.convictedFor(Head.Fingerprint);
  if (!Left || !Options.IsolateCrashes)
    return std::nullopt;
  auto Refused =
      makeRefusal(ExecutionOutcome::NotRun, RefusalReason::Quarantined,
                  quarantineText(Head.Fingerprint));
  Refused->RetryAfter = *Left;
  return Refused;
}

std::optional<Refusal>
Gate::Impl::repeatRefusal(const RequestHead &Head) const {
  if (!Head.Repeat || Runs.allowsRepeat(Head.Route))
    return std::nullopt;
  return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::RetryBudgetUsed,
                     "the calls of a repeat would exceed the retry budgets");
}

std::optional<Refusal>
Gate::Impl::identityRefusal(const RequestHead &Head) const {
  if (LastAnnouncement && Head.Service == LastAnnouncement->Service &&
      Head.Version == LastAnnouncement->Version)
    return std::nullopt;
  return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::WrongUpstream,
                     "another service or version runs here");
}

std::optional<Refusal>
Gate::Impl::refusalBeforeSend(const ServerExchange &Exchange) const {
  if (auto Refused = stateRefusal())
    return Refused;
  // The upstream may have been replaced while the request waited.
  if (auto Refused = identityRefusal(Exchange.Head))
    return Refused;
  if (Exchange.Body.ended())
    return makeRefusal(ExecutionOutcome::NotRun, RefusalReason::Cancelled,
                       "cancelled");
  if (Time.now() >= Exchange.Deadline)
    return makeRefusal(ExecutionOutcome::NotRun,
                       RefusalReason::DeadlineExceeded,
                       "the deadline passed before the request was sent");
  // A grant may be older than the cold period, or be used late.
  if (Cold.timeUntilSend(Time.now()) > base::Millis(0))
    return coldRefusal();
  return std::nullopt;
}

bool Gate::Impl::isSuspect(const RequestHead &Head) const {
  return Options.IsolateCrashes && Quarantine.isSuspect(Head.Fingerprint);
}

void Gate::Impl::recordAnswer(const RequestHead &Head, bool Suspect) {
  Quarantine.recordAnswer(Head.Fingerprint);
  if (Suspect)
    Claims.commitInBackground(
        control::EndSuspectRun{Head.Service, Head.Fingerprint, {}, false});
}

std::size_t
Gate::Impl::expectedShapedBytes(const ServerExchange &Exchange) const {
  // Uses the median of this route only. With the overall median, a short call
  // could be mistaken for a large download and refused, and its real size would
  // never be measured.
  auto Size = ResponseSizes.routeMedian(Exchange.Head.Route).value_or(0);
  return Egress.isEnabled() && Size > EgressShaper::PieceBytes ? Size : 0;
}

base::Millis Gate::Impl::expectedLinkTime(const ServerExchange &Exchange,
                                          bool BehindAll) const {
  std::size_t Size = expectedShapedBytes(Exchange);
  if (Size == 0)
    return base::Millis(0);
  return Egress.backlog(BehindAll) +
         Egress.transmissionTime(PendingLinkBytes + Size);
}

bool Gate::Impl::deadlineReachable(const ServerExchange &Exchange,
                                   base::Millis Wait, base::Millis Link) const {
  base::Millis Left = Exchange.Deadline - Time.now();
  if (Left <= base::Millis(0))
    return false;
  // An idle upstream accepts one request regardless of its expected service
  // time; otherwise a median from a slow period would never be updated.
  if (Slots.inFlight() == 0)
    return Wait + Link <= Left;
  base::Millis Least =
      Costs.quantile(Exchange.Head.Route, LowQuantile, Time.now());
  return Wait + Least + Link <= Left;
}

/// Returns true if a request is admitted as a probe although it is expected to
/// miss its deadline. Refused requests are not measured, so without probes the
/// median of a slow period would persist on a route while other routes keep the
/// upstream busy. `Wait` is the expected wait for a slot and for the link.
bool Gate::Impl::admitsProbe(base::Millis Wait) {
  constexpr base::Millis ProbeInterval = base::Millis(500);
  if (Wait > base::Millis(0) || Time.now() < NextProbe)
    return false;
  NextProbe = Time.now() + ProbeInterval;
  return true;
}

std::optional<Refusal>
Gate::Impl::checkAdmission(const ServerExchange &Exchange) {
  const RequestHead &Head = Exchange.Head;
  updateTerms();
  if (auto Refused = stateRefusal())
    return Refused;
  if (auto Refused = identityRefusal(Head))
    return Refused;
  if (auto Refused = quarantineRefusal(Head))
    return Refused;
  if (auto Refused = repeatRefusal(Head))
    return Refused;
  if (Time.now() >= Exchange.Deadline)
    return makeRefusal(ExecutionOutcome::NotRun,
                       RefusalReason::DeadlineExceeded,
                       "the deadline passed on the way to this node");
  SchedulingParams Work = schedulingParams(Exchange);
  scheduling::OutstandingWork Running = runningWork();
  base::Millis Wait = Slots.expectedWait(Work, Running);
  // A request that may be late is sent after all waiting bodies, and newer
  // requests overtake it.
  bool MayBeLate = !Head.MaxQueueWait && Exchange.Objective < Exchange.Deadline;
  base::Millis Link = expectedLinkTime(Exchange, MayBeLate);
  if (MayBeLate)
    Link = Link * LateLinkFactor;
  auto Busy = [&](RefusalReason Why, const char *Text) {
    if (IsCold)
      Why = RefusalReason::UpstreamCold;
    auto Refused = makeRefusal(ExecutionOutcome::NotRun, Why, Text);
    Refused->RetryAfter = std::max(Wait + Link, BusyRetryAfter);
    return Refused;
  };
  if (!deadlineReachable(Exchange, Wait, Link) && !admitsProbe(Wait + Link))
    return Busy(RefusalReason::DeadlineUnreachable,
                "the deadline cannot be met");
  if (Head.MaxQueueWait && Wait + Link > *Head.MaxQueueWait)
    return Busy(RefusalReason::WaitTooLong, "no slot is expected in time");
  // A request that would be late is admitted only while the queue is short.
  if (Wait > base::Millis(0) && Exchange.Objective < Exchange.Deadline &&
      !admitsToQueue(Work, Time.now(), Wait, Slots.queued(),
                     Slots.capacity(Work.ServiceTime)))
    return Busy(RefusalReason::QueueFull,
                "the queue is too long for a late request");
  // Only requests that would precede this one count, so that less urgent
  // requests cannot fill the queue for more urgent ones.
  if (Slots.isFull() &&
      Slots.countAhead(Work) >=
          std::size_t{Options.MaxQueuedPerSlot} * LastAnnouncement->Slots)
    return Busy(RefusalReason::QueueFull, "queue is full");
  return std::nullopt;
}

Gate::Gate(const asio::any_io_executor &Executor, GateSettings Options,
           base::Clock &Time, follower::SnapshotSource &Snapshots,
           follower::ControlCalls &Control, CrashQuarantine &Quarantine,
           Metrics &Counters, const HttpDialect &Dialect, UpstreamRuns &Runs)
    : Self(std::make_shared<Impl>(Executor, std::move(Options), Time, Snapshots,
                                  Control, Quarantine, Counters, Dialect,
                                  Runs)) {}

Gate::~Gate() = default;

asio::awaitable<void> Gate::run() {
  auto KeepAlive = Self;
  for (;;) {
    co_await KeepAlive->Time.sleepFor(TickInterval);
    KeepAlive->tick();
  }
}

bool Gate::announce(const Announcement &Update) {
  return Self->announce(Update);
}

void Gate::unregister(const std::string &Instance,
                      std::optional<std::uint64_t> Incarnation) {
  Self->unregister(Instance, Incarnation);
}

asio::awaitable<void> Gate::serve(std::shared_ptr<ServerExchange> Exchange) {
  co_await Self->serve(std::move(Exchange));
}

asio::awaitable<bool> Gate::drain(base::Millis Limit,
                                  base::Millis LameDuckTime) {
  auto KeepAlive = Self;
  constexpr base::Millis Poll = base::Millis(20);
  constexpr base::Millis FlushTime = base::Millis(200);
  // Entry nodes repeat elsewhere what this node cannot answer in time. Without
  // this they would learn of it by the loss of the connection.
  KeepAlive->ShutdownEnd = KeepAlive->Time.now() + Limit - FlushTime;
  for (ServerExchange *Each : KeepAlive->Served)
    Each->limitDeadline(KeepAlive->ShutdownEnd);
  if (LameDuckTime > base::Millis(0)) {
    KeepAlive->LameDuck = true;
    KeepAlive->publish();
    co_await KeepAlive->Time.sleepFor(LameDuckTime);
  }
  if (!std::exchange(KeepAlive->NodeDraining, true)) {
    KeepAlive->Slots.dropWaiters();
    KeepAlive->publish();
  }
  base::TimePoint End = KeepAlive->ShutdownEnd + TickInterval + Poll;
  while (!KeepAlive->isIdle() && KeepAlive->Time.now() < End)
    co_await KeepAlive->Time.sleepFor(Poll);
  // The last messages may still be in the send queues of their connections;
  // channels do not report when a message has been written.
  co_await KeepAlive->Time.sleepFor(FlushTime);
  co_return KeepAlive->isIdle();
}

UpstreamState Gate::state() const { return Self->Lifecycle.state(); }

UpstreamLoad Gate::load() const { return Self->load(); }

} // namespace amaranth::dataplane
