#include "amaranth/base/EventLoopLag.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::base {

class EventLoopLagTest {
protected:
  asio::io_context Context;
  ManualClock Time;
  prometheus::Registry Registry;
  EventLoopLag Lag{Registry, Time};
};

// Guards against a lag that is invisible in the logs of a late request.
TEST_CASE_METHOD(EventLoopLagTest,
                 "Lag of a sample behind a long handler is its run time") {
  asio::co_spawn(Context, Lag.run(), asio::detached);
  Context.poll();
  Time.advance(EventLoopLag::SampleInterval);
  // Runs after the sampling task was resumed and before its handler.
  asio::post(Context, [this] { Time.advance(Millis(300)); });
  Context.restart();
  Context.poll();
  CHECK(Lag.current() == Millis(300));
  Time.advance(EventLoopLag::SampleInterval);
  Context.restart();
  Context.poll();
  CHECK(Lag.current() == Millis(0));
}

} // namespace amaranth::base
