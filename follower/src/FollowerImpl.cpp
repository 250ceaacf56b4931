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
/// Upper limit for the delay that a control process can request.
constexpr base::Millis MaxRetryAfterDelay = base::Millis::seconds(30);
/// Limits the pause between rounds over stale control processes: with the
/// default `SilenceTimeout` of 5 s it doubles up to 80 s.
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
      Chooser(Settings.Node, Settings.Zone, Settings.ControlProcesses),
      Calls(Executor), SnapshotChanged(Executor), ConnectionChanged(Executor),
      DialEnded(Executor),
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
  if (Settings.ControlProcesses.empty())
    throw base::Error(
        "a follower requires the address of at least one control process");
}

void Follower::Impl::stop() {
  if (Stopped)
    return;
  Stopped = true;
  if (Active)
    Active->Channel->close("the node is shutting down");
  if (Replacement)
    Replacement->Channel->close("the node is shutting down");
  ConnectionChanged.notifyAll();
}

void Follower::Impl::postToControl(MessageType Type, std::uint64_t Stream,
                                   base::Bytes Payload) {
  if (Active)
    Active->Channel->post(Type, Stream, std::move(Payload));
}

asio::awaitable<void> Follower::Impl::dial(std::size_t ProcessIndex) {
  base::Address Address = Chooser.process(ProcessIndex).Address;
  auto Conn = std::make_shared<Connection>();
  Conn->ProcessIndex = ProcessIndex;
  try {
    Conn->Channel = co_await Dial.dial(Address, Settings.MaxDialTime);
  } catch (const base::Error &Failure) {
    base::logger("follower")
        ->info("cannot connect to control process control={} error=\"{}\"",
               Address.text(), Failure.what());
  }
  Dialing.erase(ProcessIndex);
  if (!Conn->Channel)
    Chooser.avoid(ProcessIndex, Time.now());
  else if (Stopped || (isConnected() && !isStale(*Active)))
    Conn->Channel->close("no further connection is needed");
  else
    Established.push_back(std::move(Conn));
  DialEnded.notifyAll();
}

std::shared_ptr<Follower::Impl::Connection> Follower::Impl::takeEstablished() {
  while (!Established.empty()) {
    auto Conn = std::move(Established.front());
    Established.pop_front();
    if (Conn->Channel->isOpen())
      return Conn;
  }
  return nullptr;
}

void Follower::Impl::closeEstablished() {
  // Heartbeats would keep unused connections open indefinitely.
  while (auto Unused = takeEstablished())
    Unused->Channel->close("no further connection is needed");
}

asio::awaitable<std::shared_ptr<Follower::Impl::Connection>>
Follower::Impl::connect(std::size_t ProcessIndex) {
  if (Dialing.insert(ProcessIndex).second)
    asio::co_spawn(
        Executor,
        [Self = shared_from_this(), ProcessIndex]() -> asio::awaitable<void> {
          co_await Self->dial(ProcessIndex);
        },
        asio::detached);
  base::TimePoint End = Time.now() + Settings.DialTimeout;
  while (Established.empty() && Dialing.contains(ProcessIndex) && !Stopped &&
         Time.now() < End)
    co_await base::withTimeout(Time, End - Time.now(), DialEnded.wait());
  if (Dialing.contains(ProcessIndex))
    Chooser.avoid(ProcessIndex, Time.now());
  co_return takeEstablished();
}

asio::awaitable<void> Follower::Impl::waitForConnection(base::Millis Span) {
  base::TimePoint End = Time.now() + Span;
  while (Established.empty() && !Stopped && Time.now() < End)
    co_await base::withTimeout(Time, End - Time.now(), DialEnded.wait());
}

base::Millis Follower::Impl::nextBackoff() {
  std::int64_t Limit = std::min(Settings.BackoffMin.count() << FailedAttempts,
                                Settings.BackoffMax.count());
  FailedAttempts = std::min(FailedAttempts + 1, MaxBackoffDoublings);
  return base::Millis(
      std::uniform_int_distribution<std::int64_t>(0, Limit)(Random));
}

