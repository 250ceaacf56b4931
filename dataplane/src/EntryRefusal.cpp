#include "EntryRefusal.h"

namespace amaranth::dataplane {

bool isFinal(const Refusal &Why) {
  switch (Why.Reason) {
  case RefusalReason::DeadlineExceeded:
  case RefusalReason::ClaimTaken:
  case RefusalReason::ClaimUnavailable:
  case RefusalReason::KeyConflict:
  case RefusalReason::Quarantined:
  case RefusalReason::SuspectBusy:
  case RefusalReason::NoConfiguration:
  case RefusalReason::NoRoute:
  case RefusalReason::Malformed:
  case RefusalReason::TooLarge:
  case RefusalReason::NoEndpoint:
    return true;
  case RefusalReason::UpstreamCrashed:
    // A request that was running when an upstream died may have caused it.
    // Resending it would risk a second upstream before it can be judged.
    return Why.Outcome == ExecutionOutcome::Unknown;
  default:
    return false;
  }
}

bool isBusy(RefusalReason Why) {
  return Why == RefusalReason::WaitTooLong || Why == RefusalReason::QueueFull ||
         Why == RefusalReason::DeadlineUnreachable;
}

bool reachedUpstream(const Refusal &Why) {
  return Why.Outcome == ExecutionOutcome::Unknown ||
         Why.Reason == RefusalReason::UpstreamShed ||
         Why.Reason == RefusalReason::UpstreamReplaced;
}

bool isCertainFault(RefusalReason Why) {
  return Why == RefusalReason::PeerUnreachable ||
         Why == RefusalReason::ConnectionLost ||
         Why == RefusalReason::UpstreamAbsent ||
         Why == RefusalReason::UpstreamCrashed ||
         Why == RefusalReason::UpstreamUnreachable ||
         Why == RefusalReason::WrongUpstream ||
         Why == RefusalReason::UpstreamReplaced;
}

bool isEndpointFault(RefusalReason Why) {
  return isCertainFault(Why) || Why == RefusalReason::UpstreamBroken ||
         Why == RefusalReason::UpstreamShed ||
         Why == RefusalReason::UpstreamSilent ||
         Why == RefusalReason::DeadlineExceeded;
}

bool isVersionFault(RefusalReason Why) {
  return Why == RefusalReason::UpstreamBroken ||
         Why == RefusalReason::UpstreamSilent ||
         Why == RefusalReason::UpstreamShed ||
         Why == RefusalReason::UpstreamCrashed ||
         Why == RefusalReason::DeadlineExceeded;
}

} // namespace amaranth::dataplane
