#ifndef AMARANTH_REPLICATION_STORAGE_H
#define AMARANTH_REPLICATION_STORAGE_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/Signal.h"
#include "amaranth/base/StrongId.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <exception>
#include <memory>
#include <variant>
#include <vector>

namespace amaranth::replication {

/// The data folder cannot be used or is damaged. The message names the file
/// and, for a damaged record, its offset.
class StorageError : public base::Error {
public:
  using base::Error::Error;
};

enum class EntryKind : std::uint8_t { Command = 1, Noop = 2, Membership = 3 };

/// One record of the log.
struct LogEntry {
  base::LogIndex Index;
  base::Term EntryTerm;
  base::WallTime Time;
  EntryKind Kind = EntryKind::Command;
  base::Bytes Payload;
};

/// Shared between the log in memory and the disk thread; never modified.
using EntryRef = std::shared_ptr<const LogEntry>;

/// Who this replica is. Created with the data folder.
struct StoredIdentity {
  base::ReplicaId Id;
  /// 0 until the replica belongs to a cluster.
  std::uint64_t Cluster = 0;
  /// True from the choice of the cluster id until the first entry is stored;
  /// only on the replica that forms the cluster.
  bool Forming = false;
};

struct StoredVote {
  base::Term CurrentTerm;
  /// 0 for none.
  base::ReplicaId VotedFor;
};

struct StoredSnapshot {
  base::LogIndex Index;
  base::Term IndexTerm;
  base::WallTime Time;
  /// Encoded membership at `Index`.
  base::Bytes Membership;
  /// State of the state machine at `Index`.
  base::Bytes State;
};
using SnapshotRef = std::shared_ptr<const StoredSnapshot>;

struct AppendEntries {
  /// Consecutive, continuing the stored log.
  std::vector<EntryRef> Entries;
};
struct TruncateFrom {
  /// The first entry to remove.
  base::LogIndex First;
};
struct SaveSnapshot {
  SnapshotRef Snapshot;
  /// Removes the whole log instead of the part that the snapshot covers.
  bool DiscardLog = false;
};

using StorageWrite = std::variant<AppendEntries, TruncateFrom, SaveSnapshot,
                                  StoredVote, StoredIdentity>;

/// Everything that survived the last run. `Entries` continue the snapshot.
struct RecoveredState {
  StoredIdentity Identity;
  StoredVote Vote;
  SnapshotRef Snapshot;
  std::vector<EntryRef> Entries;
};

/// The disk of one replica. Writes are queued in order and made durable in
/// groups; nothing may be acknowledged before `synced` reached its number.
/// Used on the thread of the `io_context` only.
class Storage {
public:
  virtual ~Storage() = default;

  /// Reads the state; call once, before `write`. Creates an identity when
  /// there is none. Throws `StorageError`.
  virtual RecoveredState recover() = 0;

  /// Queues a write and returns its number; numbers rise by one.
  virtual std::uint64_t write(StorageWrite Write) = 0;
  /// Number of the last queued write.
  virtual std::uint64_t lastQueuedWrite() const = 0;
  /// All writes up to this number are durable.
  virtual std::uint64_t lastSyncedWrite() const = 0;
  /// Set when a write failed; the replica must stop then, because the state
  /// of the disk is unknown after a failed sync.
  virtual std::exception_ptr failure() const = 0;
  /// Notified when `synced` or `failure` changed.
  virtual base::Signal &progress() = 0;
};

/// Resumes when the write with this number is durable. Rethrows the failure
/// of the storage.
boost::asio::awaitable<void> waitUntilSynced(Storage &Disk,
                                             std::uint64_t Number);

} // namespace amaranth::replication

#endif
