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

/// One committed entry, in log order.
struct AppliedEntry {
  base::LogIndex Index;
  base::Term EntryTerm;
  /// Stamped by the leader; never falls from one entry to the next.
  base::WallTime Time;
  base::ByteView Command;
};

/// What the log drives. Must be deterministic: the result depends on the
/// entries only. Called on the thread of the `io_context`.
class StateMachine {
public:
  virtual ~StateMachine() = default;

  /// Returns the result for the proposer. Must not throw on any command; a
  /// malformed command gives a result that says so.
  virtual base::Bytes apply(const AppliedEntry &Entry) = 0;

  /// The whole state, and its replacement by such a value.
  virtual base::Bytes snapshot() const = 0;
  virtual void restore(base::ByteView Snapshot) = 0;
};

/// No leader is known or the leader changed before the entry was appended:
/// the command was certainly not applied.
class NotLeader : public base::Error {
public:
  using base::Error::Error;
};

/// State of one member, for operators.
struct MemberStatus {
  base::ReplicaId Id;
  std::string Address;
  bool Voter = false;
  /// Last log index known to be stored there; leader only.
  base::LogIndex MatchIndex;
  /// Milliseconds since the member was last heard; leader only.
  std::optional<base::Millis> SinceHeard;
};

/// The replicated log as the rest of a control process sees it.
/// Single-threaded.
class ReplicatedLog {
public:
  virtual ~ReplicatedLog() = default;

  /// Appends a command and returns the state machine's result once the entry
  /// is committed and applied. A process that is not the leader forwards to
  /// it. Throws `NotLeader` (not applied) or `base::TimeoutError` (may be
  /// applied now or later).
  virtual boost::asio::awaitable<base::Bytes> propose(base::Bytes Command,
                                                      base::Millis Timeout) = 0;

  /// Returns an index that this process has applied and that is at least the
  /// commit index of the cluster at the time of the call. Throws `NotLeader`
  /// or `base::TimeoutError` when currency cannot be proved.
  virtual boost::asio::awaitable<base::LogIndex>
  readIndex(base::Millis Timeout) = 0;

  virtual bool isLeader() const = 0;
  virtual std::optional<base::ReplicaId> leader() const = 0;
  virtual base::ReplicaId self() const = 0;
  virtual base::Term term() const = 0;
  virtual base::LogIndex appliedIndex() const = 0;
  virtual base::LogIndex commitIndex() const = 0;
  /// Time since this process last heard from a leader, or from a majority
  /// when it leads.
  virtual base::Millis staleness() const = 0;
  virtual std::vector<MemberStatus> members() const = 0;

  /// Notified when `appliedIndex` or the leadership changed.
  virtual base::Signal &changed() = 0;

  /// Sends an opaque message to the leader (dropped when none is known), and
  /// the handler that receives such messages while this process leads. Used
  /// for state that need not survive, such as the nodes heard.
  virtual void postToLeader(base::Bytes Message) = 0;
};

} // namespace amaranth::replication

#endif
