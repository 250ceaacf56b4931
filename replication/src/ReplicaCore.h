#ifndef AMARANTH_REPLICATION_REPLICACORE_H
#define AMARANTH_REPLICATION_REPLICACORE_H

#include "MemoryLog.h"
#include "Wire.h"
#include "amaranth/base/Log.h"
#include "amaranth/replication/Replica.h"

#include <boost/asio/co_spawn.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>

namespace amaranth::replication {

enum class Mode : std::uint8_t { Follower, Candidate, Leader };

/// What a leader knows about one other member during its term.
struct PeerState {
  std::uint64_t Next = 1;
  std::uint64_t Match = 0;
  /// Highest read round that a reply confirmed.
  std::uint64_t AckedRound = 0;
  std::uint64_t SentCommit = 0;
  /// When the last request that was answered had been sent.
  base::TimePoint LastAck;
  bool Heard = false;
  /// Set when the term or the membership ended this peer's task.
  bool Gone = false;
};

/// A proposal that waits for its entry.
struct Waiter {
  explicit Waiter(const boost::asio::any_io_executor &Executor)
      : Changed(Executor) {}

  std::uint64_t EntryTerm = 0;
  std::optional<base::Bytes> Result;
  /// Another entry was committed at the index.
  bool Replaced = false;
  bool Aborted = false;
  base::Signal Changed;
};

/// A snapshot being received.
struct IncomingSnapshot {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  std::uint64_t Digest = 0;
  base::Bytes Data;
};

/// A snapshot being sent, shared by the tasks that send it.
struct OutgoingSnapshot {
  StoredSnapshot Content;
  std::uint64_t Digest = 0;
};

/// State and behaviour of a replica. The parts are in Election.cpp,
/// Leader.cpp, Follower.cpp, Proposals.cpp, Members.cpp, Formation.cpp and
/// Snapshots.cpp. Tasks keep it alive.
class ReplicaCore : public std::enable_shared_from_this<ReplicaCore> {
public:
  ReplicaCore(Storage &Disk, StateMachine &State, Transport &Net,
              ReplicaSettings Settings, base::Clock &Time,
              const boost::asio::any_io_executor &Executor);

  // Lifetime.
  boost::asio::awaitable<void> run();
  void stop();
  void fail(std::exception_ptr Error);
  template <typename Task> void spawn(Task Body) {
    boost::asio::co_spawn(Executor, std::move(Body),
                          [Self = shared_from_this()](std::exception_ptr E) {
                            if (E)
                              Self->fail(E);
                          });
  }
  boost::asio::awaitable<void> syncLoop();

  // Log and term; Replica.cpp.
  std::uint64_t term() const { return Vote.CurrentTerm.value(); }
  std::uint64_t self() const { return Identity.Id.value(); }
  void setVote(std::uint64_t Term, std::uint64_t VotedFor);
  /// Enters a higher term as a follower.
  void observeTerm(std::uint64_t Term);
  void becomeFollower();
  void storeEntries(std::vector<EntryRef> Entries);
  void truncateFrom(std::uint64_t Index);
  void commitTo(std::uint64_t Index);
  void applyOne(const LogEntry &Entry);
  const Membership &membership() const;
  const Membership &committedMembership() const;
  std::string addressOf(base::ReplicaId Id) const;
  base::Millis sinceCurrent() const;
  void noteCurrent();

  // Requests; Follower.cpp.
  boost::asio::awaitable<void> serve(std::shared_ptr<protocol::Channel> Link);
  boost::asio::awaitable<base::Bytes> handle(protocol::MessageType Type,
                                             base::Bytes Request);
  boost::asio::awaitable<base::Bytes> dispatch(protocol::MessageType Type,
                                               base::ByteView Request);
  boost::asio::awaitable<base::Bytes> onPost(wire::PostT Request);
  boost::asio::awaitable<base::Bytes> onVote(wire::VoteRequestT Request,
                                             bool Pre);
  boost::asio::awaitable<base::Bytes> onAppend(wire::AppendRequestT Request);
  bool appendConflictFree(wire::AppendRequestT &Request, std::uint64_t &Next);
  void heardLeader(std::uint64_t From);
  template <typename Request> bool admit(const Request &From) const {
    return From.to == self() && From.cluster != 0 &&
           From.cluster == Identity.Cluster;
  }
  /// As `admit`; a replica without a cluster joins that of the leader.
  template <typename Request> bool admitLeader(const Request &From) {
    if (Identity.Cluster == 0 && From.to == self() && From.cluster != 0) {
      Identity.Cluster = From.cluster;
      Disk.write(Identity);
    }
    return admit(From);
  }

