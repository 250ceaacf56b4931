#ifndef AMARANTH_REPLICATION_TRANSPORT_H
#define AMARANTH_REPLICATION_TRANSPORT_H

#include "amaranth/base/Clock.h"
#include "amaranth/protocol/Connection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace amaranth::replication {

/// Sends requests to other replicas.
class Transport {
public:
  virtual ~Transport() = default;

  /// Sends a request to the replica at `PeerAddress` (`ip:port`) and returns
  /// the payload of its reply, which is empty when the peer refused the request
  /// without processing it. Throws `protocol::ChannelClosed` when the request
  /// was definitely not delivered and `base::TimeoutError` when the peer may
  /// have received it.
  virtual boost::asio::awaitable<base::Bytes> call(std::string PeerAddress,
                                                   protocol::MessageType Type,
                                                   base::Bytes Request,
                                                   base::Millis Timeout) = 0;
};

/// Transport over the inner protocol. Opens one connection per peer on demand
/// and multiplexes concurrent calls over it.
class ChannelTransport final : public Transport {
public:
  /// `PeerDialer` and `Time` must outlive the transport and its pending calls.
  ChannelTransport(protocol::Dialer &PeerDialer, base::Clock &Time,
                   const boost::asio::any_io_executor &Executor);
  /// Closes the connections.
  ~ChannelTransport() override;

  boost::asio::awaitable<base::Bytes> call(std::string PeerAddress,
                                           protocol::MessageType Type,
                                           base::Bytes Request,
                                           base::Millis Timeout) override;

private:
  struct Impl;
  std::shared_ptr<Impl> Inner;
};

} // namespace amaranth::replication

#endif
