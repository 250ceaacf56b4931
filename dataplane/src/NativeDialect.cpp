#include "amaranth/base/Digest.h"
#include "amaranth/dataplane/ApiKey.h"
#include "amaranth/dataplane/HttpConnection.h"
#include "amaranth/dataplane/HttpDialect.h"

#include <charconv>

namespace amaranth::dataplane {

namespace {

constexpr const char *DeadlineHeader = "X-Request-Deadline-Ms";
constexpr const char *CustomerHeader = "X-Amaranth-Customer";

} // namespace

base::Millis parseMillisHeader(const std::string &Name,
                               const std::string &Value) {
  std::int64_t Parsed = 0;
  const char *End = Value.data() + Value.size();
  auto [Rest, Error] = std::from_chars(Value.data(), End, Parsed);
  if (Error != std::errc() || Rest != End)
    throw HttpError(400, "malformed " + Name);
  return base::Millis(Parsed);
}

CallerMetadata NativeDialect::callerMetadata(const Headers &Fields) const {
  CallerMetadata Metadata;
  Metadata.Attempt = base::randomHexId();
  if (const std::string *Value = findHeader(Fields, DeadlineHeader))
    Metadata.Timeout = parseMillisHeader(DeadlineHeader, *Value);
  Metadata.ApiKey = apiKeyOf(Fields);
  return Metadata;
}

void NativeDialect::setUpstreamFields(Headers &Fields,
                                      const UpstreamMetadata &Metadata) const {
  // The upstream uses the remaining time as the deadline of its own calls.
  eraseHeader(Fields, DeadlineHeader);
  removeInternalFields(Fields);
  Fields.emplace_back(DeadlineHeader,
                      std::to_string(Metadata.Remaining.count()));
  if (!Metadata.CustomersInForce)
    return;
  eraseHeader(Fields, ApiKeyField);
  eraseHeader(Fields, CustomerHeader);
  if (!Metadata.Customer.empty())
    Fields.emplace_back(CustomerHeader, Metadata.Customer);
}

ResponseClass
NativeDialect::classifyResponse(const ResponseHead & /*Head*/,
                                const std::string & /*Attempt*/,
                                bool /*FirstOnConnection*/) const {
  return ResponseClass::Executed;
}

UpstreamNotice
NativeDialect::upstreamNotice(const ResponseHead & /*Head*/) const {
  return {};
}

void NativeDialect::removeInternalFields(Headers &Fields) const {
  // An upstream that forwards the refusal of a nested call has executed the
  // request, so the forwarded fields must not reach the caller.
  eraseHeader(Fields, "X-Amaranth-Outcome");
  eraseHeader(Fields, "X-Amaranth-Reason");
}

unsigned NativeDialect::statusOf(const Refusal &Refused) const {
  if (Refused.Outcome == ExecutionOutcome::NotRun &&
      Refused.Reason == RefusalReason::Unauthenticated)
    return 401;
  if (Refused.Outcome == ExecutionOutcome::NotRun &&
      Refused.Reason == RefusalReason::QuotaExceeded)
    return 429;
  switch (Refused.Reason) {
  case RefusalReason::NoRoute:
    return 404;
  case RefusalReason::DeadlineExceeded:
  case RefusalReason::DeadlineUnreachable:
  case RefusalReason::UpstreamSilent:
    return 504;
  case RefusalReason::ClaimTaken:
  case RefusalReason::KeyConflict:
    return 409;
  case RefusalReason::KeyRequired:
  case RefusalReason::Malformed:
    return 400;
  case RefusalReason::TooLarge:
    return 413;
  default:
    return Refused.Outcome == ExecutionOutcome::NotRun ? 503 : 502;
  }
}

Headers NativeDialect::refusalFields(const Refusal &Refused,
                                     const std::string & /*Attempt*/) const {
  Headers Fields = {
      {"Content-Type", "text/plain"},
      {"X-Amaranth-Outcome", std::string(outcomeText(Refused.Outcome))},
      {"X-Amaranth-Reason", reasonText(Refused.Reason)}};
  if (statusOf(Refused) == 401)
    Fields.emplace_back("WWW-Authenticate", "Bearer");
  if (Refused.RetryAfter > base::Millis(0))
    Fields.emplace_back(
        "Retry-After",
        std::to_string((Refused.RetryAfter.count() + 999) / 1000));
  return Fields;
}

} // namespace amaranth::dataplane
