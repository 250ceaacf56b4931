#ifndef AMARANTH_DAEMON_NODEDAEMON_H
#define AMARANTH_DAEMON_NODEDAEMON_H

#include "amaranth/base/Clock.h"
#include "amaranth/daemon/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace amaranth::daemon {

class EventLoop;

/// The parts of one node, connected with each other.
class NodeDaemon {
public:
  /// Binds all addresses. Throws `base::FileError` for a key file that cannot
  /// be used and `boost::system::system_error` for an address that cannot be
  /// bound. `Loop` and `Time` must outlive the daemon.
  NodeDaemon(NodeSettings Settings, EventLoop &Loop, base::Clock &Time);
  ~NodeDaemon();

  /// Starts all tasks.
  void start();

  /// Takes over the control processes of new settings; the rest needs a
  /// restart.
  void reload(const NodeSettings &Settings);

  /// Accepts no more callers, refuses new work for the local upstream, and
  /// waits for requests in flight, at most the shutdown timeout.
  boost::asio::awaitable<void> stop();

private:
  struct Parts;
  std::unique_ptr<Parts> Self;
};

} // namespace amaranth::daemon

#endif
