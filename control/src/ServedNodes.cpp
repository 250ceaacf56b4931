#include "amaranth/control/ServedNodes.h"

namespace amaranth::control {

std::vector<NodeStatus> ServedNodes::nodes() const {
  std::vector<NodeStatus> Result;
  for (const ServedNode &Node : Service.nodes())
    if (Node.Connected)
      Result.push_back(
          {Node.Node, Node.Zone, Node.Document, Node.State, Node.SinceHeard});
  return Result;
}

ConvergenceStatus ServedNodes::convergence() const {
  ConvergenceStatus Result;
  auto Versions = Service.convergence();
  if (Versions.empty())
    return Result;
  Result.Document = Versions.back().Document;
  Result.Took = Versions.back().Took;
  for (const ServedNode &Node : Service.nodes()) {
    Result.Following += Node.Connected ? 1 : 0;
    Result.Applied +=
        Node.Connected && Node.Document >= Result.Document ? 1 : 0;
  }
  return Result;
}

} // namespace amaranth::control
