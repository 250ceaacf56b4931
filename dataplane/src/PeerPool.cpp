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

constexpr base::Millis SweepInterval = base::Millis::seconds(5);
/// Bounds of the pause between two dials of a peer that cannot be reached.
constexpr std::int64_t MinBackoffMs = 50;
constexpr std::int64_t MaxBackoffMs = 2000;

ExchangeAborted notRun(RefusalReason Why, const std::string &Text) {
  return ExchangeAborted(Refusal{ExecutionOutcome::NotRun, Why, Text});
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

void ClientExchange::cancel(const std::string &Why) {
  if (Body.ended())
    return;
  Body.channel().post(MessageType::Cancel, Body.streamId(), encodeCancel());
  Body.end({ExecutionOutcome::Unknown, RefusalReason::Cancelled, Why});
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
    Body.onWindow(decodeWindow(Message.Payload));
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
    unsigned Failures = 0;
    base::TimePoint NextDial;
    base::TimePoint LastUsed;
    /// Exchanges that wait for the dial.
    std::size_t Waiting = 0;
  };
  using Shared = std::shared_ptr<Peer>;

  Impl(asio::any_io_executor Executor, Settings Options, base::Clock &Time,
       protocol::Dialer &Network)
      : Executor(std::move(Executor)), Options(Options), Time(Time),
        Network(Network), Random(base::randomU64()) {}

  Shared peerFor(const base::Address &Address);
  asio::awaitable<void> connect(Shared To, base::Address Address);
  asio::awaitable<void> dial(Shared To, base::Address Address);
  asio::awaitable<void> receive(Shared From,
                                std::shared_ptr<protocol::Channel> Link);
  void sweep();
  bool idle(const Peer &Entry) const {
    return Entry.Exchanges.empty() && !Entry.Dialing && Entry.Waiting == 0;
  }

  asio::any_io_executor Executor;
  Settings Options;
  base::Clock &Time;
  protocol::Dialer &Network;
  std::mt19937_64 Random;
  std::map<base::Address, Shared> Peers;
};

PeerPool::Impl::Shared PeerPool::Impl::peerFor(const base::Address &Address) {
  auto Found = Peers.find(Address);
  if (Found != Peers.end())
    return Found->second;
  if (Peers.size() >= Options.MaxPeers) {
    auto Oldest = Peers.end();
    for (auto It = Peers.begin(); It != Peers.end(); ++It)
      if (idle(*It->second) &&
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

asio::awaitable<void> PeerPool::Impl::connect(Shared To,
                                              base::Address Address) {
  auto Keep = shared_from_this();
  if (To->Link && To->Link->isOpen())
    co_return;
  if (!To->Dialing) {
    if (Time.now() < To->NextDial)
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

asio::awaitable<void> PeerPool::Impl::dial(Shared To, base::Address Address) {
  std::shared_ptr<protocol::Channel> Link;
  try {
    Link = co_await Network.dial(Address, Options.DialTimeout);
  } catch (const std::exception &Failure) {
    // Callers see the refusal's text, so details of the system stay here.
    base::logger("dataplane")
        ->info("peer not reached peer={} error=\"{}\"", Address.text(),
               Failure.what());
  }
  To->Dialing = false;
  To->LastUsed = Time.now();
  if (Link) {
    To->Link = Link;
    To->Failures = 0;
    asio::co_spawn(
        Executor,
        [Keep = shared_from_this(), To, Link]() -> asio::awaitable<void> {
          co_await Keep->receive(To, Link);
        },
        asio::detached);
  } else {
    std::int64_t Limit =
        std::min(MaxBackoffMs, MinBackoffMs << std::min(To->Failures++, 10U));
    std::uniform_int_distribution<std::int64_t> Jitter(0, Limit);
    To->NextDial = Time.now() + base::Millis(Jitter(Random));
  }
  To->Changed.notifyAll();
}

asio::awaitable<void>
PeerPool::Impl::receive(Shared From, std::shared_ptr<protocol::Channel> Link) {
  std::string Why;
  try {
    for (;;) {
      Frame Message = co_await Link->receive();
      // Finished exchanges are not in the table; what still arrives for them
      // must not reach another exchange, and ids are never used again.
      auto Found = From->Exchanges.find(Message.Stream);
      if (Found != From->Exchanges.end())
        Found->second->deliver(Message);
    }
  } catch (const std::exception &Failure) {
    Why = Failure.what();
  }
  Link->close(Why);
  for (auto &[Stream, Exchange] : From->Exchanges)
    if (&Exchange->Body.channel() == Link.get())
      Exchange->Body.end(
          {ExecutionOutcome::Unknown, RefusalReason::ConnectionLost, Why});
  if (From->Link == Link)
    From->Link.reset();
}

void PeerPool::Impl::sweep() {
  std::erase_if(Peers, [this](auto &Entry) {
    Peer &Candidate = *Entry.second;
    if (!idle(Candidate))
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
    co_await Keep->Time.sleepFor(SweepInterval);
    Keep->sweep();
  }
}

asio::awaitable<void> PeerPool::reach(base::Address Peer) {
  auto Keep = Self;
  auto To = Keep->peerFor(Peer);
  ++To->Waiting;
  std::exception_ptr Failure;
  try {
    co_await Keep->connect(To, Peer);
  } catch (...) {
    Failure = std::current_exception();
  }
  --To->Waiting;
  if (Failure)
    std::rethrow_exception(Failure);
}

asio::awaitable<std::shared_ptr<ClientExchange>>
PeerPool::open(base::Address Peer, RequestHead Head, base::TimePoint Deadline) {
  auto Keep = Self;
  co_await reach(Peer);
  auto To = Keep->peerFor(Peer);
  Head.Remaining = Deadline - Keep->Time.now();
  if (Head.Remaining <= base::Millis(0))
    throw notRun(RefusalReason::DeadlineExceeded,
                 "no connection before the deadline");
  auto Link = To->Link;
  std::uint64_t Stream = To->NextStream++;
  base::Bytes Payload = encode(Head);
  // The entry is in the table before the head is queued, because the answer
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
