#include "amaranth/dataplane/ExchangeServer.h"

#include "TransitDelay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

#include <map>
#include <utility>
#include <vector>

namespace asio = boost::asio;
using amaranth::protocol::Frame;
using amaranth::protocol::MessageType;

namespace amaranth::dataplane {

struct ExchangeServer::Connection {
  std::shared_ptr<protocol::Channel> Channel;
  std::map<std::uint64_t, std::shared_ptr<ServerExchange>> Exchanges;
  /// Exchanges that have been received but not started.
  std::vector<std::shared_ptr<ServerExchange>> Unstarted;
  TransitDelay Transit;

  /// Ignores messages for exchanges that have already finished on this side.
  void deliver(const Frame &Message, base::TimePoint Now) {
    auto Found = Exchanges.find(Message.Stream);
    if (Found == Exchanges.end())
      return;
    auto Exchange = Found->second;
    switch (Message.Type) {
    case MessageType::RequestData:
      Exchange->Body.onData(decodeRequestData(Message.Payload));
      return;
    case MessageType::Window:
      deliverWindow(*Exchange, decodeWindow(Message.Payload), Now);
      return;
    default:
      Exchange->end(
          {ExecutionOutcome::Unknown, RefusalReason::Cancelled, "cancelled"});
    }
  }

  static void deliverWindow(ServerExchange &Exchange,
                            const WindowUpdate &Update, base::TimePoint Now) {
    Exchange.Body.onWindow(Update.Bytes);
    if (Update.EndsIn)
      Exchange.endBy(Now + *Update.EndsIn);
  }

  void endAll(const std::string &Cause) {
    for (auto &[Stream, Exchange] : std::exchange(Exchanges, {}))
      Exchange->end(
          {ExecutionOutcome::Unknown, RefusalReason::ConnectionLost, Cause});
  }
};

void ExchangeServer::open(std::shared_ptr<Connection> Client,
                          const Frame &Message) {
  // Stream ids may arrive out of order because request heads wait in the
  // peer's send queue.
  if (Client->Exchanges.contains(Message.Stream))
    throw base::ProtocolError("duplicate stream id");
  RequestHead Head = decodeRequestHead(Message.Payload);
  if (Client->Exchanges.size() >= MaxExchanges) {
    Refusal Rejection{ExecutionOutcome::NotRun, RefusalReason::Overloaded,
                      "too many exchanges on one connection"};
    Client->Channel->post(MessageType::Refusal, Message.Stream,
                          encode(Rejection));
    return;
  }
  base::Millis Delay;
  if (Head.Sent != base::BootTime(0))
    Delay = Client->Transit.record(Head.Sent, Time.bootNow());
  auto Exchange = std::make_shared<ServerExchange>(
      Executor, Client->Channel, Message.Stream, std::move(Head), Time.now(),
      Delay);
  Client->Exchanges.emplace(Message.Stream, Exchange);
  Client->Unstarted.push_back(std::move(Exchange));
}

void ExchangeServer::answerQuota(protocol::Channel &Channel,
                                 const Frame &Message) {
  if (!Quotas)
    throw base::ProtocolError("unexpected quota request");
  base::Bytes Grant =
      Quotas->answer(base::NodeId(Channel.peer().Id), Message.Payload);
  if (!Grant.empty())
    Channel.post(MessageType::QuotaGrant, Message.Stream, std::move(Grant));
}

void ExchangeServer::startExchanges(std::shared_ptr<Connection> Client) {
  for (auto &Exchange : std::exchange(Client->Unstarted, {}))
    asio::co_spawn(
        Executor,
        [this, Client, Exchange]() -> asio::awaitable<void> {
          co_await Upstream.serve(Exchange);
          Exchange->Body.end({ExecutionOutcome::Unknown,
                              RefusalReason::Cancelled, "finished"});
          Client->Exchanges.erase(Exchange->Body.streamId());
        },
        asio::detached);
}

asio::awaitable<void>
ExchangeServer::serve(std::shared_ptr<protocol::Channel> Channel) {
  auto Client = std::make_shared<Connection>();
  Client->Channel = std::move(Channel);
  std::string Cause;
  std::exception_ptr Failure;
  try {
    for (;;) {
      Frame Message = co_await Client->Channel->receive();
      switch (Message.Type) {
      case MessageType::RequestHead:
        open(Client, Message);
        break;
      case MessageType::RequestData:
      case MessageType::Window:
      case MessageType::Cancel:
        Client->deliver(Message, Time.now());
        break;
      case MessageType::QuotaRequest:
        answerQuota(*Client->Channel, Message);
        break;
      default:
        throw base::ProtocolError(fmt::format(
            "unexpected message type {}", static_cast<unsigned>(Message.Type)));
      }
      // A cancellation may have arrived behind its request.
      if (!Client->Channel->hasReceived())
        startExchanges(Client);
    }
  } catch (const protocol::ChannelClosed &Error) {
    Cause = Error.what();
  } catch (const std::exception &Error) {
    Cause = Error.what();
    Failure = std::current_exception();
  }
  Client->endAll(Cause);
  if (Failure)
    std::rethrow_exception(Failure);
}

} // namespace amaranth::dataplane
