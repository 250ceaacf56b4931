#ifndef AMARANTH_CONTROL_DOCUMENTSERVICE_H
#define AMARANTH_CONTROL_DOCUMENTSERVICE_H

#include "amaranth/control/ControlState.h"
#include "amaranth/document/WholeDocument.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace amaranth::control {

enum class ChangeOutcome : std::uint8_t {
  Accepted,
  /// Another document or rollout is in place.
  Conflict,
  Invalid,
  /// Certainly not accepted; it may be sent again here or elsewhere.
  Unavailable,
  /// May be accepted now or later; a resend gets a definite answer.
  Unknown,
};

struct ChangeResult {
  ChangeOutcome Outcome = ChangeOutcome::Unknown;
  std::string Reason;
};

/// The last rollout of a service.
struct RolloutLookup {
  /// False when this process cannot prove that it is current.
  bool Current = false;
  /// Empty when no rollout was ordered.
  std::optional<TimedRollout> Last;
};

struct DocumentTimeouts {
  /// Longest time for the proof that this process is current. Below the
  /// second after which a caller turns to another process.
  base::Millis Read = base::Millis(800);
  /// Longest wait for a commit.
  base::Millis Propose = base::Millis::seconds(3);
};

/// Replacement of the whole document and timed rollouts, for operators'
/// interfaces. Every outcome is logged. Single-threaded.
class DocumentService {
public:
  /// The references must outlive the object.
  DocumentService(replication::ReplicatedLog &Log, const ControlState &State,
                  DocumentTimeouts Timeouts)
      : Log(Log), State(State), Timeouts(Timeouts) {}

  /// Puts `Next` in place of the document `Base`. Sending the same document
  /// again, also after later ones, is accepted again.
  boost::asio::awaitable<ChangeResult> replace(base::OperatorName Requester,
                                               document::WholeDocument Next,
                                               base::DocumentLabel Base);

  /// The newest accepted document; null when this process cannot prove that
  /// it knows it.
  boost::asio::awaitable<std::shared_ptr<const document::WholeDocument>> read();

  boost::asio::awaitable<ChangeResult> startRollout(StartRollout Request);

  boost::asio::awaitable<RolloutLookup> rollout(base::ServiceName Service);

private:
  boost::asio::awaitable<bool> confirmCurrent(const char *Purpose);
  boost::asio::awaitable<ChangeResult> propose(Command Request);

  replication::ReplicatedLog &Log;
  const ControlState &State;
  DocumentTimeouts Timeouts;
};

} // namespace amaranth::control

#endif
