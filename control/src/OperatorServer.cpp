#include "amaranth/control/OperatorServer.h"

#include "OperatorJson.h"
#include "amaranth/base/Accept.h"
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

/// An accepted connection.
struct Connection {
  explicit Connection(tcp::socket Peer) : Socket(std::move(Peer)) {}

  /// A request, or a part of one, has arrived.
  bool hasPendingData() const {
    boost::system::error_code Ignored;
    return Buffer.size() != 0 || Socket.available(Ignored) != 0;
  }

  void close() {
    boost::system::error_code Ignored;
    Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    Socket.close(Ignored);
  }

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  /// The connection waits for the first byte of a request.
  bool Idle = true;
};

ApiRequest toApiRequest(http::request<http::string_body> &&From) {
  ApiRequest Result;
  Result.Method = std::string(From.method_string());
  Result.Target = std::string(From.target());
  Result.Authorization = std::string(From[http::field::authorization]);
  Result.Body = std::move(From.body());
  return Result;
}

Response toHttpResponse(ApiResponse From, unsigned Version, bool KeepAlive) {
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

/// A part of `OperatorServerSettings::MaxBufferedBytes` that a request or a
/// response takes while the object lives.
class BufferReservation {
public:
  explicit BufferReservation(std::size_t &Total) : Total(Total) {}
  ~BufferReservation() { Total -= Size; }
  BufferReservation(const BufferReservation &) = delete;
  BufferReservation &operator=(const BufferReservation &) = delete;

  /// Replaces the reserved size; returns false and changes nothing if the total
  /// would exceed `Limit`.
  bool resize(std::size_t NewSize, std::size_t Limit) {
    if (Total - Size + NewSize > Limit)
      return false;
    Total += NewSize - Size;
    Size = NewSize;
    return true;
  }

private:
  std::size_t &Total;
  std::size_t Size = 0;
};

ApiResponse overloadResponse() {
  return {503, "application/json",
          detail::errorJson("too many large requests are in progress")};
}

/// Returns the response to a request that could not be read, or nothing if the
/// peer closed the connection.
std::optional<ApiResponse>
errorResponseFor(const boost::system::error_code &Code) {
  if (Code == http::error::body_limit)
    return ApiResponse{413, "application/json",
                       detail::errorJson("the request body is too large")};
  if (Code == http::error::header_limit)
    return ApiResponse{431, "application/json",
                       detail::errorJson("the request header exceeds 16 KiB")};
  bool PeerClosed =
      Code == http::error::end_of_stream ||
      Code == http::error::partial_message ||
      Code.category() !=
          http::make_error_code(http::error::bad_method).category();
  if (PeerClosed)
    return std::nullopt;
  return ApiResponse{
      400, "application/json",
      detail::errorJson("malformed HTTP request: " + Code.message())};
}

tcp::acceptor openAcceptor(const asio::any_io_executor &Executor,
                           const base::Address &Listen) {
  return tcp::acceptor(
      Executor, tcp::endpoint(asio::ip::make_address(Listen.Ip), Listen.Port));
}

} // namespace

struct OperatorServer::Impl {
  /// `OwnedApi` is null if the caller of the constructor owns `Api`.
  Impl(const asio::any_io_executor &Executor, base::Clock &Time,
       std::unique_ptr<ApiHandler> OwnedApi, ApiHandler &Api,
       OperatorServerSettings Settings, prometheus::Registry &Metrics)
      : Executor(Executor), Time(Time), OwnedApi(std::move(OwnedApi)), Api(Api),
        Settings(std::move(Settings)),
        Acceptor(openAcceptor(Executor, this->Settings.Listen)),
        ConnectionEnded(Executor),
        OpenConnections(
            prometheus::BuildGauge()
                .Name("amaranth_operator_connections")
                .Help("Open connections of the operators' interface.")
                .Register(Metrics)
                .Add({})) {}

  asio::awaitable<void> acceptLoop() {
    while (!Stopping) {
      auto [Code, Peer] = co_await Acceptor.async_accept(AsTuple);
      if (Stopping)
        break;
      if (Code) {
        // Accepting fails when the process is out of file descriptors. Wait for
        // other connections to end.
        co_await Time.sleepFor(base::Millis(100));
        continue;
      }
      startConnection(std::move(Peer));
    }
    while (!Connections.empty())
      co_await ConnectionEnded.wait();
  }

  /// Serves the connection in a task of its own, unless there are too many.
  void startConnection(tcp::socket Peer) {
    if (Connections.size() >= Settings.MaxConnections)
      return;
    auto Client = std::make_shared<Connection>(std::move(Peer));
    Connections.insert(Client);
    OpenConnections.Set(static_cast<double>(Connections.size()));
    asio::co_spawn(Executor, serveConnection(Client), asio::detached);
  }

  asio::awaitable<void> serveConnection(std::shared_ptr<Connection> Client) {
    try {
      while (co_await serveRequest(Client))
        Client->Idle = true;
    } catch (const std::exception &Failure) {
      base::logger("operator")
          ->warn("operator connection failed reason=\"{}\"", Failure.what());
    }
    Client->close();
    Connections.erase(Client);
    OpenConnections.Set(static_cast<double>(Connections.size()));
    ConnectionEnded.notifyAll();
  }

