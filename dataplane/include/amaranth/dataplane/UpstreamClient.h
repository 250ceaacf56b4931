#ifndef AMARANTH_DATAPLANE_UPSTREAMCLIENT_H
#define AMARANTH_DATAPLANE_UPSTREAMCLIENT_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Messages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <span>

namespace amaranth::dataplane {

/// Thrown when a call to the upstream fails.
class UpstreamError : public base::Error {
public:
  /// `Sent` is false only if no byte of the request has left this process.
  UpstreamError(bool Sent, RefusalReason Reason, const std::string &Text)
      : base::Error(Text), Sent(Sent), Reason(Reason) {}

  bool sent() const { return Sent; }
  RefusalReason reason() const { return Reason; }

private:
  bool Sent;
  RefusalReason Reason;
};

/// One request to the upstream. One task may write the request body while
/// another reads the response. All functions throw `UpstreamError`.
class UpstreamCall {
public:
  virtual ~UpstreamCall() = default;

  virtual boost::asio::awaitable<void> writeBody(base::ByteView Data) = 0;
  virtual boost::asio::awaitable<void> writeEnd() = 0;
  /// Reads the head of the final response and skips informational ones, up to a
  /// limit. Without a length, the body extends to the end of the connection.
  virtual boost::asio::awaitable<ResponseHead> readHead() = 0;
  /// Reads the next part of the response body; returns 0 at its end. Throws if
  /// the body is shorter than its declared length.
  virtual boost::asio::awaitable<std::size_t>
  readBody(std::span<std::uint8_t> Into) = 0;
  /// Discards the rest of a response that belongs to another request. The next
  /// head may be the matching one. The connection is not reused. Throws if the
  /// responses that were skipped exceed a limit in number or size.
  virtual boost::asio::awaitable<void> skipResponse() = 0;
  /// True if no response precedes the current one on its connection.
  virtual bool isFirstResponse() const = 0;
  /// After `Deadline` the call fails with `RefusalReason::DeadlineExceeded`.
  /// The precision is that of the calls to `UpstreamClient::abortExpiredCalls`.
  virtual void setDeadline(base::TimePoint Deadline) = 0;
  /// Closes the connection unless it has returned to the pool; pending
  /// operations fail.
  virtual void abort() = 0;
};

/// HTTP/1.1 client for the local upstream with a connection pool.
///
/// A connection returns to the pool only after the whole request was written
/// and the whole response was read. A response without a length is complete if
/// its connection is closed normally, and truncated if it is reset.
class UpstreamClient {
public:
  struct Settings {
    base::Millis ConnectTimeout = base::Millis(1000);
    /// Maximum time without data from the upstream during a read.
    base::Millis ReadTimeout = base::Millis::seconds(30);
    std::size_t MaxIdleConnections = 256;
    /// Maximum idle time of a connection before reuse. The upstream may have
    /// dropped an older one without closing it.
    base::Millis MaxIdleAge = base::Millis::seconds(4);
    /// The same limit for at-most-once requests, where a dropped connection
    /// leaves the outcome unknown.
    base::Millis MaxIdleAgeAtMostOnce = base::Millis(1000);
    /// Maximum time between the end of a connection and the close of the
    /// listening socket when a process exits. The kernel closes the descriptors
    /// of a process one by one within a few milliseconds; 50 ms also covers a
    /// busy machine.
    base::Millis ListenerCloseTimeout = base::Millis(50);
  };

  /// `Time` must outlive the client and its calls.
  UpstreamClient(const boost::asio::any_io_executor &Executor, Settings Options,
                 base::Clock &Time);
  ~UpstreamClient();

  /// Sets the address. Closes the pooled connections if it changed.
  void setAddress(const base::Address &Upstream);
  /// Provides the header fields of a request.
  using FieldSource = std::function<Headers()>;

  /// Writes the head, on a new connection if no pooled one is usable. Calls
  /// `Fields` after the connection is open, right before the head is written:
  /// the deadline in it is current then. If it throws an `UpstreamError`,
  /// nothing is sent and the error is passed on.
  /// `BodyLength` determines the framing of the body. `AtMostOnce` means that
  /// the request must not be executed more than once.
  boost::asio::awaitable<std::shared_ptr<UpstreamCall>>
  begin(std::string Method, std::string Target, FieldSource Fields,
        std::int64_t BodyLength, bool AtMostOnce);
  /// True if a new connection is refused, that is, no process listens. False if
  /// it is accepted or the result is unknown.
  boost::asio::awaitable<bool> refusesConnections();
  void closeIdleConnections();
  /// True if the upstream keeps a connection open. A process that ends closes
  /// all of its connections, so it has not been restarted then.
  bool hasOpenConnection() const;
  /// True once after the upstream has closed all connections although the last
  /// one was used a short time ago: it may have been restarted.
  bool takeConnectionsLost();
  /// Aborts the calls past their deadline or read timeout. Must be called a few
  /// times a second: one timer for all calls costs less than one per read.
  void abortExpiredCalls();
  std::size_t idleConnections() const;

  /// Calls in progress.
  struct ActiveCalls;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::dataplane

#endif
