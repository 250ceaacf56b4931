#ifndef AMARANTH_DATAPLANE_SRC_SERVICETIMES_H
#define AMARANTH_DATAPLANE_SRC_SERVICETIMES_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
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
    constexpr std::size_t MinSamples = 4;
    if (Count < MinSamples)
      return std::nullopt;
    return Median;
  }

private:
  /// An upstream that becomes slow shows in its median after eight requests.
  static constexpr std::size_t Window = 15;

  std::array<base::Millis, Window> Recent{};
  std::size_t Count = 0;
  base::Millis Median;
};

/// Service times of one upstream by route, because the work of routes
/// differs by a multiple.
class RouteTimes {
public:
  void add(const base::RouteName &Route, base::Millis Took) {
    All.add(Took);
    if (Routes.contains(Route) || Routes.size() < MaxRoutes)
      Routes[Route].add(Took);
  }

  /// Of the route, or of all requests while the route was hardly seen.
  std::optional<base::Millis> expected(const base::RouteName &Route) const {
    auto Found = Routes.find(Route);
    if (Found != Routes.end())
      if (auto Known = Found->second.expected())
        return Known;
    return All.expected();
  }
  std::optional<base::Millis> expected() const { return All.expected(); }

private:
  /// Bounds the memory; further routes share the overall median.
  static constexpr std::size_t MaxRoutes = 256;

  ServiceTimes All;
  std::map<base::RouteName, ServiceTimes> Routes;
};

} // namespace amaranth::dataplane

#endif
