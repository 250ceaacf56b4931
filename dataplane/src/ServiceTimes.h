#ifndef AMARANTH_DATAPLANE_SRC_SERVICETIMES_H
#define AMARANTH_DATAPLANE_SRC_SERVICETIMES_H

#include "amaranth/base/Millis.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace amaranth::dataplane {

/// Moving median of the last service times.
class ServiceTimes {
public:
  void add(base::Millis Took) {
    Recent[Count++ % Window] = Took;
    auto Sorted = Recent;
    std::size_t Filled = std::min(Count, Window);
    auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Filled / 2);
    std::nth_element(Sorted.begin(), Middle,
                     Sorted.begin() + static_cast<std::ptrdiff_t>(Filled));
    Median = *Middle;
  }

  /// Empty until there are enough samples to judge by.
  std::optional<base::Millis> expected() const {
    constexpr std::size_t MinSamples = 8;
    if (Count < MinSamples)
      return std::nullopt;
    return Median;
  }

private:
  static constexpr std::size_t Window = 63;

  std::array<base::Millis, Window> Recent{};
  std::size_t Count = 0;
  base::Millis Median;
};

} // namespace amaranth::dataplane

#endif