asio::awaitable<void> Follower::Impl::connectLoop() {
  while (!Stopped) {
    std::shared_ptr<Connection> Conn = std::exchange(Replacement, nullptr);
    if (!Conn) {
      Conn = takeEstablished();
      if (!Conn)
        Conn = co_await connect(Chooser.next(Time.now()).value());
    }
    if (Conn && Stopped)
      Conn->Channel->close("the node is shutting down");
    else if (Conn)
      co_await runConnection(Conn);
    if (!Stopped && !Replacement)
      co_await waitForConnection(nextBackoff());
  }
  closeEstablished();
}

asio::awaitable<void>
Follower::Impl::runConnection(std::shared_ptr<Connection> Conn) {
  base::logger("follower")
      ->info("connected to control process control={} connections={}",
             Chooser.process(Conn->ProcessIndex).Address.text(),
             Status.Connections + 1);
  Active = Conn;
  closeEstablished();
  Conn->LastHeardTime = Time.now();
  Applier.reset();
  ++Status.Connections;
  ConnectionCount->Increment();
  subscribe();
  sendEndpoints(true);
  ConnectionChanged.notifyAll();
  std::string Reason = "closed";
  std::uint64_t CountedBytes = 0;
  auto CountBytes = [this, Conn, &CountedBytes] {
    std::uint64_t Now = Conn->Channel->bytesReceived();
    ReceivedBytes->Increment(static_cast<double>(Now - CountedBytes));
    CountedBytes = Now;
  };
  try {
    while (Conn->Channel->isOpen()) {
      handle(*Conn, co_await Conn->Channel->receive());
      CountBytes();
    }
  } catch (const base::Error &Failure) {
    Reason = Failure.what();
  }
  base::logger("follower")
      ->info("connection to control process closed control={} reason=\"{}\"",
             Chooser.process(Conn->ProcessIndex).Address.text(), Reason);
  Conn->Channel->close(Reason);
  CountBytes();
  if (!Replacement)
    Chooser.avoid(Conn->ProcessIndex, Time.now());
  Active = nullptr;
  Calls.failAll();
}

void Follower::Impl::handle(Connection &From, const protocol::Frame &Message) {
  switch (Message.Type) {
  case MessageType::Snapshot:
  case MessageType::Delta:
  case MessageType::CompressedUpdate:
    From.LastHeardTime = Time.now();
    return handleUpdate(Message);
  case MessageType::Currency:
    return handleCurrency(From, control::decodeCurrency(Message.Payload));
  case MessageType::CallReply:
    return Calls.complete(Message.Stream,
                          control::decodeCallReply(Message.Payload));
  case MessageType::EndpointUpdate:
    return Publisher.handleResult(
        control::decodeEndpointResult(Message.Payload));
  case MessageType::RetryAfter: {
    base::Millis Delay = control::decodeRetryAfter(Message.Payload).Delay;
    asio::co_spawn(
        Executor,
        [Self = shared_from_this(), Conn = Active,
         Delay]() -> asio::awaitable<void> {
          co_await Self->subscribeAfter(Conn, Delay);
        },
        asio::detached);
    return;
  }
  default:
    throw base::ProtocolError(
        fmt::format("unexpected message type {} from a control process",
                    static_cast<unsigned>(Message.Type)));
  }
}

void Follower::Impl::handleCurrency(Connection &From,
                                    const control::Currency &Message) {
  From.LastHeardTime = Time.now();
  From.Staleness = Message.SinceCurrent;
  addControlProcesses(Message.Controls);
  FailedAttempts = 0;
  if (isStale(From)) {
    // `tickLoop` replaces the connection.
    return;
  }
  closeEstablished();
  ConsecutiveStale = 0;
  StaleRounds = 0;
  Chooser.stopAvoiding(From.ProcessIndex);
}

