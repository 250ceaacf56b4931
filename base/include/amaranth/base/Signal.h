#ifndef AMARANTH_BASE_SIGNAL_H
#define AMARANTH_BASE_SIGNAL_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>

namespace amaranth::base {

/// Wakes coroutines that wait for a change of some state.
///
/// Single-threaded: check the state, then `co_await wait()`, in a loop. There
/// is no suspension between the check and the registration of the wait, so
/// no notification is lost. A `Signal` may be destroyed while coroutines
/// wait on it; they resume with `operation_aborted` thrown.
class Signal {
public:
  explicit Signal(const boost::asio::any_io_executor &Executor);
  ~Signal();
  Signal(const Signal &) = delete;
  Signal &operator=(const Signal &) = delete;

  /// Resumes at the next `notifyAll`. Throws `boost::system::system_error`
  /// with `operation_aborted` when the waiting coroutine is cancelled.
  boost::asio::awaitable<void> wait();

  /// As `wait`, and resumes at `Deadline` of the steady clock at the latest.
  boost::asio::awaitable<void>
  waitUntil(std::chrono::steady_clock::time_point Deadline);

  /// Wakes every coroutine that waits now.
  void notifyAll();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace amaranth::base

#endif
