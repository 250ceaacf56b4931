#include "ControlChooser.h"

#include "amaranth/base/Digest.h"

#include <algorithm>

namespace amaranth::follower::detail {

namespace {

/// Bounds what a control process can make a node remember.
constexpr std::size_t MaxProcesses = 64;

} // namespace

ControlChooser::ControlChooser(const base::NodeId &Node,
                               const base::AvailabilityZone &Zone,
                               std::vector<ControlProcess> Controls)
    : Node(Node), Zone(Zone) {
  add(Controls);
}

void ControlChooser::add(const std::vector<ControlProcess> &Controls) {
  for (const ControlProcess &Process : Controls) {
    bool Known = std::any_of(Entries.begin(), Entries.end(),
                             [&Process](const Entry &Each) {
                               return Each.Process.Where == Process.Where;
                             });
    if (Known || Entries.size() >= MaxProcesses)
      continue;
    std::string Pair = Node.value() + '|' + Process.Where.text();
    std::uint64_t Weight = base::hash64(base::asBytes(Pair));
    Order.push_back(Entries.size());
    Entries.push_back({Process, Weight});
  }
  std::sort(Order.begin(), Order.end(), [this](std::size_t A, std::size_t B) {
    const Entry &Left = Entries[A];
    const Entry &Right = Entries[B];
    bool LeftNear = Left.Process.Zone == Zone;
    bool RightNear = Right.Process.Zone == Zone;
    if (LeftNear != RightNear)
      return LeftNear;
    return Left.Weight > Right.Weight;
  });
}

std::optional<std::size_t>
ControlChooser::next(base::TimePoint Now,
                     std::optional<std::size_t> Except) const {
  std::optional<std::size_t> Best;
  for (std::size_t I : Order) {
    if (Except == I)
      continue;
    if (Entries[I].AvoidUntil <= Now)
      return I;
    if (!Best || Entries[I].AvoidUntil < Entries[*Best].AvoidUntil)
      Best = I;
  }
  return Best;
}

void ControlChooser::avoid(std::size_t Index, base::TimePoint Now) {
  Entries[Index].AvoidUntil = Now + AvoidTime;
}

void ControlChooser::accept(std::size_t Index) {
  Entries[Index].AvoidUntil = base::TimePoint(-1'000'000'000);
}

} // namespace amaranth::follower::detail
