#include "FollowerImpl.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::follower {

using protocol::MessageType;

namespace {

constexpr base::Millis TickInterval = base::Millis(250);
/// Upper limit for the delay that a control process can request.
constexpr base::Millis MaxRetryAfterDelay = base::Millis::seconds(30);
constexpr unsigned MaxBackoffDoublings = 10;

const prometheus::Histogram::BucketBoundaries FailoverBucketsMs = {
    100, 250, 500, 1000, 1500, 2000, 2500, 3000, 4000, 6000, 10'000, 30'000};
const prometheus::Histogram::BucketBoundaries FailoverDialBuckets = {
    1, 2, 3, 4, 6, 8, 12, 16, 32};

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

prometheus::Histogram &
histogram(prometheus::Registry &Metrics, const char *Name, const char *Help,
          const prometheus::Histogram::BucketBoundaries &Buckets) {
  return prometheus::BuildHistogram()
      .Name(Name)
      .Help(Help)
      .Register(Metrics)
      .Add({}, Buckets);
}

} // namespace

Follower::Impl::Impl(FollowerSettings Initial,
                     const asio::any_io_executor &Executor, base::Clock &Time,
                     protocol::Dialer &Dial, prometheus::Registry &Metrics)
    : Settings(std::move(Initial)), Executor(Executor), Time(Time), Dial(Dial),
      Search(std::make_shared<detail::ControlSearch>(Settings, Executor, Time,
                                                     Dial)),
      Calls(Executor), SnapshotChanged(Executor), ConnectionChanged(Executor),
      StalePause(Settings.SilenceTimeout),
      Random(Settings.Seed != 0 ? Settings.Seed : base::randomU64()),
      AppliedCount(&counter(Metrics, "amaranth_follower_applied_updates_total",
                            "Snapshots and deltas put in force")),
      RefusedCount(&counter(Metrics, "amaranth_follower_refused_updates_total",
                            "Snapshots and deltas refused whole")),
      ConnectionCount(&counter(Metrics, "amaranth_follower_connections_total",
                               "Connections to control processes")),
      ReceivedBytes(&counter(Metrics, "amaranth_follower_received_bytes_total",
                             "Bytes received from control processes")),
      FailoverTime(&histogram(
          Metrics, "amaranth_follower_failover_ms",
          "Time from the last message of a current control process to the "
          "first one on the next connection",
          FailoverBucketsMs)),
      FailoverDials(&histogram(
          Metrics, "amaranth_follower_failover_dials",
          "Dials until the next connection to a current control process",
          FailoverDialBuckets)),
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
  Search->finish();
  ConnectionChanged.notifyAll();
}

void Follower::Impl::postToControl(MessageType Type, std::uint64_t Stream,
                                   base::Bytes Payload) {
  if (Active)
    Active->Channel->post(Type, Stream, std::move(Payload));
}

base::Millis Follower::Impl::nextBackoff() {
  std::int64_t Limit = std::min(Settings.BackoffMin.count() << FailedAttempts,
                                Settings.BackoffMax.count());
  FailedAttempts = std::min(FailedAttempts + 1, MaxBackoffDoublings);
  return base::Millis(
      std::uniform_int_distribution<std::int64_t>(0, Limit)(Random));
}

asio::awaitable<void> Follower::Impl::connectLoop() {
  // Not a temporary: g++ 12 destroys lambdas in the operand of co_await twice.
  std::function<bool()> IsNeeded = [this] { return !Stopped; };
  while (!Stopped) {
    std::shared_ptr<Connection> Conn = std::exchange(Replacement, nullptr);
    if (!Conn)
      Conn = co_await Search->findAny(IsNeeded);
    if (Conn && Stopped)
      Conn->Channel->close("the node is shutting down");
    else if (Conn)
      co_await runConnection(Conn);
    if (!Stopped && !Replacement)
      co_await Search->waitForCurrent(nextBackoff());
  }
  Search->finish();
}

