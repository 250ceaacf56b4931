#include "ControlChooser.h"

#include "amaranth/base/Digest.h"

#include <algorithm>

namespace amaranth::follower::detail {

ControlChooser::ControlChooser(const base::NodeId &Node,
                               const base::AvailabilityZone &Zone,
                               std::vector<ControlProcess> Controls) {
  for (ControlProcess &Process : Controls) {
    std::string Pair = Node.value() + '|' + Process.Where.text();
    std::uint64_t Weight = base::hash64(base::asBytes(Pair));
    Entries.push_back({std::move(Process), Weight});
  }
  std::sort(Entries.begin(), Entries.end(),
            [&](const Entry &Left, const Entry &Right) {
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
  for (std::size_t I = 0; I < Entries.size(); ++I) {
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
