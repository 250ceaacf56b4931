#ifndef AMARANTH_CONTROL_LEASETABLE_H
#define AMARANTH_CONTROL_LEASETABLE_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/control/Commands.h"
#include "amaranth/document/MeshSnapshot.h"

#include <map>
#include <vector>

namespace amaranth::control {

/// The endpoints of a node that no control process heard for this time are
/// marked unreachable.
inline constexpr base::Millis NodeLeaseDuration = base::Millis::seconds(8);

/// When each node was last heard, on the leader. Held in memory only.
class LeaseTable {
public:
  /// Most endpoints that one command expires, so that the loss of a zone
  /// does not make a long log entry.
  static constexpr std::size_t MaxExpiredPerCommand = 200;

  /// To be called when this process becomes leader: it has heard no node so
  /// far, so every node is granted a full lease first.
  void reset(base::TimePoint Now);

  void renew(const base::NodeId &Node, base::TimePoint Now);

  /// Reachable endpoints of nodes whose lease ran out, at most
  /// `MaxExpiredPerCommand`. The rest follows in later calls.
  ExpireEndpoints expired(const document::MeshSnapshot &Mesh,
                          base::TimePoint Now) const;

  /// Empty when the node was not heard since the last `reset`.
  std::optional<base::TimePoint> lastHeard(const base::NodeId &Node) const;

  /// Forgets nodes that were not heard for ten leases.
  void prune(base::TimePoint Now);

private:
  base::TimePoint Start;
  std::map<base::NodeId, base::TimePoint> LastHeard;
};

} // namespace amaranth::control

#endif