  /// Returns whether the connection can be used for another request.
  asio::awaitable<bool> serveRequest(std::shared_ptr<Connection> Client) {
    Parser Input;
    Input.header_limit(MaxOperatorHeaderBytes);
    Input.body_limit(Settings.MaxBodyBytes);
    if (Stopping && !Client->hasPendingData())
      co_return false;
    if (!co_await waitForRequest(Client))
      co_return false;
    Client->Idle = false;
    BufferReservation Buffered(BufferedBytes);
    bool Overloaded = false;
    auto Code = co_await base::withTimeout(
        Time, Settings.TransferTimeout,
        readRequest(Client, Input, Buffered, Overloaded));
    if (Overloaded) {
      co_await write(Client, toHttpResponse(overloadResponse(), 11, false));
      co_return false;
    }
    if (!Code)
      co_return false;
    if (*Code) {
      auto Refusal = errorResponseFor(*Code);
      if (Refusal)
        co_await write(Client, toHttpResponse(std::move(*Refusal), 11, false));
      co_return false;
    }
    http::request<http::string_body> Request = Input.release();
    unsigned Version = Request.version();
    bool MayKeepAlive = Request.keep_alive();
    ApiRequest Call = toApiRequest(std::move(Request));
    ApiResponse Answer = co_await Api.handle(std::move(Call));
    if (!Buffered.resize(Answer.Body.size(), Settings.MaxBufferedBytes))
      Answer = overloadResponse();
    bool KeepAlive = MayKeepAlive && !Stopping;
    bool Sent = co_await write(
        Client, toHttpResponse(std::move(Answer), Version, KeepAlive));
    co_return Sent &&KeepAlive;
  }

  /// Returns false on a timeout or if the peer closed the connection.
  asio::awaitable<bool> waitForRequest(std::shared_ptr<Connection> Client) {
    if (Client->Buffer.size() > 0)
      co_return true;
    auto Code = co_await base::withTimeout(Time, Settings.IdleTimeout,
                                           waitReadable(Client));
    co_return Code && !*Code;
  }

  static asio::awaitable<boost::system::error_code>
  waitReadable(std::shared_ptr<Connection> Client) {
    auto [Code] =
        co_await Client->Socket.async_wait(tcp::socket::wait_read, AsTuple);
    co_return Code;
  }

  /// Reads the header first, so that a request whose Content-Length is too
  /// large is rejected without reading the body. Sets `Overloaded` if the body
  /// does not fit into `MaxBufferedBytes` now.
  asio::awaitable<boost::system::error_code>
  readRequest(std::shared_ptr<Connection> Client, Parser &Input,
              BufferReservation &Buffered, bool &Overloaded) {
    auto [Code, Count] = co_await http::async_read_header(
        Client->Socket, Client->Buffer, Input, AsTuple);
    if (Code || Input.is_done())
      co_return Code;
    std::size_t Expected =
        Input.content_length().value_or(Settings.MaxBodyBytes);
    Overloaded = !Buffered.resize(Expected, Settings.MaxBufferedBytes);
    if (Overloaded)
      co_return boost::system::error_code();
    if (Input.get()[http::field::expect] == "100-continue") {
      http::response<http::empty_body> Continue(http::status::continue_, 11);
      auto [WriteCode, Written] =
          co_await http::async_write(Client->Socket, Continue, AsTuple);
      if (WriteCode)
        co_return WriteCode;
    }
    auto [BodyCode, BodyCount] = co_await http::async_read(
        Client->Socket, Client->Buffer, Input, AsTuple);
    co_return BodyCode;
  }

  asio::awaitable<bool> write(std::shared_ptr<Connection> Client,
                              Response Output) {
    auto Code = co_await base::withTimeout(Time, Settings.TransferTimeout,
                                           writeAll(Client, Output));
    co_return Code && !*Code;
  }

  static asio::awaitable<boost::system::error_code>
  writeAll(std::shared_ptr<Connection> Client, Response &Output) {
    auto [Code, Count] =
        co_await http::async_write(Client->Socket, Output, AsTuple);
    co_return Code;
  }

  void stop() {
    if (std::exchange(Stopping, true))
      return;
    boost::system::error_code Ignored;
    // Closing the listening socket would reset the requests in the accept
    // queue.
    Acceptor.non_blocking(true, Ignored);
    base::acceptWaiting(Acceptor, [this](tcp::socket Waiting) {
      startConnection(std::move(Waiting));
    });
    Acceptor.close(Ignored);
    for (const auto &Client : Connections)
      if (Client->Idle && !Client->hasPendingData())
        Client->close();
  }

  asio::awaitable<bool> drain(base::Millis Limit) {
    constexpr base::Millis PollInterval = base::Millis(20);
    stop();
    base::TimePoint End = Time.now() + Limit;
    while (!Connections.empty() && Time.now() < End)
      co_await Time.sleepFor(PollInterval);
    co_return Connections.empty();
  }

  asio::any_io_executor Executor;
  base::Clock &Time;
  std::unique_ptr<ApiHandler> OwnedApi;
  ApiHandler &Api;
  OperatorServerSettings Settings;
  tcp::acceptor Acceptor;
  base::Signal ConnectionEnded;
  prometheus::Gauge &OpenConnections;
  std::set<std::shared_ptr<Connection>> Connections;
  /// Sizes of the bodies in memory.
  std::size_t BufferedBytes = 0;
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

asio::awaitable<void> OperatorServer::run() { return Self->acceptLoop(); }

void OperatorServer::stop() { Self->stop(); }

asio::awaitable<bool> OperatorServer::drain(base::Millis Limit) {
  return Self->drain(Limit);
}

} // namespace amaranth::control
