#include "ReplicaCore.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Timeout.h"

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::replication {

void ReplicaCore::becomeLeader() {
  AMARANTH_INVARIANT(Vote.VotedFor == Identity.Id,
                     "a leader voted for itself in its term");
  AMARANTH_INVARIANT(!Leader, "there is one leader per term");
  Logger->info("elected id={:x} term={} last={}", self(), term(), Log.last());
  Leading = Mode::Leader;
  Leader = Identity.Id;
  // Entries of earlier terms are committed only through this one.
  TermStart = appendLocal(EntryKind::Noop, {});
  updatePeers();
  Changed.notifyAll();
}

std::uint64_t ReplicaCore::appendLocal(EntryKind Kind, base::Bytes Payload) {
  auto Entry = std::make_shared<LogEntry>();
  base::WallTime Previous =
      Log.holds(Log.last()) ? Log.at(Log.last())->Time : CommitTime;
  Entry->Index = base::LogIndex(Log.last() + 1);
  Entry->EntryTerm = Vote.CurrentTerm;
  Entry->Time = std::max(Previous, Time.wallNow());
  Entry->Kind = Kind;
  Entry->Payload = std::move(Payload);
  storeEntries({Entry});
  if (Kind == EntryKind::Membership)
    updatePeers();
  Work.notifyAll();
  return Log.last();
}

void ReplicaCore::updatePeers() {
  for (auto It = Peers.begin(); It != Peers.end();) {
    if (membership().find(It->first)) {
      ++It;
      continue;
    }
    It->second->Gone = true;
    It = Peers.erase(It);
  }
  for (const Member &Each : membership().Members) {
    if (Each.Id == Identity.Id || Peers.contains(Each.Id))
      continue;
    auto Peer = std::make_shared<PeerState>();
    Peer->Next = Log.last() + 1;
    // The vote of a majority has just been heard.
    Peer->LastAck = Time.now();
    Peers[Each.Id] = Peer;
    spawn([Keep = shared_from_this(), Id = Each.Id,
           Peer]() -> asio::awaitable<void> {
      co_await Keep->replicateTo(Id, Peer);
    });
  }
}

wire::AppendRequestT ReplicaCore::nextAppend(base::ReplicaId To,
                                             const PeerState &Peer) {
  auto Request = request<wire::AppendRequestT>(To);
  Request.term = term();
  Request.prev_index = Peer.Next - 1;
  Request.prev_term = Log.termAt(Peer.Next - 1);
  Request.commit = Commit;
  Request.since_current = sinceCurrent().count();
  std::size_t Bytes = 0;
  for (std::uint64_t Index = Peer.Next;
       Index <= Log.last() && Bytes < Settings.MaxAppendBytes; ++Index) {
    const LogEntry &Entry = *Log.at(Index);
    auto Item = std::make_unique<wire::EntryT>();
    Item->term = Entry.EntryTerm.value();
    Item->index = Index;
    Item->time = Entry.Time.count();
    Item->kind = static_cast<std::uint8_t>(Entry.Kind);
    Item->payload = Entry.Payload;
    // Fixed fields of an encoded entry take less than this.
    Bytes += Entry.Payload.size() + 64;
    Request.entries.push_back(std::move(Item));
  }
  return Request;
}

asio::awaitable<void>
ReplicaCore::replicateTo(base::ReplicaId To, std::shared_ptr<PeerState> Peer) {
  while (!Peer->Gone) {
    if (Peer->Next <= Log.base()) {
      co_await sendSnapshot(To, Peer);
      continue;
    }
    base::TimePoint Sent = Time.now();
    std::uint64_t Round = ReadRound;
    std::uint64_t SentCommit = Commit;
    base::Bytes Raw = encode(nextAppend(To, *Peer));
    auto Reply = co_await ask<wire::AppendReplyT>(
        addressOf(To), protocol::MessageType::AppendRequest, std::move(Raw));
    if (Peer->Gone)
      co_return;
    bool Again = false;
    if (Reply && Reply->term > term()) {
      observeTerm(Reply->term);
      co_return;
    }
    if (Reply && Reply->term == term()) {
      Peer->LastAck = Sent;
      Peer->Heard = true;
      Peer->AckedRound = std::max(Peer->AckedRound, Round);
      Peer->SentCommit = SentCommit;
      Again = takeReply(*Peer, *Reply);
      Quorum.notifyAll();
    }
    if (!Reply)
      co_await Time.sleepUntil(Sent + Settings.HeartbeatInterval);
    else if (!Again && !Peer->Gone)
      co_await base::withTimeout(Time, Settings.HeartbeatInterval, Work.wait());
  }
}

bool ReplicaCore::takeReply(PeerState &Peer, const wire::AppendReplyT &Reply) {
  if (!Reply.ok) {
    // The hint skips whole terms; a stale reply must not move forward.
    Peer.Next = std::max<std::uint64_t>(Peer.Match + 1,
                                        std::min(Reply.next, Peer.Next - 1));
    return true;
  }
  AMARANTH_INVARIANT(Reply.match <= Log.last(),
                     "a follower holds at most the leader's entries");
  Peer.Match = std::max(Peer.Match, Reply.match);
  Peer.Next = Peer.Match + 1;
  advanceCommit();
  return Peer.Next <= Log.last() || Peer.SentCommit < Commit ||
         Peer.AckedRound < ReadRound;
}

void ReplicaCore::advanceCommit() {
  std::vector<std::uint64_t> Stored;
  for (const Member &Each : membership().Members) {
    if (!Each.Voter)
      continue;
    auto Found = Peers.find(Each.Id);
    if (Each.Id == Identity.Id)
      Stored.push_back(Durable);
    else
      Stored.push_back(Found == Peers.end() ? 0 : Found->second->Match);
  }
  if (Stored.empty())
    return;
  std::sort(Stored.begin(), Stored.end(), std::greater<>());
  std::uint64_t Index = Stored[membership().majority() - 1];
  if (Index <= Commit || Log.termAt(Index) != term())
    return;
  AMARANTH_INVARIANT(
      static_cast<std::size_t>(std::count_if(Stored.begin(), Stored.end(),
                                             [Index](std::uint64_t Each) {
                                               return Each >= Index;
                                             })) >= membership().majority(),
      "a committed entry is on a majority of the voters");
  commitTo(Index);
}

base::TimePoint ReplicaCore::majorityHeard() const {
  std::vector<base::TimePoint> Heard;
  for (const Member &Each : membership().Members) {
    if (!Each.Voter)
      continue;
    auto Found = Peers.find(Each.Id);
    if (Each.Id == Identity.Id)
      Heard.push_back(Time.now());
    else if (Found != Peers.end())
      Heard.push_back(Found->second->LastAck);
  }
  std::sort(Heard.begin(), Heard.end(), std::greater<>());
  std::size_t Needed = membership().majority();
  return Heard.size() < Needed ? base::TimePoint() : Heard[Needed - 1];
}

bool ReplicaCore::roundAcked(std::uint64_t Round) const {
  std::size_t Count = 0;
  for (const Member &Each : membership().Members) {
    if (!Each.Voter)
      continue;
    auto Found = Peers.find(Each.Id);
    if (Each.Id == Identity.Id ||
        (Found != Peers.end() && Found->second->AckedRound >= Round))
      ++Count;
  }
  return Count >= membership().majority();
}

} // namespace amaranth::replication
