#include "amaranth/base/Digest.h"
#include "amaranth/dataplane/HttpConnection.h"
#include "amaranth/dataplane/HttpDialect.h"

#include <charconv>

namespace amaranth::dataplane {

namespace {

constexpr const char *DeadlineHeader = "X-Request-Deadline-Ms";

} // namespace

base::Millis parseMillisHeader(const std::string &Name,
                               const std::string &Value) {
  std::int64_t Parsed = 0;
  const char *End = Value.data() + Value.size();
  auto [Rest, Fault] = std::from_chars(Value.data(), End, Parsed);
  if (Fault != std::errc() || Rest != End)
    throw HttpError(400, "malformed " + Name);
  return base::Millis(Parsed);
}

CallerTerms NativeDialect::callerTerms(const Headers &Fields) const {
  CallerTerms Terms;
  Terms.Attempt = base::randomHexId();
  if (const std::string *Value = findHeader(Fields, DeadlineHeader))
    Terms.Wait = parseMillisHeader(DeadlineHeader, *Value);
  return Terms;
}

void NativeDialect::setUpstreamFields(Headers &Fields,
                                      const UpstreamTerms &Terms) const {
  // The upstream passes the rest of the deadline on to its own calls.
  eraseHeader(Fields, DeadlineHeader);
  cleanResponse(Fields);
  Fields.emplace_back(DeadlineHeader, std::to_string(Terms.Remaining.count()));
}

UpstreamVerdict NativeDialect::verdict(const ResponseHead & /*Head*/,
                                       const std::string & /*Attempt*/) const {
  return UpstreamVerdict::Ran;
}

void NativeDialect::cleanResponse(Headers &Fields) const {
  // An upstream that passes on the refusal of a nested call has run, so its
  // copy must not reach the caller.
  eraseHeader(Fields, "X-Amaranth-Outcome");
  eraseHeader(Fields, "X-Amaranth-Reason");
}

unsigned NativeDialect::statusOf(const Refusal &Why) const {
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

Headers NativeDialect::refusalFields(const Refusal &Why,
                                     const std::string & /*Attempt*/) const {
  Headers Fields = {{"Content-Type", "text/plain"},
                    {"X-Amaranth-Outcome", std::string(outcomeText(Why.What))},
                    {"X-Amaranth-Reason", reasonText(Why.Why)}};
  if (Why.RetryAfter > base::Millis(0))
    Fields.emplace_back("Retry-After",
                        std::to_string((Why.RetryAfter.count() + 999) / 1000));
  return Fields;
}

} // namespace amaranth::dataplane
