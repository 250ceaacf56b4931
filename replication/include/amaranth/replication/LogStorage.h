#ifndef AMARANTH_REPLICATION_LOGSTORAGE_H
#define AMARANTH_REPLICATION_LOGSTORAGE_H

#include "amaranth/replication/Storage.h"

#include <boost/asio/any_io_executor.hpp>

#include <filesystem>
#include <memory>

namespace amaranth::replication {

/// Storage in one data folder: `identity`, `vote` and `snapshot` files, which
/// are replaced as a whole, and `log-*` segment files. One thread writes and
/// syncs; all writes queued during a sync share the next one.
class LogStorage final : public Storage {
public:
  /// Creates the folder when it is missing, locks it against other processes
  /// and reads it. Throws `StorageError`.
  LogStorage(std::filesystem::path Folder,
             const boost::asio::any_io_executor &Executor);
  /// Finishes the queued writes.
  ~LogStorage() override;

  /// Known before the replica is constructed, for its dialer's Hello.
  base::ReplicaId id() const;

  RecoveredState recover() override;
  std::uint64_t write(StorageWrite Write) override;
  std::uint64_t lastQueuedWrite() const override;
  std::uint64_t lastSyncedWrite() const override;
  std::exception_ptr failure() const override;
  base::Signal &progress() override;

  /// Number of syncs so far; below the number of writes when writes share
  /// them.
  std::uint64_t syncCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace amaranth::replication

#endif
