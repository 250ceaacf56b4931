#include "amaranth/dataplane/PeerPool.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>

namespace asio = boost::asio;
using amaranth::protocol::Frame;
using amaranth::protocol::MessageType;

namespace amaranth::dataplane {

namespace {

constexpr base::Millis IdleCheckInterval = base::Millis::seconds(5);
/// Bounds of the backoff between connection attempts to an unreachable peer.
constexpr std::int64_t MinBackoffMs = 50;
constexpr std::int64_t MaxBackoffMs = 2000;

ExchangeAborted notRun(RefusalReason Code, const std::string &Text) {
  return ExchangeAborted(Refusal{ExecutionOutcome::NotRun, Code, Text});
}

} // namespace

ClientExchange::ClientExchange(const asio::any_io_executor &Executor,
                               std::shared_ptr<protocol::Channel> Link,
                               std::uint64_t Stream, base::Clock &Time,
                               std::function<void()> OnDestroyed)
    : Body(Executor, std::move(Link), Stream, ExchangeStream::Role::Entry),
      Time(Time), OnDestroyed(std::move(OnDestroyed)) {}

ClientExchange::~ClientExchange() {
  if (!Body.bodyComplete())
    cancel("abandoned");
  OnDestroyed();
}

asio::awaitable<std::optional<ResponseHead>>
ClientExchange::readHead(base::TimePoint Deadline) {
  while (!Head && !Body.ended() && Time.now() < Deadline)
    co_await Time.waitFor(Body.changed(), Deadline);
  if (Head)
    co_return std::exchange(Head, std::nullopt);
  if (Body.ended())
    throw ExchangeAborted(Body.endCause());
  co_return std::nullopt;
}

void ClientExchange::cancel(const std::string &Cause, RefusalReason Reason) {
  if (Body.ended())
    return;
  Body.channel().post(MessageType::Cancel, Body.streamId(), encodeCancel());
  Body.end({ExecutionOutcome::Unknown, Reason, Cause});
}

void ClientExchange::endBy(base::TimePoint End) {
  if (Body.ended())
    return;
  base::Millis Left = std::max(base::Millis(0), End - Time.now());
  Body.channel().post(MessageType::Window, Body.streamId(),
                      encode(WindowUpdate{0, Left}));
}

void ClientExchange::deliver(const Frame &Message) {
  switch (Message.Type) {
  case MessageType::ResponseHead:
    Head = decodeResponseHead(Message.Payload);
    Body.changed().notifyAll();
    return;
  case MessageType::ResponseData:
    Body.onData(decodeResponseData(Message.Payload));
    return;
  case MessageType::Window:
    Body.onWindow(decodeWindow(Message.Payload).Bytes);
    return;
  case MessageType::Refusal:
    Body.end(decodeRefusal(Message.Payload));
    return;
  default:
    throw base::ProtocolError(fmt::format("unexpected message type {}",
                                          static_cast<unsigned>(Message.Type)));
  }
}

struct PeerPool::Impl : std::enable_shared_from_this<PeerPool::Impl> {
  struct Peer {
    explicit Peer(const asio::any_io_executor &Executor) : Changed(Executor) {}

    base::Signal Changed;
    std::shared_ptr<protocol::Channel> Link;
    std::map<std::uint64_t, ClientExchange *> Exchanges;
    std::uint64_t NextStream = 1;
    bool Dialing = false;
    unsigned DialFailures = 0;
    base::TimePoint NextDialTime;
    base::TimePoint LastUsed;
    /// Exchanges that wait for the connection.
    std::size_t PendingConnects = 0;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  Impl(asio::any_io_executor Executor, Settings Options, base::Clock &Time,
       protocol::Dialer &Network)
      : Executor(std::move(Executor)), Options(Options), Time(Time),
        Network(Network), Random(base::randomU64()) {}

  PeerPtr findOrAddPeer(const base::Address &Address);
  asio::awaitable<void> connect(PeerPtr To, base::Address Address);
  asio::awaitable<void> dial(PeerPtr To, base::Address Address);
  asio::awaitable<void> receive(PeerPtr From,
                                std::shared_ptr<protocol::Channel> Link);
  void closeIdlePeers();
  bool isIdle(const Peer &Entry) const {
    return Entry.Exchanges.empty() && !Entry.Dialing &&
           Entry.PendingConnects == 0;
  }

