#include "EntryRefusal.h"

namespace amaranth::dataplane {

unsigned statusOf(const Refusal &Why) {
  switch (Why.Why) {
  case Reason::NoRoute:
    return 404;
  case Reason::DeadlineExceeded:
  case Reason::DeadlineUnreachable:
  case Reason::UpstreamSilent:
    return 504;
  case Reason::ClaimTaken:
  case Reason::KeyConflict:
    return 409;
  case Reason::KeyRequired:
  case Reason::Malformed:
    return 400;
  case Reason::TooLarge:
    return 413;
  default:
    return Why.What == Outcome::NotRun ? 503 : 502;
  }
}

Headers refusalFields(const Refusal &Why) {
  Headers Fields = {{"Content-Type", "text/plain"},
                    {"X-Amaranth-Outcome", std::string(outcomeText(Why.What))},
                    {"X-Amaranth-Reason", reasonText(Why.Why)}};
  if (Why.RetryAfter > base::Millis(0))
    Fields.emplace_back("Retry-After",
                        std::to_string((Why.RetryAfter.count() + 999) / 1000));
  return Fields;
}

bool isFinal(const Refusal &Why) {
  switch (Why.Why) {
  case Reason::DeadlineExceeded:
  case Reason::ClaimTaken:
  case Reason::ClaimUnavailable:
  case Reason::KeyConflict:
  case Reason::Quarantined:
  case Reason::SuspectBusy:
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

bool isCertainFault(Reason Why) {
  return Why == Reason::PeerUnreachable || Why == Reason::ConnectionLost ||
         Why == Reason::UpstreamAbsent || Why == Reason::UpstreamCrashed ||
         Why == Reason::UpstreamUnreachable;
}

bool isEndpointFault(Reason Why) {
  return isCertainFault(Why) || Why == Reason::UpstreamBroken ||
         Why == Reason::UpstreamSilent || Why == Reason::DeadlineExceeded;
}

bool isVersionFault(Reason Why) {
  return Why == Reason::UpstreamBroken || Why == Reason::UpstreamSilent ||
         Why == Reason::UpstreamCrashed || Why == Reason::DeadlineExceeded;
}

} // namespace amaranth::dataplane
