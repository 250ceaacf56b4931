#ifndef AMARANTH_CONTROL_DOCUMENTSERVICE_H
#define AMARANTH_CONTROL_DOCUMENTSERVICE_H

#include "amaranth/control/ControlState.h"
#include "amaranth/control/StatusSource.h"
#include "amaranth/document/WholeDocument.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace amaranth::control {

enum class ChangeOutcome : std::uint8_t {
  Accepted,
  /// A different document or rollout has been committed.
  Conflict,
  Invalid,
  /// Not accepted. The client may retry on this or another process.
  Unavailable,
  /// The change may or may not be committed, now or later. Sending it again
  /// returns a definite outcome.
  Unknown,
};

struct ChangeResult {
  ChangeOutcome Outcome = ChangeOutcome::Unknown;
  std::string Reason;
};

/// The most recent rollout of a service.
struct RolloutLookup {
  /// False if this process could not confirm that its state is up to date.
  bool Current = false;
  /// Empty if no rollout was requested.
  std::optional<TimedRollout> Last;
};

struct DocumentTimeouts {
  /// Time limit for confirming that the state is up to date. It is below 1 s,
  /// after which callers try another process.
  base::Millis Read = base::Millis(800);
  /// Time limit for a commit.
  base::Millis Propose = base::Millis::seconds(3);
};

/// Replaces the whole document, manages timed rollouts and evacuates zones on
/// behalf of the operators' interfaces. Every outcome is logged. Not
/// thread-safe.
class DocumentService {
public:
  /// The references must outlive the object.
  DocumentService(replication::ReplicatedLog &Log, const ControlState &State,
                  DocumentTimeouts Timeouts)
      : Log(Log), State(State), Timeouts(Timeouts) {}
  /// `Nodes` tells the zones of the nodes that follow this process, `OwnZone`
  /// is the zone of this process: both can be evacuated before an endpoint has
  /// named them.
  DocumentService(replication::ReplicatedLog &Log, const ControlState &State,
                  const StatusSource &Nodes, base::AvailabilityZone OwnZone,
                  DocumentTimeouts Timeouts)
      : Log(Log), State(State), Nodes(&Nodes), OwnZone(std::move(OwnZone)),
        Timeouts(Timeouts) {}

  /// Replaces the document labeled `Base` by `Next`. The call is idempotent: a
  /// document that was accepted before is accepted again, even if later
  /// documents have replaced it.
  boost::asio::awaitable<ChangeResult> replace(base::OperatorName Requester,
                                               document::WholeDocument Next,
                                               base::DocumentLabel Base);

  /// Returns the latest accepted document, or null if this process cannot
  /// confirm that its state is up to date.
  boost::asio::awaitable<std::shared_ptr<const document::WholeDocument>> read();

  boost::asio::awaitable<ChangeResult> startRollout(StartRollout Request);

  boost::asio::awaitable<RolloutLookup> rollout(base::ServiceName Service);

  /// Evacuates a zone, or takes it back if `Active` is false. The call is
  /// idempotent.
  boost::asio::awaitable<ChangeResult>
  setEvacuation(base::OperatorName Requester, base::AvailabilityZone Zone,
                bool Active);

private:
  boost::asio::awaitable<bool> confirmCurrent(const char *Purpose);
  boost::asio::awaitable<ChangeResult> propose(Command Request);
  bool knowsZone(const base::AvailabilityZone &Zone) const;

  replication::ReplicatedLog &Log;
  const ControlState &State;
  /// May be null.
  const StatusSource *Nodes = nullptr;
  base::AvailabilityZone OwnZone;
  DocumentTimeouts Timeouts;
};

} // namespace amaranth::control

#endif