void Follower::Impl::addControlProcesses(
    const std::vector<std::string> &Addresses) {
  std::vector<ControlProcess> Processes;
  for (const std::string &Text : Addresses)
    if (auto Address = base::parseAddress(Text))
      Processes.push_back({*Address, base::AvailabilityZone()});
  Chooser.add(Processes);
}

void Follower::Impl::handleUpdate(const protocol::Frame &Message) {
  try {
    if (apply(Message))
      onUpdateApplied();
  } catch (const detail::UpdateRefused &Refusal) {
    onUpdateRefused(Refusal);
  }
}

bool Follower::Impl::apply(const protocol::Frame &Message) {
  if (Message.Type == MessageType::CompressedUpdate) {
    control::CompressedUpdate Update = decompress(Message.Payload);
    return apply({Update.Type, Message.Stream, std::move(Update.Payload)});
  }
  if (Message.Type == MessageType::Snapshot)
    return Applier.addPiece(Message.Payload);
  Applier.applyDelta(Message.Payload);
  return true;
}

control::CompressedUpdate Follower::Impl::decompress(base::ByteView Payload) {
  try {
    return control::decodeCompressedUpdate(Payload);
  } catch (const base::ProtocolError &Failure) {
    throw detail::UpdateRefused(base::StateIndex(), Failure.what());
  }
}

void Follower::Impl::onUpdateApplied() {
  const document::MeshSnapshot &Mesh = *Applier.current();
  FailedAttempts = 0;
  if (Mesh.Document != LoggedDocument)
    base::logger("follower")
        ->info("document in force document={} state={} control={}",
               Mesh.Document.value(), Mesh.State.value(),
               Active ? Chooser.process(Active->ProcessIndex).Address.text()
                      : std::string());
  LoggedDocument = Mesh.Document;
  ++Status.AppliedUpdates;
  AppliedCount->Increment();
  DocumentGauge->Set(static_cast<double>(Mesh.Document.value()));
  StateGauge->Set(static_cast<double>(Mesh.State.value()));
  postToControl(MessageType::Acknowledge, 0,
                encode(control::Acknowledge{Mesh.Document, Mesh.State}));
  Publisher.reconcile(Mesh);
  sendEndpoints(false);
  SnapshotChanged.notifyAll();
}

void Follower::Impl::onUpdateRefused(const detail::UpdateRefused &Refusal) {
  ++Status.RefusedUpdates;
  Status.LastRefusalReason = Refusal.what();
  RefusedCount->Increment();
  base::logger("follower")
      ->warn("update refused state={} reason=\"{}\"", Refusal.State.value(),
             Refusal.what());
  postToControl(MessageType::ApplyFailure, 0,
                encode(control::ApplyFailure{Refusal.State, Refusal.what()}));
}

void Follower::Impl::subscribe() {
  control::Subscribe Message;
  Message.Services = Settings.Services;
  Message.AcceptsCompressed = true;
  if (const auto &Mesh = Applier.current()) {
    Message.Document = Mesh->Document;
    Message.State = Mesh->State;
    Message.Digest = Applier.digest();
    Message.Fresh = false;
  }
  postToControl(MessageType::Subscribe, 0, encode(Message));
}

asio::awaitable<void>
Follower::Impl::subscribeAfter(std::shared_ptr<Connection> Conn,
                               base::Millis Delay) {
  co_await Time.sleepFor(
      std::clamp(Delay, base::Millis(0), MaxRetryAfterDelay));
  if (Active == Conn && !Stopped)
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
  for (const document::Endpoint &Entry :
       Publisher.takeDueUpdates(Time.now(), Reconnected))
    postToControl(MessageType::EndpointUpdate, 0,
                  document::encodeEndpoint(Entry));
}

void Follower::Impl::sendEvidence() {
  if (!isConnected())
    return;
  for (const rollout::EvidenceReport &Part :
       control::splitEvidence(PendingEvidence))
    postToControl(MessageType::EvidenceReport, 0, control::encode(Part));
  PendingEvidence.Counts.clear();
}

