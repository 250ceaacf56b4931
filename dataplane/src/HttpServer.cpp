#include "amaranth/base/Log.h"
#include "amaranth/dataplane/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace amaranth::dataplane {

namespace {

constexpr base::Millis SweepInterval = base::Millis(500);
constexpr base::Millis AcceptRetryDelay = base::Millis(100);

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(const asio::any_io_executor &Executor, const base::Address &Local,
       Limits Bounds, base::Clock &Time)
      : Acceptor(Executor, {asio::ip::make_address(Local.Ip), Local.Port}),
        Bounds(Bounds), Time(Time) {}

  asio::awaitable<void> accept(Handler Handle);
  asio::awaitable<void> sweep();
  asio::awaitable<void> serveConnection(std::shared_ptr<HttpConnection> Link,
                                        Handler Handle);
  asio::awaitable<bool> serveRequest(std::shared_ptr<HttpConnection> Link,
                                     Handler Handle);

  tcp::acceptor Acceptor;
  Limits Bounds;
  base::Clock &Time;
  std::set<std::shared_ptr<HttpConnection>> Open;
  std::set<HttpConnection *> Idle;
  bool Closing = false;
  bool Stopping = false;
};

asio::awaitable<void> HttpServer::Impl::accept(Handler Handle) {
  auto Keep = shared_from_this();
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
    if (Open.size() >= Bounds.MaxConnections)
      continue;
    auto Link = std::make_shared<HttpConnection>(std::move(Socket), Time,
                                                 Bounds.StallTimeout);
    Open.insert(Link);
    asio::co_spawn(
        Acceptor.get_executor(),
        [Keep, Link, Handle]() -> asio::awaitable<void> {
          co_await Keep->serveConnection(Link, Handle);
          Keep->Open.erase(Link);
        },
        asio::detached);
  }
}

asio::awaitable<void> HttpServer::Impl::sweep() {
  auto Keep = shared_from_this();
  while (!Stopping || !Open.empty()) {
    co_await Time.sleepFor(SweepInterval);
    for (const auto &Link : Open)
      Link->checkStalled();
  }
}

asio::awaitable<bool>
HttpServer::Impl::serveRequest(std::shared_ptr<HttpConnection> Link,
                               Handler Handle) {
  Idle.insert(Link.get());
  std::optional<HttpRequest> Request;
  std::optional<HttpError> Malformed;
  try {
    Request = co_await Link->readRequest(Bounds.HeadTimeout);
  } catch (const HttpError &Failure) {
    Malformed = Failure;
  } catch (...) {
    Idle.erase(Link.get());
    throw;
  }
  Idle.erase(Link.get());
  if (Malformed) {
    Link->closeAfterResponse();
    Headers Fields = {{"X-Amaranth-Outcome", "not-run"},
                      {"X-Amaranth-Reason", "malformed"}};
    co_await Link->respond(Malformed->status(), std::move(Fields),
                           Malformed->what());
    co_return false;
  }
  if (!Request)
    co_return false;
  if (Stopping || Closing)
    Link->closeAfterResponse();
  co_await Handle(Link, std::move(*Request));
  co_return Link->reusable() && !Stopping;
}

asio::awaitable<void>
HttpServer::Impl::serveConnection(std::shared_ptr<HttpConnection> Link,
                                  Handler Handle) {
  try {
    while (co_await serveRequest(Link, Handle))
      ;
  } catch (const boost::system::system_error &) {
    // The client went away; there is nobody to answer.
  } catch (const std::exception &Failure) {
    base::logger("dataplane")
        ->info("connection ended error=\"{}\"", Failure.what());
  }
  Link->abort();
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
      [Keep]() -> asio::awaitable<void> { co_await Keep->sweep(); },
      asio::detached);
  co_await Keep->accept(std::move(Handle));
}

void HttpServer::setHeadTimeout(base::Millis Timeout) {
  Shared->Bounds.HeadTimeout = Timeout;
}

void HttpServer::closeAfterResponses() { Shared->Closing = true; }

void HttpServer::stop() {
  Shared->Stopping = true;
  boost::system::error_code Ignored;
  Shared->Acceptor.close(Ignored);
  for (HttpConnection *Link : std::exchange(Shared->Idle, {}))
    Link->abort();
}

std::size_t HttpServer::connections() const { return Shared->Open.size(); }

} // namespace amaranth::dataplane
