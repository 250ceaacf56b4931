#ifndef AMARANTH_BASE_INVARIANTMETRIC_H
#define AMARANTH_BASE_INVARIANTMETRIC_H

#include "amaranth/base/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <prometheus/counter.h>
#include <prometheus/registry.h>

namespace amaranth::base {

/// Exports `invariantChecks()` as the counter
/// `amaranth_invariant_checks_total`. One object for each process: the count
/// belongs to the process.
class InvariantMetric {
public:
  /// The references must outlive the object.
  InvariantMetric(prometheus::Registry &Metrics, Clock &Time);

  /// Brings the counter up to date.
  void update();
  /// Updates each second until the `io_context` ends. The object must outlive
  /// the run.
  boost::asio::awaitable<void> run();

private:
  Clock &Time;
  prometheus::Counter &Checks;
};

} // namespace amaranth::base

#endif
