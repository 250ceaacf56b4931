#ifndef AMARANTH_DATAPLANE_UPSTREAMCLIENT_H
#define AMARANTH_DATAPLANE_UPSTREAMCLIENT_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Messages.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <span>

namespace amaranth::dataplane {

/// A call to the upstream failed.
class UpstreamError : public base::Error {
public:
  /// `Sent` is false only when no byte of the request left this process.
  UpstreamError(bool Sent, RefusalReason Reason, const std::string &Text)
      : base::Error(Text), Sent(Sent), Reason(Reason) {}

  bool sent() const { return Sent; }
  RefusalReason reason() const { return Reason; }

private:
  bool Sent;
  RefusalReason Reason;
};

/// One request to the upstream. One task may write the request body while
/// another one reads the response. All functions throw `UpstreamError`.
class UpstreamCall {
public:
  virtual ~UpstreamCall() = default;

  virtual boost::asio::awaitable<void> writeBody(base::ByteView Data) = 0;
  virtual boost::asio::awaitable<void> writeEnd() = 0;
  /// Informational heads are skipped. A head without a length has a body that
  /// ends with the connection.
  virtual boost::asio::awaitable<ResponseHead> readHead() = 0;
  /// Reads the next part of the response body; 0 at its end. A body that is
  /// shorter than announced is an error.
  virtual boost::asio::awaitable<std::size_t>
  readBody(std::span<std::uint8_t> Into) = 0;
  /// Reads the rest of a response that belongs to another request. The next
  /// head may be the right one; the connection is not used again.
  virtual boost::asio::awaitable<void> skipResponse() = 0;
  /// From here on the call fails with `RefusalReason::DeadlineExceeded`, to the
  /// precision of `UpstreamClient::abortExpiredCalls`.
  virtual void setDeadline(base::TimePoint Deadline) = 0;
  /// Closes the connection unless the whole response was read; pending
  /// operations fail.
  virtual void abort() = 0;
};

/// HTTP/1.1 client to the local upstream with a pool of connections.
///
/// A connection returns to the pool only after the whole request was written
/// and the whole response was read. A response without a length is complete
/// when its connection ends in order, and broken when it is reset.
class UpstreamClient {
public:
  struct Settings {
    base::Millis ConnectTimeout = base::Millis(1000);
    /// Longest time without a byte from the upstream.
    base::Millis ReadTimeout = base::Millis::seconds(30);
    std::size_t MaxIdleConnections = 256;
    /// A connection that was idle for longer is not used again: an upstream
    /// may have dropped it without a notice.
    base::Millis MaxIdleAge = base::Millis::seconds(4);
    /// The same for requests that may run once only, where a dropped
    /// connection leaves the outcome unknown.
    base::Millis MaxIdleAgeAtMostOnce = base::Millis(1000);
    /// Longest time from the end of a connection until the listening socket
    /// of a dying process is closed. The kernel closes the descriptors of a
    /// process one after the other within a few milliseconds; 50 ms also
    /// covers a busy machine.
    base::Millis ListenerCloseTimeout = base::Millis(50);
  };

  /// `Time` must outlive the client and its calls.
  UpstreamClient(const boost::asio::any_io_executor &Executor, Settings Options,
                 base::Clock &Time);
  ~UpstreamClient();

  /// Another address drops the pooled connections.
  void setAddress(const base::Address &Upstream);
  /// Connects when needed and writes the head. `BodyLength` decides the
  /// framing of the body. `AtMostOnce` tells that the request may run once
  /// only.
  boost::asio::awaitable<std::shared_ptr<UpstreamCall>>
  begin(std::string Method, std::string Target, Headers Fields,
        std::int64_t BodyLength, bool AtMostOnce);
  /// True when a new connection is refused, which means that no process
  /// listens; false when it is accepted or nothing is known.
  boost::asio::awaitable<bool> refusesConnections();
  void closeIdleConnections();
  /// Ends the calls whose deadline passed or whose upstream has been silent
  /// for too long. To be called a few times a second: one timer for all calls
  /// costs less than one for each read.
  void abortExpiredCalls();
  std::size_t idleConnections() const;

  /// The calls that are under way.
  struct ActiveCalls;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::dataplane

#endif
