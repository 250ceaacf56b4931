#include "FollowerImpl.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::follower {

using protocol::MessageType;

namespace {

constexpr base::Millis TickInterval = base::Millis(250);
/// Bounds what a control process can ask for.
constexpr base::Millis MaxRetryAfter = base::Millis::seconds(30);
/// With doubling from 5 s: while all control processes are stale, a node
/// changes between them every 80 s at last.
constexpr unsigned MaxStaleDoublings = 4;
constexpr unsigned MaxBackoffDoublings = 10;

prometheus::Counter &counter(prometheus::Registry &Metrics, const char *Name,
                             const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Metrics).Add(
      {});
}

prometheus::Gauge &gauge(prometheus::Registry &Metrics, const char *Name,
                         const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Metrics).Add(
      {});
}

} // namespace

Follower::Impl::Impl(FollowerSettings Initial,
                     const asio::any_io_executor &Executor, base::Clock &Time,
                     protocol::Dialer &Dial, prometheus::Registry &Metrics)
    : Settings(std::move(Initial)), Executor(Executor), Time(Time), Dial(Dial),
      Chooser(Settings.Node, Settings.Zone, Settings.Controls), Calls(Executor),
      SnapshotChanged(Executor), ConnectionChanged(Executor),
      Random(Settings.Seed != 0 ? Settings.Seed : base::randomU64()),
      AppliedCount(&counter(Metrics, "amaranth_follower_applied_updates_total",
                            "Snapshots and deltas put in force")),
      RefusedCount(&counter(Metrics, "amaranth_follower_refused_updates_total",
                            "Snapshots and deltas refused whole")),
      ConnectionCount(&counter(Metrics, "amaranth_follower_connections_total",
                               "Connections to control processes")),
      ReceivedBytes(&counter(Metrics, "amaranth_follower_received_bytes_total",
                             "Bytes received from control processes")),
      DocumentGauge(&gauge(Metrics, "amaranth_follower_document_version",
                           "Document version in force")),
      StateGauge(&gauge(Metrics, "amaranth_follower_state_index",
                        "Log index that the snapshot in force reflects")) {
  if (Settings.Controls.empty())
    throw base::Error("a follower needs the address of a control process");
}

void Follower::Impl::stop() {
  if (Stopped)
    return;
  Stopped = true;
  if (Active)
    Active->Link->close("the node stops");
  if (Replacement)
    Replacement->Link->close("the node stops");
  ConnectionChanged.notifyAll();
}

void Follower::Impl::post(MessageType Type, std::uint64_t Stream,
                          base::Bytes Payload) {
  if (Active)
    Active->Link->post(Type, Stream, std::move(Payload));
}

asio::awaitable<std::shared_ptr<protocol::Channel>>
Follower::Impl::dial(std::size_t Choice) {
  base::Address Where = Chooser.process(Choice).Where;
  try {
    co_return co_await Dial.dial(Where, Settings.DialTimeout);
  } catch (const base::Error &Failure) {
    base::logger("follower")
        ->info("cannot connect control={} error=\"{}\"", Where.text(),
               Failure.what());
  }
  co_return nullptr;
}

base::Millis Follower::Impl::backoff() {
  std::int64_t Limit = std::min(Settings.BackoffMin.count() << FailedAttempts,
                                Settings.BackoffMax.count());
  FailedAttempts = std::min(FailedAttempts + 1, MaxBackoffDoublings);
  return base::Millis(
      std::uniform_int_distribution<std::int64_t>(0, Limit)(Random));
}

asio::awaitable<void> Follower::Impl::connectLoop() {
  while (!Stopped) {
    std::shared_ptr<Connection> Use = std::exchange(Replacement, nullptr);
    if (!Use) {
      std::size_t Choice = Chooser.next(Time.now()).value();
      auto Link = co_await dial(Choice);
      if (Link) {
        Use = std::make_shared<Connection>();
        Use->Link = std::move(Link);
        Use->Choice = Choice;
      } else {
        Chooser.avoid(Choice, Time.now());
      }
    }
    // A connection that opens while the node stops would stay open: its
    // heartbeats keep it alive.
    if (Use && Stopped)
      Use->Link->close("the node stops");
    else if (Use)
      co_await follow(Use);
    if (!Stopped && !Replacement)
      co_await Time.sleepFor(backoff());
  }
}

