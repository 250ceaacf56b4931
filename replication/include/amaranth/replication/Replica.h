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

struct ReplicaSettings {
  /// Address at which the other replicas reach this one, as `ip:port`.
  std::string Address;
  /// Addresses of the voters that form a cluster if none exists yet. Must be
  /// the same list on each of them; empty for a process that only joins a
  /// cluster. The disk keeps the list until the replica belongs to a cluster,
  /// so it is needed at the first start only.
  std::vector<std::string> InitialVoters;
  /// Addresses of further control processes. A process with an empty disk asks
  /// these and the initial voters whether they belong to a cluster and joins
  /// that cluster as a learner.
  std::vector<std::string> KnownPeers;

  base::Millis HeartbeatInterval = base::Millis(250);
  base::Millis ElectionTimeoutMin = base::Millis(1000);
  base::Millis ElectionTimeoutMax = base::Millis(2000);
  /// Timeout of a request to a peer; the request is sent again after it.
  base::Millis CallTimeout = base::Millis(500);

  /// Number of voters that the leader maintains automatically. It promotes
  /// learners while there are fewer, removes a voter whose address is now used
  /// by a process with a different disk, and replaces a voter that has not
  /// answered for `VoterFailureTimeout` by a learner. 0 disables automatic
  /// membership changes.
  std::size_t TargetVoters = 0;
  base::Millis VoterFailureTimeout = base::Millis(2000);
  /// Removes a learner that has not answered for this time, if `TargetVoters`
  /// is set. A removed learner that comes back joins again.
  base::Millis LearnerRemovalTimeout = base::Millis::seconds(30);

  /// A snapshot is taken, and the log below it discarded, after this number of
  /// applied entries or bytes, whichever comes first. Where the state is larger
  /// than `CompactBytes`, its size counts instead, so that snapshots write at
  /// most as much as the log does.
  std::uint64_t CompactEntries = 10'000;
  std::size_t CompactBytes = 16U << 20U;
  /// Entries and bytes kept in memory below the snapshot, so that a member that
  /// lags slightly does not need a snapshot.
  std::uint64_t TrailingEntries = 1'000;
  std::size_t TrailingBytes = 8U << 20U;
  /// A learner may become a voter when it lags by at most this many entries.
  std::uint64_t MaxPromotionLagEntries = 64;

  /// Largest command, at most `MaxEntryPayloadBytes`. Together with
  /// `MaxAppendBytes` it keeps each message below the frame size limit.
  std::size_t MaxCommandBytes = MaxEntryPayloadBytes;
  /// An append request takes no further entry once it holds this many bytes.
  std::size_t MaxAppendBytes = 192U << 10U;
  std::size_t SnapshotChunkBytes = 192U << 10U;
  /// The receiver rejects a larger snapshot.
  std::size_t MaxSnapshotBytes = 512U << 20U;
  /// Limits on the commands that wait at the leader to be committed. The bytes
  /// are those of all uncommitted entries of its log, also of entries whose
  /// proposal has timed out. A leader whose own disk is behind by more bytes
  /// than this gives up its leadership.
  std::size_t MaxQueuedCommands = 4096;
  std::size_t MaxQueuedBytes = 16U << 20U;

  /// Seed of the random election timeouts; 0 selects a random seed.
  std::uint64_t Seed = 0;

  /// Upper bound on the memory of the log for a state of `StateBytes`, in
  /// bytes: what is kept below the snapshot, what is applied until the next
  /// one, and what is not committed.
  std::size_t maxLogMemoryBytes(std::size_t StateBytes) const;
  /// Upper bound on the disk space of the log and of the snapshot, which is
  /// there twice while it is replaced, in bytes.
  std::size_t maxDiskBytes(std::size_t StateBytes) const;
};

