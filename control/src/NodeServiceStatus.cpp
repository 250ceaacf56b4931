#include "amaranth/control/NodeServiceStatus.h"

namespace amaranth::control {

std::vector<NodeStatus> NodeServiceStatus::nodes() const {
  std::vector<NodeStatus> Result;
  for (const ServedNode &Node : Service.nodes())
    if (Node.Connected)
      Result.push_back(
          {Node.Node, Node.Zone, Node.Document, Node.State, Node.SinceHeard});
  return Result;
}

ConvergenceStatus NodeServiceStatus::convergence() const {
  ConvergenceStatus Result;
  auto Versions = Service.convergence();
  if (Versions.empty())
    return Result;
  Result.Document = Versions.back().Document;
  Result.Duration = Versions.back().Duration;
  for (const ServedNode &Node : Service.nodes()) {
    Result.Following += Node.Connected ? 1 : 0;
    Result.Applied +=
        Node.Connected && Node.Document >= Result.Document ? 1 : 0;
  }
  return Result;
}

} // namespace amaranth::control