  // Snapshots.cpp.
  void compact();
  boost::asio::awaitable<base::Bytes> onSnapshot(wire::SnapshotChunkT Chunk);
  /// Returns whether the snapshot is complete and installed.
  bool takeChunk(const wire::SnapshotChunkT &Chunk);
  void installSnapshot(const wire::SnapshotChunkT &Last);
  std::shared_ptr<const OutgoingSnapshot> outgoingSnapshot();
  boost::asio::awaitable<void> sendSnapshot(base::ReplicaId To,
                                            std::shared_ptr<PeerState> Peer);

  // Election.cpp.
  boost::asio::awaitable<void> electionLoop();
  boost::asio::awaitable<void> campaign();
  boost::asio::awaitable<bool> collectVotes(bool Pre, std::uint64_t ForTerm);
  base::Millis randomTimeout();
  bool leaderIsRecent() const;

  // Leader.cpp.
  void becomeLeader();
  std::uint64_t appendLocal(EntryKind Kind, base::Bytes Payload);
  /// Starts and ends peer tasks after a change of the membership.
  void updatePeers();
  boost::asio::awaitable<void> replicateTo(base::ReplicaId To,
                                           std::shared_ptr<PeerState> Peer);
  wire::AppendRequestT nextAppend(base::ReplicaId To, const PeerState &Peer);
  /// Returns whether the next request should follow at once.
  bool takeReply(PeerState &Peer, const wire::AppendReplyT &Reply);
  void advanceCommit();
  /// The latest time since which a majority answered a request.
  base::TimePoint majorityHeard() const;
  bool roundAcked(std::uint64_t Round) const;
  bool leads(std::uint64_t Term) const {
    return !Stopped && Leading == Mode::Leader && term() == Term;
  }

  // Proposals.cpp.
  boost::asio::awaitable<base::Bytes> propose(base::Bytes Command,
                                              base::Millis Timeout);
  boost::asio::awaitable<base::Bytes> proposeHere(base::Bytes Command,
                                                  base::Millis Timeout);
  boost::asio::awaitable<base::Bytes> awaitEntry(std::uint64_t Index,
                                                 base::Millis Timeout);
  boost::asio::awaitable<base::LogIndex> readIndex(base::Millis Timeout);
  boost::asio::awaitable<std::uint64_t> confirmRead();
  boost::asio::awaitable<std::uint64_t> readHere(base::Millis Timeout);
  boost::asio::awaitable<std::uint64_t> readAtLeader(base::Millis Timeout);
  boost::asio::awaitable<void> untilApplied(std::uint64_t Index);
  boost::asio::awaitable<base::Bytes> onPropose(wire::ProposeRequestT Request);
  boost::asio::awaitable<base::Bytes> onRead(wire::ReadIndexRequestT Request);
  void postToLeader(base::Bytes Message);
  std::string leaderAddress() const;

  // Members.cpp.
  boost::asio::awaitable<void> changeMembers(wire::MemberRequestT Request,
                                             base::Millis Timeout);
  boost::asio::awaitable<base::Bytes> onMember(wire::MemberRequestT Request);
  boost::asio::awaitable<void> changeHere(wire::MemberRequestT Request,
                                          base::Millis Timeout);
  Membership changed(const wire::MemberRequestT &Request) const;
  void checkPromotable(base::ReplicaId Id) const;
  bool mayChangeMembers() const;
  /// Second step of a replacement.
  void continueReplacement();

