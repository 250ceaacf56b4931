#ifndef AMARANTH_CONTROL_OPERATORSERVER_H
#define AMARANTH_CONTROL_OPERATORSERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/control/OperatorApi.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace amaranth::control {

/// Largest request body and header of the operators' interface, in bytes.
inline constexpr std::size_t MaxOperatorBodyBytes = 1U << 20U;
inline constexpr std::size_t MaxOperatorHeaderBytes = 16U << 10U;

struct OperatorServerSettings {
  /// Port 0 takes a free port.
  base::Address Listen;
  /// Further connections are closed at once.
  std::size_t MaxConnections = 256;
  /// Time for a whole request to arrive, and for a response to be taken.
  base::Millis TransferTimeout = base::Millis::seconds(10);
  /// Time that a connection may wait for its next request.
  base::Millis IdleTimeout = base::Millis::seconds(30);
  /// Largest request body in bytes.
  std::size_t MaxBodyBytes = MaxOperatorBodyBytes;
  ApiTimeouts Api;
};

/// Serves `OperatorApi`, or another `ApiHandler`, over HTTP/1.1.
/// Single-threaded.
class OperatorServer {
public:
  /// Opens the listening socket; throws `boost::system::system_error`. The
  /// references must outlive the object.
  OperatorServer(const boost::asio::any_io_executor &Executor,
                 base::Clock &Time, replication::ReplicatedLog &Log,
                 const ControlState &State, const StatusSource &Nodes,
                 MembershipControl &Members, OperatorKeys Keys,
                 prometheus::Registry &Metrics,
                 OperatorServerSettings Settings);
  /// The same for any interface; `Api` must outlive the object.
  OperatorServer(const boost::asio::any_io_executor &Executor,
                 base::Clock &Time, ApiHandler &Api,
                 prometheus::Registry &Metrics,
                 OperatorServerSettings Settings);
  ~OperatorServer();
  OperatorServer(const OperatorServer &) = delete;
  OperatorServer &operator=(const OperatorServer &) = delete;

  /// The address in use.
  base::Address address() const;

  /// Accepts connections until `stop`, and returns when all of them have
  /// ended. Call once; the object must outlive the run.
  boost::asio::awaitable<void> run();

  /// Stops accepting and closes the connections that wait for a request;
  /// requests that are being answered finish.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace amaranth::control

#endif
