#ifndef AMARANTH_DATAPLANE_RETRYBUDGETS_H
#define AMARANTH_DATAPLANE_RETRYBUDGETS_H

#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/RetryBudget.h"
#include "amaranth/follower/SnapshotSource.h"

#include <map>
#include <memory>
#include <optional>

namespace amaranth::dataplane {

/// The retry budgets of this node, one for each service. Single-threaded.
///
/// The fixed part of a shared budget is divided by the number of nodes. Those
/// that are not seen now may still use their part: a node that is cut off keeps
/// the share of its last snapshot, and one that has restarted does not know
/// what its previous process has used.
class RetryBudgets {
public:
  /// A node whose endpoints have become unreachable counts for this long.
  static constexpr base::Millis NodeRetention = base::Millis::seconds(60);

  /// `Shared`: the budget of all nodes together; when empty, this node has a
  /// budget of its own for each service. The references must outlive the
  /// object, which is created with the process: the fixed part of a shared
  /// budget is available one window later.
  RetryBudgets(base::Clock &Time, follower::SnapshotSource &Snapshots,
               std::optional<SharedRetryBudget> Shared)
      : Time(Time), Snapshots(Snapshots), Shared(Shared), Created(Time.now()) {}

  /// The budget of `Service`. The reference is valid until `update`.
  RetryBudget &budgetOf(const base::ServiceName &Service);

  /// Follows the current snapshot: recomputes this node's share and forgets
  /// services that are gone and have not been used for a window.
  void update();

  /// Expires with this object. Tasks that are destroyed with the event loop may
  /// outlive it.
  std::weak_ptr<const void> lifetime() const { return Lifetime; }

private:
  RetryBudget::Rates rates();
  void countNodes();

  base::Clock &Time;
  follower::SnapshotSource &Snapshots;
  std::optional<SharedRetryBudget> Shared;
  base::TimePoint Created;
  std::shared_ptr<const bool> Lifetime = std::make_shared<const bool>();
  std::map<base::ServiceName, RetryBudget> Budgets;
  /// The endpoints whose nodes are in `UnreachableSince`.
  decltype(document::MeshSnapshot::Endpoints) CountedEndpoints;
  /// When the endpoints of a node became unreachable; empty for nodes that are
  /// reachable.
  std::map<base::NodeId, std::optional<base::TimePoint>> UnreachableSince;
};

} // namespace amaranth::dataplane

#endif
