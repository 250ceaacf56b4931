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
  Logger->info("elected id={:x} term={} last={}", self(), term(),
               Log.lastIndex());
  CurrentRole = RaftRole::Leader;
  Leader = Identity.Id;
  // Entries of earlier terms are committed only together with an entry of the
  // current term, so each leader starts its term with an empty entry.
  TermStartIndex = appendLocal(EntryKind::Noop, {});
  updatePeers();
  Changed.notifyAll();
}

std::uint64_t ReplicaCore::appendLocal(EntryKind Kind, base::Bytes Payload) {
  auto Entry = std::make_shared<LogEntry>();
  base::WallTime Previous = Log.contains(Log.lastIndex())
                                ? Log.at(Log.lastIndex())->Time
                                : CommitTime;
  Entry->Index = base::LogIndex(Log.lastIndex() + 1);
  Entry->EntryTerm = Vote.CurrentTerm;
  Entry->Time = std::max(Previous, Time.wallNow());
  Entry->Kind = Kind;
  Entry->Payload = std::move(Payload);
  storeEntries({Entry});
  if (Kind == EntryKind::Membership)
    updatePeers();
  ReplicationNeeded.notifyAll();
  return Log.lastIndex();
}

void ReplicaCore::updatePeers() {
  for (auto It = Peers.begin(); It != Peers.end();) {
    if (membership().find(It->first)) {
      ++It;
      continue;
    }
    It->second->Cancelled = true;
    It = Peers.erase(It);
  }
  for (const Member &Each : membership().Members) {
    if (Each.Id == Identity.Id || Peers.contains(Each.Id))
      continue;
    auto Peer = std::make_shared<PeerState>();
    Peer->NextIndex = Log.lastIndex() + 1;
    // A majority has just replied with its votes.
    Peer->LastAckedSendTime = Time.now();
    Peers[Each.Id] = Peer;
    spawn([Self = shared_from_this(), Id = Each.Id,
           Peer]() -> asio::awaitable<void> {
      co_await Self->replicateTo(Id, Peer);
    });
  }
}

wire::AppendRequestT ReplicaCore::nextAppend(base::ReplicaId To,
                                             const PeerState &Peer) {
  auto Request = makeRequest<wire::AppendRequestT>(To);
  Request.term = term();
  Request.prev_index = Peer.NextIndex - 1;
  Request.prev_term = Log.termAt(Peer.NextIndex - 1);
  Request.commit = CommitIndex;
  Request.since_current = staleness().count();
  std::size_t Bytes = 0;
  for (std::uint64_t Index = Peer.NextIndex;
       Index <= Log.lastIndex() && Bytes < Settings.MaxAppendBytes; ++Index) {
    EntryRef Loaded = loadedEntry(Index);
    const LogEntry &Entry = *Loaded;
    auto Item = std::make_unique<wire::EntryT>();
    Item->term = Entry.EntryTerm.value();
    Item->index = Index;
    Item->time = Entry.Time.count();
    Item->kind = static_cast<std::uint8_t>(Entry.Kind);
    Item->payload = Entry.Payload;
    // Upper bound on the encoded size of the fixed fields of an entry.
    Bytes += Entry.Payload.size() + 64;
    Request.entries.push_back(std::move(Item));
  }
  return Request;
}

asio::awaitable<void>
ReplicaCore::replicateTo(base::ReplicaId To, std::shared_ptr<PeerState> Peer) {
  while (!Peer->Cancelled) {
    if (Peer->NextIndex <= Log.baseIndex()) {
      co_await sendSnapshot(To, Peer);
      continue;
    }
    base::TimePoint Sent = Time.now();
    std::uint64_t Round = ReadRound;
    std::uint64_t SentCommitIndex = CommitIndex;
    base::Bytes Raw = encode(nextAppend(To, *Peer));
    auto Reply = co_await callPeer<wire::AppendReplyT>(
        addressOf(To), protocol::MessageType::AppendRequest, std::move(Raw));
    if (Peer->Cancelled)
      co_return;
    bool Again = false;
    if (Reply && Reply->term > term()) {
      observeTerm(Reply->term);
      co_return;
    }
    if (Reply && Reply->term == term()) {
      Peer->LastAckedSendTime = Sent;
      Peer->HasReplied = true;
      Peer->AckedReadRound = std::max(Peer->AckedReadRound, Round);
      Peer->SentCommitIndex = SentCommitIndex;
      Again = handleAppendReply(To, *Peer, *Reply);
      PeerProgress.notifyAll();
    }
    if (!Reply)
      co_await Time.sleepUntil(Sent + Settings.HeartbeatInterval);
    else if (!Again && !Peer->Cancelled)
      co_await base::withTimeout(Time, Settings.HeartbeatInterval,
                                 ReplicationNeeded.wait());
  }
}