  // Repair.cpp; leader only.
  /// Makes at most one change of the membership that `TargetVoters` asks for.
  void repairMembers();
  bool heardRecently(base::ReplicaId Id) const;
  /// False for this process and for one that is not a member.
  bool silentFor(base::ReplicaId Id, base::Millis Span) const;
  bool isPromotable(const Member &Each) const;
  const Member *replaceableVoter() const;
  bool mayRemoveVoter(base::ReplicaId Id) const;

  // Formation.cpp.
  boost::asio::awaitable<void> formationLoop();
  /// A member that no leader has contacted for a while.
  bool isForgotten() const;
  boost::asio::awaitable<void> formOrJoin();
  boost::asio::awaitable<void> join(std::string Via, wire::MemberReplyT Found);
  boost::asio::awaitable<void> form(std::map<std::string, std::uint64_t> Ids);
  boost::asio::awaitable<base::Bytes> onAdopt(wire::MemberRequestT Request);

  /// Asks a peer; nothing when the call failed or was refused.
  template <typename Reply>
  boost::asio::awaitable<std::optional<Reply>>
  ask(std::string Peer, protocol::MessageType Type, base::Bytes Request) {
    std::optional<Reply> Result;
    try {
      base::Bytes Raw = co_await Net.call(
          std::move(Peer), Type, std::move(Request), Settings.CallTimeout);
      if (!Raw.empty())
        Result = decode<Reply>(Raw);
    } catch (const base::Error &Error) {
      Logger->debug("call failed type={} error=\"{}\"",
                    static_cast<unsigned>(Type), Error.what());
    }
    co_return Result;
  }

  /// Fills in cluster, sender and receiver.
  template <typename Request> Request request(base::ReplicaId To) const {
    Request New;
    New.cluster = Identity.Cluster;
    New.from = self();
    New.to = To.value();
    return New;
  }

  Storage &Disk;
  StateMachine &State;
  Transport &Net;
  ReplicaSettings Settings;
  base::Clock &Time;
  boost::asio::any_io_executor Executor;
  std::shared_ptr<spdlog::logger> Logger;
  std::mt19937_64 Random;

  // Stored state.
  StoredIdentity Identity;
  StoredVote Vote;
  MemoryLog Log;
  std::uint64_t SnapshotIndex = 0;

  /// Membership entries by index; the last one is in force.
  std::deque<std::pair<std::uint64_t, Membership>> History;
  /// Index of all entries on this disk.
  std::uint64_t Durable = 0;
  /// Queued writes: their number and the log's last index then.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> Syncing;
  /// Committed and applied; the two are the same at every suspension.
  std::uint64_t Commit = 0;
  base::WallTime CommitTime;

  Mode Leading = Mode::Follower;
  std::optional<base::ReplicaId> Leader;
  std::optional<base::TimePoint> LeaderHeard;
  /// Election timeouts count from here.
  base::TimePoint ElectionBase;

  /// This replica was current at this time.
  std::optional<base::TimePoint> CurrentAt;
  /// It is as current as of `first` once it applied `second`.
  std::optional<std::pair<base::TimePoint, std::uint64_t>> CurrentWhen;

  // Leader only.
  std::map<base::ReplicaId, std::shared_ptr<PeerState>> Peers;
  std::uint64_t TermStart = 0;
  std::uint64_t ReadRound = 0;
  std::size_t QueuedBytes = 0;
  std::multimap<std::uint64_t, std::shared_ptr<Waiter>> Waiters;
  std::weak_ptr<const OutgoingSnapshot> Outgoing;
  std::size_t PostsInFlight = 0;

  std::optional<IncomingSnapshot> Incoming;
  Replica::MessageHandler OnMessage;

  /// Entries, a commit or a read round for the peer tasks.
  base::Signal Work;
  /// A reply of a peer, or a change of the leadership.
  base::Signal Quorum;
  base::Signal Changed;
  base::Signal Stopping;
  bool Stopped = false;
  std::exception_ptr Failure;
};

} // namespace amaranth::replication

#endif
