#include "NodeSession.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"
#include "amaranth/document/SnapshotCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::control::detail {

using protocol::MessageType;

namespace {

/// Initial delay before the snapshot that follows a rejected update. It doubles
/// with each consecutive rejection.
constexpr base::Millis RefusalBackoff = base::Millis(500);
constexpr unsigned MaxBackoffDoublings = 6;
/// Delay between two attempts to confirm that the state is up to date.
constexpr base::Millis ConfirmRetryDelay = base::Millis(20);
/// Initial value for times of the last update, so that the first update of a
/// connection is sent without delay.
constexpr base::TimePoint DistantPast = base::TimePoint(-1'000'000'000);

} // namespace

std::shared_ptr<void> SnapshotLimiter::tryAcquire() {
  if (Running >= Limit)
    return nullptr;
  ++Running;
  Peak = std::max(Peak, Running);
  return {this, [](SnapshotLimiter *Owner) { --Owner->Running; }};
}

NodeServiceContext::NodeServiceContext(NodeServiceSettings Settings,
                                       const asio::any_io_executor &Executor,
                                       base::Clock &Time,
                                       replication::ReplicatedLog &Log,
                                       NodeService::MeshQuery Query,
                                       prometheus::Registry &Metrics)
    : Settings(Settings), Executor(Executor), Time(Time), Log(Log),
      Query(std::move(Query)), SnapshotSlots(Settings.MaxConcurrentSnapshots),
      Statistics(Time, Metrics),
      Tasks(std::make_shared<LeaderTasks>(Time, Log, Settings.ProposeTimeout)),
      Random(Settings.Seed != 0 ? Settings.Seed : base::randomU64()) {}

bool NodeServiceContext::refresh() {
  if (!History.add(Query()))
    return false;
  Statistics.recordCommit(History.current()->Document);
  return true;
}

base::Millis NodeServiceContext::randomRetryDelay() {
  std::uniform_int_distribution<std::int64_t> Delay(
      Settings.RetryAfterMin.count(), Settings.RetryAfterMax.count());
  return base::Millis(Delay(Random));
}

NodeSession::NodeSession(std::shared_ptr<NodeServiceContext> SharedContext,
                         std::shared_ptr<protocol::Channel> Channel)
    : Context(std::move(SharedContext)), Channel(std::move(Channel)),
      Node(this->Channel->peer().Id), Changed(Context->Executor),
      LastSent(DistantPast), EarliestSend(DistantPast) {}

void NodeSession::close(const std::string &Reason) {
  Channel->close(Reason);
  Changed.notifyAll();
}

void NodeSession::countBytes() {
  std::uint64_t Total = Channel->bytesSent();
  Context->Statistics.recordSentBytes(Node, Total - BytesCounted);
  BytesCounted = Total;
}

void NodeSession::sendCurrency() {
  Currency Message{Context->Log.appliedIndex(), Context->Log.staleness(), {}};
  std::vector<std::string> Controls;
  for (const replication::MemberStatus &Member : Context->Log.members())
    Controls.push_back(Member.Address);
  if (Controls != SentControls && Controls.size() <= MaxControlAddresses) {
    Message.Controls = Controls;
    SentControls = std::move(Controls);
  }
  Channel->post(MessageType::Currency, 0, encode(Message));
}

void NodeSession::tick() {
  sendCurrency();
  countBytes();
  if (Outstanding && Context->Time.now() - Outstanding->SentAt >
                         Context->Settings.AcknowledgeTimeout)
    close("node did not acknowledge an update in time");
}

asio::awaitable<void> NodeSession::run() {
  std::uint64_t Connection =
      Context->Statistics.recordConnection(Channel->peer());
  asio::co_spawn(
      Context->Executor,
      [Self = shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->updateLoop();
      },
      asio::detached);
  // A node that asks several processes subscribes only at one that is current.
  sendCurrency();
  std::string Reason;
  try {
    while (Channel->isOpen())
      handle(co_await Channel->receive());
  } catch (const protocol::ChannelClosed &Closed) {
    Reason = Closed.what();
  } catch (const base::ProtocolError &Error) {
    Reason = Error.what();
    base::logger("control")->warn("node sent a malformed message node={} "
                                  "error=\"{}\"",
                                  Node.value(), Reason);
  }
  close(Reason);
  Outstanding.reset();
  countBytes();
  Context->Statistics.recordDisconnection(Node, Connection);
}

void NodeSession::handle(const protocol::Frame &Message) {
  Context->Statistics.recordMessage(Node);
  switch (Message.Type) {
  case MessageType::Subscribe:
    return handleSubscribe(decodeSubscribe(Message.Payload));
  case MessageType::Acknowledge:
    return handleAcknowledge(decodeAcknowledge(Message.Payload));
  case MessageType::ApplyFailure:
    return handleApplyFailure(decodeApplyFailure(Message.Payload));
  case MessageType::EndpointUpdate:
    return startEndpointUpdate(document::decodeEndpoint(Message.Payload));
  case MessageType::EvidenceReport:
    return Context->Tasks->addEvidence(decodeEvidenceReport(Message.Payload));
  case MessageType::CallRequest:
    return startCall(Message.Stream, decodeCallRequest(Message.Payload));
  default:
    throw base::ProtocolError(
        fmt::format("message type {} is not allowed from nodes",
                    static_cast<unsigned>(Message.Type)));
  }
}

void NodeSession::handleSubscribe(Subscribe Message) {
  Applied = std::move(Message);
  ++SubscriptionNumber;
  Subscribed = true;
  NeedsSnapshot = Applied.Fresh;
  CompareDigest = !Applied.Fresh;
  Outstanding.reset();
  if (!Applied.Fresh)
    Context->Statistics.recordAcknowledgement(Node, Applied.Document,
                                              Applied.State);
  // Lets the node leave a process that is partitioned from the others without
  // waiting for the next tick.
  sendCurrency();
  Changed.notifyAll();
}

void NodeSession::handleAcknowledge(const Acknowledge &Message) {
  // Ignore acknowledgements of updates from before the latest subscription.
  if (!Outstanding || Outstanding->State != Message.State ||
      Outstanding->Document != Message.Document)
    return;
  AMARANTH_INVARIANT(Applied.Fresh || (Message.State >= Applied.State &&
                                       Message.Document >= Applied.Document),
                     "a node was sent an older version than it had applied");
  Applied.Document = Message.Document;
  Applied.State = Message.State;
  Applied.Fresh = false;
  NeedsSnapshot = false;
  ConsecutiveRefusals = 0;
  Outstanding.reset();
  Context->Statistics.recordAcknowledgement(Node, Applied.Document,
                                            Applied.State);
  Changed.notifyAll();
}

void NodeSession::handleApplyFailure(const ApplyFailure &Message) {
  Context->Statistics.recordRefusal(Node, Message.Reason);
  base::logger("control")->warn("node rejected an update node={} state={} "
                                "reason=\"{}\"",
                                Node.value(), Message.State.value(),
                                Message.Reason);
  if (!Outstanding)
    return;
  Outstanding.reset();
  NeedsSnapshot = true;
  EarliestSend =
      Context->Time.now() + RefusalBackoff * (1LL << ConsecutiveRefusals);
  ConsecutiveRefusals = std::min(ConsecutiveRefusals + 1, MaxBackoffDoublings);
  Changed.notifyAll();
}

bool NodeSession::wantsUpdate() const {
  const auto &Newest = Context->History.current();
  if (!Subscribed || Outstanding || !Newest)
    return false;
  if (Applied.Fresh)
    return true;
  // This process lags behind the node and has no update for it yet.
  if (Newest->State < Applied.State || Newest->Document < Applied.Document)
    return false;
  return NeedsSnapshot || CompareDigest || Newest->State > Applied.State;
}

asio::awaitable<void> NodeSession::updateLoop() {
  try {
    while (Channel->isOpen()) {
      if (!wantsUpdate()) {
        co_await Changed.wait();
        continue;
      }
      base::TimePoint Due =
          std::max(EarliestSend, LastSent + Context->Settings.UpdateInterval);
      if (Context->Time.now() < Due) {
        co_await Context->Time.sleepUntil(Due);
        continue;
      }
      co_await sendUpdate();
    }
  } catch (const protocol::ChannelClosed &) {
    // `run` also observes the end of the connection and reports it.
  }
}

void NodeSession::beginUpdate(std::shared_ptr<void> Slot) {
  const auto &Newest = Context->History.current();
  LastSent = Context->Time.now();
  Outstanding =
      Update{Newest->Document, Newest->State, LastSent, std::move(Slot)};
}

asio::awaitable<void> NodeSession::sendUpdate() {
  const auto &Newest = Context->History.current();
  if (CompareDigest && Newest->State == Applied.State) {
    NeedsSnapshot = NeedsSnapshot ||
                    Context->History.digest(Applied.Services) != Applied.Digest;
    CompareDigest = false;
    if (!NeedsSnapshot)
      co_return;
  }
  CompareDigest = false;
  MeshHistory::EncodedMessage Delta;
  if (!NeedsSnapshot)
    Delta = Context->History.deltaFrom(Applied.Document, Applied.State,
                                       Applied.Services);
  if (!Delta) {
    co_await sendSnapshot();
    co_return;
  }
  beginUpdate(nullptr);
  Context->Statistics.countDelta();
  co_await send(*Delta);
}

asio::awaitable<void> NodeSession::send(const EncodedUpdate &Update) {
  protocol::Frame Message = Update.frame(Applied.AcceptsCompressed);
  co_await Channel->send(Message.Type, Message.Stream,
                         std::move(Message.Payload));
}

asio::awaitable<bool> NodeSession::confirmCurrent() {
  base::TimePoint End =
      Context->Time.now() + Context->Settings.ReadIndexTimeout;
  std::string Reason;
  // After a restart of all control processes this succeeds as soon as a leader
  // is elected, which is earlier than a node with a retry delay would return.
  while (Channel->isOpen() && Context->Time.now() < End) {
    try {
      base::Millis Left = End - Context->Time.now();
      co_await Context->Log.readIndex(Left);
      co_return true;
    } catch (const base::Error &Failure) {
      Reason = Failure.what();
    }
    co_await Context->Time.sleepFor(ConfirmRetryDelay);
  }
  base::logger("control")->info(
      "state not confirmed; node must retry node={} reason=\"{}\"",
      Node.value(), Reason);
  co_return false;
}

void NodeSession::sendRetryAfter() {
  Subscribed = false;
  Context->Statistics.countRetryAfter();
  Channel->post(MessageType::RetryAfter, 0,
                encode(RetryAfter{Context->randomRetryDelay()}));
}

asio::awaitable<void> NodeSession::sendSnapshot() {
  std::uint64_t Before = SubscriptionNumber;
  if (Applied.Fresh) {
    bool Confirmed = co_await confirmCurrent();
    if (Before != SubscriptionNumber)
      co_return;
    if (!Confirmed) {
      sendRetryAfter();
      co_return;
    }
    // The confirmed index is applied, but the latest snapshot may be older by
    // up to the update interval.
    Context->refresh();
  }
  auto Slot = Context->SnapshotSlots.tryAcquire();
  if (!Slot) {
    sendRetryAfter();
    co_return;
  }
  auto Pieces = Context->History.pieces(Applied.Services);
  beginUpdate(std::move(Slot));
  Context->Statistics.countSnapshot();
  for (const EncodedUpdate &Piece : *Pieces)
    co_await send(Piece);
}

} // namespace amaranth::control::detail
