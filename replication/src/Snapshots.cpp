#include "ReplicaCore.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::replication {

void ReplicaCore::compact() {
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(Commit);
  Snapshot->IndexTerm = base::Term(Log.termAt(Commit));
  Snapshot->Time = CommitTime;
  Snapshot->Membership = committedMembership().encode();
  Snapshot->State = State.snapshot();
  Disk.write(SaveSnapshot{Snapshot, false});
  SnapshotIndex = Commit;
  if (Commit > Log.base() + Settings.TrailingEntries)
    Log.compactTo(Commit - Settings.TrailingEntries);
  while (History.size() > 1 && History[1].first <= Log.base())
    History.pop_front();
}

asio::awaitable<base::Bytes>
ReplicaCore::onSnapshot(wire::SnapshotChunkT Chunk) {
  if (!admitLeader(Chunk) || Chunk.total > Settings.MaxSnapshotBytes)
    co_return base::Bytes();
  wire::SnapshotReplyT Reply;
  if (Chunk.term >= term()) {
    observeTerm(Chunk.term);
    heardLeader(Chunk.from);
    Reply.installed = Chunk.index <= Commit || takeChunk(Chunk);
    Reply.offset = Incoming ? Incoming->Data.size() : 0;
  }
  Reply.term = term();
  co_await waitSynced(Disk, Disk.written());
  if (term() != Reply.term)
    co_return base::Bytes();
  co_return encode(Reply);
}

bool ReplicaCore::takeChunk(const wire::SnapshotChunkT &Chunk) {
  if (!Incoming || Incoming->Term != Chunk.term ||
      Incoming->Index != Chunk.index || Incoming->Digest != Chunk.digest)
    Incoming = IncomingSnapshot{Chunk.term, Chunk.index, Chunk.digest, {}};
  base::Bytes &Data = Incoming->Data;
  if (Chunk.offset != Data.size() ||
      Data.size() + Chunk.data.size() > Chunk.total)
    return false;
  Data.insert(Data.end(), Chunk.data.begin(), Chunk.data.end());
  if (Data.size() < Chunk.total)
    return false;
  if (base::hash64(Data) != Chunk.digest) {
    Logger->warn("received snapshot has a wrong digest index={}", Chunk.index);
    Incoming.reset();
    return false;
  }
  installSnapshot(Chunk);
  Incoming.reset();
  return true;
}

void ReplicaCore::installSnapshot(const wire::SnapshotChunkT &Last) {
  AMARANTH_INVARIANT(Last.index > Commit, "the commit index never falls");
  if (Log.holds(Last.index) && Log.termAt(Last.index) == Last.index_term) {
    // The log has everything already, so it need not be replaced.
    commitTo(Last.index);
    return;
  }
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(Last.index);
  Snapshot->IndexTerm = base::Term(Last.index_term);
  Snapshot->Time = base::WallTime(Last.time);
  Snapshot->Membership = Last.membership;
  Snapshot->State = std::move(Incoming->Data);
  State.restore(Snapshot->State);
  std::uint64_t Number = Disk.write(SaveSnapshot{Snapshot, true});
  Log = MemoryLog(Last.index, Last.index_term);
  Syncing.clear();
  Syncing.emplace_back(Number, Last.index);
  Durable = 0;
  History.clear();
  History.emplace_back(Last.index, Membership::decode(Last.membership));
  Commit = SnapshotIndex = Last.index;
  CommitTime = Snapshot->Time;
  Logger->info("snapshot installed id={:x} index={} bytes={}", self(),
               Last.index, Last.total);
  noteCurrent();
  Changed.notifyAll();
}

std::shared_ptr<const OutgoingSnapshot> ReplicaCore::outgoingSnapshot() {
  auto Shared = Outgoing.lock();
  if (Shared && Shared->Content.Index.value() >= Log.base())
    return Shared;
  auto New = std::make_shared<OutgoingSnapshot>();
  New->Content.Index = base::LogIndex(Commit);
  New->Content.IndexTerm = base::Term(Log.termAt(Commit));
  New->Content.Time = CommitTime;
  New->Content.Membership = committedMembership().encode();
  New->Content.State = State.snapshot();
  New->Digest = base::hash64(New->Content.State);
  Outgoing = New;
  return New;
}

/// The chunk at `Offset`, at most `MaxBytes` long.
static wire::SnapshotChunkT chunkAt(const OutgoingSnapshot &From,
                                    std::uint64_t Offset,
                                    std::size_t MaxBytes) {
  const base::Bytes &State = From.Content.State;
  wire::SnapshotChunkT Chunk;
  Chunk.index = From.Content.Index.value();
  Chunk.index_term = From.Content.IndexTerm.value();
  Chunk.time = From.Content.Time.count();
  Chunk.membership = From.Content.Membership;
  Chunk.total = State.size();
  Chunk.digest = From.Digest;
  Chunk.offset = std::min<std::uint64_t>(Offset, State.size());
  std::size_t Size =
      std::min<std::size_t>(MaxBytes, State.size() - Chunk.offset);
  auto Start = State.begin() + static_cast<std::ptrdiff_t>(Chunk.offset);
  Chunk.data.assign(Start, Start + static_cast<std::ptrdiff_t>(Size));
  return Chunk;
}

asio::awaitable<void>
ReplicaCore::sendSnapshot(base::ReplicaId To, std::shared_ptr<PeerState> Peer) {
  std::shared_ptr<const OutgoingSnapshot> Whole = outgoingSnapshot();
  std::uint64_t Offset = 0;
  while (!Peer->Gone) {
    base::TimePoint Sent = Time.now();
    std::uint64_t Round = ReadRound;
    wire::SnapshotChunkT Chunk =
        chunkAt(*Whole, Offset, Settings.SnapshotChunkBytes);
    Chunk.cluster = Identity.Cluster;
    Chunk.from = self();
    Chunk.to = To.value();
    Chunk.term = term();
    base::Bytes Raw = encode(Chunk);
    auto Reply = co_await ask<wire::SnapshotReplyT>(
        addressOf(To), protocol::MessageType::SnapshotChunk, std::move(Raw));
    if (Peer->Gone)
      co_return;
    if (Reply && Reply->term > term()) {
      observeTerm(Reply->term);
      co_return;
    }
    if (!Reply || Reply->term != term()) {
      co_await Time.sleepUntil(Sent + Settings.HeartbeatInterval);
      continue;
    }
    Peer->LastAck = Sent;
    Peer->Heard = true;
    Peer->AckedRound = std::max(Peer->AckedRound, Round);
    Quorum.notifyAll();
    if (Reply->installed) {
      std::uint64_t Index = Whole->Content.Index.value();
      Peer->Match = std::max(Peer->Match, Index);
      Peer->Next = Peer->Match + 1;
      advanceCommit();
      co_return;
    }
    Offset = Reply->offset;
  }
}

} // namespace amaranth::replication
