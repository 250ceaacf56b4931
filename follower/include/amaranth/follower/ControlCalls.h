#ifndef AMARANTH_FOLLOWER_CONTROLCALLS_H
#define AMARANTH_FOLLOWER_CONTROLCALLS_H

#include "amaranth/base/Millis.h"
#include "amaranth/control/Commands.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/rollout/Evidence.h"

#include <boost/asio/awaitable.hpp>

namespace amaranth::follower {

/// Calls of a node to its control process.
class ControlCalls {
public:
  virtual ~ControlCalls() = default;

  /// Has a command committed and returns its result. Allowed for nodes:
  /// `Claim`, `FinishClaim`, `ReleaseClaim`, `ReportCrash`,
  /// `BeginSuspectRun`, `EndSuspectRun`. Throws `replication::NotLeader` when
  /// the command was certainly not applied and `base::TimeoutError` when that
  /// is unknown. Commands are idempotent by their attempt id, so a caller may
  /// send the same command again.
  virtual boost::asio::awaitable<control::CommandResult>
  call(control::Command Request, base::Millis Timeout) = 0;

  /// Publishes the state of the local upstream. Remembered, and sent again
  /// after each reconnect until a control process has committed it.
  virtual void publish(document::Endpoint Entry) = 0;

  /// Adds to the evidence that is reported each second. Lost reports only
  /// reduce the evidence; counters are sums since the last report.
  virtual void report(const rollout::EvidenceReport &Report) = 0;
};

} // namespace amaranth::follower

#endif
