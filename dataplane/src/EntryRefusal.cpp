#include "EntryRefusal.h"

#include "amaranth/base/Digest.h"

namespace amaranth::dataplane {

bool isFinal(const Refusal &Refused) {
  switch (Refused.Reason) {
  case RefusalReason::DeadlineExceeded:
  case RefusalReason::ClaimTaken:
  case RefusalReason::ClaimUnavailable:
  case RefusalReason::KeyConflict:
  case RefusalReason::Quarantined:
  case RefusalReason::NoConfiguration:
  case RefusalReason::NoRoute:
  case RefusalReason::Malformed:
  case RefusalReason::TooLarge:
  case RefusalReason::NoEndpoint:
  case RefusalReason::Unauthenticated:
  case RefusalReason::QuotaExceeded:
  case RefusalReason::RetryBudgetUsed:
    return true;
  default:
    return false;
  }
}

std::string quarantineText(std::uint64_t Fingerprint) {
  return "request " + base::hex64(Fingerprint) + " has crashed upstreams";
}

bool isBusy(RefusalReason Code) {
  return Code == RefusalReason::WaitTooLong ||
         Code == RefusalReason::QueueFull ||
         Code == RefusalReason::DeadlineUnreachable ||
         Code == RefusalReason::UpstreamCold;
}

bool reachedUpstream(const Refusal &Refused) {
  return Refused.Outcome == ExecutionOutcome::Unknown ||
         Refused.Reason == RefusalReason::UpstreamShed ||
         Refused.Reason == RefusalReason::UpstreamReplaced;
}

bool isHardFault(RefusalReason Code) {
  return Code == RefusalReason::PeerUnreachable ||
         Code == RefusalReason::ConnectionLost ||
         Code == RefusalReason::UpstreamAbsent ||
         Code == RefusalReason::UpstreamCrashed ||
         Code == RefusalReason::UpstreamUnreachable ||
         Code == RefusalReason::WrongUpstream ||
         Code == RefusalReason::UpstreamReplaced;
}

bool isEndpointFault(RefusalReason Code) {
  return isHardFault(Code) || Code == RefusalReason::UpstreamBroken ||
         Code == RefusalReason::UpstreamShed ||
         Code == RefusalReason::UpstreamSilent ||
         Code == RefusalReason::DeadlineExceeded;
}

bool isVersionFault(RefusalReason Code) {
  return Code == RefusalReason::UpstreamBroken ||
         Code == RefusalReason::UpstreamSilent ||
         Code == RefusalReason::UpstreamShed ||
         Code == RefusalReason::UpstreamCrashed ||
         Code == RefusalReason::DeadlineExceeded;
}

} // namespace amaranth::dataplane
