#include "amaranth/base/Invariant.h"
#include "amaranth/base/InvariantMetric.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace amaranth::base {

namespace {

double exported(prometheus::Registry &Metrics) {
  for (const auto &Family : Metrics.Collect())
    if (Family.name == "amaranth_invariant_checks_total")
      return Family.metric.at(0).counter.value;
  return -1;
}

} // namespace

// Guards against a counter that stays at its first value or counts twice.
TEST_CASE("the invariant metric follows the count each second") {
  boost::asio::io_context Io;
  ManualClock Time;
  prometheus::Registry Metrics;
  InvariantMetric Metric(Metrics, Time);
  boost::asio::co_spawn(Io, Metric.run(), boost::asio::detached);
  Io.poll();
  for (unsigned Round = 0; Round < 3; ++Round) {
    auto Before = static_cast<double>(invariantChecks());
    CHECK(exported(Metrics) == Before);
    AMARANTH_INVARIANT(Round < 3, "the loop has three rounds");
    CHECK(exported(Metrics) == Before);
    Time.advance(Millis::seconds(1));
    Io.restart();
    Io.poll();
    CHECK(exported(Metrics) == Before + 1);
  }
}

} // namespace amaranth::base
