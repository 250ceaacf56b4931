#ifndef AMARANTH_DATAPLANE_UPSTREAMRUNS_H
#define AMARANTH_DATAPLANE_UPSTREAMRUNS_H

#include "amaranth/dataplane/RetryBudgets.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace amaranth::dataplane {

/// The requests that the local upstream is running, and the calls that it makes
/// for them. Single-threaded.
///
/// The calls of a repeat count as repeats at the services that they go to. A
/// call does not say which request it is made for, and callers on this VM send
/// requests to the same address. But a call ends with the request that it is
/// made for, or earlier by a limit of its own, while a caller that has just
/// sent a request waits longer than the running ones. So a request of this VM
/// is attributed to the running request that ends when it does, or else to
/// those that end after it, by the calls that runs of their routes make a
/// second.
///
/// A call of a repeat that is refused would fail a run that has already cost
/// its work. The calls that a repeat of the route is expected to make are
/// therefore charged to the budgets when it begins, and a repeat for which they
/// do not suffice is refused before it runs.
class UpstreamRuns {
public:
  /// Time by which a call seems to end later than its request, because both
  /// messages were on their way and were read late.
  static constexpr base::Millis MaxDelay = base::Millis(50);

  /// The references must outlive the object.
  UpstreamRuns(base::Clock &Time, RetryBudgets &Budgets)
      : Time(Time), Budgets(Budgets) {}

  /// What is known of a request when its run begins.
  struct Request {
    base::RouteName Route;
    base::TimePoint Deadline;
    /// The request has reached an upstream before, or counts as a call of a
    /// repeat.
    bool Repeat = false;
  };

  /// A request by a process of this VM, which waits until `Deadline`.
  struct Call {
    base::ServiceName Service;
    base::RouteName Route;
    base::TimePoint Deadline;
  };

  /// Counts a request as running while the object lives. May outlive the owner
  /// if it belongs to a task that is destroyed with the event loop.
  class Run {
  public:
    Run(UpstreamRuns &Owner, Request Started);
    ~Run();
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;

  private:
    UpstreamRuns &Owner;
    std::weak_ptr<const void> OwnerLifetime;
    std::uint64_t Id;
  };

  /// Whether the retry budgets of this node allow the calls that a repeat of
  /// `Route` is expected to make.
  bool allowsRepeat(const base::RouteName &Route);

  /// Attributes a request of this VM to the running ones. Returns the
  /// probability that it is a call of a repeat.
  double recordCall(const Call &Made);

private:
  struct Entry {
    Request For;
    base::TimePoint StartedAt;
  };
  /// Runs of a route and their calls by service; older ones count less.
  struct RouteCalls {
    double Runs = 0;
    double RunningMs = 0;
    std::map<base::ServiceName, double> Calls;

    /// Calls that a repeat is expected to make to a service with `Count` calls.
    double perRepeat(double Count) const;
    /// Calls to `Service` in a millisecond of a run.
    double rate(const base::ServiceName &Service) const;
  };

  RouteCalls &callsOf(const base::RouteName &Route);
  /// Whether the call ends earlier than the request that it is made for.
  bool hasOwnLimit(const Call &Made);
  /// The running requests that may have made the call.
  std::vector<const Request *> candidates(const Call &Made);

  base::Clock &Time;
  RetryBudgets &Budgets;
  std::map<std::uint64_t, Entry> Running;
  std::uint64_t NextId = 0;
  std::shared_ptr<const bool> Lifetime = std::make_shared<const bool>();
  std::map<base::RouteName, RouteCalls> Routes;
  /// The longest time that a call of a route was ready to wait.
  std::map<base::RouteName, base::Millis> LongestWaits;
};

} // namespace amaranth::dataplane

#endif
