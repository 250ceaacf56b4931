#include "AttemptPlan.h"

#include "EntryRefusal.h"

#include <algorithm>

namespace amaranth::dataplane {

namespace {

/// Room when nothing is known: about one service time of the deployments.
constexpr base::Millis UnknownRoom = base::Millis(150);
/// Shorter pauses only cost a connection.
constexpr base::Millis MinPause = base::Millis(30);
constexpr double JitterPart = 0.3;
/// A node that has just started gets its configuration, and an upstream the
/// node's first answer, about a second after control is back; a caller that
/// returns sooner wastes one of its few tries.
constexpr base::Millis StartRoom = base::Millis(1000);

} // namespace

AttemptPlan::Step AttemptPlan::refused(const base::EndpointId &Endpoint,
                                       const Refusal &Why, bool Repeatable,
                                       unsigned MaxAttempts) {
  bool Reached = reachedUpstream(Why);
  Sends += Reached ? 1 : 0;
  if (isBusy(Why.Reason)) {
    Busy.insert(Endpoint);
    base::Millis Wait = std::max(Why.RetryAfter, Why.Load.QueueWait);
    Room = std::min(Room.value_or(Wait), Wait);
    if (AnyWait)
      return Step::Stop;
  }
  if (isFinal(Why) || Tries >= MaxTries)
    return Step::Stop;
  if (Busy.size() >= PatientTries && !AnyWait && !exhausted())
    return Step::Stop;
  if (!Reached)
    return Step::Redirect;
  if (Sends >= MaxAttempts ||
      (Why.Outcome == ExecutionOutcome::Unknown && !Repeatable))
    return Step::Stop;
  return Step::Retry;
}

bool AttemptPlan::exhausted() {
  if (AnyWait || Busy.empty())
    return false;
  AnyWait = true;
  for (const base::EndpointId &Each : Busy)
    Avoided.erase(Each);
  return true;
}

std::optional<base::Millis> roomAfter(RefusalReason Why,
                                      std::optional<base::Millis> Known) {
  if (Why == RefusalReason::NoConfiguration || Why == RefusalReason::NoEndpoint)
    return std::max(StartRoom, Known.value_or(StartRoom));
  return Known;
}

base::Millis retryAfter(std::optional<base::Millis> Room, base::Millis Left,
                        double Jitter) {
  base::Millis Wanted = std::max(Room.value_or(UnknownRoom), MinPause);
  auto Spread = static_cast<std::int64_t>(static_cast<double>(Wanted.count()) *
                                          JitterPart * Jitter);
  base::Millis Longest = std::max(MinPause, Left / 3);
  return std::clamp(Wanted + base::Millis(Spread), MinPause, Longest);
}

} // namespace amaranth::dataplane
