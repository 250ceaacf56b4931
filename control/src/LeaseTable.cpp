#include "amaranth/control/LeaseTable.h"

namespace amaranth::control {

void LeaseTable::reset(base::TimePoint Now) {
  Start = Now;
  LastHeard.clear();
}

void LeaseTable::renew(const base::NodeId &Node, base::TimePoint Now) {
  LastHeard[Node] = Now;
}

std::optional<base::TimePoint>
LeaseTable::lastHeard(const base::NodeId &Node) const {
  auto Found = LastHeard.find(Node);
  if (Found == LastHeard.end())
    return std::nullopt;
  return Found->second;
}

ExpireEndpoints LeaseTable::expired(const document::MeshSnapshot &Mesh,
                                    base::TimePoint Now) const {
  ExpireEndpoints Command;
  for (const auto &[Id, Entry] : Mesh.Endpoints) {
    if (Entry.State == document::EndpointState::Unreachable)
      continue;
    if (Now - lastHeard(Entry.Node).value_or(Start) < NodeLeaseDuration)
      continue;
    Command.Items.push_back({Id, Entry.Incarnation, Entry.Sequence});
    if (Command.Items.size() == MaxExpiredPerCommand)
      break;
  }
  return Command;
}

void LeaseTable::prune(base::TimePoint Now) {
  // Removed nodes would otherwise be kept for as long as this process leads. A
  // node without an entry counts as last heard at `Start`.
  std::erase_if(LastHeard, [&](const auto &Entry) {
    return Now - Entry.second > NodeLeaseDuration * 10;
  });
}

} // namespace amaranth::control
