#ifndef AMARANTH_CONTROL_STATUSSOURCE_H
#define AMARANTH_CONTROL_STATUSSOURCE_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <optional>
#include <vector>

namespace amaranth::control {

/// One node that follows this control process.
struct NodeStatus {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// What the node acknowledged last.
  base::DocumentVersion Document;
  base::StateIndex State;
  base::Millis SinceHeard;
};

/// How far the latest document version has reached the followers.
struct ConvergenceStatus {
  base::DocumentVersion Document;
  std::size_t Following = 0;
  std::size_t Applied = 0;
  /// Time from acceptance until the last follower had applied it; empty
  /// while some have not.
  std::optional<base::Millis> Duration;
};

/// What the operators' interface shows about nodes. Implemented by the node
/// service; called on the thread of the `io_context`.
class StatusSource {
public:
  virtual ~StatusSource() = default;

  virtual std::vector<NodeStatus> nodes() const = 0;
  virtual ConvergenceStatus convergence() const = 0;
};

} // namespace amaranth::control

#endif