bool ReplicaCore::handleAppendReply(base::ReplicaId From, PeerState &Peer,
                                    const wire::AppendReplyT &Reply) {
  if (!Reply.ok) {
    // The hint skips whole terms. A stale reply must not move the index
    // forward.
    std::uint64_t Next =
        std::max<std::uint64_t>(1, std::min(Reply.next, Peer.NextIndex - 1));
    if (Next <= Peer.MatchIndex) {
      // Without this the same request would be repeated forever.
      Logger->error("a peer has lost acknowledged entries id={:x} match={} "
                    "next={}",
                    From.value(), Peer.MatchIndex, Next);
      Peer.MatchIndex = Next - 1;
    }
    Peer.NextIndex = Next;
    return true;
  }
  AMARANTH_INVARIANT(
      Reply.match <= Log.lastIndex(),
      "a follower's match index is at most the leader's last index");
  Peer.MatchIndex = std::max(Peer.MatchIndex, Reply.match);
  Peer.NextIndex = Peer.MatchIndex + 1;
  advanceCommit();
  return Peer.NextIndex <= Log.lastIndex() ||
         Peer.SentCommitIndex < CommitIndex || Peer.AckedReadRound < ReadRound;
}

void ReplicaCore::advanceCommit() {
  std::vector<std::uint64_t> Stored;
  for (const Member &Each : membership().Members) {
    if (!Each.Voter)
      continue;
    auto Found = Peers.find(Each.Id);
    if (Each.Id == Identity.Id)
      Stored.push_back(DurableIndex);
    else
      Stored.push_back(Found == Peers.end() ? 0 : Found->second->MatchIndex);
  }
  if (Stored.empty())
    return;
  std::sort(Stored.begin(), Stored.end(), std::greater<>());
  std::uint64_t Index = Stored[membership().majority() - 1];
  if (Index <= CommitIndex || Log.termAt(Index) != term())
    return;
  AMARANTH_INVARIANT(
      static_cast<std::size_t>(std::count_if(Stored.begin(), Stored.end(),
                                             [Index](std::uint64_t Each) {
                                               return Each >= Index;
                                             })) >= membership().majority(),
      "a committed entry is stored on a majority of the voters");
  commitTo(Index);
}

base::TimePoint ReplicaCore::lastMajorityContact() const {
  std::vector<base::TimePoint> ContactTimes;
  for (const Member &Each : membership().Members) {
    if (!Each.Voter)
      continue;
    auto Found = Peers.find(Each.Id);
    if (Each.Id == Identity.Id)
      ContactTimes.push_back(Time.now());
    else if (Found != Peers.end())
      ContactTimes.push_back(Found->second->LastAckedSendTime);
  }
  std::sort(ContactTimes.begin(), ContactTimes.end(), std::greater<>());
  std::size_t Needed = membership().majority();
  return ContactTimes.size() < Needed ? base::TimePoint()
                                      : ContactTimes[Needed - 1];
}

bool ReplicaCore::roundAcked(std::uint64_t Round) const {
  std::size_t Count = 0;
  for (const Member &Each : membership().Members) {
    if (!Each.Voter)
      continue;
    auto Found = Peers.find(Each.Id);
    if (Each.Id == Identity.Id ||
        (Found != Peers.end() && Found->second->AckedReadRound >= Round))
      ++Count;
  }
  return Count >= membership().majority();
}

} // namespace amaranth::replication
