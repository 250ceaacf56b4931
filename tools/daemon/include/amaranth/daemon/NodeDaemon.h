#ifndef AMARANTH_DAEMON_NODEDAEMON_H
#define AMARANTH_DAEMON_NODEDAEMON_H

#include "amaranth/base/Clock.h"
#include "amaranth/daemon/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace amaranth::daemon {

class EventLoop;

/// Creates and connects the components of a node.
class NodeDaemon {
public:
  /// Binds all addresses. Throws `base::FileError` if a key file is unusable
  /// and `boost::system::system_error` if an address cannot be bound. `Loop`
  /// and `Time` must outlive the daemon.
  NodeDaemon(NodeSettings Settings, EventLoop &Loop, base::Clock &Time);
  ~NodeDaemon();

  /// Starts all tasks.
  void start();

  /// Applies the control processes of new settings. Other changes require a
  /// restart.
  void reload(const NodeSettings &Settings);

  /// Stops accepting callers, rejects new work for the local upstream and
  /// waits up to the shutdown timeout for requests in flight.
  boost::asio::awaitable<void> stop();

private:
  struct Parts;
  std::unique_ptr<Parts> Self;
};

} // namespace amaranth::daemon

#endif
