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
#include <set>

namespace amaranth::replication {

enum class RaftRole : std::uint8_t { Follower, Candidate, Leader };

/// Replication progress of one other member, kept by the leader for its term.
struct PeerState {
  std::uint64_t NextIndex = 1;
  std::uint64_t MatchIndex = 0;
  /// Highest read round that the peer has acknowledged.
  std::uint64_t AckedReadRound = 0;
  std::uint64_t SentCommitIndex = 0;
  /// Send time of the latest request that the peer answered.
  base::TimePoint LastAckedSendTime;
  bool HasReplied = false;
  /// Stops the peer's task. Set at the end of the term or when the peer is
  /// removed.
  bool Cancelled = false;
};

/// A call that waits until its log entry is applied.
struct PendingProposal {
  explicit PendingProposal(const boost::asio::any_io_executor &Executor)
      : Changed(Executor) {}

  std::uint64_t EntryTerm = 0;
  std::optional<base::Bytes> Result;
  /// An entry of another term was committed at the index.
  bool Overwritten = false;
  bool Aborted = false;
  base::Signal Changed;
};

/// A partially received snapshot.
struct IncomingSnapshot {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  std::uint64_t Digest = 0;
  base::Bytes Data;
};

/// A snapshot to send, shared by all tasks that send it.
struct OutgoingSnapshot {
  StoredSnapshot Content;
  std::uint64_t Digest = 0;
};

/// Implementation of `Replica`. The member functions are defined in
/// Replica.cpp, Election.cpp, Leader.cpp, Follower.cpp, Proposals.cpp,
/// Members.cpp, Repair.cpp, Formation.cpp and Snapshots.cpp. Each running task
/// holds a reference to the object.
class ReplicaCore : public std::enable_shared_from_this<ReplicaCore> {
public:
  ReplicaCore(Storage &Disk, StateMachine &State, Transport &Net,
              ReplicaSettings Settings, base::Clock &Time,
              const boost::asio::any_io_executor &Executor);

  // Lifetime; Replica.cpp.
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
  /// Moves to `Term` as a follower if it is higher than the current term.
  void observeTerm(std::uint64_t Term);
  void becomeFollower();
  void storeEntries(std::vector<EntryRef> Entries);
  void truncateFrom(std::uint64_t Index);
  void commitTo(std::uint64_t Index);
  void applyEntry(const LogEntry &Entry);
  /// The entry with its payload, read from disk if necessary.
  EntryRef loadedEntry(std::uint64_t Index);
  const Membership &membership() const;
  const Membership &committedMembership() const;
  std::string addressOf(base::ReplicaId Id) const;
  base::Millis staleness() const;
  void updateStaleness();

  // Requests; Follower.cpp.
  boost::asio::awaitable<void>
  serve(std::shared_ptr<protocol::Channel> Connection);
  boost::asio::awaitable<base::Bytes> handle(protocol::MessageType Type,
                                             base::Bytes Request);
  boost::asio::awaitable<base::Bytes> dispatch(protocol::MessageType Type,
                                               base::ByteView Request);
  boost::asio::awaitable<base::Bytes> onPost(wire::PostT Request);
  boost::asio::awaitable<base::Bytes> onVote(wire::VoteRequestT Request,
                                             bool PreVote);
  boost::asio::awaitable<base::Bytes> onAppend(wire::AppendRequestT Request);
  bool appendIfConsistent(wire::AppendRequestT &Request,
                          std::uint64_t &NextIndex);
  void recordLeaderContact(std::uint64_t From);
  /// Returns whether the request is addressed to this replica and comes from
  /// its cluster.
  template <typename Request> bool acceptsRequest(const Request &From) const {
    return From.to == self() && From.cluster != 0 &&
           From.cluster == Identity.Cluster;
  }
  /// Like `acceptsRequest`, but a replica without a cluster first adopts the
  /// cluster id of the leader.
  template <typename Request> bool acceptsLeaderRequest(const Request &From) {
    if (Identity.Cluster == 0 && From.to == self() && From.cluster != 0) {
      Identity.Cluster = From.cluster;
      Disk.write(Identity);
    }
    return acceptsRequest(From);
  }

