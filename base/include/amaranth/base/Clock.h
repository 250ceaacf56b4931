#ifndef AMARANTH_BASE_CLOCK_H
#define AMARANTH_BASE_CLOCK_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/Signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace amaranth::base {

/// The only source of time in the project. Code that waits does so through
/// `sleepUntil`, so that a test with a `ManualClock` runs without waiting.
class Clock {
public:
  virtual ~Clock() = default;

  virtual TimePoint now() const = 0;
  virtual WallTime wallNow() const = 0;
  virtual BootTime bootNow() const = 0;

  /// Resumes at or after `Deadline`. Must be awaited on an executor of the
  /// thread that owns the clock. Throws `boost::system::system_error` with
  /// `operation_aborted` when the awaiting coroutine is cancelled.
  virtual boost::asio::awaitable<void> sleepUntil(TimePoint Deadline) = 0;

  /// Waits for the signal, until `Deadline` at the latest. Unlike
  /// `withTimeout` around a wait, it throws no exception on the way, which
  /// matters where it happens for each request.
  virtual boost::asio::awaitable<void> waitFor(Signal &Awaited,
                                               TimePoint Deadline);

  boost::asio::awaitable<void> sleepFor(Millis Span) {
    return sleepUntil(now() + Span);
  }
};

/// The clock of the operating system.
class SystemClock final : public Clock {
public:
  TimePoint now() const override;
  WallTime wallNow() const override;
  BootTime bootNow() const override;
  boost::asio::awaitable<void> sleepUntil(TimePoint Deadline) override;
  boost::asio::awaitable<void> waitFor(Signal &Awaited,
                                       TimePoint Deadline) override;
};

/// A clock that moves only when a test moves it.
///
/// Single-threaded: use it from the thread that runs the `io_context`.
class ManualClock final : public Clock {
public:
  explicit ManualClock(WallTime Start = WallTime(1'700'000'000'000))
      : Wall(Start) {}

  TimePoint now() const override { return Now; }
  WallTime wallNow() const override { return Wall; }
  BootTime bootNow() const override { return BootTime(Now.count()); }
  boost::asio::awaitable<void> sleepUntil(TimePoint Deadline) override;

  /// Moves time forward and wakes the sleepers that are due. They resume
  /// when the `io_context` is polled next.
  void advance(Millis Span);

  /// The earliest deadline of a sleeper, or `TimePoint::max()` when none.
  TimePoint nextDeadline() const;

private:
  using Sleeper = std::shared_ptr<boost::asio::steady_timer>;

  TimePoint Now{0};
  WallTime Wall;
  std::multimap<TimePoint, Sleeper> Sleepers;
};

} // namespace amaranth::base

#endif
