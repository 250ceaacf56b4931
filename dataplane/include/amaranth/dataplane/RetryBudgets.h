#ifndef AMARANTH_DATAPLANE_RETRYBUDGETS_H
#define AMARANTH_DATAPLANE_RETRYBUDGETS_H

#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/RetryBudget.h"
#include "amaranth/follower/SnapshotSource.h"

#include <map>
#include <optional>

namespace amaranth::dataplane {

/// The retry budgets of this node, one for each service. Single-threaded.
class RetryBudgets {
public:
  /// `Shared`: the budget of all nodes together; when empty, this node has a
  /// budget of its own for each service. The references must outlive the
  /// object.
  RetryBudgets(base::Clock &Time, follower::SnapshotSource &Snapshots,
               std::optional<SharedRetryBudget> Shared)
      : Time(Time), Snapshots(Snapshots), Shared(Shared) {}

  /// The budget of `Service`. The reference is valid until `update`.
  RetryBudget &budgetOf(const base::ServiceName &Service);

  /// Follows the current snapshot: recomputes this node's share and forgets
  /// services that are gone.
  void update();

private:
  RetryBudget::Rates rates();

  base::Clock &Time;
  follower::SnapshotSource &Snapshots;
  std::optional<SharedRetryBudget> Shared;
  std::map<base::ServiceName, RetryBudget> Budgets;
  /// The endpoints whose nodes `NodeCount` counts.
  decltype(document::MeshSnapshot::Endpoints) CountedEndpoints;
  std::size_t NodeCount = 0;
};

} // namespace amaranth::dataplane

#endif
