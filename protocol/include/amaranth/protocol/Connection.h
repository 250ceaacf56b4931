#ifndef AMARANTH_PROTOCOL_CONNECTION_H
#define AMARANTH_PROTOCOL_CONNECTION_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/protocol/Channel.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace amaranth::protocol {

/// Shared keys by the role of the dialing process. A node holds only the key
/// of its own role.
using SharedKeys = std::map<Role, std::string>;

/// Opens connections to other processes.
class Dialer {
public:
  virtual ~Dialer() = default;

  /// Connects and authenticates within `Timeout`. Throws `ChannelClosed`
  /// with the reason when the peer cannot be reached or is refused.
  virtual boost::asio::awaitable<std::shared_ptr<Channel>>
  dial(base::Address Peer, base::Millis Timeout) = 0;
};

namespace detail {
class HeartbeatTimer;
} // namespace detail

/// Dials over TCP.
class TcpDialer final : public Dialer {
public:
  /// `Keys` needs the key of the role in `Self`. `Time` must outlive the
  /// dialer and its connections.
  TcpDialer(Identity Self, SharedKeys Keys, base::Clock &Time);

  boost::asio::awaitable<std::shared_ptr<Channel>>
  dial(base::Address Peer, base::Millis Timeout) override;

private:
  Identity Self;
  SharedKeys Keys;
  base::Clock &Time;
  std::shared_ptr<detail::HeartbeatTimer> Heartbeats;
};

/// Accepts connections of other processes over TCP.
class Listener {
public:
  /// Serves one authenticated connection. The connection is closed when the
  /// handler returns or throws.
  using Handler =
      std::function<boost::asio::awaitable<void>(std::shared_ptr<Channel>)>;

  /// Connections beyond this number are closed before the handshake.
  static constexpr std::size_t MaxConnections = 4096;

  /// Binds and listens at once; port 0 takes a free port. Throws
  /// `boost::system::system_error` when the address cannot be bound. `Time`
  /// must outlive the listener.
  Listener(const boost::asio::any_io_executor &Executor,
           const base::Address &Local, Identity Self, SharedKeys Keys,
           base::Clock &Time);
  ~Listener();

  base::Address local() const;

  /// Accepts until `stop`. Each connection runs in its own task.
  boost::asio::awaitable<void> serve(Handler Handle);

  /// Open connections, authenticated or not.
  std::size_t connections() const;

  /// Stops accepting; open connections are not touched.
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::protocol

#endif
