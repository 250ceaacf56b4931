#include "amaranth/protocol/Connection.h"

#include "Handshake.h"
#include "amaranth/base/Accept.h"
#include "amaranth/base/Log.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace amaranth::protocol {

namespace {

constexpr base::Millis HandshakeTimeout = base::Millis(2000);
constexpr base::Millis AcceptRetryDelay = base::Millis(100);

tcp::endpoint endpointOf(const base::Address &Address) {
  return {asio::ip::make_address(Address.Ip), Address.Port};
}

} // namespace

TcpDialer::TcpDialer(Identity Self, SharedKeys Keys, base::Clock &Time)
    : Self(std::move(Self)), Keys(std::move(Keys)), Time(Time),
      Heartbeats(std::make_shared<detail::HeartbeatTimer>(Time)) {}

asio::awaitable<std::shared_ptr<Channel>>
TcpDialer::dial(base::Address Peer, base::Millis Timeout) {
  auto Link = std::shared_ptr<detail::SocketChannel>();
  auto Connect = [&]() -> asio::awaitable<void> {
    tcp::socket Socket(co_await asio::this_coro::executor);
    co_await Socket.async_connect(endpointOf(Peer), asio::use_awaitable);
    Link = std::make_shared<detail::SocketChannel>(std::move(Socket), Time,
                                                   Heartbeats);
    co_await detail::openAsDialer(Link, Self, Keys);
  };
  std::string Reason;
  try {
    if (co_await base::withTimeout(Time, Timeout, Connect()))
      co_return Link;
    Reason = fmt::format("no connection within {} ms", Timeout.count());
  } catch (const boost::system::system_error &Failure) {
    // The text of the exception contains source locations.
    Reason = Failure.code().message();
  } catch (const std::exception &Failure) {
    Reason = Failure.what();
  }
  if (Link)
    Link->close(Reason);
  throw ChannelClosed(
      fmt::format("cannot connect to {}: {}", Peer.text(), Reason));
}

struct Listener::Impl : std::enable_shared_from_this<Listener::Impl> {
  Impl(const asio::any_io_executor &Executor, const base::Address &Local,
       Identity Self, SharedKeys Keys, base::Clock &Time)
      : Acceptor(Executor, endpointOf(Local)), Self(std::move(Self)),
        Keys(std::move(Keys)), Time(Time),
        Heartbeats(std::make_shared<detail::HeartbeatTimer>(Time)) {
    Acceptor.non_blocking(true);
  }

  /// Serves the connection in a task of its own, unless there are too many.
  void startConnection(tcp::socket Socket, const Handler &Handle);
  asio::awaitable<void>
  serveConnection(std::shared_ptr<detail::SocketChannel> Link, Handler Handle);

  tcp::acceptor Acceptor;
  Identity Self;
  SharedKeys Keys;
  base::Clock &Time;
  std::shared_ptr<detail::HeartbeatTimer> Heartbeats;
  std::size_t Connections = 0;
};

namespace {

/// Counts one connection for as long as it lives.
class ConnectionCount {
public:
  explicit ConnectionCount(std::size_t &Count) : Count(Count) { ++Count; }
  ~ConnectionCount() { --Count; }
  ConnectionCount(const ConnectionCount &) = delete;
  ConnectionCount &operator=(const ConnectionCount &) = delete;

private:
  std::size_t &Count;
};

} // namespace

Listener::Listener(const asio::any_io_executor &Executor,
                   const base::Address &Local, Identity Self, SharedKeys Keys,
                   base::Clock &Time)
    : Shared(std::make_shared<Impl>(Executor, Local, std::move(Self),
                                    std::move(Keys), Time)) {}

Listener::~Listener() { stop(); }

base::Address Listener::local() const {
  tcp::endpoint Bound = Shared->Acceptor.local_endpoint();
  return {Bound.address().to_string(), Bound.port()};
}

std::size_t Listener::connections() const { return Shared->Connections; }

void Listener::stop() {
  boost::system::error_code Ignored;
  Shared->Acceptor.close(Ignored);
}

asio::awaitable<void> Listener::serve(Handler Handle) {
  auto Keep = Shared;
  while (Keep->Acceptor.is_open()) {
    tcp::socket Socket(Keep->Acceptor.get_executor());
    boost::system::error_code Failure;
    co_await Keep->Acceptor.async_accept(
        Socket, asio::redirect_error(asio::use_awaitable, Failure));
    if (Failure == asio::error::operation_aborted || !Keep->Acceptor.is_open())
      co_return;
    if (Failure) {
      // Out of descriptors: wait for connections to end instead of spinning.
      base::logger("protocol")
          ->warn("accept failed error=\"{}\"", Failure.message());
      co_await Keep->Time.sleepFor(AcceptRetryDelay);
      continue;
    }
    Keep->startConnection(std::move(Socket), Handle);
    base::acceptWaiting(Keep->Acceptor, [&](tcp::socket Waiting) {
      Keep->startConnection(std::move(Waiting), Handle);
    });
  }
}

void Listener::Impl::startConnection(tcp::socket Socket,
                                     const Handler &Handle) {
  if (Connections >= MaxConnections)
    return;
  auto Link = std::make_shared<detail::SocketChannel>(std::move(Socket), Time,
                                                      Heartbeats);
  asio::co_spawn(
      Acceptor.get_executor(),
      [Keep = shared_from_this(), Link, Handle]() -> asio::awaitable<void> {
        co_await Keep->serveConnection(Link, Handle);
      },
      asio::detached);
}

asio::awaitable<void>
Listener::Impl::serveConnection(std::shared_ptr<detail::SocketChannel> Link,
                                Handler Handle) {
  ConnectionCount Counted(Connections);
  std::string Reason = "handler finished";
  try {
    bool Opened = co_await base::withTimeout(
        Time, HandshakeTimeout, detail::openAsListener(Link, Self, Keys));
    if (!Opened)
      throw base::ProtocolError("handshake timed out");
    co_await Handle(Link);
  } catch (const ChannelClosed &) {
    Reason = "closed";
  } catch (const boost::system::system_error &Error) {
    Reason = Error.code().message();
  } catch (const std::exception &Error) {
    Reason = Error.what();
    base::logger("protocol")
        ->warn("connection ended peer=\"{}\" error=\"{}\"", Link->peer().Id,
               Reason);
  }
  Link->close(Reason);
}

} // namespace amaranth::protocol
