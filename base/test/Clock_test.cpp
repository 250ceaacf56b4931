#include "amaranth/base/Clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;
using namespace asio::experimental::awaitable_operators;

namespace amaranth::base {

class ManualClockTest {
protected:
  void spawnSleeper(Millis Span) {
    asio::co_spawn(
        Context,
        [this, Span]() -> asio::awaitable<void> {
          co_await Time.sleepFor(Span);
          ++Woken;
        },
        asio::detached);
    Context.poll();
  }

  asio::io_context Context;
  ManualClock Time;
  int Woken = 0;
};

TEST_CASE_METHOD(ManualClockTest,
                 "ManualClock sleeper before its deadline stays asleep") {
  spawnSleeper(Millis(100));
  Time.advance(Millis(99));
  Context.poll();
  CHECK(Woken == 0);
  CHECK(Time.nextDeadline() == TimePoint(100));
}

TEST_CASE_METHOD(ManualClockTest,
                 "ManualClock sleeper at its deadline resumes once") {
  spawnSleeper(Millis(100));
  Time.advance(Millis(100));
  Context.poll();
  CHECK(Woken == 1);
  CHECK(Time.nextDeadline() == TimePoint::max());
}

TEST_CASE_METHOD(ManualClockTest,
                 "ManualClock cancelled sleeper leaves no entry behind") {
  asio::co_spawn(
      Context,
      [this]() -> asio::awaitable<void> {
        co_await (Time.sleepFor(Millis(10)) || Time.sleepFor(Millis(1000)));
        ++Woken;
      },
      asio::detached);
  Context.poll();
  Time.advance(Millis(10));
  Context.restart();
  Context.poll();
  CHECK(Woken == 1);
  CHECK(Time.nextDeadline() == TimePoint::max());
}

} // namespace amaranth::base
