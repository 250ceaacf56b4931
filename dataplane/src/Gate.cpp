#include "GateImpl.h"
#include "WorkOrder.h"
#include "amaranth/base/Log.h"

#include <algorithm>
#include <limits>

namespace asio = boost::asio;
using amaranth::document::EndpointState;

namespace amaranth::dataplane {

namespace {

constexpr base::Millis TickInterval = base::Millis(100);
/// Earliest time at which a caller that was refused for lack of room should
/// come back, when the expected wait is not known.
constexpr base::Millis BusyRetryAfter = base::Millis(100);
/// A request is given up this part of its expected time before it could
/// finish by its deadline, in percent: half of the requests take less.
constexpr std::int64_t LatestStartPercent = 60;
/// A late response is given this many times the time that the link needs for
/// what waits, since responses that can be in time go before it.
constexpr std::int64_t LateLinkFactor = 2;
/// Larger announcements are taken for a mistake.
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

EndpointState published(UpstreamState State, bool NodeDraining) {
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
                 follower::ControlCalls &Control, Metrics &Counters,
                 const HttpDialect &Dialect)
    : Executor(Executor), Options(std::move(Settings)), Time(Time),
      Snapshots(Snapshots), Control(Control), Counters(Counters),
      Dialect(Dialect), Claims(Executor, Control, Time, Counters),
      Client(Executor, Options.Client, Time),
      Crashes(Executor, Time, Claims, Client, Options.IsolateCrashes,
              [this] {
                this->Counters.countCrash();
                Client.closeIdleConnections();
                enter(UpstreamEvent::Crashed);
              }),
      Slots(Time), Egress(Executor, this->Options.LinkBytesPerSecond, Time),
      Incarnation(static_cast<std::uint64_t>(Time.wallNow().count())) {
  if (Options.Endpoint.value().empty())
    Options.Endpoint = base::EndpointId(Options.Node.value());
}

bool Gate::Impl::announce(const Announcement &News) {
  if (News.Slots == 0 || News.Slots > MaxSlots)
    return false;
  bool Restarted = Last && News.Incarnation > Last->Incarnation;
  if (Last && !Restarted &&
      (News.Incarnation < Last->Incarnation || News.Sequence <= Last->Sequence))
    return false;
  bool Left = Lifecycle.state() == UpstreamState::Draining ||
              Lifecycle.state() == UpstreamState::Stopped;
  if (Restarted) {
    if (!Left)
      Crashes.restarted(Last->Service, Options.Endpoint);
    Client.closeIdleConnections();
    Lifecycle = UpstreamLifecycle();
    Times = RouteTimes();
    Sizes = RouteSizes();
  }
  if (!Last || Restarted || Last->Instance != News.Instance)
    base::logger("gate")->info(
        "upstream announced service={} version={} instance={} slots={} "
        "incarnation={} address={}",
        News.Service.value(), News.Version.value(), News.Instance, News.Slots,
        News.Incarnation, News.Upstream.text());
  bool Changed = !Last || Last->Slots != News.Slots ||
                 Last->Version != News.Version || Last->Service != News.Service;
  Last = News;
  LastHeard = Time.now();
  Client.setAddress(News.Upstream);
  UpstreamState Before = Lifecycle.state();
  enter(eventOf(News.What));
  if (Changed && Lifecycle.state() == Before)
    publish();
  updateLimit();
  return true;
}

void Gate::Impl::leave(const std::string &Instance,
                       std::optional<std::uint64_t> Incarnation) {
  bool Current = Last && Last->Instance == Instance &&
                 Incarnation.value_or(Last->Incarnation) == Last->Incarnation;
  base::logger("gate")->info("upstream leaves instance={} current={}", Instance,
                             Current);
  if (Current)
    enter(UpstreamEvent::AnnouncedStopped);
}

void Gate::Impl::enter(UpstreamEvent Event) {
  if (!Lifecycle.apply(Event))
    return;
  UpstreamState State = Lifecycle.state();
  base::logger("gate")->info(
      "upstream state={} endpoint={} instance={} in_flight={} queued={}",
      stateName(State), Options.Endpoint.value(), Last ? Last->Instance : "",
      Slots.inFlight(), Slots.queued());
  if (State == UpstreamState::Ready) {
    ReadyAt = Time.now();
    ReadyWall = Time.wallNow();
  } else {
    // Queued work has not run; its callers can go elsewhere at once.
    Slots.dropWaiting();
  }
  updateLimit();
  publish();
}

void Gate::Impl::publish() {
  if (!Last)
    return;
  // The time of day may have been set back since an earlier process of this
  // node published its endpoint.
  if (auto Snapshot = Snapshots.current()) {
    auto Known = Snapshot->Endpoints.find(Options.Endpoint);
    if (Known != Snapshot->Endpoints.end() &&
        Known->second.Incarnation > Incarnation) {
      base::logger("gate")->warn(
          "a later incarnation of this endpoint is known, own={} known={}",
          Incarnation, Known->second.Incarnation);
      Incarnation = Known->second.Incarnation + 1;
    }
  }
  document::Endpoint Entry;
  Entry.Id = Options.Endpoint;
  Entry.Node = Options.Node;
  Entry.NodeAddress = Options.NodeAddress;
  Entry.Service = Last->Service;
  Entry.Version = Last->Version;
  Entry.Zone = Options.Zone;
  Entry.Slots = Last->Slots;
  Entry.State = published(Lifecycle.state(), NodeDraining || Leaving);
  Entry.Incarnation = Incarnation;
  Entry.Sequence = ++Sequence;
  Entry.ReadySince = ReadyWall.count();
  Control.publish(std::move(Entry));
}

void Gate::Impl::updateLimit() {
  std::uint32_t Limit = 0;
  if (Last && Lifecycle.state() == UpstreamState::Ready) {
    Limit = Last->Slots;
    base::Millis Since = Time.now() - ReadyAt;
    if (Since < Options.SlowStart)
      Limit = std::max<std::uint32_t>(
          1, static_cast<std::uint32_t>(Limit * Since.count() /
                                        Options.SlowStart.count()));
  }
  // Work in flight keeps its slots when the limit falls.
  Slots.setLimit(Limit);
  Counters.setGateLoad(load());
}

void Gate::Impl::tick() {
  Client.abortExpiredCalls();
  if (Last && Time.now() - LastHeard >= Options.AnnounceSilence)
    enter(UpstreamEvent::AnnouncementTimeout);
  updateLimit();
}

UpstreamLoad Gate::Impl::load() const {
  UpstreamLoad Work{Slots.inFlight(),
                    static_cast<std::uint32_t>(Slots.queued()),
                    Last ? Last->Slots : 0};
  Work.ServiceTime = Times.expected().value_or(base::Millis(0));
  WaitingWork Newest;
  Newest.Priority = std::numeric_limits<std::uint32_t>::max();
  Newest.Objective = Newest.Deadline = Time.now();
  Work.QueueWait = Slots.expectedWait(Newest, Work.ServiceTime);
  Work.LinkBacklog = Egress.backlog(false) + Egress.timeFor(PendingBytes);
  return Work;
}

base::Millis Gate::Impl::expectedService(const RequestHead &Head) const {
  return Times.expected(Head.Route).value_or(base::Millis(0));
}

WaitingWork Gate::Impl::workOf(const ServerExchange &Exchange) const {
  return {Exchange.Head.Priority, Exchange.Objective, Exchange.Deadline,
          expectedService(Exchange.Head), 0};
}

base::TimePoint Gate::Impl::latestStart(const ServerExchange &Exchange) const {
  // An idle upstream takes a request in any case; see `deadlineReachable`.
  return Exchange.Deadline -
         expectedService(Exchange.Head) * LatestStartPercent / 100;
}

std::optional<Refusal> Gate::Impl::refusal(ExecutionOutcome What,
                                           RefusalReason Why,
                                           std::string Text) const {
  return Refusal{What, Why, std::move(Text), base::Millis(0), load()};
}

std::optional<Refusal> Gate::Impl::stateRefusal() const {
  if (NodeDraining)
    return refusal(ExecutionOutcome::NotRun, RefusalReason::NodeDraining,
                   "node is draining");
  switch (Lifecycle.state()) {
  case UpstreamState::Ready:
    return std::nullopt;
  case UpstreamState::Starting:
    return refusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamStarting,
                   "upstream is starting");
  case UpstreamState::Draining:
  case UpstreamState::Stopped:
    return refusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamDraining,
                   "upstream is leaving");
  case UpstreamState::Crashed:
    return refusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamCrashed,
                   "upstream has crashed");
  case UpstreamState::Absent:
    break;
  }
  return refusal(ExecutionOutcome::NotRun, RefusalReason::UpstreamAbsent,
                 "no upstream has announced itself");
}

