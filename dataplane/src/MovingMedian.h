#ifndef AMARANTH_DATAPLANE_SRC_MOVINGMEDIAN_H
#define AMARANTH_DATAPLANE_SRC_MOVINGMEDIAN_H

#include "amaranth/base/StrongId.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <optional>

namespace amaranth::dataplane {

/// Median over a sliding window of the most recent values.
template <typename Value> class MovingMedian {
public:
  void add(Value Newest) {
    Samples[Count++ % Window] = Newest;
    auto Sorted = Samples;
    std::size_t Filled = std::min(Count, Window);
    auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Filled / 2);
    std::nth_element(Sorted.begin(), Middle,
                     Sorted.begin() + static_cast<std::ptrdiff_t>(Filled));
    Median = *Middle;
  }

  /// Returns the median, or `std::nullopt` with fewer than `MinSamples` values.
  std::optional<Value> expected() const {
    constexpr std::size_t MinSamples = 4;
    if (Count < MinSamples)
      return std::nullopt;
    return Median;
  }

private:
  /// With 15 values, a slowdown of the upstream shows in the median after eight
  /// requests.
  static constexpr std::size_t Window = 15;

  std::array<Value, Window> Samples{};
  std::size_t Count = 0;
  Value Median{};
};

/// Medians of one upstream per route, because response sizes of different
/// routes differ by a multiple.
template <typename Value> class RouteMedians {
public:
  void add(const base::RouteName &Route, Value Newest) {
    Overall.add(Newest);
    if (Routes.contains(Route) || Routes.size() < MaxRoutes)
      Routes[Route].add(Newest);
  }

  /// Returns the median of the route, or of all requests while the route has
  /// too few samples.
  std::optional<Value> expected(const base::RouteName &Route) const {
    auto Known = routeMedian(Route);
    return Known ? Known : Overall.expected();
  }
  std::optional<Value> expected() const { return Overall.expected(); }
  /// Returns the median of the route alone, or `std::nullopt` while it has too
  /// few samples.
  std::optional<Value> routeMedian(const base::RouteName &Route) const {
    auto Found = Routes.find(Route);
    return Found == Routes.end() ? std::nullopt : Found->second.expected();
  }

private:
  /// Bounds the memory use; further routes use the overall median.
  static constexpr std::size_t MaxRoutes = 256;

  MovingMedian<Value> Overall;
  std::map<base::RouteName, MovingMedian<Value>> Routes;
};

/// Bytes of response bodies.
using RouteSizes = RouteMedians<std::size_t>;

} // namespace amaranth::dataplane

#endif
