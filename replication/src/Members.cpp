#include "ReplicaCore.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Timeout.h"

#include <fmt/format.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::replication {

namespace {

/// Limits the peer tasks of a leader; the design has 12 control processes.
constexpr std::size_t MaxMembers = 24;

void eraseMember(Membership &From, base::ReplicaId Id) {
  std::erase_if(From.Members,
                [Id](const Member &Each) { return Each.Id == Id; });
}

/// Adds a learner. Replaces a previous learner at the same address, which is
/// left over when a process loses its disk before it becomes a voter.
void insertLearner(Membership &Into, base::ReplicaId Id,
                   const std::string &Address) {
  std::erase_if(Into.Members, [&](const Member &Each) {
    return !Each.Voter && Each.Address == Address;
  });
  if (Into.Members.size() >= MaxMembers)
    throw RequestRejected(fmt::format(
        "the cluster already has {} members, the maximum", MaxMembers));
  Into.Members.push_back({Id, Address, false});
}

} // namespace

bool ReplicaCore::mayChangeMembers() const {
  // Two uncommitted changes can have disjoint majorities. So can a change by a
  // leader that has not yet committed an entry in its term.
  return CurrentRole == RaftRole::Leader && CommitIndex >= TermStartIndex &&
         !MembershipHistory.empty() &&
         MembershipHistory.back().first <= CommitIndex;
}

void ReplicaCore::checkPromotable(base::ReplicaId Id) const {
  const Member *Found = membership().find(Id);
  if (!Found)
    throw RequestRejected(
        fmt::format("replica {} is not a member", Id.value()));
  if (Found->Voter)
    return;
  auto Peer = Peers.find(Id);
  std::uint64_t MatchIndex = Peer == Peers.end() ? 0 : Peer->second->MatchIndex;
  if (MatchIndex + Settings.MaxPromotionLagEntries < Log.lastIndex())
    throw RequestRejected(
        fmt::format("replica {} is {} entries behind; at most {} "
                    "are allowed for a promotion",
                    Id.value(), Log.lastIndex() - MatchIndex,
                    Settings.MaxPromotionLagEntries));
}

Membership
ReplicaCore::membershipAfter(const wire::MemberRequestT &Request) const {
  base::ReplicaId Id(Request.subject);
  base::ReplicaId Lost(Request.lost);
  Membership New = membership();
  switch (Request.action) {
  case wire::MemberAction::Join:
  case wire::MemberAction::AddLearner:
    if (Id.value() == 0 || Request.subject_address.empty())
      throw RequestRejected("a learner needs an id and an address");
    if (!New.find(Id))
      insertLearner(New, Id, Request.subject_address);
    break;
  case wire::MemberAction::Promote:
    checkPromotable(Id);
    New.find(Id)->Voter = true;
    break;
  case wire::MemberAction::Remove:
    if (Id == Identity.Id)
      throw RequestRejected("the leader cannot be removed");
    if (New.isVoter(Id) && New.voterCount() == 1)
      throw RequestRejected("the last voter cannot be removed");
    eraseMember(New, Id);
    break;
  case wire::MemberAction::ReplaceVoter:
    checkPromotable(Id);
    if (Lost == Identity.Id || Lost == Id)
      throw RequestRejected(
          "the lost voter must be neither the leader nor the replacement");
    New.find(Id)->Voter = true;
    if (New.isVoter(Lost))
      New.PendingRemoval = Lost;
    break;
  default:
    throw RequestRejected("unknown membership change");
  }
  return New;
}

void ReplicaCore::continueReplacement() {
  base::ReplicaId Lost = membership().PendingRemoval;
  if (Lost.value() == 0 || !mayChangeMembers())
    return;
  if (Lost == Identity.Id) {
    // The voter to be removed is running again and was elected. A leader cannot
    // remove itself, so it steps down and the next leader removes it.
    Logger->warn("this voter is being replaced; stepping down id={:x}", self());
    becomeFollower();
    return;
  }
  Membership New = membership();
  eraseMember(New, Lost);
  New.PendingRemoval = base::ReplicaId();
  Logger->info("removing the replaced voter id={:x}", Lost.value());
  appendLocal(EntryKind::Membership, New.encode());
}

asio::awaitable<void>
ReplicaCore::changeMembersLocally(wire::MemberRequestT Request,
                                  base::Millis Timeout) {
  if (Stopped || CurrentRole != RaftRole::Leader)
    throw NotLeader("this replica is not the leader");
  if (!mayChangeMembers() || membership().PendingRemoval.value() != 0)
    throw RequestRejected("another membership change is not finished yet");
  Membership New = membershipAfter(Request);
  if (New.Members == membership().Members &&
      New.PendingRemoval == membership().PendingRemoval)
    co_return;
  std::uint64_t Index = appendLocal(EntryKind::Membership, New.encode());
  co_await awaitEntry(Index, Timeout);
}

asio::awaitable<void> ReplicaCore::changeMembers(wire::MemberRequestT Request,
                                                 base::Millis Timeout) {
  auto Self = shared_from_this();
  if (CurrentRole == RaftRole::Leader) {
    co_await changeMembersLocally(std::move(Request), Timeout);
    co_return;
  }
  std::string Address = leaderAddress();
  Request.cluster = Identity.Cluster;
  Request.from = self();
  Request.to = Leader->value();
  Request.timeout_ms = Timeout.count();
  base::Bytes Raw = encode(Request);
  std::string ConnectionError;
  try {
    Raw = co_await Net.call(Address, protocol::MessageType::MemberRequest,
                            std::move(Raw), Timeout);
  } catch (const protocol::ChannelClosed &Error) {
    ConnectionError = Error.what();
  }
  if (!ConnectionError.empty() || Raw.empty())
    throw NotLeader("the leader cannot be reached: " + ConnectionError);
  auto Reply = decode<wire::MemberReplyT>(Raw);
  if (Reply.outcome == wire::Outcome::NotLeader)
    throw NotLeader(Reply.message);
  if (Reply.outcome == wire::Outcome::Unknown)
    throw base::TimeoutError(Reply.message);
  if (Reply.outcome == wire::Outcome::Refused)
    throw RequestRejected(Reply.message);
}

asio::awaitable<base::Bytes>
ReplicaCore::onMember(wire::MemberRequestT Request) {
  wire::MemberReplyT Reply;
  if (Request.action == wire::MemberAction::AdoptCluster)
    co_return co_await onAdopt(std::move(Request));
  bool Known = Request.cluster == Identity.Cluster && Identity.Cluster != 0;
  if (Request.action != wire::MemberAction::Identify && !Known)
    co_return base::Bytes();
  if (Request.to != 0 && Request.to != self())
    co_return base::Bytes();
  if (Request.action != wire::MemberAction::Identify) {
    try {
      co_await changeMembersLocally(std::move(Request), Settings.CallTimeout);
    } catch (const NotLeader &Error) {
      Reply.outcome = wire::Outcome::NotLeader;
      Reply.message = Error.what();
    } catch (const base::TimeoutError &Error) {
      Reply.outcome = wire::Outcome::Unknown;
      Reply.message = Error.what();
    } catch (const RequestRejected &Error) {
      Reply.outcome = wire::Outcome::Refused;
      Reply.message = Error.what();
    }
  }
  Reply.id = self();
  Reply.cluster = Identity.Cluster;
  Reply.formed = !MembershipHistory.empty();
  if (Leader) {
    Reply.leader = Leader->value();
    Reply.leader_address = addressOf(*Leader);
  }
  co_return encode(Reply);
}

} // namespace amaranth::replication
