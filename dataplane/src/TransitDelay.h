#ifndef AMARANTH_DATAPLANE_SRC_TRANSITDELAY_H
#define AMARANTH_DATAPLANE_SRC_TRANSITDELAY_H

#include "amaranth/base/Millis.h"

#include <algorithm>
#include <optional>

namespace amaranth::dataplane {

/// Estimates how long the messages of one connection were delayed on their way,
/// although the clocks of the two machines have an unknown offset.
///
/// The fastest recent message is taken as not delayed, so the result is a lower
/// bound: what delays all recent messages by the same time is not seen.
class TransitDelay {
public:
  /// The fastest message counts for one to two of these spans. Short enough
  /// for clocks that drift by 100 ppm.
  static constexpr base::Millis Window = base::Millis::seconds(30);

  /// Records a message and returns its delay.
  base::Millis record(base::BootTime Sent, base::BootTime Received) {
    base::Millis Difference(Received.count() - Sent.count());
    if (!WindowStart || Received - *WindowStart >= Window) {
      // After a longer pause, the previous window is outdated too.
      bool Outdated = !WindowStart || Received - *WindowStart >= Window * 2;
      Previous = Outdated ? Difference : Current;
      Current = Difference;
      WindowStart = Received;
    }
    Current = std::min(Current, Difference);
    return Difference - std::min(Previous, Current);
  }

private:
  std::optional<base::BootTime> WindowStart;
  /// Smallest difference of the clocks in this window and in the one before.
  base::Millis Current;
  base::Millis Previous;
};

} // namespace amaranth::dataplane

#endif