asio::awaitable<void>
Follower::Impl::runConnection(std::shared_ptr<Connection> Conn) {
  base::logger("follower")
      ->info("connected to control process control={} connections={}",
             Conn->Process.text(), Status.Connections + 1);
  Active = Conn;
  Applier.reset();
  ++Status.Connections;
  ConnectionCount->Increment();
  subscribe();
  sendEndpoints(true);
  ConnectionChanged.notifyAll();
  handleCurrency(*Conn, Conn->FirstReport);
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
             Conn->Process.text(), Reason);
  Conn->Channel->close(Reason);
  CountBytes();
  if (!Replacement)
    Search->processes().avoid(Conn->Process, Time.now());
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
  Search->processes().setMembers(Message.Applied,
                                 detail::parseMembers(Message.Controls));
  FailedAttempts = 0;
  if (isStale(From))
    ConnectionChanged.notifyAll(); // `tickLoop` replaces the connection.
  else
    onCurrent(From);
}

void Follower::Impl::onCurrent(const Connection &From) {
  Search->finish();
  StalePause = Settings.SilenceTimeout;
  NextSwitchTime = {};
  Search->processes().stopAvoiding(From.Process);
  base::TimePoint Now = Time.now();
  if (LastCurrentTime && LastCurrentChannel.lock() != From.Channel) {
    base::Millis Took = Now - *LastCurrentTime;
    std::uint64_t Dials = Search->dials() - DialsAtLastCurrent;
    FailoverTime->Observe(static_cast<double>(Took.count()));
    FailoverDials->Observe(static_cast<double>(Dials));
    base::logger("follower")
        ->info("current again control={} after_ms={} dials={}",
               From.Process.text(), Took.count(), Dials);
  }
  LastCurrentChannel = From.Channel;
  LastCurrentTime = Now;
  DialsAtLastCurrent = Search->dials();
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
               Active ? Active->Process.text() : std::string());
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

base::Millis Follower::Impl::nextTickDelay() const {
  if (!isConnected())
    return TickInterval;
  base::Millis UntilSilent = Settings.SilenceTimeout - silence(*Active);
  return UntilSilent > base::Millis(0) ? std::min(UntilSilent, TickInterval)
                                       : TickInterval;
}

asio::awaitable<void> Follower::Impl::tickLoop() {
  while (!Stopped) {
    co_await Time.waitFor(ConnectionChanged, Time.now() + nextTickDelay());
    if (Stopped)
      co_return;
    sendEvidence();
    sendEndpoints(false);
    if (isConnected() && isStale(*Active) &&
        (Time.now() >= NextSwitchTime || Search->hasCurrent()))
      co_await replaceStaleConnection();
  }
}

void Follower::Impl::pauseSearches() {
  NextSwitchTime = Time.now() + StalePause;
  StalePause = std::min(StalePause * 2, Settings.MaxStalePause);
}

asio::awaitable<void> Follower::Impl::replaceStaleConnection() {
  auto Stale = Active;
  // A new connection to a silent process may work, but is tried last.
  std::optional<base::Address> Excluded;
  if (isSilent(*Stale))
    Search->processes().avoid(Stale->Process, Time.now());
  else
    Excluded = Stale->Process;
  // The connection may close or catch up during the search.
  std::function<bool()> IsNeeded = [this, Stale] {
    return Active == Stale && !Stopped && isStale(*Stale);
  };
  auto Next = co_await Search->find(Excluded, IsNeeded);
  if (!IsNeeded()) {
    if (Next)
      Next->Channel->close(
          "the previous connection no longer needs a replacement");
    co_return;
  }
  // A process that is stale as well is only better than a silent one.
  bool IsUsable = Next && (!isStale(*Next) || isSilent(*Stale));
  if (IsUsable) {
    Replacement = std::move(Next);
    Search->processes().avoid(Stale->Process, Time.now());
  } else {
    if (Next)
      Next->Channel->close("the control process is stale");
    pauseSearches();
  }
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
    Result.ControlAddress = Active->Process;
  Result.EndpointsCommitted = Publisher.allCommitted();
  return Result;
}

} // namespace amaranth::follower
