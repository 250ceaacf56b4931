#ifndef AMARANTH_DATAPLANE_SRC_FADINGMEAN_H
#define AMARANTH_DATAPLANE_SRC_FADINGMEAN_H

#include "amaranth/base/Clock.h"

#include <cmath>

namespace amaranth::dataplane {

/// Mean of recent delays, which fades to 0 while none are recorded: a queue
/// that nothing is added to drains.
class FadingMean {
public:
  void record(base::Millis Delay, base::TimePoint Now) {
    Mean = at(Now);
    Mean += NewestWeight * (static_cast<double>(Delay.count()) - Mean);
    RecordedAt = Now;
  }

  /// In milliseconds.
  double at(base::TimePoint Now) const {
    return Mean * std::exp2(-static_cast<double>((Now - RecordedAt).count()) /
                            HalfLifeMs);
  }

private:
  static constexpr double NewestWeight = 0.15;
  static constexpr double HalfLifeMs = 500;

  double Mean = 0;
  base::TimePoint RecordedAt{0};
};

} // namespace amaranth::dataplane

#endif
