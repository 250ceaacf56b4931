#ifndef AMARANTH_SCHEDULING_ROUTECOSTS_H
#define AMARANTH_SCHEDULING_ROUTECOSTS_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

namespace amaranth::scheduling {

/// Speed of one upstream relative to the others of its service.
struct RelativeSpeed {
  /// Logarithm of its service times relative to the mean of the service.
  double LogFactor = 0;
  double Weight = 0;

  bool isKnown() const { return Weight > 0; }
};

/// Service times by route and speeds of upstreams, as an entry node learns them
/// from reports. Answers an entry node that has seen only few pairs of route
/// and upstream: the expected time of any pair is the usual time of the route
/// times the factor of the upstream. Single-threaded.
class RouteCosts {
public:
  /// Adds the service time that an upstream reports for a route.
  void add(const base::RouteName &Route, RelativeSpeed &Speed,
           base::Millis Reported);
  /// Logarithm of the usual service time; empty for an unknown route.
  std::optional<double> meanLog(const base::RouteName &Route) const;
  /// Expected service time in milliseconds; empty for an unknown route.
  std::optional<double> expectedMs(const base::RouteName &Route,
                                   const RelativeSpeed &Speed) const;

private:
  /// Bounds the memory; the least recently reported route is dropped first.
  static constexpr std::size_t MaxRoutes = 4096;

  struct Entry {
    double MeanLog = 0;
    double Weight = 0;
    std::list<base::RouteName>::iterator Order;
  };

  std::unordered_map<base::RouteName, Entry> Routes;
  std::list<base::RouteName> Order;
};

} // namespace amaranth::scheduling

#endif
