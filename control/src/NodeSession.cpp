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

/// Delay before a snapshot after a refused update; doubles each time.
constexpr base::Millis RefusalDelay = base::Millis(500);
constexpr unsigned MaxRefusalDoublings = 6;
/// Pause between two attempts to prove that this process is current.
constexpr base::Millis ConfirmRetryDelay = base::Millis(20);
/// So that the first update of a connection never waits.
constexpr base::TimePoint LongAgo = base::TimePoint(-1'000'000'000);

} // namespace

std::shared_ptr<void> SnapshotAdmission::admit() {
  if (Running >= Limit)
    return nullptr;
  ++Running;
  Peak = std::max(Peak, Running);
  return {this, [](SnapshotAdmission *Owner) { --Owner->Running; }};
}

ServiceParts::ServiceParts(NodeServiceSettings Settings,
                           const asio::any_io_executor &Executor,
                           base::Clock &Time, replication::ReplicatedLog &Log,
                           NodeService::MeshQuery Query,
                           prometheus::Registry &Metrics)
    : Settings(Settings), Executor(Executor), Time(Time), Log(Log),
      Query(std::move(Query)), Admission(Settings.MaxSnapshots),
      Statistics(Time, Metrics), Duties(std::make_shared<LeaderDuties>(
                                     Time, Log, Settings.ProposeTimeout)),
      Random(Settings.Seed != 0 ? Settings.Seed : base::randomU64()) {}

bool ServiceParts::refresh() {
  if (!History.add(Query()))
    return false;
  Statistics.committed(History.current()->Document);
  return true;
}

base::Millis ServiceParts::retryDelay() {
  std::uniform_int_distribution<std::int64_t> Delay(
      Settings.RetryAfterMin.count(), Settings.RetryAfterMax.count());
  return base::Millis(Delay(Random));
}

NodeSession::NodeSession(std::shared_ptr<ServiceParts> SharedParts,
                         std::shared_ptr<protocol::Channel> Link)
    : Parts(std::move(SharedParts)), Link(std::move(Link)),
      Node(this->Link->peer().Id), Changed(Parts->Executor), LastSent(LongAgo),
      NotBefore(LongAgo) {}

void NodeSession::close(const std::string &Reason) {
  Link->close(Reason);
  Changed.notifyAll();
}

void NodeSession::countBytes() {
  std::uint64_t Total = Link->bytesSent();
  Parts->Statistics.sent(Node, Total - BytesCounted);
  BytesCounted = Total;
}

void NodeSession::sendCurrency() {
  Currency Message{Parts->Log.appliedIndex(), Parts->Log.staleness(), {}};
  std::vector<std::string> Controls;
  for (const replication::MemberStatus &Member : Parts->Log.members())
    Controls.push_back(Member.Address);
  if (Controls != ToldControls && Controls.size() <= MaxControls) {
    Message.Controls = Controls;
    ToldControls = std::move(Controls);
  }
  Link->post(MessageType::Currency, 0, encode(Message));
}

void NodeSession::tick() {
  sendCurrency();
  countBytes();
  if (Outstanding &&
      Parts->Time.now() - Outstanding->SentAt > Parts->Settings.AnswerTimeout)
    close("the node does not answer an update");
}

