#include "EntryRefusal.h"

namespace amaranth::dataplane {

bool isFinal(const Refusal &Why) {
  switch (Why.Why) {
  case Reason::DeadlineExceeded:
  case Reason::ClaimTaken:
  case Reason::ClaimUnavailable:
  case Reason::KeyConflict:
  case Reason::Quarantined:
  case Reason::SuspectBusy:
  case Reason::NoConfiguration:
  case Reason::NoRoute:
  case Reason::Malformed:
  case Reason::TooLarge:
  case Reason::NoEndpoint:
    return true;
  case Reason::UpstreamCrashed:
    // A request that was running when an upstream died may have caused it.
    // Resending it would risk a second upstream before it can be judged.
    return Why.What == Outcome::Unknown;
  default:
    return false;
  }
}

bool isBusy(Reason Why) {
  return Why == Reason::WaitTooLong || Why == Reason::QueueFull ||
         Why == Reason::DeadlineUnreachable;
}

bool reachedUpstream(const Refusal &Why) {
  return Why.What == Outcome::Unknown || Why.Why == Reason::UpstreamShed ||
         Why.Why == Reason::UpstreamReplaced;
}

bool isCertainFault(Reason Why) {
  return Why == Reason::PeerUnreachable || Why == Reason::ConnectionLost ||
         Why == Reason::UpstreamAbsent || Why == Reason::UpstreamCrashed ||
         Why == Reason::UpstreamUnreachable || Why == Reason::WrongUpstream ||
         Why == Reason::UpstreamReplaced;
}

bool isEndpointFault(Reason Why) {
  return isCertainFault(Why) || Why == Reason::UpstreamBroken ||
         Why == Reason::UpstreamShed || Why == Reason::UpstreamSilent ||
         Why == Reason::DeadlineExceeded;
}

bool isVersionFault(Reason Why) {
  return Why == Reason::UpstreamBroken || Why == Reason::UpstreamSilent ||
         Why == Reason::UpstreamShed || Why == Reason::UpstreamCrashed ||
         Why == Reason::DeadlineExceeded;
}

} // namespace amaranth::dataplane
