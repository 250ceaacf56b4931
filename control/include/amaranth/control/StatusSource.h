#ifndef AMARANTH_CONTROL_STATUSSOURCE_H
#define AMARANTH_CONTROL_STATUSSOURCE_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <optional>
#include <vector>

namespace amaranth::control {

/// Status of a node that is connected to this control process.
struct NodeStatus {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// Versions that the node last acknowledged.
  base::DocumentVersion Document;
  base::StateIndex State;
  base::Millis SinceHeard;
};

/// Progress of the latest document version among the connected nodes.
struct ConvergenceStatus {
  base::DocumentVersion Document;
  std::size_t Following = 0;
  std::size_t Applied = 0;
  /// Time from the commit until the last connected node had applied the
  /// version; empty until then.
  std::optional<base::Millis> Duration;
};

/// Provides node status to the operators' interface. Called on the thread of
/// the `io_context`.
class StatusSource {
public:
  virtual ~StatusSource() = default;

  virtual std::vector<NodeStatus> nodes() const = 0;
  virtual ConvergenceStatus convergence() const = 0;
};

} // namespace amaranth::control

#endif
