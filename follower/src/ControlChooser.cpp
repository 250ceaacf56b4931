#include "ControlChooser.h"

#include "amaranth/base/Digest.h"

#include <algorithm>

namespace amaranth::follower::detail {

namespace {

/// Limits the memory that a list of control processes sent by a peer can use.
constexpr std::size_t MaxControlProcesses = 64;

} // namespace

ControlChooser::ControlChooser(const base::NodeId &Node,
                               const base::AvailabilityZone &Zone,
                               std::vector<ControlProcess> Processes)
    : Node(Node), Zone(Zone) {
  add(Processes);
}

void ControlChooser::add(const std::vector<ControlProcess> &Processes) {
  for (const ControlProcess &Process : Processes) {
    bool IsKnown = std::any_of(Entries.begin(), Entries.end(),
                               [&Process](const Entry &Each) {
                                 return Each.Process.Address == Process.Address;
                               });
    if (IsKnown || Entries.size() >= MaxControlProcesses)
      continue;
    std::string HashInput = Node.value() + '|' + Process.Address.text();
    std::uint64_t Weight = base::hash64(base::asBytes(HashInput));
    PreferenceOrder.push_back(Entries.size());
    Entries.push_back({Process, Weight});
  }
  std::sort(PreferenceOrder.begin(), PreferenceOrder.end(),
            [this](std::size_t A, std::size_t B) {
              const Entry &Left = Entries[A];
              const Entry &Right = Entries[B];
              bool LeftIsLocal = Left.Process.Zone == Zone;
              bool RightIsLocal = Right.Process.Zone == Zone;
              if (LeftIsLocal != RightIsLocal)
                return LeftIsLocal;
              return Left.Weight > Right.Weight;
            });
}

std::optional<std::size_t>
ControlChooser::next(base::TimePoint Now,
                     std::optional<std::size_t> Excluded) const {
  std::optional<std::size_t> Best;
  for (std::size_t I : PreferenceOrder) {
    if (Excluded == I)
      continue;
    if (Entries[I].AvoidUntil <= Now)
      return I;
    if (!Best || Entries[I].AvoidUntil < Entries[*Best].AvoidUntil)
      Best = I;
  }
  return Best;
}

void ControlChooser::avoid(std::size_t Index, base::TimePoint Now) {
  Entries[Index].AvoidUntil = Now + AvoidDuration;
}

void ControlChooser::stopAvoiding(std::size_t Index) {
  Entries[Index].AvoidUntil = base::TimePoint(-1'000'000'000);
}

} // namespace amaranth::follower::detail