std::optional<Refusal>
Gate::Impl::quarantineRefusal(const RequestHead &Head) const {
  auto Snapshot = Snapshots.current();
  if (!Snapshot)
    return std::nullopt;
  auto Found = Snapshot->Quarantine.find(Head.Fingerprint);
  if (Found == Snapshot->Quarantine.end() || !Found->second.Convicted ||
      Found->second.Until <= Time.wallNow())
    return std::nullopt;
  return refusal(ExecutionOutcome::NotRun, RefusalReason::Quarantined,
                 "this request has crashed upstreams");
}

std::optional<Refusal>
Gate::Impl::lastRefusal(const ServerExchange &Exchange) const {
  if (auto Refused = stateRefusal())
    return Refused;
  if (Exchange.Body.ended())
    return refusal(ExecutionOutcome::NotRun, RefusalReason::Cancelled,
                   "cancelled");
  if (Time.now() >= Exchange.Deadline)
    return refusal(ExecutionOutcome::NotRun, RefusalReason::DeadlineExceeded,
                   "the deadline passed before the request was sent");
  return std::nullopt;
}

bool Gate::Impl::isSuspect(const RequestHead &Head) const {
  auto Snapshot = Snapshots.current();
  if (!Snapshot)
    return false;
  auto Found = Snapshot->Quarantine.find(Head.Fingerprint);
  return Found != Snapshot->Quarantine.end() && !Found->second.Convicted;
}

