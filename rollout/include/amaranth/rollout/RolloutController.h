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

/// A rollout that has not ended.
struct RunningRollout {
  RolloutPlan Plan;
  RolloutState State;
};

enum class CommitResult : std::uint8_t {
  Accepted = 1,
  /// The epoch or the section's revision is not the current one.
  Refused = 2,
};

/// The replicated rollouts. Single-threaded.
class RolloutStore {
public:
  virtual ~RolloutStore() = default;

  virtual bool isLeader() const = 0;
  /// Changes whenever the leadership may have been elsewhere in between.
  virtual base::Term term() const = 0;
  /// The rollouts that have not ended, as last applied here. Rollouts whose
  /// plan has `validatePlan` must not be among them.
  virtual std::vector<RunningRollout> running() const = 0;
  /// Commits a decision. Must end within a few seconds. Throws
  /// `base::Error` when the outcome is unknown or the leadership was lost.
  virtual boost::asio::awaitable<CommitResult>
  commitDecision(Decision Value) = 0;
};

/// The evidence that reached this process. Single-threaded.
class EvidenceSource {
public:
  virtual ~EvidenceSource() = default;

  /// The complete windows of a service that began at or after `Since`, in
  /// time order. A window that was returned does not change any more. A
  /// second without requests gives an empty window as long as reports come
  /// in, and none when they do not.
  virtual std::vector<EvidenceWindow> windowsSince(const RolloutPlan &Plan,
                                                   base::WallTime Since) = 0;
};

/// Drives all rollouts while this process leads: each second it reads the
/// new evidence, and proposes the decisions that are due, roll-backs first.
///
/// Keeps no state that matters: with a new term or without the leadership it
/// forgets its evidence and starts the tests anew. All three references must
/// outlive the run.
class RolloutController {
public:
  RolloutController(base::Clock &Time, RolloutStore &Store,
                    EvidenceSource &Source);

  /// Runs until it is cancelled.
  boost::asio::awaitable<void> run();
  /// One look at all rollouts.
  boost::asio::awaitable<void> tick();

  /// Rollouts whose evidence is kept.
  std::size_t trackedCount() const { return Tracked.size(); }
  /// What is known of one rollout; nothing when it is not followed.
  std::optional<EvidenceSummary>
  evidence(const base::ServiceName &Service) const;

private:
  struct TrackedRollout {
    base::Revision Section;
    std::unique_ptr<RolloutEvidence> Evidence;
    /// End of the last window taken.
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

/// Time between two looks.
inline constexpr base::Millis ControllerInterval = base::Millis::seconds(1);

} // namespace amaranth::rollout

#endif