  // Snapshots.cpp.
  bool isCompactionDue() const;
  void compact();
  /// Discards the entries that neither the snapshot nor `TrailingEntries` and
  /// `TrailingBytes` require.
  void discardCoveredEntries();
  boost::asio::awaitable<base::Bytes> onSnapshot(wire::SnapshotChunkT Chunk);
  /// Returns true once the snapshot is complete and installed.
  bool receiveChunk(const wire::SnapshotChunkT &Chunk);
  void installSnapshot(const wire::SnapshotChunkT &Last);
  std::shared_ptr<const OutgoingSnapshot> outgoingSnapshot();
  boost::asio::awaitable<void> sendSnapshot(base::ReplicaId To,
                                            std::shared_ptr<PeerState> Peer);

  // Election.cpp.
  boost::asio::awaitable<void> electionLoop();
  boost::asio::awaitable<void> campaign();
  boost::asio::awaitable<bool> collectVotes(bool PreVote,
                                            std::uint64_t ForTerm);
  base::Millis randomTimeout();
  bool hasRecentLeader() const;

  // Leader.cpp.
  void becomeLeader();
  std::uint64_t appendLocal(EntryKind Kind, base::Bytes Payload);
  /// Starts and stops peer tasks to match the current membership.
  void updatePeers();
  boost::asio::awaitable<void> replicateTo(base::ReplicaId To,
                                           std::shared_ptr<PeerState> Peer);
  wire::AppendRequestT nextAppend(base::ReplicaId To, const PeerState &Peer);
  /// Returns whether the next request should be sent immediately.
  bool handleAppendReply(base::ReplicaId From, PeerState &Peer,
                         const wire::AppendReplyT &Reply);
  void advanceCommit();
  /// Returns the latest time T such that a majority of the voters answered
  /// a request sent at or after T. This replica itself counts as answering now.
  base::TimePoint lastMajorityContact() const;
  bool roundAcked(std::uint64_t Round) const;
  bool isLeaderInTerm(std::uint64_t Term) const {
    return !Stopped && CurrentRole == RaftRole::Leader && term() == Term;
  }

  // Proposals.cpp.
  boost::asio::awaitable<base::Bytes> propose(base::Bytes Command,
                                              base::Millis Timeout);
  boost::asio::awaitable<base::Bytes> proposeLocally(base::Bytes Command,
                                                     base::Millis Timeout);
  boost::asio::awaitable<base::Bytes> awaitEntry(std::uint64_t Index,
                                                 base::Millis Timeout);
  boost::asio::awaitable<base::LogIndex> readIndex(base::Millis Timeout);
  boost::asio::awaitable<std::uint64_t> confirmReadIndex();
  boost::asio::awaitable<std::uint64_t> readLocally(base::Millis Timeout);
  boost::asio::awaitable<std::uint64_t> readFromLeader(base::Millis Timeout);
  boost::asio::awaitable<void> waitUntilApplied(std::uint64_t Index);
  boost::asio::awaitable<base::Bytes> onPropose(wire::ProposeRequestT Request);
  boost::asio::awaitable<base::Bytes> onRead(wire::ReadIndexRequestT Request);
  void postToLeader(base::Bytes Message);
  std::string leaderAddress() const;

  // Members.cpp.
  boost::asio::awaitable<void> changeMembers(wire::MemberRequestT Request,
                                             base::Millis Timeout);
  boost::asio::awaitable<base::Bytes> onMember(wire::MemberRequestT Request);
  boost::asio::awaitable<void>
  changeMembersLocally(wire::MemberRequestT Request, base::Millis Timeout);
  Membership membershipAfter(const wire::MemberRequestT &Request) const;
  void checkPromotable(base::ReplicaId Id) const;
  bool mayChangeMembers() const;
  /// Removes the replaced voter, the second step of a replacement.
  void continueReplacement();

  // Repair.cpp; leader only.
  /// Makes at most one membership change towards `TargetVoters`.
  void repairMembers();
  bool isReachable(base::ReplicaId Id) const;
  /// Returns false for this replica and for a replica that is not a member.
  bool isUnreachableFor(base::ReplicaId Id, base::Millis Span) const;
  bool isPromotable(const Member &Each) const;
  const Member *replaceableVoter() const;
  bool mayRemoveVoter(base::ReplicaId Id) const;

