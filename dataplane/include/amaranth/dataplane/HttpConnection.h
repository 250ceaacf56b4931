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
  /// Length in bytes, or `UnknownLength` for a chunked body; 0 without a body.
  std::int64_t BodyLength = 0;
};

/// Checks that the head defines the message length unambiguously and has
/// exactly one Host field, as RFC 9112 requires. Throws `HttpError` with 400.
void checkFraming(const HttpRequest &Request);

/// Thrown for a request that cannot be served; `Status` is the response status.
class HttpError : public base::Error {
public:
  HttpError(unsigned Status, const std::string &Text)
      : base::Error(Text), Status(Status) {}

  unsigned status() const { return Status; }

private:
  unsigned Status;
};

/// Server side of one HTTP/1.1 connection.
///
/// Not thread-safe. One task may read the request body while another writes
/// the response. Operations throw `boost::system::system_error` if the
/// connection fails.
class HttpConnection {
public:
  HttpConnection(boost::asio::ip::tcp::socket Socket, base::Clock &Time,
                 base::Millis StallTimeout);
  ~HttpConnection();

  /// Reads the next request head; returns `std::nullopt` if the client closed
  /// the connection between requests. Throws `HttpError` on a malformed or
  /// oversized head.
  boost::asio::awaitable<std::optional<HttpRequest>>
  readRequest(base::Millis Timeout);

  /// Reads the next part of the body; returns 0 at its end. Sends
  /// `100 Continue` before the first part if the client expects it.
  boost::asio::awaitable<std::size_t> readBody(std::span<std::uint8_t> Into);
  bool bodyComplete() const;

  /// `BodyLength` is as in `ResponseHead`. `writeBody` discards its data for
  /// HEAD requests and for statuses that have no body.
  boost::asio::awaitable<void> writeHead(unsigned Status, Headers Fields,
                                         std::int64_t BodyLength);
  boost::asio::awaitable<void> writeBody(base::ByteView Data);
  boost::asio::awaitable<void> writeEnd();
  /// Writes a complete response.
  boost::asio::awaitable<void> respond(unsigned Status, Headers Fields,
                                       std::string Body);

  /// Calls `OnClosed` once if the client closes the connection before
  /// `stopWatchingForClose`. Requires that the request body is complete. Bytes
  /// of the next request do not count as closed; the end of the connection is
  /// noticed behind up to 16 KiB of them.
  void watchForClose(std::function<void()> OnClosed);
  void stopWatchingForClose();
  /// True if the client has closed the connection. Queries the socket directly,
  /// whereas `watchForClose` reports only after the events already queued.
  bool closed() const;

  /// True if bytes have been received that belong to no request read so far.
  bool hasPendingData() const;
  /// Ends a pending `readRequest` at the next check of `abortIfStalled` after
  /// `Timeout`, unless it ends earlier.
  void limitRequestWait(base::Millis Timeout);

  /// True if the response is complete and another request may follow.
  bool reusable() const;
  bool headWritten() const;
  /// Closes the connection after the current response.
  void closeAfterResponse();
  /// Closes the connection immediately. Resets it if the response is
  /// incomplete, so that the client can detect the truncation. Otherwise
  /// discards what has been received, so that it is not reset.
  void abort();
  /// Aborts if a read from or a write to the client has timed out.
  void abortIfStalled();
  boost::asio::ip::tcp::endpoint local() const;
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
    /// Timeout for a request head, from the end of the previous response.
    base::Millis HeadTimeout = base::Millis::seconds(30);
    /// Timeout without progress on a read from or a write to the client.
    base::Millis StallTimeout = base::Millis::seconds(30);
    /// Time that a new connection has for its first request after
    /// `stopGracefully`.
    base::Millis FirstRequestTime = base::Millis(500);
  };
  /// Serves one request by writing a response. The connection is aborted if
  /// the handler throws after writing the head.
  using Handler = std::function<boost::asio::awaitable<void>(
      std::shared_ptr<HttpConnection>, HttpRequest)>;

  /// Binds immediately; port 0 selects a free port. Throws
  /// `boost::system::system_error` if the address cannot be bound.
  HttpServer(const boost::asio::any_io_executor &Executor,
             const base::Address &Local, Limits Bounds, base::Clock &Time);
  ~HttpServer();

  base::Address local() const;
  /// Accepts connections until `stop`; serves each one in its own task.
  boost::asio::awaitable<void> serve(Handler Handle);
  /// Sets the timeout for the request heads that are read from now on.
  void setHeadTimeout(base::Millis Timeout);
  /// From now on, each response announces that its connection closes.
  void closeAfterResponses();
  /// Stops accepting. Closes idle connections immediately and active ones
  /// after their response.
  void stop();
  /// Like `stop`, but serves every request that has already arrived, also on
  /// connections in the accept queue. A connection that has not carried a
  /// request yet is closed after `FirstRequestTime` without one.
  void stopGracefully();
  std::size_t connections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::dataplane

#endif
