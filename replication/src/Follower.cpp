#include "ReplicaCore.h"
#include "amaranth/base/Invariant.h"

#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::replication {

namespace {

using protocol::MessageType;

/// Limit on the requests of one connection that are processed concurrently. A
/// healthy peer has far fewer. Requests above the limit are dropped and time
/// out at the sender.
constexpr std::size_t MaxConcurrentRequests = 4096;

MessageType replyType(MessageType Request) {
  switch (Request) {
  case MessageType::PreVoteRequest:
  case MessageType::VoteRequest:
    return MessageType::VoteReply;
  case MessageType::AppendRequest:
    return MessageType::AppendReply;
  case MessageType::SnapshotChunk:
    return MessageType::SnapshotReply;
  case MessageType::ReadIndexRequest:
    return MessageType::ReadIndexReply;
  case MessageType::ProposeRequest:
    return MessageType::ProposeReply;
  case MessageType::MemberRequest:
    return MessageType::MemberReply;
  case MessageType::NodesAlive:
    return MessageType::NodesAlive;
  default:
    throw base::ProtocolError("unexpected message type between replicas");
  }
}

} // namespace

asio::awaitable<void>
ReplicaCore::serve(std::shared_ptr<protocol::Channel> Connection) {
  auto Self = shared_from_this();
  auto InProgress = std::make_shared<std::size_t>(0);
  while (!Stopped) {
    protocol::Frame Message = co_await Connection->receive();
    MessageType Reply = replyType(Message.Type);
    if (*InProgress >= MaxConcurrentRequests)
      continue;
    ++*InProgress;
    spawn([Self, Connection, InProgress, Reply,
           Message = std::move(Message)]() mutable -> asio::awaitable<void> {
      base::Bytes Answer =
          co_await Self->handle(Message.Type, std::move(Message.Payload));
      --*InProgress;
      Connection->post(Reply, Message.Stream, std::move(Answer));
    });
  }
  Connection->close("the replica stops");
}

asio::awaitable<base::Bytes> ReplicaCore::handle(MessageType Type,
                                                 base::Bytes Request) {
  auto Self = shared_from_this();
  base::Bytes Reply;
  if (Stopped)
    co_return Reply;
  try {
    auto Decoded = dispatch(Type, Request);
    // The decoded request may wait for the disk; the encoded one must not take
    // memory meanwhile.
    Request = {};
    Reply = co_await std::move(Decoded);
  } catch (const base::ProtocolError &Error) {
    Logger->warn("malformed request type={} error=\"{}\"",
                 static_cast<unsigned>(Type), Error.what());
  }
  co_return Reply;
}

asio::awaitable<base::Bytes> ReplicaCore::dispatch(MessageType Type,
                                                   base::ByteView Request) {
  switch (Type) {
  case MessageType::PreVoteRequest:
    return onVote(decode<wire::VoteRequestT>(Request), true);
  case MessageType::VoteRequest:
    return onVote(decode<wire::VoteRequestT>(Request), false);
  case MessageType::AppendRequest:
    return onAppend(decode<wire::AppendRequestT>(Request));
  case MessageType::SnapshotChunk:
    return onSnapshot(decode<wire::SnapshotChunkT>(Request));
  case MessageType::ReadIndexRequest:
    return onRead(decode<wire::ReadIndexRequestT>(Request));
  case MessageType::ProposeRequest:
    return onPropose(decode<wire::ProposeRequestT>(Request));
  case MessageType::MemberRequest:
    return onMember(decode<wire::MemberRequestT>(Request));
  case MessageType::NodesAlive:
    return onPost(decode<wire::PostT>(Request));
  default:
    throw base::ProtocolError("unexpected message type between replicas");
  }
}

asio::awaitable<base::Bytes> ReplicaCore::onPost(wire::PostT Request) {
  if (!acceptsRequest(Request))
    co_return base::Bytes();
  if (CurrentRole == RaftRole::Leader && OnMessage)
    OnMessage(base::ReplicaId(Request.from), Request.message);
  // The content is ignored, but an empty reply would mean a refusal.
  co_return base::Bytes(1);
}

