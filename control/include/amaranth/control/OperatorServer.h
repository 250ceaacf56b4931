#ifndef AMARANTH_CONTROL_OPERATORSERVER_H
#define AMARANTH_CONTROL_OPERATORSERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/control/OperatorApi.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace amaranth::control {

/// Maximum sizes of request bodies and headers of the operators' interface.
inline constexpr std::size_t MaxOperatorBodyBytes = 1U << 20U;
inline constexpr std::size_t MaxOperatorHeaderBytes = 16U << 10U;

struct OperatorServerSettings {
  /// Address to listen on; port 0 selects a free port.
  base::Address Listen;
  /// Connections above this limit are closed immediately.
  std::size_t MaxConnections = 256;
  /// Time limit for receiving a request, and for sending a response.
  base::Millis TransferTimeout = base::Millis::seconds(10);
  /// Time after which a connection without a request is closed.
  base::Millis IdleTimeout = base::Millis::seconds(30);
  /// Maximum size of a request body.
  std::size_t MaxBodyBytes = MaxOperatorBodyBytes;
  /// Maximum size of all bodies of requests and responses that are in memory,
  /// in bytes, at least `MaxBodyBytes`. A request above this limit gets 503 at
  /// once. A body of unknown length counts as `MaxBodyBytes`.
  std::size_t MaxBufferedBytes = 16U << 20U;
  ApiTimeouts Api;
};

/// Serves an `OperatorApi` or another `ApiHandler` over HTTP/1.1. Not
/// thread-safe.
class OperatorServer {
public:
  /// Serves an `OperatorApi`. Opens the listening socket and throws
  /// `boost::system::system_error` on failure. The references must outlive the
  /// object.
  OperatorServer(const boost::asio::any_io_executor &Executor,
                 base::Clock &Time, replication::ReplicatedLog &Log,
                 const ControlState &State, const StatusSource &Nodes,
                 MembershipControl &Members, OperatorKeys Keys,
                 prometheus::Registry &Metrics,
                 OperatorServerSettings Settings);
  /// Like the constructor above, but serves `Api`, which must outlive the
  /// object.
  OperatorServer(const boost::asio::any_io_executor &Executor,
                 base::Clock &Time, ApiHandler &Api,
                 prometheus::Registry &Metrics,
                 OperatorServerSettings Settings);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// The address that the server listens on.
  base::Address address() const;

  /// Accepts connections until `stop` is called and returns once all of them
  /// have ended. Must be called at most once; the object must outlive the call.
  boost::asio::awaitable<void> run();

  /// Stops accepting connections and closes idle ones. Requests that have
  /// arrived complete, also on connections in the accept queue.
  void stop();
  /// Calls `stop` and waits until all connections have ended, for `Limit` at
  /// most. Returns whether they have. The object must outlive the call.
  boost::asio::awaitable<bool> drain(base::Millis Limit);

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace amaranth::control

#endif
