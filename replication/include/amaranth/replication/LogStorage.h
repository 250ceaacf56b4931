#ifndef AMARANTH_REPLICATION_LOGSTORAGE_H
#define AMARANTH_REPLICATION_LOGSTORAGE_H

#include "amaranth/replication/Storage.h"

#include <boost/asio/any_io_executor.hpp>

#include <filesystem>
#include <memory>

namespace amaranth::replication {

/// Storage in a data folder. The files `identity`, `vote` and `snapshot` are
/// replaced atomically; the log is stored in segment files `log-*`. A dedicated
/// thread writes and syncs. All writes that are queued during a sync share the
/// next one (group commit).
class LogStorage final : public Storage {
public:
  /// Creates the folder if it does not exist, locks it against other processes
  /// and reads the stored state. Throws `StorageError`.
  LogStorage(std::filesystem::path Folder,
             const boost::asio::any_io_executor &Executor);
  /// Completes the queued writes.
  ~LogStorage() override;

  /// Id of this replica. Available before `recover`, because the dialer sends
  /// it in the Hello message and is constructed before the replica.
  base::ReplicaId id() const;

  RecoveredState recover() override;
  EntryRef load(const LogEntry &Entry) override;
  std::uint64_t write(StorageWrite Write) override;
  std::uint64_t lastQueuedWrite() const override;
  std::uint64_t lastSyncedWrite() const override;
  std::exception_ptr failure() const override;
  base::Signal &progress() override;

  /// Number of groups of writes synced so far. Lower than the number of writes
  /// if writes shared a sync.
  std::uint64_t syncCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace amaranth::replication

#endif
