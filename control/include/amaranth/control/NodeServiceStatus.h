#ifndef AMARANTH_CONTROL_NODESERVICESTATUS_H
#define AMARANTH_CONTROL_NODESERVICESTATUS_H

#include "amaranth/control/NodeService.h"
#include "amaranth/control/StatusSource.h"

namespace amaranth::control {

/// Adapts a `NodeService` to the `StatusSource` of the operators' interface.
/// `Service` must outlive the object.
class NodeServiceStatus final : public StatusSource {
public:
  explicit NodeServiceStatus(const NodeService &Service) : Service(Service) {}

  std::vector<NodeStatus> nodes() const override;
  ConvergenceStatus convergence() const override;

private:
  const NodeService &Service;
};

} // namespace amaranth::control

#endif
