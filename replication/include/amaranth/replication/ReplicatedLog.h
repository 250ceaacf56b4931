#ifndef AMARANTH_REPLICATION_REPLICATEDLOG_H
#define AMARANTH_REPLICATION_REPLICATEDLOG_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/Signal.h"
#include "amaranth/base/StrongId.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::replication {

/// A committed log entry, as passed to the state machine.
struct AppliedEntry {
  base::LogIndex Index;
  base::Term EntryTerm;
  /// Set by the leader; does not decrease from one entry to the next.
  base::WallTime Time;
  base::ByteView Command;
};

/// The state machine that the log replicates. Must be deterministic: state and
/// results depend only on the applied entries. Called on the thread of the
/// `io_context`.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// Applies a command and returns the result for the proposer. Must not
  /// throw; the result reports a malformed command.
  virtual base::Bytes apply(const AppliedEntry &Entry) = 0;

  /// Serializes the complete state, and replaces it by a serialized one.
  virtual base::Bytes snapshot() const = 0;
  virtual void restore(base::ByteView Snapshot) = 0;
};

/// Thrown when no leader is known or reachable, when the leader is overloaded,
/// or when the leader changed before the entry was committed. The command was
/// not applied and will not be.
class NotLeader : public base::Error {
public:
  using base::Error::Error;
};

/// Thrown when a command is larger than the log accepts or when a membership
/// change is not allowed in the current state. The log is unchanged, and the
/// same command will be rejected again.
class RequestRejected : public base::Error {
public:
  using base::Error::Error;
};

/// Replication state of one member, as reported to operators.
struct MemberStatus {
  base::ReplicaId Id;
  std::string Address;
  bool Voter = false;
  /// Highest log index known to be stored on the member; leader only.
  base::LogIndex MatchIndex;
  /// Time since the leader sent the last request that the member answered;
  /// leader only.
  std::optional<base::Millis> SinceHeard;
};

/// Interface of the replicated log to the rest of a control process. Not
/// thread-safe.
class ReplicatedLog {
public:
  virtual ~ReplicatedLog() = default;

  /// Appends a command and returns the result of the state machine once the
  /// entry is committed and applied. A follower forwards the command to the
  /// leader. Throws `NotLeader` or `RequestRejected` (not applied) or
  /// `base::TimeoutError` (may have been applied, or may be applied later).
  virtual boost::asio::awaitable<base::Bytes> propose(base::Bytes Command,
                                                      base::Millis Timeout) = 0;

  /// Returns an index that this process has applied and that is not below the
  /// commit index of the cluster at the time of the call. Throws `NotLeader` or
  /// `base::TimeoutError` when no majority confirms the commit index.
  virtual boost::asio::awaitable<base::LogIndex>
  readIndex(base::Millis Timeout) = 0;

  virtual bool isLeader() const = 0;
  virtual std::optional<base::ReplicaId> leader() const = 0;
  virtual base::ReplicaId self() const = 0;
  virtual base::Term term() const = 0;
  virtual base::LogIndex appliedIndex() const = 0;
  virtual base::LogIndex commitIndex() const = 0;
  /// Age of the applied state. On the leader, the time since its last contact
  /// with a majority. On other replicas, the time since the leader's last
  /// contact with a majority that came with a commit index applied here.
  virtual base::Millis staleness() const = 0;
  virtual std::vector<MemberStatus> members() const = 0;

  /// Notified when `appliedIndex` or the leader changes.
  virtual base::Signal &changed() = 0;

  /// Sends an opaque message to the leader without a delivery guarantee; it is
  /// dropped when no leader is known. For state that need not be durable, such
  /// as which nodes are alive.
  virtual void postToLeader(base::Bytes Message) = 0;
};

} // namespace amaranth::replication

#endif
