#include "ReplicaCore.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::replication {

bool ReplicaCore::isCompactionDue() const {
  // A second snapshot would wait in memory behind the first one.
  if (SnapshotWrite > Disk.lastSyncedWrite())
    return false;
  std::size_t AppliedBytes =
      Log.bytesAbove(SnapshotIndex) - Log.bytesAbove(CommitIndex);
  return CommitIndex - SnapshotIndex >= Settings.CompactEntries ||
         AppliedBytes >= std::max(Settings.CompactBytes, SnapshotBytes);
}

void ReplicaCore::compact() {
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(CommitIndex);
  Snapshot->IndexTerm = base::Term(Log.termAt(CommitIndex));
  Snapshot->Time = CommitTime;
  Snapshot->Membership = committedMembership().encode();
  Snapshot->State = State.snapshot();
  SnapshotBytes = Snapshot->State.size();
  SnapshotWrite = Disk.write(SaveSnapshot{Snapshot, false});
  SnapshotIndex = CommitIndex;
  discardCoveredEntries();
  Logger->info("snapshot taken id={:x} index={} bytes={} log_bytes={}", self(),
               SnapshotIndex, SnapshotBytes, Log.loadedBytes());
}

void ReplicaCore::discardCoveredEntries() {
  auto Exceeds = [&](std::uint64_t From) {
    return SnapshotIndex - From > Settings.TrailingEntries ||
           Log.bytesAbove(From) - Log.bytesAbove(SnapshotIndex) >
               Settings.TrailingBytes;
  };
  // The disk discards its copies of the covered entries, so the payloads of all
  // that are kept must be loaded.
  std::uint64_t Base = SnapshotIndex;
  while (Base > Log.baseIndex() && Log.at(Base)->isLoaded() &&
         !Exceeds(Base - 1))
    --Base;
  Log.compactTo(Base);
  while (MembershipHistory.size() > 1 &&
         MembershipHistory[1].first <= Log.baseIndex())
    MembershipHistory.pop_front();
}

asio::awaitable<base::Bytes>
ReplicaCore::onSnapshot(wire::SnapshotChunkT Chunk) {
  if (!acceptsLeaderRequest(Chunk) || Chunk.total > Settings.MaxSnapshotBytes)
    co_return base::Bytes();
  wire::SnapshotReplyT Reply;
  if (Chunk.term >= term()) {
    observeTerm(Chunk.term);
    recordLeaderContact(Chunk.from);
    Reply.installed = Chunk.index <= CommitIndex || receiveChunk(Chunk);
    Reply.offset = Incoming ? Incoming->Data.size() : 0;
  }
  Reply.term = term();
  // Frees the memory while the disk is slow; the leader sends more meanwhile.
  Chunk.data = {};
  co_await waitUntilSynced(Disk, Disk.lastQueuedWrite());
  if (term() != Reply.term)
    co_return base::Bytes();
  co_return encode(Reply);
}

bool ReplicaCore::receiveChunk(const wire::SnapshotChunkT &Chunk) {
  if (!Incoming || Incoming->Term != Chunk.term ||
      Incoming->Index != Chunk.index || Incoming->Digest != Chunk.digest)
    Incoming = IncomingSnapshot{Chunk.term, Chunk.index, Chunk.digest, {}};
  base::Bytes &Data = Incoming->Data;
  // Without this, the memory would double while it grows.
  Data.reserve(Chunk.total);
  if (Chunk.offset != Data.size() ||
      Data.size() + Chunk.data.size() > Chunk.total)
    return false;
  Data.insert(Data.end(), Chunk.data.begin(), Chunk.data.end());
  if (Data.size() < Chunk.total)
    return false;
  if (base::hash64(Data) != Chunk.digest) {
    Logger->warn("discarded a received snapshot with a wrong digest index={}",
                 Chunk.index);
    Incoming.reset();
    return false;
  }
  installSnapshot(Chunk);
  Incoming.reset();
  return true;
}

void ReplicaCore::installSnapshot(const wire::SnapshotChunkT &Last) {
  AMARANTH_INVARIANT(Last.index > CommitIndex, "the commit index never falls");
  if (Log.contains(Last.index) && Log.termAt(Last.index) == Last.index_term) {
    // The log already contains the snapshot's last entry and need not be
    // replaced.
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
  SnapshotBytes = Snapshot->State.size();
  SnapshotWrite = Disk.write(SaveSnapshot{Snapshot, true});
  Log = MemoryLog(Last.index, Last.index_term);
  PendingSyncs.clear();
  PendingSyncs.emplace_back(SnapshotWrite, Last.index);
  DurableIndex = 0;
  MembershipHistory.clear();
  MembershipHistory.emplace_back(Last.index,
                                 Membership::decode(Last.membership));
  CommitIndex = SnapshotIndex = Last.index;
  CommitTime = Snapshot->Time;
  Logger->info("snapshot installed id={:x} index={} bytes={}", self(),
               Last.index, Last.total);
  updateStaleness();
  Changed.notifyAll();
}

std::shared_ptr<const OutgoingSnapshot> ReplicaCore::outgoingSnapshot() {
  auto Shared = Outgoing.lock();
  if (Shared && Shared->Content.Index.value() >= Log.baseIndex())
    return Shared;
  auto New = std::make_shared<OutgoingSnapshot>();
  New->Content.Index = base::LogIndex(CommitIndex);
  New->Content.IndexTerm = base::Term(Log.termAt(CommitIndex));
  New->Content.Time = CommitTime;
  New->Content.Membership = committedMembership().encode();
  New->Content.State = State.snapshot();
  New->Digest = base::hash64(New->Content.State);
  Outgoing = New;
  return New;
}

/// Returns the chunk at `Offset`, with at most `MaxBytes` of data.
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
  std::shared_ptr<const OutgoingSnapshot> Snapshot = outgoingSnapshot();
  std::uint64_t Offset = 0;
  while (!Peer->Cancelled) {
    base::TimePoint Sent = Time.now();
    std::uint64_t Round = ReadRound;
    wire::SnapshotChunkT Chunk =
        chunkAt(*Snapshot, Offset, Settings.SnapshotChunkBytes);
    Chunk.cluster = Identity.Cluster;
    Chunk.from = self();
    Chunk.to = To.value();
    Chunk.term = term();
    base::Bytes Raw = encode(Chunk);
    auto Reply = co_await callPeer<wire::SnapshotReplyT>(
        addressOf(To), protocol::MessageType::SnapshotChunk, std::move(Raw));
    if (Peer->Cancelled)
      co_return;
    if (Reply && Reply->term > term()) {
      observeTerm(Reply->term);
      co_return;
    }
    if (!Reply || Reply->term != term()) {
      co_await Time.sleepUntil(Sent + Settings.HeartbeatInterval);
      continue;
    }
    Peer->LastAckedSendTime = Sent;
    Peer->HasReplied = true;
    Peer->AckedReadRound = std::max(Peer->AckedReadRound, Round);
    PeerProgress.notifyAll();
    if (Reply->installed) {
      std::uint64_t Index = Snapshot->Content.Index.value();
      Peer->MatchIndex = std::max(Peer->MatchIndex, Index);
      Peer->NextIndex = Peer->MatchIndex + 1;
      advanceCommit();
      co_return;
    }
    Offset = Reply->offset;
  }
}

} // namespace amaranth::replication
