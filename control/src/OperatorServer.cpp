#include "amaranth/control/OperatorServer.h"

#include "OperatorJson.h"
#include "amaranth/base/Log.h"
#include "amaranth/base/Signal.h"
#include "amaranth/base/Timeout.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <prometheus/gauge.h>

#include <set>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace amaranth::control {

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

using Parser = http::request_parser<http::string_body>;
using Response = http::response<http::string_body>;

/// One accepted connection.
struct Connection {
  explicit Connection(tcp::socket Peer) : Socket(std::move(Peer)) {}

  void close() {
    boost::system::error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    Socket.close(Ignored);
  }

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// Waits for the first byte of a request.
  bool Idle = true;
};

ApiRequest toApi(const http::request<http::string_body> &From) {
  ApiRequest Result;
  Result.Method = std::string(From.method_string());
  Result.Target = std::string(From.target());
  Result.Authorization = std::string(From[http::field::authorization]);
  Result.Body = From.body();
  return Result;
}

Response toHttp(ApiResponse From, unsigned Version, bool KeepAlive) {
  Response Result(http::int_to_status(From.Status), Version);
  Result.set(http::field::content_type, From.ContentType);
  Result.set(http::field::cache_control, "no-store");
  if (From.Status == 401)
    Result.set(http::field::www_authenticate, "Bearer");
  Result.keep_alive(KeepAlive);
  Result.body() = std::move(From.Body);
  Result.prepare_payload();
  return Result;
}

/// The response to a request that could not be read; empty when the peer is
/// gone.
std::optional<ApiResponse> refusalFor(const boost::system::error_code &Code) {
  if (Code == http::error::body_limit)
    return ApiResponse{413, "application/json",
                       detail::errorJson("the body is too large")};
  if (Code == http::error::header_limit)
    return ApiResponse{431, "application/json",
                       detail::errorJson("the header exceeds 16 KiB")};
  bool Gone = Code == http::error::end_of_stream ||
              Code == http::error::partial_message ||
              Code.category() !=
                  http::make_error_code(http::error::bad_method).category();
  if (Gone)
    return std::nullopt;
  return ApiResponse{400, "application/json",
                     detail::errorJson("malformed HTTP: " + Code.message())};
}

tcp::acceptor openAcceptor(const asio::any_io_executor &Executor,
                           const base::Address &Listen) {
  return tcp::acceptor(
      Executor, tcp::endpoint(asio::ip::make_address(Listen.Ip), Listen.Port));
}

} // namespace

struct OperatorServer::Impl {
  /// `Owned` may be null when `Api` belongs to somebody else.
  Impl(const asio::any_io_executor &Executor, base::Clock &Time,
       std::unique_ptr<ApiHandler> Owned, ApiHandler &Api,
       OperatorServerSettings Settings, prometheus::Registry &Metrics)
      : Executor(Executor), Time(Time), Owned(std::move(Owned)), Api(Api),
        Settings(std::move(Settings)),
        Acceptor(openAcceptor(Executor, this->Settings.Listen)),
        Ended(Executor),
        Open(prometheus::BuildGauge()
                 .Name("amaranth_operator_connections")
                 .Help("Open connections of the operators' interface.")
                 .Register(Metrics)
                 .Add({})) {}

  asio::awaitable<void> accept() {
    while (!Stopping) {
      auto [Code, Peer] = co_await Acceptor.async_accept(AsTuple);
      if (Stopping)
        break;
      if (Code) {
        // Out of file descriptors: wait until connections have ended.
        co_await Time.sleepFor(base::Millis(100));
        continue;
      }
      if (Connections.size() >= Settings.MaxConnections)
        continue;
      auto Link = std::make_shared<Connection>(std::move(Peer));
      Connections.insert(Link);
      Open.Set(static_cast<double>(Connections.size()));
      asio::co_spawn(Executor, serveAndForget(Link), asio::detached);
    }
    while (!Connections.empty())
      co_await Ended.wait();
  }

  asio::awaitable<void> serveAndForget(std::shared_ptr<Connection> Link) {
    try {
      while (co_await serveOne(Link))
        Link->Idle = true;
    } catch (const std::exception &Failure) {
      base::logger("operator")
          ->warn("connection failed reason=\"{}\"", Failure.what());
    }
    Link->close();
    Connections.erase(Link);
    Open.Set(static_cast<double>(Connections.size()));
    Ended.notifyAll();
  }

