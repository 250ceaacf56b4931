#ifndef AMARANTH_CONTROL_CONTROLSTATE_H
#define AMARANTH_CONTROL_CONTROLSTATE_H

#include "amaranth/control/Commands.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::control {

/// One section of the accepted document.
struct StoredSection {
  std::string Name;
  base::TeamName Owner;
  std::string Body;
  base::Revision Rev;
  std::uint64_t Digest = 0;
};

/// One line of the audit trail.
struct AuditEntry {
  base::LogIndex Index;
  base::WallTime Time;
  /// Operator, or `system` for decisions of the system itself.
  std::string Actor;
  std::string Section;
  base::Revision OldRevision;
  base::Revision NewRevision;
  std::uint64_t Digest = 0;
  std::string Operation;
  /// `accepted`, `conflict`, `forbidden`, `invalid`, or the rollout phase.
  std::string Result;
  std::string Reason;
};

/// State of one rollout.
struct RolloutStatus {
  base::ServiceName Service;
  base::Revision Section;
  base::VersionName From;
  base::VersionName To;
  RolloutPhase Phase = RolloutPhase::Waiting;
  std::uint32_t Share = 0;
  std::uint32_t Step = 0;
  std::uint64_t Epoch = 0;
  std::string Reason;
  /// Entry times of the first and the last decision.
  base::WallTime Since;
  base::WallTime LastChange;
  /// Body of the section, for the controller's plan.
  std::string Body;
};

/// A rollout that an operator ordered with a duration.
struct TimedRollout {
  base::ServiceName Service;
  /// Log index of the order.
  base::LogIndex Order;
  base::VersionName From;
  base::VersionName To;
  base::Millis Duration;
  /// Entry time of the order.
  base::WallTime Started;
  TimedRolloutPhase Phase = TimedRolloutPhase::Active;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  std::uint64_t Epoch = 1;
  /// Time since the start at the last decision.
  base::Millis Elapsed;
  std::string Reason;
};

/// The replicated state machine of the control processes. Queries may be
/// made at any time on the thread that applies entries.
class ControlState final : public replication::StateMachine {
public:
  ControlState();
  ~ControlState() override;

  base::Bytes apply(const replication::AppliedEntry &Entry) override;
  base::Bytes snapshot() const override;
  /// Throws `base::ProtocolError` and changes nothing when the snapshot is
  /// malformed, inconsistent or older than the present state.
  void restore(base::ByteView Snapshot) override;

  base::DocumentVersion documentVersion() const;
  base::StateIndex stateIndex() const;
  /// Sections in name order.
  std::vector<StoredSection> sections() const;
  std::vector<RolloutStatus> rollouts() const;
  /// The newest entries first, at most `Limit`.
  std::vector<AuditEntry> audit(std::size_t Limit) const;
  std::size_t claimCount() const;

  /// The document that operators replace as a whole; label 0 and empty before
  /// the first one.
  std::shared_ptr<const document::WholeDocument> wholeDocument() const;
  /// Digest of the document that was accepted under a label, if any.
  std::optional<std::uint64_t> acceptedDigest(base::DocumentLabel Label) const;
  /// The result of a replacement that the labels alone decide; nothing when it
  /// has to be proposed.
  std::optional<CommandResult>
  checkReplacementLabels(base::DocumentLabel Label, base::DocumentLabel Base,
                         std::uint64_t Digest) const;
  /// The last timed rollout of each service.
  std::vector<TimedRollout> timedRollouts() const;

  /// The value for nodes. Built once for each state and then shared; changes
  /// of claims alone do not build a new one.
  std::shared_ptr<const document::MeshSnapshot> mesh() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace amaranth::control

#endif
