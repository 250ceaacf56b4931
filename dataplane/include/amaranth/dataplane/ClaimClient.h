#ifndef AMARANTH_DATAPLANE_CLAIMCLIENT_H
#define AMARANTH_DATAPLANE_CLAIMCLIENT_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/follower/ControlCalls.h"

#include <boost/asio/any_io_executor.hpp>

#include <optional>

namespace amaranth::dataplane {

/// Sends the gate's commands to control and resends them when a reply is lost.
///
/// Commands are idempotent by their attempt id, so a resend returns the result
/// of the first execution.
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
    /// Response of an earlier attempt, to be returned instead of running the
    /// request.
    std::optional<control::StoredResponse> Stored;
  };

  /// Claims the request's idempotency key. A claim whose result is unknown
  /// after `Timeout` is released in the background.
  boost::asio::awaitable<ClaimDecision> claim(RequestHead Head,
                                              base::Millis Timeout);
  /// Stores the result in the background. Without a response the key stays
  /// taken and no response can be replayed.
  void finish(const RequestHead &Head,
              std::optional<control::StoredResponse> Response);
  /// Releases the claim in the background. Allowed only when no byte of the
  /// request reached the upstream.
  void release(const RequestHead &Head);

  /// Sends a command repeatedly until it is committed. Returns nothing when no
  /// commit is known after `Timeout`.
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