  /// True when the connection takes another request.
  asio::awaitable<bool> serveOne(std::shared_ptr<Connection> Link) {
    Parser Input;
    Input.header_limit(MaxOperatorHeader);
    Input.body_limit(Settings.MaxBody);
    if (!co_await waitForByte(Link) || Stopping)
      co_return false;
    Link->Idle = false;
    auto Code = co_await base::withTimeout(Time, Settings.TransferTimeout,
                                           readRequest(Link, Input));
    if (!Code)
      co_return false;
    if (*Code) {
      auto Refusal = refusalFor(*Code);
      if (Refusal)
        co_await write(Link, toHttp(std::move(*Refusal), 11, false));
      co_return false;
    }
    http::request<http::string_body> Request = Input.release();
    ApiRequest Call = toApi(Request);
    ApiResponse Answer = co_await Api.handle(std::move(Call));
    bool KeepAlive = Request.keep_alive() && !Stopping;
    bool Sent = co_await write(
        Link, toHttp(std::move(Answer), Request.version(), KeepAlive));
    co_return Sent &&KeepAlive;
  }

  /// False when none came in time or the peer closed.
  asio::awaitable<bool> waitForByte(std::shared_ptr<Connection> Link) {
    if (Link->Buffer.size() > 0)
      co_return true;
    auto Code = co_await base::withTimeout(Time, Settings.IdleTimeout,
                                           waitReadable(Link));
    co_return Code && !*Code;
  }

  static asio::awaitable<boost::system::error_code>
  waitReadable(std::shared_ptr<Connection> Link) {
    auto [Code] =
        co_await Link->Socket.async_wait(tcp::socket::wait_read, AsTuple);
    co_return Code;
  }

  /// The header first: a body that is announced as too large is refused
  /// without reading it.
  static asio::awaitable<boost::system::error_code>
  readRequest(std::shared_ptr<Connection> Link, Parser &Input) {
    auto [Code, Count] = co_await http::async_read_header(
        Link->Socket, Link->Buffer, Input, AsTuple);
    if (Code || Input.is_done())
      co_return Code;
    if (Input.get()[http::field::expect] == "100-continue") {
      http::response<http::empty_body> Continue(http::status::continue_, 11);
      auto [WriteCode, Written] =
          co_await http::async_write(Link->Socket, Continue, AsTuple);
      if (WriteCode)
        co_return WriteCode;
    }
    auto [BodyCode, BodyCount] =
        co_await http::async_read(Link->Socket, Link->Buffer, Input, AsTuple);
    co_return BodyCode;
  }

  asio::awaitable<bool> write(std::shared_ptr<Connection> Link,
                              Response Output) {
    auto Code = co_await base::withTimeout(Time, Settings.TransferTimeout,
                                           writeAll(Link, Output));
    co_return Code && !*Code;
  }

  static asio::awaitable<boost::system::error_code>
  writeAll(std::shared_ptr<Connection> Link, Response &Output) {
    auto [Code, Count] =
        co_await http::async_write(Link->Socket, Output, AsTuple);
    co_return Code;
  }

  void stop() {
    Stopping = true;
    boost::system::error_code Ignored;
    Acceptor.close(Ignored);
    for (const auto &Link : Connections)
      if (Link->Idle)
        Link->close();
  }

  asio::any_io_executor Executor;
  base::Clock &Time;
  std::unique_ptr<ApiHandler> Owned;
  ApiHandler &Api;
  OperatorServerSettings Settings;
  tcp::acceptor Acceptor;
  base::Signal Ended;
  prometheus::Gauge &Open;
  std::set<std::shared_ptr<Connection>> Connections;
  bool Stopping = false;
};

OperatorServer::OperatorServer(
    const asio::any_io_executor &Executor, base::Clock &Time,
    replication::ReplicatedLog &Log, const ControlState &State,
    const StatusSource &Nodes, MembershipControl &Members, OperatorKeys Keys,
    prometheus::Registry &Metrics, OperatorServerSettings Settings) {
  auto Api = std::make_unique<OperatorApi>(
      Log, State, Nodes, Members, std::move(Keys), Metrics, Settings.Api);
  ApiHandler &Handler = *Api;
  Self = std::make_unique<Impl>(Executor, Time, std::move(Api), Handler,
                                Settings, Metrics);
}

OperatorServer::OperatorServer(const asio::any_io_executor &Executor,
                               base::Clock &Time, ApiHandler &Api,
                               prometheus::Registry &Metrics,
                               OperatorServerSettings Settings)
    : Self(std::make_unique<Impl>(Executor, Time, nullptr, Api, Settings,
                                  Metrics)) {}

OperatorServer::~OperatorServer() = default;

base::Address OperatorServer::address() const {
  tcp::endpoint Local = Self->Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

asio::awaitable<void> OperatorServer::run() { return Self->accept(); }

void OperatorServer::stop() { Self->stop(); }

} // namespace amaranth::control