std::size_t Gate::Impl::expectedLarge(const ServerExchange &Exchange) const {
  // The size of other routes says nothing: a call that was taken for a
  // download would never be admitted, hence never be measured.
  auto Size = Sizes.routeMedian(Exchange.Head.Route).value_or(0);
  return Egress.shapes() && Size > EgressShaper::PieceBytes ? Size : 0;
}

base::Millis Gate::Impl::expectedLink(const ServerExchange &Exchange,
                                      bool Late) const {
  std::size_t Size = expectedLarge(Exchange);
  if (Size == 0)
    return base::Millis(0);
  return Egress.backlog(Late) + Egress.timeFor(PendingBytes + Size);
}

bool Gate::Impl::deadlineReachable(const WaitingWork &Work, base::Millis Wait,
                                   base::Millis Link) const {
  base::Millis Left = Work.Deadline - Time.now();
  if (Left <= base::Millis(0))
    return false;
  // An idle upstream takes one request in any case; otherwise a median from
  // a slow period would never be replaced.
  if (Slots.inFlight() == 0)
    return Link <= Left;
  return Wait + Work.Service + Link <= Left;
}

/// True when a request is to be taken although it is expected to miss its
/// deadline. What is refused is not measured, so that times of a slow period
/// would stay for ever where other routes keep the upstream busy.
/// `Wait`: expected wait for a slot and for the link.
bool Gate::Impl::probes(base::Millis Wait) {
  constexpr base::Millis ProbeInterval = base::Millis(500);
  if (Wait > base::Millis(0) || Time.now() < NextProbe)
    return false;
  NextProbe = Time.now() + ProbeInterval;
  return true;
}

