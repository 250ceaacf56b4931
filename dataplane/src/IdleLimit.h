#ifndef AMARANTH_DATAPLANE_SRC_IDLELIMIT_H
#define AMARANTH_DATAPLANE_SRC_IDLELIMIT_H

#include "amaranth/base/Millis.h"

#include <algorithm>

namespace amaranth::dataplane {

/// Longest time for which a connection to an upstream may have been idle when
/// it is used again.
///
/// Answers upstreams that forget idle connections sooner than they say: what
/// is sent on such a connection is lost, and a request that may run once only
/// cannot be sent again. The first loss tells about the others, since all
/// connections to one upstream end up at the same program.
class IdleLimit {
public:
  /// For how long a loss counts. Longer than the pauses between requests,
  /// short enough that a period of losses does not cost connections for ever.
  static constexpr base::Millis Retention = base::Millis::seconds(10);
  /// A shorter limit would end the reuse of connections altogether.
  static constexpr base::Millis MinLimit = base::Millis(20);
  /// A forgotten connection is reset when the request arrives. A reset after a
  /// longer time is one of the request itself.
  static constexpr base::Millis MaxResetDelay = base::Millis(20);

  /// A connection that had been idle for `Idle` was reset `Delay` a request
  /// was sent on it, without a byte of a response.
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
