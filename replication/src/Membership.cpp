#include "amaranth/replication/Membership.h"

#include "Wire.h"

#include <algorithm>

namespace amaranth::replication {

const Member *Membership::find(base::ReplicaId Id) const {
  auto Found = std::find_if(Members.begin(), Members.end(),
                            [Id](const Member &Each) { return Each.Id == Id; });
  return Found == Members.end() ? nullptr : &*Found;
}

Member *Membership::find(base::ReplicaId Id) {
  return const_cast<Member *>(std::as_const(*this).find(Id));
}

bool Membership::isVoter(base::ReplicaId Id) const {
  const Member *Found = find(Id);
  return Found && Found->Voter;
}

std::size_t Membership::voterCount() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(),
                    [](const Member &Each) { return Each.Voter; }));
}

base::Bytes Membership::encode() const {
  wire::MembershipT Value;
  for (const Member &Each : Members) {
    auto Item = std::make_unique<wire::MemberT>();
    Item->id = Each.Id.value();
    Item->address = Each.Address;
    Item->voter = Each.Voter;
    Value.members.push_back(std::move(Item));
  }
  Value.removing = PendingRemoval.value();
  return replication::encode(Value);
}

Membership Membership::decode(base::ByteView Data) {
  auto Value = replication::decode<wire::MembershipT>(Data);
  Membership Result;
  for (const auto &Item : Value.members)
    Result.Members.push_back(
        {base::ReplicaId(Item->id), Item->address, Item->voter});
  Result.PendingRemoval = base::ReplicaId(Value.removing);
  return Result;
}

} // namespace amaranth::replication
