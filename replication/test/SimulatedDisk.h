#ifndef AMARANTH_REPLICATION_TEST_SIMULATEDDISK_H
#define AMARANTH_REPLICATION_TEST_SIMULATEDDISK_H

#include "amaranth/base/Clock.h"
#include "amaranth/replication/Storage.h"

#include <deque>
#include <random>

namespace amaranth::replication::testing {

/// The durable data of a replica. Survives a crash of the process, but not the
/// loss of its disk.
struct DiskImage {
  StoredIdentity Identity;
  StoredVote Vote;
  SnapshotRef Snapshot;
  std::vector<EntryRef> Entries;
  /// Every write fails, also after a restart of the process.
  bool Full = false;
  /// Payloads that are loaded at a restart, in bytes.
  std::size_t MaxRecoveredBytes = MaxRecoveredPayloadBytes;

  void apply(const StorageWrite &Write);
};

/// In-memory storage whose writes become durable after a random delay. Like
/// `LogStorage`, it writes nothing more after a failure.
class SimulatedDisk final : public Storage {
public:
  SimulatedDisk(DiskImage &Image, base::Clock &Time,
                const boost::asio::any_io_executor &Executor,
                std::uint64_t Seed);

  RecoveredState recover() override;
  EntryRef load(const LogEntry &Entry) override;
  std::uint64_t write(StorageWrite Write) override;
  std::uint64_t lastQueuedWrite() const override { return Inner->Written; }
  std::uint64_t lastSyncedWrite() const override { return Inner->Synced; }
  std::exception_ptr failure() const override { return Inner->Failure; }
  base::Signal &progress() override { return Inner->Progress; }

  /// Keeps a random prefix of the unsynced writes and drops the others. Later
  /// writes are ignored.
  void crash();
  /// While paused, no write becomes durable.
  void setSyncsPaused(bool Paused) { Inner->SyncsPaused = Paused; }

private:
  struct State {
    State(DiskImage &Image, base::Clock &Time,
          const boost::asio::any_io_executor &Executor, std::uint64_t Seed)
        : Image(Image), Time(Time), Random(Seed), Queued(Executor),
          Progress(Executor) {}

    DiskImage &Image;
    base::Clock &Time;
    std::mt19937_64 Random;
    std::deque<StorageWrite> Queue;
    std::uint64_t Written = 0;
    std::uint64_t Synced = 0;
    bool Crashed = false;
    bool SyncsPaused = false;
    std::exception_ptr Failure;
    base::Signal Queued;
    base::Signal Progress;
  };
  static boost::asio::awaitable<void> syncLoop(std::shared_ptr<State> Inner);

  std::shared_ptr<State> Inner;
};

} // namespace amaranth::replication::testing

#endif