asio::awaitable<base::Bytes> ReplicaCore::onVote(wire::VoteRequestT Request,
                                                 bool PreVote) {
  if (!acceptsRequest(Request))
    co_return base::Bytes();
  wire::VoteReplyT Reply;
  bool LogUpToDate = std::pair(Request.last_term, Request.last_index) >=
                     std::pair(Log.lastTerm(), Log.lastIndex());
  if (hasRecentLeader()) {
    // A replica that was removed or partitioned must not depose the leader.
    Reply.granted = false;
  } else if (PreVote) {
    Reply.granted = Request.term > term() && LogUpToDate;
  } else {
    observeTerm(Request.term);
    std::uint64_t VotedFor = Vote.VotedFor.value();
    Reply.granted = Request.term == term() && LogUpToDate &&
                    (VotedFor == 0 || VotedFor == Request.from);
    if (Reply.granted && VotedFor == 0)
      setVote(Request.term, Request.from);
    if (Reply.granted)
      ElectionTimerStart = Time.now();
  }
  Reply.term = term();
  co_await waitUntilSynced(Disk, Disk.lastQueuedWrite());
  co_return encode(Reply);
}

void ReplicaCore::recordLeaderContact(std::uint64_t From) {
  AMARANTH_INVARIANT(CurrentRole != RaftRole::Leader &&
                         (!Leader || Leader->value() == From),
                     "there is one leader per term");
  CurrentRole = RaftRole::Follower;
  LastLeaderContact = ElectionTimerStart = Time.now();
  if (Leader)
    return;
  Leader = base::ReplicaId(From);
  Changed.notifyAll();
}

bool ReplicaCore::appendIfConsistent(wire::AppendRequestT &Request,
                                     std::uint64_t &NextIndex) {
  std::uint64_t Previous = Request.prev_index;
  if (Previous > Log.lastIndex()) {
    NextIndex = Log.lastIndex() + 1;
    return false;
  }
  if (Previous > CommitIndex && Log.termAt(Previous) != Request.prev_term) {
    NextIndex = std::max(Log.firstIndexOfTerm(Previous), CommitIndex + 1);
    return false;
  }
  // The logs of leader and follower are identical up to the commit index.
  AMARANTH_INVARIANT(Previous < Log.baseIndex() || Previous > CommitIndex ||
                         Log.termAt(Previous) == Request.prev_term,
                     "committed entries never change");
  std::vector<EntryRef> New;
  for (auto &Item : Request.entries) {
    if (Item->index <= Log.baseIndex())
      continue;
    if (Item->index <= Log.lastIndex() && New.empty()) {
      if (Log.termAt(Item->index) == Item->term)
        continue;
      truncateFrom(Item->index);
    }
    auto Entry = std::make_shared<LogEntry>();
    Entry->Index = base::LogIndex(Item->index);
    Entry->EntryTerm = base::Term(Item->term);
    Entry->Time = base::WallTime(Item->time);
    Entry->Kind = static_cast<EntryKind>(Item->kind);
    Entry->Payload = std::move(Item->payload);
    New.push_back(std::move(Entry));
  }
  if (!New.empty())
    storeEntries(std::move(New));
  return true;
}

asio::awaitable<base::Bytes>
ReplicaCore::onAppend(wire::AppendRequestT Request) {
  if (!acceptsLeaderRequest(Request))
    co_return base::Bytes();
  wire::AppendReplyT Reply;
  if (Request.term >= term()) {
    observeTerm(Request.term);
    recordLeaderContact(Request.from);
    Reply.match = Request.prev_index + Request.entries.size();
    Reply.ok = appendIfConsistent(Request, Reply.next);
  }
  if (Reply.ok) {
    if (!PendingUpToDate)
      PendingUpToDate.emplace(Time.now() - base::Millis(Request.since_current),
                              Request.commit);
    commitTo(std::min(Request.commit, Reply.match));
    updateStaleness();
  }
  Reply.term = term();
  // While the disk is slow, the leader repeats the request after each timeout.
  // The entries of the repetitions must not take memory.
  Request.entries.clear();
  // The leader counts this reply towards the commit, so all entries that it
  // covers must be durable.
  co_await waitUntilSynced(Disk, Disk.lastQueuedWrite());
  if (term() != Reply.term)
    co_return base::Bytes();
  co_return encode(Reply);
}

} // namespace amaranth::replication
