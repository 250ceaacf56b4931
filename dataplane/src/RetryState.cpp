#include "RetryState.h"

#include "EntryRefusal.h"

#include <algorithm>

namespace amaranth::dataplane {

namespace {

/// Used when no gate reported a wait; about one service time of the
/// deployments.
constexpr base::Millis DefaultCapacityDelay = base::Millis(150);
/// A shorter delay would only cost a connection.
constexpr base::Millis MinRetryAfter = base::Millis(30);
constexpr double JitterFraction = 0.3;
/// After control becomes available, it takes about a second until a node that
/// has just started has its configuration and an upstream the node's first
/// answer. A caller that retries sooner wastes one of its few attempts.
constexpr base::Millis StartupCapacityDelay = base::Millis(1000);

} // namespace

RetryState::Step RetryState::onRefusal(const base::EndpointId &Endpoint,
                                       const Refusal &Refused, bool Repeatable,
                                       unsigned MaxUpstreamAttempts) {
  bool ReachedUpstream = reachedUpstream(Refused);
  UpstreamAttempts += ReachedUpstream ? 1 : 0;
  if (isBusy(Refused.Reason)) {
    BusyEndpoints.insert(Endpoint);
    base::Millis Wait = std::max(Refused.RetryAfter, Refused.Load.QueueWait);
    CapacityDelay = std::min(CapacityDelay.value_or(Wait), Wait);
    if (AcceptsAnyWait)
      return Step::Stop;
  }
  if (isFinal(Refused) || Attempts >= MaxTotalAttempts)
    return Step::Stop;
  if (BusyEndpoints.size() >= MaxBoundedWaitAttempts && !AcceptsAnyWait &&
      !readmitBusyEndpoints())
    return Step::Stop;
  if (!ReachedUpstream)
    return Step::Redirect;
  if (UpstreamAttempts >= MaxUpstreamAttempts ||
      (Refused.Outcome == ExecutionOutcome::Unknown && !Repeatable))
    return Step::Stop;
  return Step::Retry;
}

bool RetryState::readmitBusyEndpoints() {
  if (AcceptsAnyWait || BusyEndpoints.empty())
    return false;
  AcceptsAnyWait = true;
  for (const base::EndpointId &Each : BusyEndpoints)
    Excluded.erase(Each);
  return true;
}

std::optional<base::Millis>
capacityDelayAfter(RefusalReason Code, std::optional<base::Millis> Reported) {
  if (Code == RefusalReason::NoConfiguration ||
      Code == RefusalReason::NoEndpoint)
    return std::max(StartupCapacityDelay,
                    Reported.value_or(StartupCapacityDelay));
  // The capacity of this node says nothing about that of others.
  if (Code == RefusalReason::NodeDraining)
    return base::Millis(0);
  return Reported;
}

base::Millis retryAfter(std::optional<base::Millis> CapacityDelay,
                        base::Millis Remaining, double Jitter) {
  base::Millis Delay =
      std::max(CapacityDelay.value_or(DefaultCapacityDelay), MinRetryAfter);
  auto JitterMs = static_cast<std::int64_t>(static_cast<double>(Delay.count()) *
                                            JitterFraction * Jitter);
  base::Millis MaxDelay = std::max(MinRetryAfter, Remaining / 3);
  return std::clamp(Delay + base::Millis(JitterMs), MinRetryAfter, MaxDelay);
}

} // namespace amaranth::dataplane