  // Formation.cpp.
  boost::asio::awaitable<void> formationLoop();
  /// Returns whether this replica is not the leader and no leader has contacted
  /// it for three maximum election timeouts.
  /// Stores the initial voters, or takes over the stored ones if the settings
  /// have none.
  void keepInitialVoters();
  bool isWithoutLeader() const;
  boost::asio::awaitable<void> formOrJoin();
  /// Asks all addresses at once for the cluster they belong to. Returns the
  /// replies by address as soon as one names a leader or all calls have ended.
  boost::asio::awaitable<std::map<std::string, wire::MemberReplyT>>
  identify(std::set<std::string> Addresses);
  boost::asio::awaitable<void> joinCluster(std::string ContactAddress,
                                           wire::MemberReplyT Found);
  boost::asio::awaitable<void>
  formCluster(std::map<std::string, std::uint64_t> Ids);
  boost::asio::awaitable<base::Bytes> onAdopt(wire::MemberRequestT Request);

  /// Sends a request to a peer; returns no value if the call failed or the
  /// peer refused it.
  template <typename Reply>
  boost::asio::awaitable<std::optional<Reply>>
  callPeer(std::string Peer, protocol::MessageType Type, base::Bytes Request) {
    std::optional<Reply> Result;
    try {
      base::Bytes Raw = co_await Net.call(
          std::move(Peer), Type, std::move(Request), Settings.CallTimeout);
      if (!Raw.empty())
        Result = decode<Reply>(Raw);
    } catch (const base::Error &Error) {
      Logger->debug("request to a peer failed type={} error=\"{}\"",
                    static_cast<unsigned>(Type), Error.what());
    }
    co_return Result;
  }

  /// Creates a request with the cluster, sender and receiver ids set.
  template <typename Request> Request makeRequest(base::ReplicaId To) const {
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

  // Persistent state.
  StoredIdentity Identity;
  StoredVote Vote;
  MemoryLog Log;
  std::uint64_t SnapshotIndex = 0;
  /// Size of the state in the last snapshot.
  std::size_t SnapshotBytes = 0;
  /// Number of the write that stores the last snapshot.
  std::uint64_t SnapshotWrite = 0;

  /// Membership entries with their log indices; the last one is in effect.
  std::deque<std::pair<std::uint64_t, Membership>> MembershipHistory;
  /// Index up to which all entries are synced to disk.
  std::uint64_t DurableIndex = 0;
  /// Queued writes: the write number and the last log index it covers.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> PendingSyncs;
  /// Both the commit index and the applied index: they are equal whenever a
  /// coroutine is suspended.
  std::uint64_t CommitIndex = 0;
  /// Time of the entry at `CommitIndex`.
  base::WallTime CommitTime;

  RaftRole CurrentRole = RaftRole::Follower;
  std::optional<base::ReplicaId> Leader;
  std::optional<base::TimePoint> LastLeaderContact;
  /// Start of the current election timeout.
  base::TimePoint ElectionTimerStart;

  /// Latest time at which this replica is known to have been up to date.
  std::optional<base::TimePoint> UpToDateAt;
  /// The replica is up to date as of the time `first` once it has applied the
  /// index `second`.
  std::optional<std::pair<base::TimePoint, std::uint64_t>> PendingUpToDate;

  // Leader only.
  std::map<base::ReplicaId, std::shared_ptr<PeerState>> Peers;
  std::uint64_t TermStartIndex = 0;
  std::uint64_t ReadRound = 0;
  std::multimap<std::uint64_t, std::shared_ptr<PendingProposal>>
      PendingProposals;
  std::weak_ptr<const OutgoingSnapshot> Outgoing;
  std::size_t PostsInFlight = 0;

  std::optional<IncomingSnapshot> Incoming;
  Replica::MessageHandler OnMessage;

  /// Notifies the peer tasks of new entries, commits and read rounds.
  base::Signal ReplicationNeeded;
  /// Notified on a reply from a peer and when the leadership ends.
  base::Signal PeerProgress;
  base::Signal Changed;
  base::Signal StopRequested;
  bool Stopped = false;
  std::exception_ptr Failure;
};

} // namespace amaranth::replication

#endif
