#ifndef AMARANTH_DATAPLANE_HTTPCONNECTION_H
#define AMARANTH_DATAPLANE_HTTPCONNECTION_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Error.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace amaranth::dataplane {

struct HttpRequest {
  std::string Method;
  std::string Target;
  Headers Fields;
  /// Bytes, or `UnknownLength` for a chunked body; 0 when there is none.
  std::int64_t BodyLength = 0;
};

/// Checks that the head says unambiguously where its message ends and names
/// one host, as RFC 9112 demands. Throws `HttpError` with 400.
void checkFraming(const HttpRequest &Request);

/// A request that cannot be served; `Status` is the answer.
class HttpError : public base::Error {
public:
  HttpError(unsigned Status, const std::string &Text)
      : base::Error(Text), Status(Status) {}

  unsigned status() const { return Status; }

private:
  unsigned Status;
};

/// The server's side of one HTTP/1.1 connection.
///
/// Single-threaded. One task may read the body of a request while another
/// one writes the response. Operations throw `boost::system::system_error`
/// when the connection fails.
class HttpConnection {
public:
  HttpConnection(boost::asio::ip::tcp::socket Socket, base::Clock &Time,
                 base::Millis StallTimeout);
  ~HttpConnection();

  /// The next request head, or nothing when the client closed between
  /// requests. Throws `HttpError` on a malformed or oversized head.
  boost::asio::awaitable<std::optional<HttpRequest>>
  readRequest(base::Millis Timeout);

  /// Reads the next part of the body; 0 at its end. Sends `100 Continue`
  /// before the first part when the client waits for it.
  boost::asio::awaitable<std::size_t> readBody(std::span<std::uint8_t> Into);
  bool bodyComplete() const;

  /// `BodyLength` as in `ResponseHead`. No body follows for HEAD requests and
  /// for statuses without one, whatever is passed to `writeBody`.
  boost::asio::awaitable<void> writeHead(unsigned Status, Headers Fields,
                                         std::int64_t BodyLength);
  boost::asio::awaitable<void> writeBody(base::ByteView Data);
  boost::asio::awaitable<void> writeEnd();
  /// A whole response with a body.
  boost::asio::awaitable<void> respond(unsigned Status, Headers Fields,
                                       std::string Body);

  /// Calls `OnClosed` when the client closes the connection. Only once the
  /// request body is complete; until `stopWatchingForClose`.
  void watchForClose(std::function<void()> OnClosed);
  void stopWatchingForClose();
  /// True when the client has closed the connection by now. Tells at once what
  /// `watchForClose` tells after the events that are waiting already.
  bool closed() const;

  /// True when the response is complete and another request may follow.
  bool reusable() const;
  bool headWritten() const;
  /// The connection ends after the current response.
  void closeAfterResponse();
  /// Ends the connection at once. A response that is incomplete is seen as
  /// such by the client, because the connection is reset.
  void abort();
  /// Aborts when an operation that depends on the client takes too long.
  void abortIfStalled();
  boost::asio::ip::tcp::endpoint peer() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

/// Accepts HTTP/1.1 connections and reads their requests.
class HttpServer {
public:
  struct Limits {
    std::size_t MaxConnections = 10'000;
    /// Time for a request head, from the end of the last response.
    base::Millis HeadTimeout = base::Millis::seconds(30);
    /// Time without progress while the client is read from or written to.
    base::Millis StallTimeout = base::Millis::seconds(30);
  };
  /// Serves one request by writing a response. The connection is aborted
  /// when the handler throws after the head was written.
  using Handler = std::function<boost::asio::awaitable<void>(
      std::shared_ptr<HttpConnection>, HttpRequest)>;

  /// Binds at once; port 0 takes a free port. Throws
  /// `boost::system::system_error` when the address cannot be bound.
  HttpServer(const boost::asio::any_io_executor &Executor,
             const base::Address &Local, Limits Bounds, base::Clock &Time);
  ~HttpServer();

  base::Address local() const;
  /// Accepts until `stop`; each connection runs in its own task.
  boost::asio::awaitable<void> serve(Handler Handle);
  /// Time for a request head, from now on.
  void setHeadTimeout(base::Millis Timeout);
  /// Tells callers with each response that its connection ends.
  void closeAfterResponses();
  /// Stops accepting. Idle connections are closed, active ones after their
  /// response.
  void stop();
  std::size_t connections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::dataplane

#endif
