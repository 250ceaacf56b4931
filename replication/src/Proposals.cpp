#include "ReplicaCore.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Timeout.h"

#include <fmt/format.h>

namespace asio = boost::asio;

namespace amaranth::replication {

namespace {

/// Limit on the messages of `postToLeader` in flight; further messages are
/// dropped.
constexpr std::size_t MaxPostsInFlight = 64;

asio::awaitable<void> waitUntilDecided(std::shared_ptr<PendingProposal> Each) {
  while (!Each->Result && !Each->Overwritten && !Each->Aborted)
    co_await Each->Changed.wait();
}

void throwOutcome(wire::Outcome Outcome, const std::string &Message) {
  if (Outcome == wire::Outcome::NotLeader)
    throw NotLeader(Message);
  if (Outcome == wire::Outcome::Unknown)
    throw base::TimeoutError(Message);
  if (Outcome == wire::Outcome::Refused)
    throw RequestRejected(Message);
}

} // namespace

std::string ReplicaCore::leaderAddress() const {
  std::string Address = Leader ? addressOf(*Leader) : std::string();
  if (Address.empty())
    throw NotLeader("no leader is known");
  return Address;
}

asio::awaitable<base::Bytes> ReplicaCore::propose(base::Bytes Command,
                                                  base::Millis Timeout) {
  auto Self = shared_from_this();
  if (Command.size() > Settings.MaxCommandBytes)
    throw RequestRejected(
        fmt::format("a command of {} bytes exceeds the limit of {} bytes",
                    Command.size(), Settings.MaxCommandBytes));
  if (CurrentRole == RaftRole::Leader)
    co_return co_await proposeLocally(std::move(Command), Timeout);
  std::string Address = leaderAddress();
  auto Request = makeRequest<wire::ProposeRequestT>(*Leader);
  Request.timeout_ms = Timeout.count();
  Request.command = std::move(Command);
  base::Bytes Raw = encode(Request);
  std::string ConnectionError;
  try {
    Raw = co_await Net.call(Address, protocol::MessageType::ProposeRequest,
                            std::move(Raw), Timeout);
  } catch (const protocol::ChannelClosed &Error) {
    ConnectionError = Error.what();
  }
  if (!ConnectionError.empty())
    throw NotLeader("the leader cannot be reached: " + ConnectionError);
  if (Raw.empty())
    throw NotLeader("the process at the leader's address refused the request");
  auto Reply = decode<wire::ProposeReplyT>(Raw);
  throwOutcome(Reply.outcome, Reply.message);
  co_return std::move(Reply.result);
}

asio::awaitable<base::Bytes> ReplicaCore::proposeLocally(base::Bytes Command,
                                                         base::Millis Timeout) {
  if (Stopped || CurrentRole != RaftRole::Leader)
    throw NotLeader("this replica is not the leader");
  if (Command.size() > Settings.MaxCommandBytes)
    throw RequestRejected("the command is too large");
  if (PendingProposals.size() >= Settings.MaxQueuedCommands ||
      Log.bytesAbove(CommitIndex) + Command.size() > Settings.MaxQueuedBytes)
    throw NotLeader(
        "overloaded: too many commands are waiting to be committed");
  // The majority has these entries, but the disk thread still holds them.
  if (Log.bytesAbove(DurableIndex) > Settings.MaxQueuedBytes) {
    Logger->warn("giving up the leadership because the disk is behind id={:x} "
                 "durable={} last={}",
                 self(), DurableIndex, Log.lastIndex());
    becomeFollower();
    throw NotLeader("the disk of the leader is behind");
  }
  std::uint64_t Index = appendLocal(EntryKind::Command, std::move(Command));
  co_return co_await awaitEntry(Index, Timeout);
}

asio::awaitable<base::Bytes> ReplicaCore::awaitEntry(std::uint64_t Index,
                                                     base::Millis Timeout) {
  auto Proposal = std::make_shared<PendingProposal>(Executor);
  Proposal->EntryTerm = term();
  auto Position = PendingProposals.emplace(Index, Proposal);
  co_await base::withTimeout(Time, Timeout, waitUntilDecided(Proposal));
  PendingProposals.erase(Position);
  if (Proposal->Result)
    co_return std::move(*Proposal->Result);
  if (Proposal->Overwritten)
    throw NotLeader("the leader changed before the entry was committed");
  throw base::TimeoutError(
      "the entry was not committed in time; it may be applied later");
}

asio::awaitable<std::uint64_t> ReplicaCore::confirmReadIndex() {
  std::uint64_t StartTerm = term();
  // Until an entry of the current term is committed, the commit index of a new
  // leader may be below that of the cluster.
  while (isLeaderInTerm(StartTerm) && CommitIndex < TermStartIndex)
    co_await Changed.wait();
  std::uint64_t Index = CommitIndex;
  std::uint64_t Round = ++ReadRound;
  ReplicationNeeded.notifyAll();
  while (isLeaderInTerm(StartTerm) && !roundAcked(Round))
    co_await PeerProgress.wait();
  if (!isLeaderInTerm(StartTerm))
    throw NotLeader("this replica lost the leadership during the read");
  AMARANTH_INVARIANT(Index <= CommitIndex, "the commit index never falls");
  co_return Index;
}

asio::awaitable<std::uint64_t> ReplicaCore::readLocally(base::Millis Timeout) {
  if (Stopped || CurrentRole != RaftRole::Leader)
    throw NotLeader("this replica is not the leader");
  auto Index = co_await base::withTimeout(Time, Timeout, confirmReadIndex());
  if (!Index)
    throw base::TimeoutError("no majority confirmed the read in time");
  co_return *Index;
}

asio::awaitable<std::uint64_t>
ReplicaCore::readFromLeader(base::Millis Timeout) {
  std::string Address = leaderAddress();
  auto Request = makeRequest<wire::ReadIndexRequestT>(*Leader);
  Request.timeout_ms = Timeout.count();
  base::Bytes Raw = encode(Request);
  std::string ConnectionError;
  try {
    Raw = co_await Net.call(Address, protocol::MessageType::ReadIndexRequest,
                            std::move(Raw), Timeout);
  } catch (const protocol::ChannelClosed &Error) {
    ConnectionError = Error.what();
  }
  if (!ConnectionError.empty() || Raw.empty())
    throw NotLeader("the leader cannot be reached: " + ConnectionError);
  auto Reply = decode<wire::ReadIndexReplyT>(Raw);
  throwOutcome(Reply.outcome, Reply.message);
  co_return Reply.index;
}

asio::awaitable<void> ReplicaCore::waitUntilApplied(std::uint64_t Index) {
  while (CommitIndex < Index && !Stopped)
    co_await Changed.wait();
}

asio::awaitable<base::LogIndex> ReplicaCore::readIndex(base::Millis Timeout) {
  auto Self = shared_from_this();
  base::TimePoint Deadline = Time.now() + Timeout;
  std::uint64_t Index = 0;
  if (CurrentRole == RaftRole::Leader)
    Index = co_await readLocally(Timeout);
  else
    Index = co_await readFromLeader(Timeout);
  co_await base::withTimeout(Time, Deadline - Time.now(),
                             waitUntilApplied(Index));
  if (CommitIndex < Index)
    throw base::TimeoutError(fmt::format(
        "this replica did not apply entry {} in time; it has applied entry {}",
        Index, CommitIndex));
  co_return base::LogIndex(CommitIndex);
}

asio::awaitable<base::Bytes>
ReplicaCore::onPropose(wire::ProposeRequestT Request) {
  if (!acceptsRequest(Request))
    co_return base::Bytes();
  wire::ProposeReplyT Reply;
  try {
    Reply.result = co_await proposeLocally(std::move(Request.command),
                                           base::Millis(Request.timeout_ms));
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
  co_return encode(Reply);
}

asio::awaitable<base::Bytes>
ReplicaCore::onRead(wire::ReadIndexRequestT Request) {
  if (!acceptsRequest(Request))
    co_return base::Bytes();
  wire::ReadIndexReplyT Reply;
  try {
    Reply.index = co_await readLocally(base::Millis(Request.timeout_ms));
  } catch (const NotLeader &Error) {
    Reply.outcome = wire::Outcome::NotLeader;
    Reply.message = Error.what();
  } catch (const base::TimeoutError &Error) {
    Reply.outcome = wire::Outcome::Unknown;
    Reply.message = Error.what();
  }
  co_return encode(Reply);
}

void ReplicaCore::postToLeader(base::Bytes Message) {
  if (Stopped || !Leader)
    return;
  if (CurrentRole == RaftRole::Leader) {
    if (OnMessage)
      OnMessage(Identity.Id, Message);
    return;
  }
  std::string Address = addressOf(*Leader);
  if (Address.empty() || PostsInFlight >= MaxPostsInFlight)
    return;
  auto Request = makeRequest<wire::PostT>(*Leader);
  Request.message = std::move(Message);
  ++PostsInFlight;
  spawn([Self = shared_from_this(), Address,
         Raw = encode(Request)]() -> asio::awaitable<void> {
    try {
      co_await Self->Net.call(Address, protocol::MessageType::NodesAlive, Raw,
                              Self->Settings.CallTimeout);
    } catch (const base::Error &Error) {
      Self->Logger->debug("sending a message to the leader failed error=\"{}\"",
                          Error.what());
    }
    --Self->PostsInFlight;
  });
}

} // namespace amaranth::replication