asio::awaitable<void> NodeSession::run() {
  std::uint64_t Connection = Parts->Statistics.connected(Link->peer());
  asio::co_spawn(
      Parts->Executor,
      [Self = shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->updateLoop();
      },
      asio::detached);
  std::string Reason;
  try {
    while (Link->isOpen())
      handle(co_await Link->receive());
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
  Parts->Statistics.disconnected(Node, Connection);
}

void NodeSession::handle(const protocol::Frame &Message) {
  Parts->Statistics.heard(Node);
  switch (Message.Type) {
  case MessageType::Subscribe:
    return subscribe(decodeSubscribe(Message.Payload));
  case MessageType::Acknowledge:
    return acknowledge(decodeAcknowledge(Message.Payload));
  case MessageType::ApplyFailure:
    return fail(decodeApplyFailure(Message.Payload));
  case MessageType::EndpointUpdate:
    return startEndpointUpdate(document::decodeEndpoint(Message.Payload));
  case MessageType::EvidenceReport:
    return Parts->Duties->addEvidence(decodeEvidenceReport(Message.Payload));
  case MessageType::CallRequest:
    return startCall(Message.Stream, decodeCallRequest(Message.Payload));
  default:
    throw base::ProtocolError(
        fmt::format("message type {} is not allowed for nodes",
                    static_cast<unsigned>(Message.Type)));
  }
}

void NodeSession::subscribe(Subscribe Message) {
  Applied = std::move(Message);
  ++Subscription;
  Subscribed = true;
  NeedsSnapshot = Applied.Fresh;
  CompareDigest = !Applied.Fresh;
  Outstanding.reset();
  if (!Applied.Fresh)
    Parts->Statistics.acknowledged(Node, Applied.Document, Applied.State);
  // A node must not stay with a process that is cut off from the others.
  sendCurrency();
  Changed.notifyAll();
}

void NodeSession::acknowledge(const Acknowledge &Message) {
  // An answer to an update before the latest subscription is not awaited.
  if (!Outstanding || Outstanding->State != Message.State ||
      Outstanding->Document != Message.Document)
    return;
  AMARANTH_INVARIANT(Applied.Fresh || (Message.State >= Applied.State &&
                                       Message.Document >= Applied.Document),
                     "a node was sent an older version than it had");
  Applied.Document = Message.Document;
  Applied.State = Message.State;
  Applied.Fresh = false;
  NeedsSnapshot = false;
  RefusedInSequence = 0;
  Outstanding.reset();
  Parts->Statistics.acknowledged(Node, Applied.Document, Applied.State);
  Changed.notifyAll();
}

void NodeSession::fail(const ApplyFailure &Message) {
  Parts->Statistics.refused(Node, Message.Reason);
  base::logger("control")->warn("node refused an update node={} state={} "
                                "reason=\"{}\"",
                                Node.value(), Message.State.value(),
                                Message.Reason);
  if (!Outstanding)
    return;
  Outstanding.reset();
  NeedsSnapshot = true;
  NotBefore = Parts->Time.now() + RefusalDelay * (1LL << RefusedInSequence);
  RefusedInSequence = std::min(RefusedInSequence + 1, MaxRefusalDoublings);
  Changed.notifyAll();
}

bool NodeSession::wantsUpdate() const {
  const auto &Newest = Parts->History.current();
  if (!Subscribed || Outstanding || !Newest)
    return false;
  if (Applied.Fresh)
    return true;
  // A process that lags behind the node has nothing for it yet.
  if (Newest->State < Applied.State || Newest->Document < Applied.Document)
    return false;
  return NeedsSnapshot || CompareDigest || Newest->State > Applied.State;
}

asio::awaitable<void> NodeSession::updateLoop() {
  try {
    while (Link->isOpen()) {
      if (!wantsUpdate()) {
        co_await Changed.wait();
        continue;
      }
      base::TimePoint Due =
          std::max(NotBefore, LastSent + Parts->Settings.UpdateInterval);
      if (Parts->Time.now() < Due) {
        co_await Parts->Time.sleepUntil(Due);
        continue;
      }
      co_await sendUpdate();
    }
  } catch (const protocol::ChannelClosed &) {
    // `run` sees the same end of the connection and reports it.
  }
}

void NodeSession::begin(std::shared_ptr<void> Slot) {
  const auto &Newest = Parts->History.current();
  LastSent = Parts->Time.now();
  Outstanding =
      Update{Newest->Document, Newest->State, LastSent, std::move(Slot)};
}

asio::awaitable<void> NodeSession::sendUpdate() {
  const auto &Newest = Parts->History.current();
  if (CompareDigest && Newest->State == Applied.State) {
    NeedsSnapshot = NeedsSnapshot ||
                    Parts->History.digest(Applied.Services) != Applied.Digest;
    CompareDigest = false;
    if (!NeedsSnapshot)
      co_return;
  }
  CompareDigest = false;
  MeshHistory::EncodedMessage Delta;
  if (!NeedsSnapshot)
    Delta = Parts->History.deltaFrom(Applied.Document, Applied.State,
                                     Applied.Services);
  if (!Delta) {
    co_await sendSnapshot();
    co_return;
  }
  begin(nullptr);
  Parts->Statistics.countDelta();
  base::Bytes Payload = *Delta;
  co_await Link->send(MessageType::Delta, 0, std::move(Payload));
}

asio::awaitable<bool> NodeSession::confirmCurrent() {
  base::TimePoint End = Parts->Time.now() + Parts->Settings.ReadIndexTimeout;
  std::string Reason;
  // After a restart of everything the proof succeeds as soon as there is a
  // leader; a node that was sent away would come back later than that.
  while (Link->isOpen() && Parts->Time.now() < End) {
    try {
      base::Millis Left = End - Parts->Time.now();
      co_await Parts->Log.readIndex(Left);
      co_return true;
    } catch (const base::Error &Failure) {
      Reason = Failure.what();
    }
    co_await Parts->Time.sleepFor(ConfirmRetryDelay);
  }
  base::logger("control")->info("fresh node has to wait node={} reason=\"{}\"",
                                Node.value(), Reason);
  co_return false;
}

void NodeSession::sendRetryAfter() {
  Subscribed = false;
  Parts->Statistics.countRetryAfter();
  Link->post(MessageType::RetryAfter, 0,
             encode(RetryAfter{Parts->retryDelay()}));
}

asio::awaitable<void> NodeSession::sendSnapshot() {
  std::uint64_t Before = Subscription;
  if (Applied.Fresh) {
    bool Confirmed = co_await confirmCurrent();
    if (Before != Subscription)
      co_return;
    if (!Confirmed) {
      sendRetryAfter();
      co_return;
    }
    // The index that was confirmed is applied, but the last snapshot may be
    // older by up to the update interval.
    Parts->refresh();
  }
  auto Slot = Parts->Admission.admit();
  if (!Slot) {
    sendRetryAfter();
    co_return;
  }
  auto Pieces = Parts->History.pieces(Applied.Services);
  begin(std::move(Slot));
  Parts->Statistics.countSnapshot();
  for (const base::Bytes &Piece : *Pieces) {
    base::Bytes Payload = Piece;
    co_await Link->send(MessageType::Snapshot, 0, std::move(Payload));
  }
}

} // namespace amaranth::control::detail
