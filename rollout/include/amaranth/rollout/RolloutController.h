#ifndef AMARANTH_ROLLOUT_ROLLOUTCONTROLLER_H
#define AMARANTH_ROLLOUT_ROLLOUTCONTROLLER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/rollout/EvidenceWindow.h"
#include "amaranth/rollout/RolloutEvidence.h"
#include "amaranth/rollout/RolloutPlan.h"
#include "amaranth/rollout/RolloutState.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace amaranth::rollout {

/// A rollout that is not in a final phase.
struct RunningRollout {
  RolloutPlan Plan;
  RolloutState State;
};

enum class CommitResult : std::uint8_t {
  Accepted = 1,
  /// The epoch or the section's revision is out of date.
  Refused = 2,
};

/// Gives access to the replicated rollouts. Not thread-safe.
class RolloutStore {
public:
  virtual ~RolloutStore() = default;

  virtual bool isLeader() const = 0;
  /// The current term. It changes whenever another process may have been the
  /// leader in the meantime.
  virtual base::Term term() const = 0;
  /// The rollouts that have not ended, in the state last applied by this
  /// process. Must not contain plans that `validatePlan` rejects.
  virtual std::vector<RunningRollout> running() const = 0;
  /// Commits a decision. Must complete within a few seconds. Throws
  /// `base::Error` if the outcome is unknown or the leadership was lost.
  virtual boost::asio::awaitable<CommitResult>
  commitDecision(Decision Value) = 0;
};

/// Provides the evidence that this process has received. Not thread-safe.
class EvidenceSource {
public:
  virtual ~EvidenceSource() = default;

  /// Returns the complete windows of the service that start at or after
  /// `Since`, in chronological order. A returned window does not change later.
  /// A second without requests yields an empty window if nodes reported during
  /// it, and no window otherwise.
  virtual std::vector<EvidenceWindow> windowsSince(const RolloutPlan &Plan,
                                                   base::WallTime Since) = 0;
};

/// Drives all rollouts while this process is the leader. Each second it reads
/// the new evidence and proposes the decisions that are due, rollbacks first.
///
/// Keeps no state that must survive a fail-over: it discards its evidence and
/// restarts the tests when the term changes or the leadership is lost. The
/// three constructor arguments must outlive the run.
class RolloutController {
public:
  RolloutController(base::Clock &Time, RolloutStore &Store,
                    EvidenceSource &Source);

  /// Runs until cancelled.
  boost::asio::awaitable<void> run();
  /// Evaluates all rollouts once.
  boost::asio::awaitable<void> tick();

  /// Number of rollouts for which evidence is kept.
  std::size_t trackedCount() const { return Tracked.size(); }
  /// Returns the evidence on a rollout, or nothing if it is not tracked.
  std::optional<EvidenceSummary>
  evidence(const base::ServiceName &Service) const;

private:
  struct TrackedRollout {
    base::Revision Section;
    std::unique_ptr<RolloutEvidence> Evidence;
    /// End of the last window that was added.
    base::WallTime NextWindowStart;
  };

  bool updateLeadership();
  void removeEnded(const std::vector<RunningRollout> &Running);
  void collectEvidence(const RunningRollout &Rollout);
  std::vector<Decision> dueDecisions();
  boost::asio::awaitable<void> propose(Decision Value);

  base::Clock &Time;
  RolloutStore &Store;
  EvidenceSource &Source;
  std::optional<base::Term> LeadingTerm;
  std::map<base::ServiceName, TrackedRollout> Tracked;
};

/// Time between two evaluations.
inline constexpr base::Millis ControllerInterval = base::Millis::seconds(1);

} // namespace amaranth::rollout

#endif
