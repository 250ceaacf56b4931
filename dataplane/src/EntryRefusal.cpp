#include "EntryRefusal.h"

namespace amaranth::dataplane {

bool isFinal(const Refusal &Refused) {
  switch (Refused.Why) {
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
    // A request that was running when an upstream crashed may have caused the
    // crash. A resend could crash a second upstream before the request is
    // quarantined.
    return Refused.What == Outcome::Unknown;
  default:
    return false;
  }
}

bool isBusy(Reason Code) {
  return Code == Reason::WaitTooLong || Code == Reason::QueueFull ||
         Code == Reason::DeadlineUnreachable;
}

bool reachedUpstream(const Refusal &Refused) {
  return Refused.What == Outcome::Unknown ||
         Refused.Why == Reason::UpstreamShed ||
         Refused.Why == Reason::UpstreamReplaced;
}

bool isHardFault(Reason Code) {
  return Code == Reason::PeerUnreachable || Code == Reason::ConnectionLost ||
         Code == Reason::UpstreamAbsent || Code == Reason::UpstreamCrashed ||
         Code == Reason::UpstreamUnreachable || Code == Reason::WrongUpstream ||
         Code == Reason::UpstreamReplaced;
}

bool isEndpointFault(Reason Code) {
  return isHardFault(Code) || Code == Reason::UpstreamBroken ||
         Code == Reason::UpstreamShed || Code == Reason::UpstreamSilent ||
         Code == Reason::DeadlineExceeded;
}

bool isVersionFault(Reason Code) {
  return Code == Reason::UpstreamBroken || Code == Reason::UpstreamSilent ||
         Code == Reason::UpstreamShed || Code == Reason::UpstreamCrashed ||
         Code == Reason::DeadlineExceeded;
}

} // namespace amaranth::dataplane
