#ifndef AMARANTH_REPLICATION_TRANSPORT_H
#define AMARANTH_REPLICATION_TRANSPORT_H

#include "amaranth/base/Clock.h"
#include "amaranth/protocol/Connection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace amaranth::replication {

/// Requests to other replicas.
class Transport {
public:
  virtual ~Transport() = default;

  /// Sends a request to the replica at `PeerAddress` (`ip:port`) and returns
  /// the payload of its reply; empty when the peer refused the request unread.
  /// Throws `protocol::ChannelClosed` when the request was certainly not
  /// delivered and `base::TimeoutError` when that is unknown.
  virtual boost::asio::awaitable<base::Bytes> call(std::string PeerAddress,
                                                   protocol::MessageType Type,
                                                   base::Bytes Request,
                                                   base::Millis Timeout) = 0;
};

/// Transport over the inner protocol: one dialed connection per peer, opened
/// on demand, that carries many calls at once.
class ChannelTransport final : public Transport {
public:
  /// `PeerDialer` and `Time` must outlive the transport and its calls.
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