  asio::any_io_executor Executor;
  Settings Options;
  base::Clock &Time;
  protocol::Dialer &Network;
  std::mt19937_64 Random;
  std::map<base::Address, PeerPtr> Peers;
  GrantHandler OnQuotaGrant;
};

PeerPool::Impl::PeerPtr
PeerPool::Impl::findOrAddPeer(const base::Address &Address) {
  auto Found = Peers.find(Address);
  if (Found != Peers.end())
    return Found->second;
  if (Peers.size() >= Options.MaxPeers) {
    auto Oldest = Peers.end();
    for (auto It = Peers.begin(); It != Peers.end(); ++It)
      if (isIdle(*It->second) &&
          (Oldest == Peers.end() ||
           It->second->LastUsed < Oldest->second->LastUsed))
        Oldest = It;
    if (Oldest == Peers.end())
      throw notRun(RefusalReason::Overloaded, "too many peer connections");
    if (Oldest->second->Link)
      Oldest->second->Link->close("replaced by another peer");
    Peers.erase(Oldest);
  }
  auto Entry = std::make_shared<Peer>(Executor);
  Peers.emplace(Address, Entry);
  return Entry;
}

asio::awaitable<void> PeerPool::Impl::connect(PeerPtr To,
                                              base::Address Address) {
  auto Keep = shared_from_this();
  if (To->Link && To->Link->isOpen())
    co_return;
  if (!To->Dialing) {
    if (Time.now() < To->NextDialTime)
      throw notRun(RefusalReason::PeerUnreachable,
                   "the node cannot be reached");
    To->Dialing = true;
    asio::co_spawn(
        Executor,
        [Keep, To, Address]() -> asio::awaitable<void> {
          co_await Keep->dial(To, Address);
        },
        asio::detached);
  }
  while (To->Dialing)
    co_await To->Changed.wait();
  if (!To->Link || !To->Link->isOpen())
    throw notRun(RefusalReason::PeerUnreachable, "the node cannot be reached");
}

asio::awaitable<void> PeerPool::Impl::dial(PeerPtr To, base::Address Address) {
  std::shared_ptr<protocol::Channel> Link;
  try {
    Link = co_await Network.dial(Address, Options.DialTimeout);
  } catch (const std::exception &Failure) {
    // The refusal's text is visible to callers, so the details are only logged.
    base::logger("dataplane")
        ->info("connection to peer failed peer={} error=\"{}\"", Address.text(),
               Failure.what());
  }
  To->Dialing = false;
  To->LastUsed = Time.now();
  if (Link) {
    To->Link = Link;
    To->DialFailures = 0;
    asio::co_spawn(
        Executor,
        [Keep = shared_from_this(), To, Link]() -> asio::awaitable<void> {
          co_await Keep->receive(To, Link);
        },
        asio::detached);
  } else {
    std::int64_t Limit = std::min(
        MaxBackoffMs, MinBackoffMs << std::min(To->DialFailures++, 10U));
    std::uniform_int_distribution<std::int64_t> Jitter(0, Limit);
    To->NextDialTime = Time.now() + base::Millis(Jitter(Random));
  }
  To->Changed.notifyAll();
}

asio::awaitable<void>
PeerPool::Impl::receive(PeerPtr From, std::shared_ptr<protocol::Channel> Link) {
  std::string Cause;
  try {
    for (;;) {
      Frame Message = co_await Link->receive();
      if (Message.Type == MessageType::QuotaGrant) {
        if (OnQuotaGrant)
          OnQuotaGrant(base::NodeId(Link->peer().Id), Message.Payload);
        continue;
      }
      // Messages for finished exchanges are dropped. Stream ids are never
      // reused, so that late messages cannot reach another exchange.
      auto Found = From->Exchanges.find(Message.Stream);
      if (Found != From->Exchanges.end())
        Found->second->deliver(Message);
    }
  } catch (const std::exception &Failure) {
    Cause = Failure.what();
  }
  Link->close(Cause);
  for (auto &[Stream, Exchange] : From->Exchanges)
    if (&Exchange->Body.channel() == Link.get())
      Exchange->Body.end(
          {ExecutionOutcome::Unknown, RefusalReason::ConnectionLost, Cause});
  if (From->Link == Link)
    From->Link.reset();
}

void PeerPool::Impl::closeIdlePeers() {
  std::erase_if(Peers, [this](auto &Entry) {
    Peer &Candidate = *Entry.second;
    if (!isIdle(Candidate))
      Candidate.LastUsed = Time.now();
    if (Time.now() - Candidate.LastUsed < Options.IdleTimeout)
      return false;
    if (Candidate.Link)
      Candidate.Link->close("idle");
    return true;
  });
}

PeerPool::PeerPool(const asio::any_io_executor &Executor, Settings Options,
                   base::Clock &Time, protocol::Dialer &Network)
    : Self(std::make_shared<Impl>(Executor, Options, Time, Network)) {}

PeerPool::~PeerPool() { close(); }

asio::awaitable<void> PeerPool::run() {
  auto Keep = Self;
  for (;;) {
    co_await Keep->Time.sleepFor(IdleCheckInterval);
    Keep->closeIdlePeers();
  }
}

asio::awaitable<void> PeerPool::ensureConnected(base::Address Peer) {
  auto Keep = Self;
  auto To = Keep->findOrAddPeer(Peer);
  ++To->PendingConnects;
  std::exception_ptr Failure;
  try {
    co_await Keep->connect(To, Peer);
  } catch (...) {
    Failure = std::current_exception();
  }
  --To->PendingConnects;
  if (Failure)
    std::rethrow_exception(Failure);
}

asio::awaitable<std::shared_ptr<ClientExchange>>
PeerPool::open(base::Address Peer, RequestHead Head, base::TimePoint Deadline) {
  auto Keep = Self;
  co_await ensureConnected(Peer);
  auto To = Keep->findOrAddPeer(Peer);
  Head.Remaining = Deadline - Keep->Time.now();
  Head.Sent = Keep->Time.bootNow();
  if (Head.Remaining <= base::Millis(0))
    throw notRun(RefusalReason::DeadlineExceeded,
                 "no connection before the deadline");
  auto Link = To->Link;
  std::uint64_t Stream = To->NextStream++;
  base::Bytes Payload = encode(Head);
  // The exchange is registered before the head is queued, because the response
  // may arrive while this task waits for the queue.
  auto Exchange = std::make_shared<ClientExchange>(
      Keep->Executor, Link, Stream, Keep->Time,
      [To, Stream] { To->Exchanges.erase(Stream); });
  To->Exchanges.emplace(Stream, Exchange.get());
  bool Queued = true;
  try {
    co_await Link->send(MessageType::RequestHead, Stream, std::move(Payload));
  } catch (const protocol::ChannelClosed &) {
    Queued = false;
  }
  if (!Queued) {
    Exchange->Body.end(
        {ExecutionOutcome::NotRun, RefusalReason::ConnectionLost, "not sent"});
    throw notRun(RefusalReason::ConnectionLost,
                 "connection ended before the request");
  }
  co_return Exchange;
}

void PeerPool::post(const base::Address &Peer, protocol::MessageType Type,
                    base::Bytes Payload) {
  auto Send = [](std::shared_ptr<Impl> Keep, base::Address Peer,
                 protocol::MessageType Type,
                 base::Bytes Payload) -> asio::awaitable<void> {
    try {
      auto To = Keep->findOrAddPeer(Peer);
      base::TimePoint Posted = Keep->Time.now();
      co_await Keep->connect(To, Peer);
      To->LastUsed = Keep->Time.now();
      if (To->Link && To->LastUsed - Posted <= MaxPostDelay)
        To->Link->post(Type, 0, std::move(Payload));
    } catch (const std::exception &Failure) {
      base::logger("dataplane")
          ->debug("message not sent peer={} error=\"{}\"", Peer.text(),
                  Failure.what());
    }
  };
  auto Found = Self->Peers.find(Peer);
  if (Found != Self->Peers.end()) {
    Found->second->LastUsed = Self->Time.now();
    if (Found->second->Link && Found->second->Link->isOpen()) {
      Found->second->Link->post(Type, 0, std::move(Payload));
      return;
    }
  }
  asio::co_spawn(Self->Executor, Send(Self, Peer, Type, std::move(Payload)),
                 asio::detached);
}

void PeerPool::onQuotaGrant(GrantHandler Handler) {
  Self->OnQuotaGrant = std::move(Handler);
}

std::size_t PeerPool::connections() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Self->Peers, [](const auto &Entry) {
        return Entry.second->Link && Entry.second->Link->isOpen();
      }));
}

void PeerPool::close() {
  for (auto &[Address, Entry] : Self->Peers)
    if (Entry->Link)
      Entry->Link->close("node stops");
}

} // namespace amaranth::dataplane
