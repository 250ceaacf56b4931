#include "amaranth/base/EventLoopLag.h"

#include "amaranth/base/Log.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace asio = boost::asio;

namespace amaranth::base {

namespace {

const prometheus::Histogram::BucketBoundaries LagBucketsMs = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000};

} // namespace

EventLoopLag::EventLoopLag(prometheus::Registry &Metrics, Clock &Time)
    : Time(Time),
      Samples(prometheus::BuildHistogram()
                  .Name("amaranth_event_loop_lag_ms")
                  .Help("Wait of a ready handler for the event loop")
                  .Register(Metrics)
                  .Add({}, LagBucketsMs)) {}

asio::awaitable<void> EventLoopLag::sample() {
  auto Executor = co_await asio::this_coro::executor;
  TimePoint Posted = Time.now();
  co_await asio::post(Executor, asio::use_awaitable);
  Last = Time.now() - Posted;
  Samples.Observe(static_cast<double>(Last.count()));
  if (Last >= LoggedLag)
    logger("loop")->info("event loop is behind lag_ms={}", Last.count());
}

asio::awaitable<void> EventLoopLag::run() {
  for (;;) {
    co_await Time.sleepFor(SampleInterval);
    co_await sample();
  }
}

} // namespace amaranth::base
