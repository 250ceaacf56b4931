#ifndef AMARANTH_DAEMON_CONTROLDAEMON_H
#define AMARANTH_DAEMON_CONTROLDAEMON_H

#include "amaranth/base/Clock.h"
#include "amaranth/daemon/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace amaranth::daemon {

class EventLoop;

/// The parts of one control process, connected with each other.
class ControlDaemon {
public:
  /// Opens the data folder and binds all addresses. Throws `base::Error` for
  /// a data folder or key file that cannot be used and
  /// `boost::system::system_error` for an address that cannot be bound.
  /// `Loop` and `Time` must outlive the daemon.
  ControlDaemon(ControlSettings Settings, EventLoop &Loop, base::Clock &Time);
  ~ControlDaemon();

  /// Starts all tasks.
  void start();

  /// Takes over the seeds of new settings; the rest needs a restart.
  void reload(const ControlSettings &Settings);

  /// Answers the operators' requests in flight and leaves the cluster's
  /// connections.
  boost::asio::awaitable<void> stop();

private:
  struct Parts;
  std::unique_ptr<Parts> Self;
};

} // namespace amaranth::daemon

#endif
