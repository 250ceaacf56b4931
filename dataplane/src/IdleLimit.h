#ifndef AMARANTH_DATAPLANE_SRC_IDLELIMIT_H
#define AMARANTH_DATAPLANE_SRC_IDLELIMIT_H

#include "amaranth/base/Millis.h"

#include <algorithm>

namespace amaranth::dataplane {

/// Adaptive limit on the idle time after which a connection to the upstream may
/// be reused.
///
/// Some upstreams drop idle connections earlier than they declare. A request
/// sent on such a connection is lost, and an at-most-once request cannot be
/// retried. One loss lowers the limit for all connections, because they all
/// lead to the same process.
class IdleLimit {
public:
  /// How long a loss lowers the limit. Longer than the pauses between requests,
  /// but short enough that connections are reused again after the losses stop.
  static constexpr base::Millis Retention = base::Millis::seconds(10);
  /// Lower bound. A shorter limit would prevent connection reuse entirely.
  static constexpr base::Millis MinLimit = base::Millis(20);
  /// Maximum time between a request and the reset of a dropped connection. The
  /// upstream resets it when the request arrives; a later reset has its cause
  /// in the request itself.
  static constexpr base::Millis MaxResetDelay = base::Millis(20);

  /// Records that a connection that had been idle for `Idle` was reset `Delay`
  /// after a request was sent on it, without any response data.
  void recordReset(base::TimePoint Now, base::Millis Idle, base::Millis Delay) {
    if (Delay > MaxResetDelay)
      return;
    base::Millis Current = Now < ExpiresAt ? Limit : Idle;
    Limit = std::max(MinLimit, std::min(Current, Idle) / 2);
    ExpiresAt = Now + Retention;
  }

  bool allows(base::TimePoint Now, base::Millis Idle) const {
    return Now >= ExpiresAt || Idle <= Limit;
  }

private:
  base::Millis Limit;
  base::TimePoint ExpiresAt{0};
};

} // namespace amaranth::dataplane

#endif
