#include "Fakes.h"

namespace asio = boost::asio;

namespace amaranth::dataplane::testing {

namespace {

control::CommandResult result(control::ResultCode Code) {
  control::CommandResult Value;
  Value.Code = Code;
  return Value;
}

} // namespace

asio::awaitable<control::CommandResult>
FakeControl::call(control::Command Request, base::Millis Timeout) {
  if (Down)
    throw replication::NotLeader("no leader");
  Seen.push_back(Request);
  control::CommandResult Value = apply(Request);
  if (!LoseReplies)
    co_return Value;
  co_await Time.sleepFor(Timeout);
  throw base::TimeoutError("no reply");
}

control::CommandResult FakeControl::claim(const control::Claim &Request) {
  auto [Found, Added] = Claims.try_emplace(Request.IdempotencyKey);
  Entry &Known = Found->second;
  if (Added) {
    Known.Attempt = Request.Attempt;
    Known.Hash = Request.RequestHash;
    return result(control::ResultCode::Accepted);
  }
  if (Known.Hash != Request.RequestHash)
    return result(control::ResultCode::Conflict);
  if (Known.Finished && Known.Stored) {
    auto Replay = result(control::ResultCode::Replay);
    Replay.Stored = Known.Stored;
    return Replay;
  }
  return result(Known.Attempt == Request.Attempt && !Known.Finished
                    ? control::ResultCode::Accepted
                    : control::ResultCode::Taken);
}

control::CommandResult FakeControl::apply(const control::Command &Request) {
  if (const auto *Claim = std::get_if<control::Claim>(&Request))
    return claim(*Claim);
  if (const auto *Finish = std::get_if<control::FinishClaim>(&Request)) {
    Entry &Known = Claims[Finish->IdempotencyKey];
    Known.Finished = true;
    Known.Stored = Finish->Response;
  }
  if (const auto *Release = std::get_if<control::ReleaseClaim>(&Request)) {
    auto Found = Claims.find(Release->IdempotencyKey);
    if (Found != Claims.end() && Found->second.Attempt == Release->Attempt)
      Claims.erase(Found);
  }
  return result(control::ResultCode::Accepted);
}

} // namespace amaranth::dataplane::testing