asio::awaitable<void> Follower::Impl::follow(std::shared_ptr<Connection> Use) {
  base::logger("follower")
      ->info("connected control={} connections={}",
             Chooser.process(Use->Choice).Where.text(), Status.Connections + 1);
  Active = Use;
  Use->LastCurrency = Time.now();
  Applier.reset();
  ++Status.Connections;
  ConnectionCount->Increment();
  subscribe();
  sendEndpoints(true);
  ConnectionChanged.notifyAll();
  std::string Reason = "closed";
  std::uint64_t Counted = 0;
  auto CountBytes = [this, Use, &Counted] {
    std::uint64_t Now = Use->Link->bytesReceived();
    ReceivedBytes->Increment(static_cast<double>(Now - Counted));
    Counted = Now;
  };
  try {
    while (Use->Link->isOpen()) {
      handle(*Use, co_await Use->Link->receive());
      CountBytes();
    }
  } catch (const base::Error &Failure) {
    Reason = Failure.what();
  }
  base::logger("follower")
      ->info("connection ended control={} reason=\"{}\"",
             Chooser.process(Use->Choice).Where.text(), Reason);
  Use->Link->close(Reason);
  CountBytes();
  if (!Replacement)
    Chooser.avoid(Use->Choice, Time.now());
  Active = nullptr;
  Calls.failAll();
}

void Follower::Impl::handle(Connection &From, const protocol::Frame &Message) {
  switch (Message.Type) {
  case MessageType::Snapshot:
  case MessageType::Delta:
    return update(Message);
  case MessageType::Currency:
    return handleCurrency(From, control::decodeCurrency(Message.Payload));
  case MessageType::CallReply:
    return Calls.finish(Message.Stream,
                        control::decodeCallReply(Message.Payload));
  case MessageType::EndpointUpdate:
    return Publisher.answer(control::decodeEndpointResult(Message.Payload));
  case MessageType::RetryAfter: {
    base::Millis Delay = control::decodeRetryAfter(Message.Payload).Delay;
    asio::co_spawn(
        Executor,
        [Self = shared_from_this(), Use = Active,
         Delay]() -> asio::awaitable<void> {
          co_await Self->subscribeLater(Use, Delay);
        },
        asio::detached);
    return;
  }
  default:
    throw base::ProtocolError(
        fmt::format("message type {} is not expected from a control process",
                    static_cast<unsigned>(Message.Type)));
  }
}

void Follower::Impl::handleCurrency(Connection &From,
                                    const control::Currency &Message) {
  From.LastCurrency = Time.now();
  From.SinceCurrent = Message.SinceCurrent;
  addControls(Message.Controls);
  FailedAttempts = 0;
  if (isStale(From)) {
    // The tick leaves it; see `leaveStale`.
    return;
  }
  StaleInSequence = 0;
  StaleRounds = 0;
  Chooser.accept(From.Choice);
}

void Follower::Impl::addControls(const std::vector<std::string> &Addresses) {
  std::vector<ControlProcess> Controls;
  for (const std::string &Text : Addresses)
    if (auto Address = base::parseAddress(Text))
      Controls.push_back({*Address, base::AvailabilityZone()});
  Chooser.add(Controls);
}

void Follower::Impl::update(const protocol::Frame &Message) {
  try {
    if (Message.Type == MessageType::Delta)
      Applier.takeDelta(Message.Payload);
    else if (!Applier.takePiece(Message.Payload))
      return;
    applied();
  } catch (const detail::UpdateRefused &Refusal) {
    refuse(Refusal);
  }
}

void Follower::Impl::applied() {
  const document::MeshSnapshot &Mesh = *Applier.current();
  FailedAttempts = 0;
  ++Status.Applied;
  AppliedCount->Increment();
  DocumentGauge->Set(static_cast<double>(Mesh.Document.value()));
  StateGauge->Set(static_cast<double>(Mesh.State.value()));
  post(MessageType::Acknowledge, 0,
       encode(control::Acknowledge{Mesh.Document, Mesh.State}));
  Publisher.compare(Mesh);
  sendEndpoints(false);
  SnapshotChanged.notifyAll();
}

void Follower::Impl::refuse(const detail::UpdateRefused &Refusal) {
  ++Status.Refused;
  Status.LastRefusal = Refusal.what();
  RefusedCount->Increment();
  base::logger("follower")
      ->warn("update refused state={} reason=\"{}\"", Refusal.State.value(),
             Refusal.what());
  post(MessageType::ApplyFailure, 0,
       encode(control::ApplyFailure{Refusal.State, Refusal.what()}));
}

