#ifndef AMARANTH_DATAPLANE_EXCHANGESERVER_H
#define AMARANTH_DATAPLANE_EXCHANGESERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/protocol/Channel.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace amaranth::dataplane {

/// Answers the quota requests of other nodes.
class QuotaService {
public:
  virtual ~QuotaService() = default;

  /// Returns the payload of the `QuotaGrant` for a `QuotaRequest`; empty if
  /// there is nothing to answer. Throws `base::ProtocolError` if the request
  /// is malformed; nothing has changed then.
  virtual base::Bytes answer(const base::NodeId &From,
                             base::ByteView Request) = 0;
};

/// Serves the exchanges that other nodes open over inner connections.
class ExchangeServer {
public:
  /// Concurrent exchanges on one connection; further ones are refused with
  /// `ExecutionOutcome::NotRun`.
  static constexpr std::size_t MaxExchanges = 4096;

  /// The references must outlive the server and its connections. Quota
  /// requests are a violation of the protocol if `Quotas` is null.
  ExchangeServer(boost::asio::any_io_executor Executor, Gate &Upstream,
                 base::Clock &Time, QuotaService *Quotas = nullptr)
      : Executor(std::move(Executor)), Upstream(Upstream), Time(Time),
        Quotas(Quotas) {}

  /// Serves `Channel`, a connection from a peer with `Role::Node`, until it
  /// closes, then ends its exchanges. Throws `base::ProtocolError` if the peer
  /// violates the protocol.
  boost::asio::awaitable<void>
  serve(std::shared_ptr<protocol::Channel> Channel);

private:
  struct Connection;

  void open(std::shared_ptr<Connection> Client, const protocol::Frame &Message);
  void answerQuota(protocol::Channel &Channel, const protocol::Frame &Message);
  /// Starts the exchanges that have been received since the last call.
  void startExchanges(std::shared_ptr<Connection> Client);

  boost::asio::any_io_executor Executor;
  Gate &Upstream;
  base::Clock &Time;
  QuotaService *Quotas;
};

} // namespace amaranth::dataplane

#endif
