#include "amaranth/scheduling/RouteCosts.h"

#include <algorithm>
#include <cmath>

namespace amaranth::scheduling {

namespace {

/// Weight of the newest report in the mean of a route, to which many upstreams
/// contribute, and in the factor of an upstream. Reports are means of many
/// requests already.
constexpr double MinRouteWeight = 0.02;
constexpr double MinSpeedWeight = 0.3;
/// Keeps the mean factor of the upstreams of a service near 1.
constexpr double SpeedRetention = 0.995;
/// Bounds the effect of a report from the time of a fault.
constexpr double MaxLogFactor = 3;

} // namespace

void RouteCosts::add(const base::RouteName &Route, RelativeSpeed &Speed,
                     base::Millis Reported) {
  if (Reported <= base::Millis(0))
    return;
  double Log = std::log(static_cast<double>(Reported.count()));
  auto Found = Routes.find(Route);
  if (Found == Routes.end()) {
    if (Routes.size() >= MaxRoutes) {
      Routes.erase(Order.back());
      Order.pop_back();
    }
    Order.push_front(Route);
    Found = Routes.emplace(Route, Entry{0, 0, Order.begin()}).first;
  } else {
    Order.splice(Order.begin(), Order, Found->second.Order);
  }
  Entry &Known = Found->second;
  Known.Weight += 1;
  Known.MeanLog += std::max(1 / Known.Weight, MinRouteWeight) *
                   (Log - Speed.LogFactor - Known.MeanLog);
  Speed.Weight += 1;
  // Starts as an upstream of usual speed.
  double Weight = std::max(1 / (Speed.Weight + 1), MinSpeedWeight);
  Speed.LogFactor += Weight * (Log - Known.MeanLog - Speed.LogFactor);
  Speed.LogFactor =
      std::clamp(Speed.LogFactor * SpeedRetention, -MaxLogFactor, MaxLogFactor);
}

std::optional<double> RouteCosts::meanLog(const base::RouteName &Route) const {
  auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return std::nullopt;
  return Found->second.MeanLog;
}

std::optional<double> RouteCosts::expectedMs(const base::RouteName &Route,
                                             const RelativeSpeed &Speed) const {
  auto Log = meanLog(Route);
  if (!Log)
    return std::nullopt;
  return std::exp(*Log + Speed.LogFactor);
}

} // namespace amaranth::scheduling
