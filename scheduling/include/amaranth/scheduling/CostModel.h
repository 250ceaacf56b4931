#ifndef AMARANTH_SCHEDULING_COSTMODEL_H
#define AMARANTH_SCHEDULING_COSTMODEL_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/scheduling/ServiceTimes.h"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace amaranth::scheduling {

/// What requests cost at one upstream, learned from its service times by route.
/// Answers routes whose costs differ by a multiple, heavy tails within a route
/// and upstreams that turn slow for a few seconds. Single-threaded.
///
/// The distributions forget over 10 s or more. A factor that all routes share
/// follows the last half second, so that a short slow phase shows early and its
/// end too. All results are 0 while nothing is known.
class CostModel {
public:
  /// Adds the service time of a request that ended at `Now`.
  void add(const base::RouteName &Route, base::Millis Taken,
           base::TimePoint Now);
  /// Applies the slowness that the upstream named in a response, in percent of
  /// its usual service times. A single value is noise; the mean over about a
  /// second scales the expected times.
  void recordSlowness(double Percent, base::TimePoint Now);

  /// Expected service time of a request of the route. A route with few samples
  /// is expected to be like the others.
  base::Millis mean(const base::RouteName &Route, base::TimePoint Now) const;
  /// Expected service time of a request of unknown route.
  base::Millis mean(base::TimePoint Now) const;
  /// Time within which the part `Fraction` of the requests end.
  base::Millis quantile(const base::RouteName &Route, double Fraction,
                        base::TimePoint Now) const;
  /// Expected remaining time of a request that has run for `Elapsed`: the mean
  /// over those that took longer.
  base::Millis remaining(const base::RouteName &Route, base::Millis Elapsed,
                         base::TimePoint Now) const;
  /// Time within which the part `Fraction` of the requests that have run for
  /// `Elapsed` end.
  base::Millis remainingQuantile(const base::RouteName &Route,
                                 base::Millis Elapsed, double Fraction,
                                 base::TimePoint Now) const;
  /// Current service times relative to those in the distributions.
  double slowdown(base::TimePoint Now) const;
  /// Recent mean of the slowness that the upstream names; 100 without one.
  double slownessPercent() const { return Slowness; }
  std::size_t routeCount() const { return Routes.size(); }

private:
  /// Bounds the memory; the least recently measured route is dropped first.
  static constexpr std::size_t MaxRoutes = 256;
  /// In percent.
  static constexpr double UsualSlowness = 100;

  struct Entry {
    ServiceTimes Times;
    std::list<base::RouteName>::iterator Order;
  };
  /// The distribution of a route, filled up with that of all routes while it
  /// has few samples.
  class Blend;

  Blend blend(const base::RouteName &Route) const;
  Entry &entryOf(const base::RouteName &Route);
  void addDeviation(double Log, base::TimePoint Now);
  double slownessAt(base::TimePoint Now) const;

  ServiceTimes Overall;
  std::unordered_map<base::RouteName, Entry> Routes;
  /// The most recently measured route first.
  std::list<base::RouteName> Order;

  /// Logarithms of recent service times relative to the mean of their route.
  WeightedSum Deviation;
  base::TimePoint DeviationAt{0};
  double Slowness = UsualSlowness;
  base::TimePoint SlownessAt{0};
};

} // namespace amaranth::scheduling

#endif
