#ifndef AMARANTH_DAEMON_CONTROLDAEMON_H
#define AMARANTH_DAEMON_CONTROLDAEMON_H

#include "amaranth/base/Clock.h"
#include "amaranth/daemon/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace amaranth::daemon {

class EventLoop;

/// Creates and connects the components of a control process.
class ControlDaemon {
public:
  /// Opens the data folder and binds all addresses. Throws `base::Error` if
  /// the data folder or a key file is unusable and
  /// `boost::system::system_error` if an address cannot be bound. `Loop` and
  /// `Time` must outlive the daemon.
  ControlDaemon(ControlSettings Settings, EventLoop &Loop, base::Clock &Time);
  ~ControlDaemon();

  /// Starts all tasks.
  void start();

  /// Applies the seeds of new settings. Other changes require a restart.
  void reload(const ControlSettings &Settings);

  /// Stops accepting operators, lets their requests in progress complete and
  /// closes the connections to other processes.
  boost::asio::awaitable<void> stop();

private:
  struct Parts;
  std::unique_ptr<Parts> Self;
};

} // namespace amaranth::daemon

#endif
