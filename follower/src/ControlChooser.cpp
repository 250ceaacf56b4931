#include "ControlChooser.h"

#include "amaranth/base/Digest.h"

#include <algorithm>
#include <tuple>

namespace amaranth::follower::detail {

ControlChooser::ControlChooser(const base::NodeId &Node,
                               const base::AvailabilityZone &Zone,
                               const std::vector<ControlProcess> &Seeds)
    : Node(Node), Zone(Zone) {
  setSeeds(Seeds);
}

ControlChooser::Entry *ControlChooser::find(const base::Address &Address) {
  auto Found = std::find_if(Entries.begin(), Entries.end(),
                            [&Address](const Entry &Each) {
                              return Each.Process.Address == Address;
                            });
  return Found == Entries.end() ? nullptr : &*Found;
}

ControlChooser::Entry &
ControlChooser::findOrAdd(const ControlProcess &Process) {
  if (Entry *Known = find(Process.Address))
    return *Known;
  std::string HashInput = Node.value() + '|' + Process.Address.text();
  Entry New;
  New.Process = Process;
  New.Weight = base::hash64(base::asBytes(HashInput));
  return Entries.emplace_back(std::move(New));
}

void ControlChooser::setSeeds(const std::vector<ControlProcess> &Seeds) {
  if (Seeds.empty())
    return;
  for (Entry &Each : Entries)
    Each.IsSeed = false;
  for (const ControlProcess &Seed : Seeds) {
    Entry &Known = findOrAdd(Seed);
    // Lists of members have no zones.
    Known.Process.Zone = Seed.Zone;
    Known.IsSeed = true;
  }
  update();
}

void ControlChooser::setMembers(base::LogIndex Applied,
                                const std::vector<base::Address> &Members) {
  if (Members.empty() || Applied < MembersIndex)
    return;
  MembersIndex = Applied;
  for (Entry &Each : Entries)
    Each.IsMember = false;
  for (const base::Address &Member : Members)
    findOrAdd({Member, base::AvailabilityZone()}).IsMember = true;
  update();
}

void ControlChooser::update() {
  std::erase_if(Entries, [](const Entry &Each) {
    return !Each.IsSeed && !Each.IsMember;
  });
  auto Preference = [this](const Entry &Each) {
    return std::tuple(!Each.IsMember, Each.Process.Zone != Zone, ~Each.Weight);
  };
  std::sort(Entries.begin(), Entries.end(),
            [&Preference](const Entry &Left, const Entry &Right) {
              return Preference(Left) < Preference(Right);
            });
}

std::optional<ControlChooser::Choice>
ControlChooser::next(base::TimePoint Now,
                     const std::set<base::Address> &Excluded) const {
  const Entry *Best = nullptr;
  for (const Entry &Each : Entries) {
    if (Excluded.contains(Each.Process.Address))
      continue;
    if (Each.AvoidUntil <= Now)
      return Choice{Each.Process, Each.IsMember, false};
    if (!Best || Each.AvoidUntil < Best->AvoidUntil)
      Best = &Each;
  }
  if (!Best)
    return std::nullopt;
  return Choice{Best->Process, Best->IsMember, true};
}

void ControlChooser::avoid(const base::Address &Process, base::TimePoint Now) {
  if (Entry *Known = find(Process))
    Known->AvoidUntil = Now + AvoidDuration;
}

void ControlChooser::stopAvoiding(const base::Address &Process) {
  if (Entry *Known = find(Process))
    Known->AvoidUntil = base::TimePoint(-1'000'000'000);
}

} // namespace amaranth::follower::detail
