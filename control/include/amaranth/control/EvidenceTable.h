#ifndef AMARANTH_CONTROL_EVIDENCETABLE_H
#define AMARANTH_CONTROL_EVIDENCETABLE_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/rollout/Evidence.h"

#include <deque>
#include <map>
#include <utility>

namespace amaranth::control {

/// Aggregates the evidence reported by nodes, on the leader, for the rollout
/// controllers. Held in memory only; a new leader starts empty.
class EvidenceTable {
public:
  /// How long windows are kept.
  static constexpr base::Millis Retention = base::Millis::seconds(600);

  using Counts = std::map<rollout::EvidenceKey, rollout::EvidenceCounts>;

  /// Counts received within one second after `Start`.
  struct Window {
    base::TimePoint Start;
    Counts Sums;
  };

  void reset();

  /// Adds a report to the window of `Now` and to the totals of the rollouts
  /// running in `Mesh`. Counts of services without a running rollout are added
  /// to the window only.
  void add(const rollout::EvidenceReport &Report,
           const document::MeshSnapshot &Mesh, base::TimePoint Now);

  /// Windows in chronological order. A window is complete one second after its
  /// start.
  const std::deque<Window> &windows() const { return Windows; }

  /// Sums the counts of one service over the windows that start at or after
  /// `Since`.
  Counts countsSince(const base::ServiceName &Service,
                     base::TimePoint Since) const;

  /// Counts of one rollout since this process became leader.
  Counts rolloutTotals(const base::ServiceName &Service,
                       base::Revision Section) const;

private:
  void prune(const document::MeshSnapshot &Mesh, base::TimePoint Now);

  using RolloutKey = std::pair<base::ServiceName, base::Revision>;

  std::deque<Window> Windows;
  std::map<RolloutKey, Counts> Totals;
};

} // namespace amaranth::control

#endif
