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

/// Sums of the nodes' evidence on the leader, for the rollout controller.
/// Held in memory only; a new leader starts empty.
class EvidenceTable {
public:
  /// How long the one-second windows are kept.
  static constexpr base::Millis Retention = base::Millis::seconds(600);

  using Counts = std::map<rollout::EvidenceKey, rollout::EvidenceCounts>;

  /// Counts that arrived within one second from `Start`.
  struct Window {
    base::TimePoint Start;
    Counts Sums;
  };

  void reset();

  /// Adds a report to the window of `Now` and to the totals of the rollouts
  /// that run in `Mesh`. Counts of services without a rollout go into the
  /// window only.
  void add(const rollout::EvidenceReport &Report,
           const document::MeshSnapshot &Mesh, base::TimePoint Now);

  /// Windows in time order. A window is complete one second after its start.
  const std::deque<Window> &windows() const { return Windows; }

  /// Sums of the windows that start at or after `Since`, one service.
  Counts countsSince(const base::ServiceName &Service,
                     base::TimePoint Since) const;

  /// All counts of one rollout since this process leads.
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
