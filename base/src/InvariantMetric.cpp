#include "amaranth/base/InvariantMetric.h"

#include "amaranth/base/Invariant.h"

namespace amaranth::base {

InvariantMetric::InvariantMetric(prometheus::Registry &Metrics, Clock &Time)
    : Time(Time), Checks(prometheus::BuildCounter()
                             .Name("amaranth_invariant_checks_total")
                             .Help("Invariants evaluated by this process")
                             .Register(Metrics)
                             .Add({})) {
  update();
}

void InvariantMetric::update() {
  Checks.Increment(static_cast<double>(invariantChecks()) - Checks.Value());
}

boost::asio::awaitable<void> InvariantMetric::run() {
  for (;;) {
    co_await Time.sleepFor(Millis::seconds(1));
    update();
  }
}

} // namespace amaranth::base
