#ifndef AMARANTH_CONTROL_LEASETABLE_H
#define AMARANTH_CONTROL_LEASETABLE_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/control/Commands.h"
#include "amaranth/document/MeshSnapshot.h"

#include <map>
#include <vector>

namespace amaranth::control {

/// The endpoints of a node are marked unreachable when no control process has
/// received a message from the node for this time.
inline constexpr base::Millis NodeLeaseDuration = base::Millis::seconds(8);

/// Tracks on the leader when each node was last heard. Held in memory only.
class LeaseTable {
public:
  /// Maximum number of endpoints expired by one command. Keeps the log entry
  /// short when a whole availability zone is lost.
  static constexpr std::size_t MaxExpiredPerCommand = 200;

  /// Must be called when this process becomes leader. Grants every node a full
  /// lease, because the new leader has not heard from any node yet.
  void reset(base::TimePoint Now);

  /// Renews the lease of a node that was heard at `Now`.
  void renew(const base::NodeId &Node, base::TimePoint Now);

  /// Endpoints that are not yet marked unreachable and belong to nodes with an
  /// expired lease, at most `MaxExpiredPerCommand`. Later calls return the
  /// rest.
  ExpireEndpoints expired(const document::MeshSnapshot &Mesh,
                          base::TimePoint Now) const;

  /// Returns `nullopt` if the node has not been heard since the last `reset`.
  std::optional<base::TimePoint> lastHeard(const base::NodeId &Node) const;

  /// Removes nodes that have not been heard for ten lease durations.
  void prune(base::TimePoint Now);

private:
  base::TimePoint Start;
  std::map<base::NodeId, base::TimePoint> LastHeard;
};

} // namespace amaranth::control

#endif
