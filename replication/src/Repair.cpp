#include "ReplicaCore.h"

#include <algorithm>

namespace amaranth::replication {

// Automatic membership repair. A failed voter is removed before its replacement
// is promoted. With two of five voters lost, each step then needs replies from
// three voters; promoting first would make six voters, which need four.

bool ReplicaCore::isReachable(base::ReplicaId Id) const {
  if (Id == Identity.Id)
    return true;
  auto Found = Peers.find(Id);
  return Found != Peers.end() && Found->second->HasReplied &&
         Time.now() - Found->second->LastAckedSendTime <
             Settings.VoterFailureTimeout;
}

bool ReplicaCore::isUnreachableFor(base::ReplicaId Id,
                                   base::Millis Span) const {
  auto Found = Peers.find(Id);
  return Found != Peers.end() &&
         Time.now() - Found->second->LastAckedSendTime >= Span;
}

bool ReplicaCore::isPromotable(const Member &Each) const {
  auto Found = Peers.find(Each.Id);
  return !Each.Voter && Found != Peers.end() && isReachable(Each.Id) &&
         Found->second->MatchIndex + Settings.MaxPromotionLagEntries >=
             Log.lastIndex();
}

/// Returns a voter that a learner can replace, or null. A learner at the
/// voter's own address proves that the voter has lost its disk.
const Member *ReplicaCore::replaceableVoter() const {
  const std::vector<Member> &All = membership().Members;
  for (const Member &Voter : All) {
    if (!Voter.Voter || Voter.Id == Identity.Id)
      continue;
    for (const Member &Learner : All)
      if (!Learner.Voter && Learner.Address == Voter.Address &&
          isReachable(Learner.Id))
        return &Voter;
  }
  bool Successor =
      std::any_of(All.begin(), All.end(),
                  [this](const Member &Each) { return isPromotable(Each); });
  if (!Successor)
    return nullptr;
  for (const Member &Voter : All)
    if (Voter.Voter && isUnreachableFor(Voter.Id, Settings.VoterFailureTimeout))
      return &Voter;
  return nullptr;
}

bool ReplicaCore::mayRemoveVoter(base::ReplicaId Id) const {
  std::size_t Remaining = 0;
  std::size_t Reachable = 0;
  for (const Member &Each : membership().Members) {
    if (!Each.Voter || Each.Id == Id)
      continue;
    ++Remaining;
    Reachable += isReachable(Each.Id) ? 1 : 0;
  }
  return Reachable >= Remaining / 2 + 1;
}

void ReplicaCore::repairMembers() {
  if (Settings.TargetVoters == 0 || !mayChangeMembers() ||
      membership().PendingRemoval.value() != 0)
    return;
  Membership New = membership();
  if (const Member *Lost = replaceableVoter();
      Lost && mayRemoveVoter(Lost->Id)) {
    Logger->warn("removing a failed voter id={:x} address={} voters={}",
                 Lost->Id.value(), Lost->Address, New.voterCount());
    base::ReplicaId Id = Lost->Id;
    std::erase_if(New.Members,
                  [Id](const Member &Each) { return Each.Id == Id; });
    appendLocal(EntryKind::Membership, New.encode());
    return;
  }
  for (Member &Each : New.Members) {
    if (New.voterCount() >= Settings.TargetVoters || !isPromotable(Each))
      continue;
    Logger->info("promoting a learner id={:x} address={} voters={}",
                 Each.Id.value(), Each.Address, New.voterCount());
    Each.Voter = true;
    appendLocal(EntryKind::Membership, New.encode());
    return;
  }
  auto Unreachable = std::find_if(
      New.Members.begin(), New.Members.end(), [this](const Member &Each) {
        return !Each.Voter &&
               isUnreachableFor(Each.Id, Settings.LearnerRemovalTimeout);
      });
  if (Unreachable == New.Members.end())
    return;
  Logger->info("removing an unreachable learner id={:x}",
               Unreachable->Id.value());
  New.Members.erase(Unreachable);
  appendLocal(EntryKind::Membership, New.encode());
}

} // namespace amaranth::replication
