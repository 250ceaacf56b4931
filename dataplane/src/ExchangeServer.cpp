#include "amaranth/dataplane/ExchangeServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <map>

namespace asio = boost::asio;
using amaranth::protocol::Frame;
using amaranth::protocol::MessageType;

namespace amaranth::dataplane {

struct ExchangeServer::Connection {
  std::shared_ptr<protocol::Channel> Link;
  std::map<std::uint64_t, std::shared_ptr<ServerExchange>> Exchanges;

  /// Messages for exchanges that are finished here are dropped.
  void deliver(const Frame &Message) {
    auto Found = Exchanges.find(Message.Stream);
    if (Found == Exchanges.end())
      return;
    auto Exchange = Found->second;
    switch (Message.Type) {
    case MessageType::RequestData:
      Exchange->Body.onData(decodeRequestData(Message.Payload));
      return;
    case MessageType::Window:
      Exchange->Body.onWindow(decodeWindow(Message.Payload));
      return;
    default:
      Exchange->end({Outcome::Unknown, Reason::Cancelled, "cancelled"});
    }
  }

  void endAll(const std::string &Why) {
    for (auto &[Stream, Exchange] : std::exchange(Exchanges, {}))
      Exchange->end({Outcome::Unknown, Reason::ConnectionLost, Why});
  }
};

void ExchangeServer::open(std::shared_ptr<Connection> Peer,
                          const Frame &Message) {
  // Ids may arrive out of order, since heads wait for the send queue.
  if (Peer->Exchanges.contains(Message.Stream))
    throw base::ProtocolError("stream id used twice");
  RequestHead Head = decodeRequestHead(Message.Payload);
  if (Peer->Exchanges.size() >= MaxExchanges) {
    Refusal Refused{Outcome::NotRun, Reason::Overloaded,
                    "too many exchanges on one connection"};
    Peer->Link->post(MessageType::Refusal, Message.Stream, encode(Refused));
    return;
  }
  base::TimePoint Deadline = Time.now() + Head.Remaining;
  auto Exchange = std::make_shared<ServerExchange>(
      Executor, Peer->Link, Message.Stream, std::move(Head), Deadline);
  Peer->Exchanges.emplace(Message.Stream, Exchange);
  asio::co_spawn(
      Executor,
      [this, Peer, Exchange]() -> asio::awaitable<void> {
        co_await Upstream.serve(Exchange);
        Exchange->Body.end({Outcome::Unknown, Reason::Cancelled, "finished"});
        Peer->Exchanges.erase(Exchange->Body.stream());
      },
      asio::detached);
}

asio::awaitable<void>
ExchangeServer::serve(std::shared_ptr<protocol::Channel> Link) {
  auto Peer = std::make_shared<Connection>();
  Peer->Link = std::move(Link);
  std::string Why;
  std::exception_ptr Fault;
  try {
    for (;;) {
      Frame Message = co_await Peer->Link->receive();
      switch (Message.Type) {
      case MessageType::RequestHead:
        open(Peer, Message);
        break;
      case MessageType::RequestData:
      case MessageType::Window:
      case MessageType::Cancel:
        Peer->deliver(Message);
        break;
      default:
        throw base::ProtocolError(fmt::format(
            "unexpected message type {}", static_cast<unsigned>(Message.Type)));
      }
    }
  } catch (const protocol::ChannelClosed &Failure) {
    Why = Failure.what();
  } catch (const std::exception &Failure) {
    Why = Failure.what();
    Fault = std::current_exception();
  }
  Peer->endAll(Why);
  if (Fault)
    std::rethrow_exception(Fault);
}

} // namespace amaranth::dataplane
