#include "amaranth/base/Signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::base {

class SignalTest {
protected:
  void spawnWaiter(std::chrono::milliseconds Limit) {
    asio::co_spawn(
        Context,
        [this, Limit]() -> asio::awaitable<void> {
          co_await Changed.waitUntil(std::chrono::steady_clock::now() + Limit);
          ++Woken;
        },
        asio::detached);
    Context.poll();
  }

  asio::io_context Context;
  Signal Changed{Context.get_executor()};
  int Woken = 0;
};

TEST_CASE_METHOD(SignalTest, "waitUntil notified before its deadline resumes") {
  spawnWaiter(std::chrono::hours(1));
  CHECK(Woken == 0);
  Changed.notifyAll();
  Context.run();
  CHECK(Woken == 1);
}

TEST_CASE_METHOD(SignalTest, "waitUntil without a notification ends in time") {
  spawnWaiter(std::chrono::milliseconds(20));
  Context.run_for(std::chrono::seconds(5));
  CHECK(Woken == 1);
}

// Guards against a short deadline of one waiter that wakes another one.
TEST_CASE_METHOD(SignalTest, "waitUntil keeps the deadlines of waiters apart") {
  spawnWaiter(std::chrono::hours(1));
  spawnWaiter(std::chrono::milliseconds(20));
  Context.run_for(std::chrono::milliseconds(300));
  CHECK(Woken == 1);
  Changed.notifyAll();
  Context.restart();
  Context.run_for(std::chrono::milliseconds(300));
  CHECK(Woken == 2);
}

} // namespace amaranth::base