void Follower::Impl::subscribe() {
  control::Subscribe Message;
  Message.Services = Settings.Services;
  if (const auto &Mesh = Applier.current()) {
    Message.Document = Mesh->Document;
    Message.State = Mesh->State;
    Message.Digest = Applier.digest();
    Message.Fresh = false;
  }
  post(MessageType::Subscribe, 0, encode(Message));
}

asio::awaitable<void>
Follower::Impl::subscribeLater(std::shared_ptr<Connection> Use,
                               base::Millis Delay) {
  co_await Time.sleepFor(std::clamp(Delay, base::Millis(0), MaxRetryAfter));
  if (Active == Use && !Stopped)
    subscribe();
}

void Follower::Impl::addService(const base::ServiceName &Service) {
  if (Settings.Services.empty() || !Settings.Services.insert(Service).second)
    return;
  subscribe();
}

void Follower::Impl::sendEndpoints(bool Reconnected) {
  if (!isConnected())
    return;
  for (const document::Endpoint &Entry : Publisher.due(Time.now(), Reconnected))
    post(MessageType::EndpointUpdate, 0, document::encodeEndpoint(Entry));
}

void Follower::Impl::sendEvidence() {
  if (!isConnected())
    return;
  for (const rollout::EvidenceReport &Part : control::splitEvidence(Evidence))
    post(MessageType::EvidenceReport, 0, control::encode(Part));
  Evidence.Counts.clear();
}

asio::awaitable<void> Follower::Impl::waitConnected(base::TimePoint Deadline) {
  while (!isConnected() && !Stopped && Time.now() < Deadline)
    co_await base::withTimeout(Time, Deadline - Time.now(),
                               ConnectionChanged.wait());
}

std::uint64_t Follower::Impl::sendCall(base::Bytes Command,
                                       base::TimePoint Deadline) {
  control::CallRequest Request{Deadline - Time.now(), std::move(Command)};
  base::Bytes Payload = encode(Request);
  std::uint64_t Id = Calls.open();
  try {
    post(MessageType::CallRequest, Id, std::move(Payload));
  } catch (const base::ProtocolError &) {
    Calls.cancel(Id);
    throw;
  }
  return Id;
}

bool Follower::Impl::isSilent(const Connection &Use) const {
  return Time.now() - Use.LastCurrency >= Settings.StaleLimit;
}

bool Follower::Impl::isStale(const Connection &Use) const {
  return isSilent(Use) || Use.SinceCurrent >= Settings.NotCurrentLimit;
}

asio::awaitable<void> Follower::Impl::tickLoop() {
  while (!Stopped) {
    co_await Time.sleepFor(TickInterval);
    if (Stopped)
      co_return;
    sendEvidence();
    sendEndpoints(false);
    if (isConnected() && isStale(*Active) && Time.now() >= NextSwitch)
      co_await leaveStale();
  }
}

asio::awaitable<void> Follower::Impl::leaveStale() {
  auto Stale = Active;
  // One round over all processes goes fast: in a split of the control
  // processes the next one may be on the same side.
  ++StaleInSequence;
  if (StaleInSequence >= Chooser.size()) {
    NextSwitch = Time.now() + Settings.StaleLimit * (1LL << StaleRounds);
    StaleRounds = std::min(StaleRounds + 1, MaxStaleDoublings);
    StaleInSequence = 0;
  }
  auto Choice = Chooser.next(Time.now(), Stale->Choice);
  std::shared_ptr<protocol::Channel> Link;
  if (Choice)
    Link = co_await dial(*Choice);
  if (Choice && !Link)
    Chooser.avoid(*Choice, Time.now());
  // The connection may have ended, or become current again, while dialing.
  if (Active != Stale || Stopped || !isStale(*Stale)) {
    if (Link)
      Link->close("not needed");
    co_return;
  }
  if (Link) {
    Replacement = std::make_shared<Connection>();
    Replacement->Link = std::move(Link);
    Replacement->Choice = *Choice;
    Chooser.avoid(Stale->Choice, Time.now());
  }
  // A new connection to the same process may work where this one is silent.
  if (Link || Replacement || isSilent(*Stale))
    Stale->Link->close("the control process is not current");
}

FollowerStatus Follower::Impl::status() const {
  FollowerStatus Result = Status;
  if (isConnected())
    Result.Connected = Chooser.process(Active->Choice).Where;
  Result.EndpointsCommitted = Publisher.allCommitted();
  return Result;
}

} // namespace amaranth::follower
