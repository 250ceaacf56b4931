#ifndef AMARANTH_REPLICATION_STORAGE_H
#define AMARANTH_REPLICATION_STORAGE_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/Signal.h"
#include "amaranth/base/StrongId.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace amaranth::replication {

/// Thrown when the data folder is unusable or corrupt. The message contains the
/// file and, for a corrupt record, its offset.
class StorageError : public base::Error {
public:
  using base::Error::Error;
};

/// Largest payload of a log entry. A storage accepts and recovers every payload
/// up to this size.
inline constexpr std::size_t MaxEntryPayloadBytes = 2U << 20U;

/// Upper bound on the memory and disk space that an entry takes besides its
/// payload.
inline constexpr std::size_t EntryOverheadBytes = 192;

/// Payloads that `Storage::recover` loads, in bytes. Later ones are left on
/// disk, so that a process with a long log does not exceed its memory.
inline constexpr std::size_t MaxRecoveredPayloadBytes = 16U << 20U;

/// A file of the log that has reached this size is followed by a new one.
/// Covered entries are discarded by whole files.
inline constexpr std::size_t LogSegmentBytes = 4U << 20U;

enum class EntryKind : std::uint8_t { Command = 1, Noop = 2, Membership = 3 };

/// One entry of the replicated log.
struct LogEntry {
  base::LogIndex Index;
  base::Term EntryTerm;
  base::WallTime Time;
  EntryKind Kind = EntryKind::Command;
  base::Bytes Payload;
  /// Size of the payload if it was left on disk; see `Storage::load`.
  std::size_t UnloadedBytes = 0;

  bool isLoaded() const { return UnloadedBytes == 0; }
  /// Memory that the entry takes once it is loaded, in bytes.
  std::size_t memoryBytes() const {
    return EntryOverheadBytes + Payload.size() + UnloadedBytes;
  }
};

/// Shared between the in-memory log and the disk thread, hence immutable.
using EntryRef = std::shared_ptr<const LogEntry>;

/// Identity of a replica, created together with its data folder.
struct StoredIdentity {
  base::ReplicaId Id;
  /// Cluster id; 0 until the replica is part of a cluster.
  std::uint64_t Cluster = 0;
  /// True on the replica that forms the cluster, from the choice of the
  /// cluster id until the first entry is stored.
  bool Forming = false;
  /// Initial voters that this replica was started with before it belonged to a
  /// cluster. A process that is started again then may not be told them.
  std::vector<std::string> InitialVoters;
};

struct StoredVote {
  base::Term CurrentTerm;
  /// Replica that received the vote in `CurrentTerm`; 0 if none.
  base::ReplicaId VotedFor;
};

struct StoredSnapshot {
  base::LogIndex Index;
  base::Term IndexTerm;
  base::WallTime Time;
  /// Encoded membership at `Index`.
  base::Bytes Membership;
  /// Encoded state machine at `Index`.
  base::Bytes State;
};
using SnapshotRef = std::shared_ptr<const StoredSnapshot>;

struct AppendEntries {
  /// Consecutive entries that start right after the last stored entry.
  std::vector<EntryRef> Entries;
};
struct TruncateFrom {
  /// Index of the first entry to remove; all later entries are removed too.
  base::LogIndex First;
};
struct SaveSnapshot {
  SnapshotRef Snapshot;
  /// Removes the whole log instead of only the entries up to the snapshot's
  /// index.
  bool DiscardLog = false;
};

using StorageWrite = std::variant<AppendEntries, TruncateFrom, SaveSnapshot,
                                  StoredVote, StoredIdentity>;

/// State read from stable storage at startup. `Entries` start right after the
/// snapshot. The payloads of later commands may not be loaded.
struct RecoveredState {
  StoredIdentity Identity;
  StoredVote Vote;
  SnapshotRef Snapshot;
  std::vector<EntryRef> Entries;
};

/// Stable storage of one replica. Writes are queued in order and synced in
/// groups. A write must not be acknowledged before `lastSyncedWrite` has
/// reached its number. Must only be used on the thread of the `io_context`.
class Storage {
public:
  virtual ~Storage() = default;

  /// Reads the stored state, and creates an identity if there is none. Must be
  /// called once, before `write`. Throws `StorageError`.
  virtual RecoveredState recover() = 0;

  /// Returns `Entry` with its payload. `Entry` was returned by `recover`, and
  /// no write has removed or replaced it since. Throws `StorageError`.
  virtual EntryRef load(const LogEntry &Entry) = 0;

  /// Queues a write and returns its number. Numbers are consecutive and start
  /// at 1. An entry above `MaxEntryPayloadBytes` is a `failure`.
  virtual std::uint64_t write(StorageWrite Write) = 0;
  /// Number of the last queued write; 0 if there is none.
  virtual std::uint64_t lastQueuedWrite() const = 0;
  /// Number of the last durable write. All writes up to it are durable too.
  virtual std::uint64_t lastSyncedWrite() const = 0;
  /// Set when a write or sync has failed. The replica must then stop: after a
  /// failed sync it is unknown which data reached the disk.
  virtual std::exception_ptr failure() const = 0;
  /// Notified when `lastSyncedWrite` or `failure` has changed.
  virtual base::Signal &progress() = 0;
};

/// Waits until the write with this number is durable. Rethrows the failure of
/// the storage.
boost::asio::awaitable<void> waitUntilSynced(Storage &Disk,
                                             std::uint64_t Number);

} // namespace amaranth::replication

#endif