/// A replica of the log. Example of its setup in a control process:
///
///   LogStorage Disk("/var/lib/amaranth", Executor);
///   Identity Self{Role::Control, std::to_string(Disk.id().value()), Zone};
///   TcpDialer Dialer(Self, Keys, Time);
///   ChannelTransport Net(Dialer, Time, Executor);
///   Replica Log(Disk, State, Net, Settings, Time, Executor);
///   Log.onMessage([](base::ReplicaId From, base::ByteView Message) { ... });
///   co_spawn(Executor, Log.run(), ...);      // until `stop` or a failure
///   Listener.serve([&](auto Connection) -> awaitable<void> {
///     if (Connection->peer().ProcessRole == Role::Control)
///       co_await Log.serve(Connection);
///   });
///
/// All references must outlive the `io_context` that runs the tasks.
class Replica final : public ReplicatedLog {
public:
  /// Called on the leader for each message sent with `postToLeader`, including
  /// its own. `Message` is valid only during the call.
  using MessageHandler =
      std::function<void(base::ReplicaId From, base::ByteView Message)>;

  /// Recovers the log from `Disk` and restores `State` from the snapshot.
  /// Throws `StorageError`, or `base::Error` if `Settings` allow commands that
  /// `Disk` cannot store.
  Replica(Storage &Disk, StateMachine &State, Transport &Net,
          ReplicaSettings Settings, base::Clock &Time,
          const boost::asio::any_io_executor &Executor);
  /// Calls `stop`.
  ~Replica() override;

  /// Runs the replica until `stop`. Throws `StorageError` when the disk fails;
  /// the process must then exit.
  boost::asio::awaitable<void> run();
  /// Stops all tasks; pending calls throw `NotLeader` or
  /// `base::TimeoutError`.
  void stop();

  /// Serves the requests of another replica until the connection closes.
  boost::asio::awaitable<void>
  serve(std::shared_ptr<protocol::Channel> Connection);
  /// Handles a single request, for transports other than `protocol::Channel`.
  /// An empty reply means that the request was refused.
  boost::asio::awaitable<base::Bytes> handle(protocol::MessageType Type,
                                             base::Bytes Request);

  void onMessage(MessageHandler Handler);

  /// Replaces `ReplicaSettings::KnownPeers`.
  void setKnownPeers(std::vector<std::string> Peers);

  boost::asio::awaitable<base::Bytes> propose(base::Bytes Command,
                                              base::Millis Timeout) override;
  boost::asio::awaitable<base::LogIndex>
  readIndex(base::Millis Timeout) override;

  /// Membership changes. At most one voter changes at a time. The calls are
  /// forwarded to the leader and return once the change is committed. They
  /// throw `RequestRejected`, `NotLeader` or `base::TimeoutError` (the change
  /// may still be committed).
  boost::asio::awaitable<void>
  addLearner(base::ReplicaId Id, std::string Address, base::Millis Timeout);
  /// Makes a learner a voter; rejected while it lags by more than
  /// `ReplicaSettings::MaxPromotionLagEntries`.
  boost::asio::awaitable<void> promote(base::ReplicaId Id,
                                       base::Millis Timeout);
  /// Removes a member other than the leader. Stop its process first: a
  /// running process joins again as a learner.
  boost::asio::awaitable<void> remove(base::ReplicaId Id, base::Millis Timeout);
  /// Makes the learner `Replacement` a voter and then removes the voter
  /// `Lost`. Returns once the first step is committed; the current or a later
  /// leader performs the second step.
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
  /// Reports the last committed membership, not the last appended one: once
  /// this shows a completed repair, the cluster survives the loss of another
  /// voter.
  std::vector<MemberStatus> members() const override;
  base::Signal &changed() override;
  void postToLeader(base::Bytes Message) override;

  /// 0 until the replica belongs to a cluster.
  std::uint64_t clusterId() const;
  /// Index of the first entry that has not been compacted.
  base::LogIndex firstLogIndex() const;
  /// Memory of the log entries in bytes.
  std::size_t logMemoryBytes() const;

private:
  std::shared_ptr<class ReplicaCore> Core;
};

} // namespace amaranth::replication

#endif