asio::awaitable<void>
Follower::Impl::waitUntilConnected(base::TimePoint Deadline) {
  while (!isConnected() && !Stopped && Time.now() < Deadline)
    co_await base::withTimeout(Time, Deadline - Time.now(),
                               ConnectionChanged.wait());
}

std::uint64_t Follower::Impl::sendCall(base::Bytes Command,
                                       base::TimePoint Deadline) {
  control::CallRequest Request{Deadline - Time.now(), std::move(Command)};
  base::Bytes Payload = encode(Request);
  std::uint64_t Id = Calls.add();
  try {
    postToControl(MessageType::CallRequest, Id, std::move(Payload));
  } catch (const base::ProtocolError &) {
    Calls.remove(Id);
    throw;
  }
  return Id;
}

base::Millis Follower::Impl::silence(const Connection &Conn) const {
  // `Currency` messages wait behind a large update, which may take longer than
  // the timeout on a busy link.
  base::TimePoint Heard = std::max(
      Conn.LastHeardTime,
      Conn.Channel->incompleteMessageTime().value_or(Conn.LastHeardTime));
  return Time.now() - Heard;
}

bool Follower::Impl::isSilent(const Connection &Conn) const {
  return silence(Conn) >= Settings.SilenceTimeout;
}

bool Follower::Impl::isStale(const Connection &Conn) const {
  return isSilent(Conn) || Conn.Staleness >= Settings.MaxStaleness;
}

asio::awaitable<void> Follower::Impl::tickLoop() {
  while (!Stopped) {
    co_await Time.sleepFor(TickInterval);
    if (Stopped)
      co_return;
    sendEvidence();
    sendEndpoints(false);
    if (isConnected() && isStale(*Active) && Time.now() >= NextSwitchTime)
      co_await replaceStaleConnection();
  }
}

asio::awaitable<void> Follower::Impl::replaceStaleConnection() {
  auto Stale = Active;
  // Within one round, switch to the next process without a pause: in a network
  // partition, it may be in the same minority as the stale one.
  ++ConsecutiveStale;
  if (ConsecutiveStale >= Chooser.size()) {
    NextSwitchTime =
        Time.now() + Settings.SilenceTimeout * (1LL << StaleRounds);
    StaleRounds = std::min(StaleRounds + 1, MaxStaleDoublings);
    ConsecutiveStale = 0;
  }
  auto ProcessIndex = Chooser.next(Time.now(), Stale->ProcessIndex);
  std::shared_ptr<Connection> Next;
  if (ProcessIndex)
    Next = co_await connect(*ProcessIndex);
  // The connection may have closed or caught up during the dial.
  if (Active != Stale || Stopped || !isStale(*Stale)) {
    if (Next)
      Next->Channel->close(
          "the previous connection no longer needs a replacement");
    co_return;
  }
  if (Next) {
    Replacement = std::move(Next);
    Chooser.avoid(Stale->ProcessIndex, Time.now());
  }
  // Even without a replacement, a new connection to the same process may work
  // where this one is silent.
  if (Replacement || isSilent(*Stale))
    Stale->Channel->close(staleReason(*Stale));
}

std::string Follower::Impl::staleReason(const Connection &Conn) const {
  if (isSilent(Conn))
    return fmt::format("no update or currency message for {} ms, {} bytes "
                       "received",
                       silence(Conn).count(), Conn.Channel->bytesReceived());
  return fmt::format("the control process is stale by {} ms",
                     Conn.Staleness.count());
}

FollowerStatus Follower::Impl::status() const {
  FollowerStatus Result = Status;
  if (isConnected())
    Result.ControlAddress = Chooser.process(Active->ProcessIndex).Address;
  Result.EndpointsCommitted = Publisher.allCommitted();
  return Result;
}

} // namespace amaranth::follower
