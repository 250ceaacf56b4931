#include "amaranth/base/Accept.h"
#include "amaranth/base/Log.h"
#include "amaranth/dataplane/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <set>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace amaranth::dataplane {

namespace {

constexpr base::Millis StallCheckInterval = base::Millis(500);
constexpr base::Millis AcceptRetryDelay = base::Millis(100);

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(const asio::any_io_executor &Executor, const base::Address &Local,
       Limits Bounds, base::Clock &Time)
      : Acceptor(Executor, {asio::ip::make_address(Local.Ip), Local.Port}),
        Bounds(Bounds), Time(Time) {
    Acceptor.non_blocking(true);
  }

  asio::awaitable<void> accept(Handler Handle);
  /// Serves the connection in a task of its own, unless there are too many.
  void startConnection(tcp::socket Socket, Handler Handle);
  asio::awaitable<void> abortStalledConnections();
  asio::awaitable<void>
  serveConnection(std::shared_ptr<HttpConnection> Connection, Handler Handle);
  asio::awaitable<bool> serveRequest(std::shared_ptr<HttpConnection> Connection,
                                     Handler Handle);
  void stopGracefully();

  tcp::acceptor Acceptor;
  Limits Bounds;
  base::Clock &Time;
  std::set<std::shared_ptr<HttpConnection>> Connections;
  /// Connections that wait for a request, and whether it is their first one.
  std::map<HttpConnection *, bool> IdleConnections;
  /// Serves the connections that are accepted; set by `accept`.
  Handler Serve;
  bool CloseAfterResponses = false;
  bool Stopping = false;
};

asio::awaitable<void> HttpServer::Impl::accept(Handler Handle) {
  auto Keep = shared_from_this();
  Serve = Handle;
  while (!Stopping) {
    tcp::socket Socket(Acceptor.get_executor());
    boost::system::error_code Failure;
    co_await Acceptor.async_accept(
        Socket, asio::redirect_error(asio::use_awaitable, Failure));
    if (Stopping || Failure == asio::error::operation_aborted)
      co_return;
    if (Failure) {
      base::logger("dataplane")
          ->warn("accept failed error=\"{}\"", Failure.message());
      co_await Time.sleepFor(AcceptRetryDelay);
      continue;
    }
    startConnection(std::move(Socket), Handle);
    base::acceptWaiting(Acceptor, [&](tcp::socket Waiting) {
      startConnection(std::move(Waiting), Handle);
    });
  }
}

void HttpServer::Impl::startConnection(tcp::socket Socket, Handler Handle) {
  if (Connections.size() >= Bounds.MaxConnections)
    return;
  auto Connection = std::make_shared<HttpConnection>(std::move(Socket), Time,
                                                     Bounds.StallTimeout);
  Connections.insert(Connection);
  asio::co_spawn(
      Acceptor.get_executor(),
      [Keep = shared_from_this(), Connection,
       Handle]() -> asio::awaitable<void> {
        co_await Keep->serveConnection(Connection, Handle);
        Keep->Connections.erase(Connection);
      },
      asio::detached);
}

asio::awaitable<void> HttpServer::Impl::abortStalledConnections() {
  auto Keep = shared_from_this();
  while (!Stopping || !Connections.empty()) {
    co_await Time.sleepFor(StallCheckInterval);
    for (const auto &Connection : Connections)
      Connection->abortIfStalled();
  }
}

asio::awaitable<bool>
HttpServer::Impl::serveRequest(std::shared_ptr<HttpConnection> Connection,
                               Handler Handle) {
  IdleConnections.emplace(Connection.get(), !Connection->headWritten());
  std::optional<HttpRequest> Request;
  std::optional<HttpError> HeadError;
  try {
    base::Millis Timeout = Bounds.HeadTimeout;
    if (Stopping)
      Timeout = std::min(Timeout, Bounds.FirstRequestTime);
    Request = co_await Connection->readRequest(Timeout);
  } catch (const HttpError &Failure) {
    HeadError = Failure;
  } catch (...) {
    IdleConnections.erase(Connection.get());
    throw;
  }
  IdleConnections.erase(Connection.get());
  if (HeadError) {
    Connection->closeAfterResponse();
    Headers Fields = {{"X-Amaranth-Outcome", "not-run"},
                      {"X-Amaranth-Reason", "malformed"}};
    co_await Connection->respond(HeadError->status(), std::move(Fields),
                                 HeadError->what());
    co_return false;
  }
  if (!Request)
    co_return false;
  if (Stopping || CloseAfterResponses)
    Connection->closeAfterResponse();
  co_await Handle(Connection, std::move(*Request));
  // A client that was not told about the shutdown may have sent its next
  // request already.
  co_return Connection->reusable() &&
      (!Stopping || Connection->hasPendingData());
}

asio::awaitable<void>
HttpServer::Impl::serveConnection(std::shared_ptr<HttpConnection> Connection,
                                  Handler Handle) {
  try {
    while (co_await serveRequest(Connection, Handle))
      ;
  } catch (const boost::system::system_error &) {
    // The client closed the connection, so no response can be sent.
  } catch (const std::exception &Failure) {
    base::logger("dataplane")
        ->info("connection ended error=\"{}\"", Failure.what());
  }
  Connection->abort();
}

HttpServer::HttpServer(const asio::any_io_executor &Executor,
                       const base::Address &Local, Limits Bounds,
                       base::Clock &Time)
    : Shared(std::make_shared<Impl>(Executor, Local, Bounds, Time)) {}

HttpServer::~HttpServer() { stop(); }

base::Address HttpServer::local() const {
  auto Bound = Shared->Acceptor.local_endpoint();
  return {Bound.address().to_string(), Bound.port()};
}

asio::awaitable<void> HttpServer::serve(Handler Handle) {
  auto Keep = Shared;
  asio::co_spawn(
      Keep->Acceptor.get_executor(),
      [Keep]() -> asio::awaitable<void> {
        co_await Keep->abortStalledConnections();
      },
      asio::detached);
  co_await Keep->accept(std::move(Handle));
}

void HttpServer::setHeadTimeout(base::Millis Timeout) {
  Shared->Bounds.HeadTimeout = Timeout;
}

void HttpServer::closeAfterResponses() { Shared->CloseAfterResponses = true; }

void HttpServer::stop() {
  Shared->Stopping = true;
  boost::system::error_code Ignored;
  Shared->Acceptor.close(Ignored);
  for (auto &[Connection, First] : std::exchange(Shared->IdleConnections, {}))
    Connection->abort();
  // Releases what the handler refers to.
  Shared->Serve = nullptr;
}

void HttpServer::Impl::stopGracefully() {
  if (std::exchange(Stopping, true))
    return;
  // Clients in the accept queue count themselves as connected and may have sent
  // a request, which closing the listening socket would reset.
  if (Serve)
    base::acceptWaiting(Acceptor, [this](tcp::socket Waiting) {
      startConnection(std::move(Waiting), Serve);
    });
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  for (auto &[Connection, First] : IdleConnections) {
    if (Connection->hasPendingData())
      continue;
    if (First)
      Connection->limitRequestWait(Bounds.FirstRequestTime);
    else
      Connection->abort();
  }
}

void HttpServer::stopGracefully() { Shared->stopGracefully(); }

std::size_t HttpServer::connections() const {
  return Shared->Connections.size();
}

} // namespace amaranth::dataplane
