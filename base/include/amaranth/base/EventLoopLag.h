#ifndef AMARANTH_BASE_EVENTLOOPLAG_H
#define AMARANTH_BASE_EVENTLOOPLAG_H

#include "amaranth/base/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace amaranth::base {

/// Measures how far the event loop is behind: how long a handler that is ready
/// waits until it runs. Received bytes wait at least as long before they are
/// read.
///
/// Exports the histogram `amaranth_event_loop_lag_ms` and logs each sample of
/// `LoggedLag` or more.
class EventLoopLag {
public:
  static constexpr Millis SampleInterval = Millis(100);
  static constexpr Millis LoggedLag = Millis(50);

  /// The references must outlive the object.
  EventLoopLag(prometheus::Registry &Metrics, Clock &Time);

  /// The last sample.
  Millis current() const { return Last; }
  /// Takes one sample.
  boost::asio::awaitable<void> sample();
  /// Takes a sample each `SampleInterval` until the `io_context` ends. The
  /// object must outlive the run.
  boost::asio::awaitable<void> run();

private:
  Clock &Time;
  prometheus::Histogram &Samples;
  Millis Last;
};

} // namespace amaranth::base

#endif
