#ifndef AMARANTH_REPLICATION_REPLICA_H
#define AMARANTH_REPLICATION_REPLICA_H

#include "amaranth/base/Clock.h"
#include "amaranth/protocol/Channel.h"
#include "amaranth/replication/Membership.h"
#include "amaranth/replication/ReplicatedLog.h"
#include "amaranth/replication/Storage.h"
#include "amaranth/replication/Transport.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace amaranth::replication {

/// A command is larger than `ReplicaSettings::MaxCommandBytes`, or a
/// membership change is not allowed now. Nothing was changed.
class RequestRejected : public base::Error {
public:
  using base::Error::Error;
};

struct ReplicaSettings {
  /// `ip:port` under which the other replicas reach this one.
  std::string Address;
  /// Addresses of the voters that form the cluster when none exists. The
  /// same list on each of them; empty for a process that only joins.
  std::vector<std::string> InitialVoters;
  /// Addresses of further control processes. A process with an empty disk
  /// asks these and the initial voters for a cluster and joins as a learner.
  std::vector<std::string> KnownPeers;

  base::Millis HeartbeatInterval = base::Millis(250);
  base::Millis ElectionTimeoutMin = base::Millis(1000);
  base::Millis ElectionTimeoutMax = base::Millis(2000);
  /// A call to a peer that took longer is repeated.
  base::Millis CallTimeout = base::Millis(500);

  /// Voters that the leader keeps without an operator: it promotes learners
  /// below this number, removes a voter whose address now belongs to a process
  /// with another disk, and puts a learner in the place of a voter that was
  /// silent for `VoterFailureTimeout`. 0 leaves all of that to operators.
  std::size_t TargetVoters = 0;
  base::Millis VoterFailureTimeout = base::Millis(2000);
  /// A learner that was silent for this time is removed, if `TargetVoters` is
  /// set; one that comes back joins again.
  base::Millis LearnerRemovalTimeout = base::Millis::seconds(30);

  /// Entries between two snapshots.
  std::uint64_t CompactEntries = 10'000;
  /// Entries kept in memory below the snapshot for members slightly behind.
  std::uint64_t TrailingEntries = 1'000;
  /// A learner may become a voter when it lacks at most this many entries.
  std::uint64_t MaxPromotionLagEntries = 64;

  /// Largest command. Together with `MaxAppendBytes` it keeps each message
  /// below the limit of a frame.
  std::size_t MaxCommandBytes = 2U << 20U;
  /// Payload bytes after which no further entry joins an append.
  std::size_t MaxAppendBytes = 192U << 10U;
  std::size_t SnapshotChunkBytes = 192U << 10U;
  /// A larger snapshot is refused by its receiver.
  std::size_t MaxSnapshotBytes = 512U << 20U;
  /// Bounds of the commands that wait for their commit at the leader.
  std::size_t MaxQueuedCommands = 4096;
  std::size_t MaxQueuedBytes = 16U << 20U;

  /// Seed of the election timeouts; 0 takes a random one.
  std::uint64_t Seed = 0;
};

/// One replica of the log. Construction in a control process:
///
///   LogStorage Disk("/var/lib/amaranth", Executor);
///   Identity Self{Role::Control, std::to_string(Disk.id().value()), Zone};
///   TcpDialer Dialer(Self, Keys, Time);
///   ChannelTransport Net(Dialer, Time, Executor);
///   Replica Log(Disk, State, Net, Settings, Time, Executor);
///   Log.onMessage([](base::ReplicaId From, base::ByteView Message) { ... });
///   co_spawn(Executor, Log.run(), ...);      // ends at `stop` or a fault
///   Listener.serve([&](auto Connection) -> awaitable<void> {
///     if (Connection->peer().ProcessRole == Role::Control)
///       co_await Log.serve(Connection);
///   });
///
/// All references must outlive the `io_context` that runs the tasks.
class Replica final : public ReplicatedLog {
public:
  /// Called at the leader for each message of `postToLeader`, the leader's
  /// own included. The view is valid during the call.
  using MessageHandler =
      std::function<void(base::ReplicaId From, base::ByteView Message)>;

  /// Recovers from `Disk` and restores `State` from its snapshot. Throws
  /// `StorageError`.
  Replica(Storage &Disk, StateMachine &State, Transport &Net,
          ReplicaSettings Settings, base::Clock &Time,
          const boost::asio::any_io_executor &Executor);
  /// Stops.
  ~Replica() override;

  /// Takes part in the cluster until `stop`. Throws `StorageError` when the
  /// disk fails; the process must end then.
  boost::asio::awaitable<void> run();
  /// Ends the tasks; pending calls throw `NotLeader` or
  /// `base::TimeoutError`.
  void stop();

  /// Answers the requests of another replica until the connection ends.
  boost::asio::awaitable<void>
  serve(std::shared_ptr<protocol::Channel> Connection);
  /// Answers one request; an empty reply refuses it. For other transports.
  boost::asio::awaitable<base::Bytes> handle(protocol::MessageType Type,
                                             base::Bytes Request);

  void onMessage(MessageHandler Handler);

  /// Replaces `ReplicaSettings::KnownPeers`.
  void setKnownPeers(std::vector<std::string> Peers);

  boost::asio::awaitable<base::Bytes> propose(base::Bytes Command,
                                              base::Millis Timeout) override;
  boost::asio::awaitable<base::LogIndex>
  readIndex(base::Millis Timeout) override;

  /// Membership changes, one voter at a time. Forwarded to the leader; they
  /// return once the change is committed. Throw `RequestRejected`, `NotLeader`
  /// or `base::TimeoutError` (the change may still happen).
  boost::asio::awaitable<void>
  addLearner(base::ReplicaId Id, std::string Address, base::Millis Timeout);
  /// Makes a learner a voter; refused while it is too far behind.
  boost::asio::awaitable<void> promote(base::ReplicaId Id,
                                       base::Millis Timeout);
  /// Removes a member that is not the leader. Stop its process first: one
  /// that runs on asks to be admitted as a learner again.
  boost::asio::awaitable<void> remove(base::ReplicaId Id, base::Millis Timeout);
  /// Makes the learner a voter and then removes the lost voter. Returns after
  /// the first step is committed; the second follows under any leader.
  boost::asio::awaitable<void> replaceVoter(base::ReplicaId Lost,
                                            base::ReplicaId Replacement,
                                            base::Millis Timeout);

  bool isLeader() const override;
  std::optional<base::ReplicaId> leader() const override;
  base::ReplicaId self() const override;
  base::Term term() const override;
  base::LogIndex appliedIndex() const override;
  base::LogIndex commitIndex() const override;
  base::Millis staleness() const override;
  /// As of the last committed change: a repair that looks complete here
  /// survives the loss of another voter.
  std::vector<MemberStatus> members() const override;
  base::Signal &changed() override;
  void postToLeader(base::Bytes Message) override;

  /// 0 before the replica belongs to a cluster.
  std::uint64_t clusterId() const;
  /// First index that is still in the log.
  base::LogIndex firstLogIndex() const;

private:
  std::shared_ptr<class ReplicaCore> Core;
};

} // namespace amaranth::replication

#endif
