#include "amaranth/base/Clock.h"

#include "amaranth/base/Timeout.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>

namespace asio = boost::asio;

namespace amaranth::base {

TimePoint SystemClock::now() const {
  auto SinceStart = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceStart)
          .count());
}

WallTime SystemClock::wallNow() const {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return WallTime(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

BootTime SystemClock::bootNow() const {
  timespec Now{};
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  constexpr std::int64_t NanosPerMilli = 1'000'000;
  return BootTime(Millis::seconds(Now.tv_sec).count() +
                  Now.tv_nsec / NanosPerMilli);
}

asio::awaitable<void> SystemClock::sleepUntil(TimePoint Deadline) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::milliseconds(Deadline.count())));
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Clock::waitFor(Signal &Awaited, TimePoint Deadline) {
  co_await withTimeout(*this, Deadline - now(), Awaited.wait());
}

asio::awaitable<void> SystemClock::waitFor(Signal &Awaited,
                                           TimePoint Deadline) {
  // Far deadlines would overflow the clock's nanoseconds.
  constexpr Millis Longest = Millis::seconds(86'400);
  TimePoint Until = std::min(Deadline, now() + Longest);
  co_await Awaited.waitUntil(std::chrono::steady_clock::time_point(
      std::chrono::milliseconds(Until.count())));
}

asio::awaitable<void> ManualClock::sleepUntil(TimePoint Deadline) {
  if (Deadline <= Now)
    co_return;
  auto Timer = std::make_shared<asio::steady_timer>(
      co_await asio::this_coro::executor,
      asio::steady_timer::time_point::max());
  auto Entry = Sleepers.emplace(Deadline, Timer);
  // `advance` cancels the timer of a due sleeper after erasing its entry, so
  // an entry that is still present means that the coroutine was cancelled.
  boost::system::error_code Ignored;
  co_await Timer->async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  if (Now >= Deadline)
    co_return;
  Sleepers.erase(Entry);
  throw boost::system::system_error(asio::error::operation_aborted);
}

void ManualClock::advance(Millis Span) {
  Now = Now + Span;
  Wall = Wall + Span;
  auto End = Sleepers.upper_bound(Now);
  for (auto It = Sleepers.begin(); It != End; It = Sleepers.erase(It))
    It->second->cancel();
}

TimePoint ManualClock::nextDeadline() const {
  return Sleepers.empty() ? TimePoint::max() : Sleepers.begin()->first;
}

} // namespace amaranth::base
