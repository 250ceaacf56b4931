#ifndef AMARANTH_DAEMON_SHUTDOWN_H
#define AMARANTH_DAEMON_SHUTDOWN_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

namespace amaranth::daemon {

/// Runs the event loop of a daemon.
///
/// The first SIGTERM or SIGINT starts `GracefulStop`; the loop is stopped
/// when `GracefulStop` returns. A second signal stops the loop immediately.
/// An exception thrown by a task started with `spawnEssential` ends the process
/// with exit code 1.
class EventLoop {
public:
  EventLoop() : Context(1) {}

  boost::asio::io_context &context() { return Context; }

  /// Starts a task whose failure ends the process.
  void spawnEssential(const char *Name, boost::asio::awaitable<void> Task);

  /// Runs the loop and returns the exit code of the process: 0 after a graceful
  /// stop, 1 after the failure of an essential task, 3 after a second signal.
  int run(std::function<boost::asio::awaitable<void>()> GracefulStop);

private:
  boost::asio::awaitable<void>
  awaitSignals(std::function<boost::asio::awaitable<void>()> GracefulStop);
  void stopLoop(int Code);

  boost::asio::io_context Context;
  int ExitCode = 0;
  bool Stopping = false;
};

} // namespace amaranth::daemon

#endif