std::optional<Refusal> Gate::Impl::admission(const ServerExchange &Exchange) {
  const RequestHead &Head = Exchange.Head;
  if (auto Refused = stateRefusal())
    return Refused;
  if (Head.Service != Last->Service || Head.Version != Last->Version)
    return refusal(ExecutionOutcome::NotRun, RefusalReason::WrongUpstream,
                   "another service or version runs here");
  if (auto Refused = quarantineRefusal(Head))
    return Refused;
  WaitingWork Work = workOf(Exchange);
  base::Millis Wait =
      Slots.expectedWait(Work, Times.expected().value_or(base::Millis(0)));
  // One that may be late goes behind all others, and new ones overtake it.
  bool MayBeLate = !Head.MaxQueueWait && Exchange.Objective < Exchange.Deadline;
  base::Millis Link = expectedLink(Exchange, MayBeLate);
  if (MayBeLate)
    Link = Link * LateLinkFactor;
  auto Busy = [&](RefusalReason Why, const char *Text) {
    auto Refused = refusal(ExecutionOutcome::NotRun, Why, Text);
    Refused->RetryAfter = std::max(Wait + Link, BusyRetryAfter);
    return Refused;
  };
  if (!deadlineReachable(Work, Wait, Link) && !probes(Wait + Link))
    return Busy(RefusalReason::DeadlineUnreachable,
                "the deadline cannot be met");
  if (Head.MaxQueueWait && Wait + Link > *Head.MaxQueueWait)
    return Busy(RefusalReason::WaitTooLong, "no slot is expected in time");
  // A request that would be late is taken only while the queue is short.
  if (Wait > base::Millis(0) && Exchange.Objective < Exchange.Deadline &&
      !hasRoom(Work, Time.now(), Wait, Slots.queued(), Slots.limit()))
    return Busy(RefusalReason::QueueFull,
                "the queue is too long for a late request");
  // The least urgent requests leave the queue to the others when it is full.
  bool Waits = Slots.inFlight() >= Slots.limit();
  if (Waits &&
      Slots.ahead(Work) >= std::size_t{Options.QueueFactor} * Last->Slots)
    return Busy(RefusalReason::QueueFull, "queue is full");
  return std::nullopt;
}

Gate::Gate(const asio::any_io_executor &Executor, GateSettings Options,
           base::Clock &Time, follower::SnapshotSource &Snapshots,
           follower::ControlCalls &Control, Metrics &Counters,
           const HttpDialect &Dialect)
    : Self(std::make_shared<Impl>(Executor, std::move(Options), Time, Snapshots,
                                  Control, Counters, Dialect)) {}

Gate::~Gate() = default;

asio::awaitable<void> Gate::run() {
  auto Keep = Self;
  for (;;) {
    co_await Keep->Time.sleepFor(TickInterval);
    Keep->tick();
  }
}

bool Gate::announce(const Announcement &News) { return Self->announce(News); }

void Gate::leave(const std::string &Instance,
                 std::optional<std::uint64_t> Incarnation) {
  Self->leave(Instance, Incarnation);
}

asio::awaitable<void> Gate::serve(std::shared_ptr<ServerExchange> Exchange) {
  co_await Self->serve(std::move(Exchange));
}

asio::awaitable<bool> Gate::drain(base::Millis Limit, base::Millis Accept) {
  auto Keep = Self;
  if (Accept > base::Millis(0)) {
    Keep->Leaving = true;
    Keep->publish();
    co_await Keep->Time.sleepFor(Accept);
    Limit = Limit - Accept;
  }
  constexpr base::Millis Poll = base::Millis(20);
  constexpr base::Millis FlushTime = base::Millis(200);
  if (!std::exchange(Keep->NodeDraining, true)) {
    Keep->Slots.dropWaiting();
    Keep->publish();
  }
  base::TimePoint End = Keep->Time.now() + Limit;
  while (!Keep->idle() && Keep->Time.now() < End)
    co_await Keep->Time.sleepFor(Poll);
  // The last messages are queued on their connections; a channel does not
  // tell when they are written.
  co_await Keep->Time.sleepFor(FlushTime);
  co_return Keep->idle();
}

UpstreamState Gate::state() const { return Self->Lifecycle.state(); }

UpstreamLoad Gate::load() const { return Self->load(); }

} // namespace amaranth::dataplane
