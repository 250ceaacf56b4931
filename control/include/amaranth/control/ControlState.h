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

/// One entry of the audit trail.
struct AuditEntry {
  base::LogIndex Index;
  base::WallTime Time;
  /// Name of the operator, or `system` for automatic decisions.
  std::string Actor;
  std::string Section;
  base::Revision OldRevision;
  base::Revision NewRevision;
  std::uint64_t Digest = 0;
  std::string Operation;
  /// One of `accepted`, `conflict`, `forbidden`, `invalid`, `refused`,
  /// `started`, `convicted`, `lifted`, `evacuated`, `taken-back`, or a rollout
  /// phase.
  std::string Result;
  std::string Reason;
};

/// State of a rollout that is defined by a `rollout` section.
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
  /// Entry times of the start and of the last decision.
  base::WallTime Since;
  base::WallTime LastChange;
  /// Body of the section, from which the rollout plan is parsed.
  std::string Body;
};

/// A zone that is evacuated by order of an operator.
struct Evacuation {
  base::AvailabilityZone Zone;
  base::OperatorName Operator;
  /// Entry time of the order.
  base::WallTime Since;
};

/// State of a rollout that an operator started with `StartRollout`.
struct TimedRollout {
  base::ServiceName Service;
  /// Log index of the `StartRollout` command.
  base::LogIndex Order;
  base::VersionName From;
  base::VersionName To;
  base::Millis Duration;
  /// Entry time of the `StartRollout` command.
  base::WallTime Started;
  TimedRolloutPhase Phase = TimedRolloutPhase::Active;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  std::uint64_t Epoch = 1;
  /// Time since the start at the last decision.
  base::Millis Elapsed;
  std::string Reason;
};

/// The replicated state machine of the control processes. Not thread-safe:
/// queries must run on the thread that applies entries.
class ControlState final : public replication::StateMachine {
public:
  ControlState();
  ~ControlState() override;

  base::Bytes apply(const replication::AppliedEntry &Entry) override;
  base::Bytes snapshot() const override;
  /// Throws `base::ProtocolError` and changes nothing when the snapshot is
  /// malformed, inconsistent or older than the current state.
  void restore(base::ByteView Snapshot) override;

  base::DocumentVersion documentVersion() const;
  base::StateIndex stateIndex() const;
  /// Sections in name order.
  std::vector<StoredSection> sections() const;
  std::vector<RolloutStatus> rollouts() const;
  /// Audit entries, newest first, at most `Limit`.
  std::vector<AuditEntry> audit(std::size_t Limit) const;
  std::size_t claimCount() const;

  /// The document that operators replace as a whole. Empty and with label 0
  /// before the first replacement.
  std::shared_ptr<const document::WholeDocument> wholeDocument() const;
  /// Digest of the document that was accepted under a label, if any.
  std::optional<std::uint64_t> acceptedDigest(base::DocumentLabel Label) const;
  /// Checks a replacement by its labels and digest alone. Returns `nullopt` if
  /// this does not determine the result, so the replacement must be proposed.
  std::optional<CommandResult>
  checkReplacementLabels(base::DocumentLabel Label, base::DocumentLabel Base,
                         std::uint64_t Digest) const;
  /// The most recent timed rollout of each service.
  std::vector<TimedRollout> timedRollouts() const;
  /// In the order of the zones' names.
  std::vector<Evacuation> evacuations() const;

  /// Snapshot of the mesh for nodes. Built lazily and cached until the state
  /// changes; changes to claims do not invalidate it.
  std::shared_ptr<const document::MeshSnapshot> mesh() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace amaranth::control

#endif
