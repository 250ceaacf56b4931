#ifndef AMARANTH_DATAPLANE_SRC_RETRYSTATE_H
#define AMARANTH_DATAPLANE_SRC_RETRYSTATE_H

#include "amaranth/base/Millis.h"
#include "amaranth/dataplane/Messages.h"

#include <optional>
#include <set>

namespace amaranth::dataplane {

/// Tracks the attempts of one request and decides what follows a failed one.
///
/// A gate that expects no free slot within the objective refuses immediately.
/// Such a refusal reaches no upstream and costs no retry budget. A request
/// therefore asks up to `MaxBoundedWaitAttempts` gates for a slot within its
/// objective, which spreads a burst over all upstreams although the load that
/// entry nodes know is out of date. If all refuse, the request joins the
/// shortest queue and may miss its objective. It ends when that gate refuses it
/// too: under overload a caller learns immediately when to retry instead of
/// waiting for nothing.
///
/// An entry node of a large zone knows the load of few of its gates, so it
/// cannot see that the whole zone is full. After `MaxLocalRefusals` gates have
/// refused, gates of all zones are asked.
class RetryState {
public:
  enum class Step : std::uint8_t {
    /// Ask another endpoint; no upstream was reached yet.
    Redirect,
    /// Ask another endpoint after an upstream was reached. Needs a token of the
    /// retry budget.
    Retry,
    Stop,
  };

  /// Gates that are asked for a slot within the objective.
  static constexpr unsigned MaxBoundedWaitAttempts = 3;
  /// Refusals for lack of capacity after which other zones are asked too.
  static constexpr unsigned MaxLocalRefusals = 2;
  /// All gates that are asked. Bounds the time that a request spends on
  /// redirects while every endpoint fails.
  static constexpr unsigned MaxTotalAttempts = 8;

  void beginAttempt(const base::EndpointId &Endpoint) {
    ++Attempts;
    Excluded.insert(Endpoint);
  }

  /// Returns what follows a refusal. `Repeatable`: the request may run more
  /// than once.
  Step onRefusal(const base::EndpointId &Endpoint, const Refusal &Refused,
                 bool Repeatable, unsigned MaxUpstreamAttempts);

  /// Called when no endpoint outside `excluded` is left. Allows the endpoints
  /// that were only busy again, without a limit on the queue wait. False when
  /// there are none or when this was done before.
  bool readmitBusyEndpoints();

  /// Whether a gate should refuse the request when it cannot meet the
  /// objective.
  bool limitsQueueWait() const { return !AcceptsAnyWait; }
  /// The gates of the local zone are known to be full.
  void askAllZones() { AllZones = true; }
  /// Whether gates of all zones should be asked.
  bool asksAllZones() const {
    return AllZones || BusyEndpoints.size() >= MaxLocalRefusals;
  }
  const std::set<base::EndpointId> &excluded() const { return Excluded; }
  unsigned attempts() const { return Attempts; }
  /// Attempts that reached an upstream.
  unsigned upstreamAttempts() const { return UpstreamAttempts; }
  /// Time until capacity is expected, from the refusals so far; empty when
  /// unknown.
  std::optional<base::Millis> capacityDelay() const { return CapacityDelay; }

private:
  std::set<base::EndpointId> Excluded;
  /// Endpoints that refused for lack of capacity only.
  std::set<base::EndpointId> BusyEndpoints;
  unsigned Attempts = 0;
  unsigned UpstreamAttempts = 0;
  bool AcceptsAnyWait = false;
  bool AllZones = false;
  std::optional<base::Millis> CapacityDelay;
};

/// Time until capacity is expected after a refusal with `Code`; empty when
/// unknown. `Reported` is the time that the gates reported.
std::optional<base::Millis>
capacityDelayAfter(RefusalReason Code, std::optional<base::Millis> Reported);

/// The `Retry-After` time of a refused caller: the time until capacity is
/// expected, with `Jitter` in [-1, 1] so that refused callers do not return
/// together. It is at most a third of the `Remaining` time to the deadline, so
/// that the request can still be served.
base::Millis retryAfter(std::optional<base::Millis> CapacityDelay,
                        base::Millis Remaining, double Jitter);

} // namespace amaranth::dataplane

#endif
