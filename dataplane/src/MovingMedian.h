#ifndef AMARANTH_DATAPLANE_SRC_MOVINGMEDIAN_H
#define AMARANTH_DATAPLANE_SRC_MOVINGMEDIAN_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <optional>

namespace amaranth::dataplane {

/// Moving median of the last values.
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

  /// Empty until there are enough samples to judge by.
  std::optional<Value> expected() const {
    constexpr std::size_t MinSamples = 4;
    if (Count < MinSamples)
      return std::nullopt;
    return Median;
  }

private:
  /// An upstream that becomes slow shows in its median after eight requests.
  static constexpr std::size_t Window = 15;

  std::array<Value, Window> Samples{};
  std::size_t Count = 0;
  Value Median{};
};

/// Medians of one upstream by route, because the work and the responses of
/// routes differ by a multiple.
template <typename Value> class RouteMedians {
public:
  void add(const base::RouteName &Route, Value Newest) {
    Overall.add(Newest);
    if (Routes.contains(Route) || Routes.size() < MaxRoutes)
      Routes[Route].add(Newest);
  }

  /// Of the route, or of all requests while the route was hardly seen.
  std::optional<Value> expected(const base::RouteName &Route) const {
    auto Known = routeMedian(Route);
    return Known ? Known : Overall.expected();
  }
  std::optional<Value> expected() const { return Overall.expected(); }
  /// Of the route alone; empty while it was hardly seen.
  std::optional<Value> routeMedian(const base::RouteName &Route) const {
    auto Found = Routes.find(Route);
    return Found == Routes.end() ? std::nullopt : Found->second.expected();
  }

private:
  /// Bounds the memory; further routes share the overall median.
  static constexpr std::size_t MaxRoutes = 256;

  MovingMedian<Value> Overall;
  std::map<base::RouteName, MovingMedian<Value>> Routes;
};

/// Time from the start of a request to its response.
using RouteTimes = RouteMedians<base::Millis>;
/// Bytes of response bodies.
using RouteSizes = RouteMedians<std::size_t>;

} // namespace amaranth::dataplane

#endif
