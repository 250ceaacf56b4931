#ifndef AMARANTH_FOLLOWER_CONTROLCALLS_H
#define AMARANTH_FOLLOWER_CONTROLCALLS_H

#include "amaranth/base/Millis.h"
#include "amaranth/control/Commands.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/rollout/Evidence.h"

#include <boost/asio/awaitable.hpp>

namespace amaranth::follower {

/// Requests from a node to the control process it is connected to.
class ControlCalls {
public:
  virtual ~ControlCalls() = default;

  /// Commits a command and returns its result. Nodes may send `Claim`,
  /// `FinishClaim`, `ReleaseClaim`, `ReportCrash` and `EndSuspectRun`. Throws
  /// `replication::NotLeader` if the command was definitely not applied, and
  /// `base::TimeoutError` if it may or may not have been applied. Commands are
  /// idempotent by their attempt id, so a caller can safely retry the same
  /// command.
  virtual boost::asio::awaitable<control::CommandResult>
  call(control::Command Request, base::Millis Timeout) = 0;

  /// Publishes the state of the local upstream. The update is kept and resent,
  /// also after each reconnect, until a control process has committed it.
  virtual void publish(document::Endpoint Entry) = 0;

  /// Adds counts to the evidence that is sent periodically. Counts cover the
  /// time since the last report, so a lost report only loses its own counts.
  virtual void report(const rollout::EvidenceReport &Report) = 0;
};

} // namespace amaranth::follower

#endif
