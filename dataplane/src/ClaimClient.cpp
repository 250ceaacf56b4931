#include "amaranth/dataplane/ClaimClient.h"

#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

/// Timeout of one call, after which the command is sent again.
constexpr base::Millis CallTimeout = base::Millis(1000);
constexpr base::Millis ResendDelay = base::Millis(50);
/// Timeout of background commands. The claim then stays taken, which is safe:
/// the request is not run again.
constexpr base::Millis BackgroundTimeout = base::Millis::seconds(30);

ClaimClient::ClaimDecision refusedClaim(ExecutionOutcome What,
                                        RefusalReason Code, const char *Text) {
  ClaimClient::ClaimDecision Result;
  Result.Refused = Refusal{What, Code, Text};
  return Result;
}

} // namespace

asio::awaitable<std::optional<control::CommandResult>>
ClaimClient::commit(control::Command Request, base::Millis Timeout) {
  base::TimePoint End = Time.now() + Timeout;
  while (Time.now() < End) {
    try {
      base::Millis CallLimit = std::min(CallTimeout, End - Time.now());
      co_return co_await Calls.call(Request, CallLimit);
    } catch (const base::Error &Failure) {
      base::logger("dataplane")
          ->debug("call to control failed error=\"{}\"", Failure.what());
    }
    co_await Time.sleepFor(ResendDelay);
  }
  co_return std::nullopt;
}

void ClaimClient::commitInBackground(control::Command Request) {
  asio::co_spawn(
      Executor,
      [this, Request = std::move(Request)]() -> asio::awaitable<void> {
        auto Result = co_await commit(Request, BackgroundTimeout);
        if (!Result)
          base::logger("dataplane")
              ->warn("command not committed kind={}", Request.index());
      },
      asio::detached);
}

asio::awaitable<ClaimClient::ClaimDecision>
ClaimClient::claim(RequestHead Head, base::Millis Timeout) {
  control::Command Request = control::Claim{Head.Service, *Head.IdempotencyKey,
                                            Head.RequestHash, Head.Attempt};
  auto Result = co_await commit(Request, Timeout);
  if (!Result) {
    Counters.countClaim("unavailable");
    release(Head);
    co_return refusedClaim(ExecutionOutcome::NotRun,
                           RefusalReason::ClaimUnavailable,
                           "no majority of the control processes answered");
  }
  switch (Result->Code) {
  case control::ResultCode::Accepted:
    Counters.countClaim("granted");
    co_return ClaimDecision{};
  case control::ResultCode::Replay: {
    Counters.countClaim("replayed");
    ClaimDecision Replay;
    Replay.Stored = std::move(Result->Stored);
    if (!Replay.Stored)
      co_return refusedClaim(
          ExecutionOutcome::Unknown, RefusalReason::ClaimTaken,
          "an earlier attempt ended without a stored response");
    co_return Replay;
  }
  case control::ResultCode::Taken:
    Counters.countClaim("taken");
    co_return refusedClaim(ExecutionOutcome::Unknown, RefusalReason::ClaimTaken,
                           "another attempt with this key has been started");
  default:
    Counters.countClaim("conflict");
    co_return refusedClaim(ExecutionOutcome::NotRun, RefusalReason::KeyConflict,
                           "the key was used for another request");
  }
}

void ClaimClient::finish(const RequestHead &Head,
                         std::optional<control::StoredResponse> Response) {
  commitInBackground(control::FinishClaim{Head.Service, *Head.IdempotencyKey,
                                          Head.Attempt, std::move(Response)});
}

void ClaimClient::release(const RequestHead &Head) {
  commitInBackground(
      control::ReleaseClaim{Head.Service, *Head.IdempotencyKey, Head.Attempt});
}

} // namespace amaranth::dataplane
