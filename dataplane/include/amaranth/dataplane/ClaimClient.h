#ifndef AMARANTH_DATAPLANE_CLAIMCLIENT_H
#define AMARANTH_DATAPLANE_CLAIMCLIENT_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/follower/ControlCalls.h"

#include <boost/asio/any_io_executor.hpp>

#include <optional>

namespace amaranth::dataplane {

/// Commands of the gate to control, with the resends they need.
///
/// Every command is idempotent by its attempt id, so a resend after a lost
/// reply gets the first result.
class ClaimClient {
public:
  /// The references must outlive the client and its background sends.
  ClaimClient(boost::asio::any_io_executor Executor,
              follower::ControlCalls &Calls, base::Clock &Time,
              Metrics &Counters)
      : Executor(std::move(Executor)), Calls(Calls), Time(Time),
        Counters(Counters) {}

  struct ClaimDecision {
    /// Empty when the request may run.
    std::optional<Refusal> Refused;
    /// The response of an earlier attempt, to be sent instead of running.
    std::optional<control::StoredResponse> Stored;
  };

  /// Claims the request's idempotency key within `Timeout`. A claim with an
  /// unknown result is released in the background.
  boost::asio::awaitable<ClaimDecision> claim(RequestHead Head,
                                              base::Millis Timeout);
  /// Stores the result in the background; without a response the claim stays
  /// taken.
  void finish(const RequestHead &Head,
              std::optional<control::StoredResponse> Response);
  /// Gives the claim back in the background. Only when no byte of the request
  /// reached the upstream.
  void release(const RequestHead &Head);

  /// Sends a command until it is committed, for at most `Timeout`. Empty when
  /// no commit is known by then.
  boost::asio::awaitable<std::optional<control::CommandResult>>
  commit(control::Command Request, base::Millis Timeout);
  void commitInBackground(control::Command Request);

private:
  boost::asio::any_io_executor Executor;
  follower::ControlCalls &Calls;
  base::Clock &Time;
  Metrics &Counters;
};

} // namespace amaranth::dataplane

#endif
