#include "amaranth/replication/LogStorage.h"

#include "Segments.h"
#include "amaranth/base/Digest.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <fcntl.h>
#include <mutex>
#include <sys/file.h>
#include <thread>
#include <utility>

namespace asio = boost::asio;

namespace amaranth::replication {

asio::awaitable<void> waitSynced(Storage &Disk, std::uint64_t Number) {
  for (;;) {
    if (std::exception_ptr Failure = Disk.failure())
      std::rethrow_exception(Failure);
    if (Disk.synced() >= Number)
      co_return;
    co_await Disk.progress().wait();
  }
}

namespace {

base::Bytes encode(const StoredIdentity &Value) {
  return detail::Encoder()
      .u64(Value.Id.value())
      .u64(Value.Cluster)
      .u64(Value.Forming ? 1 : 0)
      .Data;
}

base::Bytes encode(const StoredVote &Value) {
  return detail::Encoder()
      .u64(Value.CurrentTerm.value())
      .u64(Value.VotedFor.value())
      .Data;
}

base::Bytes encode(const StoredSnapshot &Value) {
  return detail::Encoder()
      .u64(Value.Index.value())
      .u64(Value.IndexTerm.value())
      .u64(static_cast<std::uint64_t>(Value.Time.count()))
      .block(Value.Membership)
      .block(Value.State)
      .Data;
}

SnapshotRef decodeSnapshot(const base::Bytes &Data, const std::string &Name) {
  detail::Decoder From(Data, Name);
  auto Value = std::make_shared<StoredSnapshot>();
  Value->Index = base::LogIndex(From.u64());
  Value->IndexTerm = base::Term(From.u64());
  Value->Time = base::WallTime(static_cast<std::int64_t>(From.u64()));
  Value->Membership = From.block();
  Value->State = From.block();
  return Value;
}

detail::Descriptor lockFolder(const std::filesystem::path &Folder) {
  std::error_code Failure;
  std::filesystem::create_directories(Folder, Failure);
  if (Failure)
    throw StorageError(fmt::format("{}: cannot create the data folder: {}",
                                   Folder.string(), Failure.message()));
  detail::Descriptor Lock(Folder / "lock", O_RDWR | O_CREAT);
  if (::flock(Lock.number(), LOCK_EX | LOCK_NB) != 0)
    throw StorageError(fmt::format(
        "{}: the data folder is in use by another process", Folder.string()));
  return Lock;
}

/// Shared with handlers posted by the disk thread, which may run after the
/// storage is gone.
struct Progress {
  explicit Progress(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  base::Signal Changed;
  std::uint64_t Synced = 0;
  std::exception_ptr Failure;
};

} // namespace

struct LogStorage::Impl {
  Impl(std::filesystem::path Path, const asio::any_io_executor &Executor)
      : Folder(std::move(Path)), Lock(lockFolder(Folder)), Executor(Executor),
        Shared(std::make_shared<Progress>(Executor)), Log(Folder) {}

  ~Impl() {
    {
      std::lock_guard<std::mutex> Guard(Mutex);
      Stopping = true;
    }
    Wake.notify_one();
    if (Disk.joinable())
      Disk.join();
  }

  StoredIdentity loadIdentity(bool Empty);
  Recovered load();
  void runDisk();
  void execute(const StorageWrite &Write);
  void report(std::uint64_t Done, const std::exception_ptr &Failure);

  std::filesystem::path Folder;
  detail::Descriptor Lock;
  asio::any_io_executor Executor;
  std::shared_ptr<Progress> Shared;
  std::uint64_t Written = 0;
  /// Until `recover` takes it.
  Recovered Loaded;
  base::ReplicaId Id;

  /// Used by the disk thread only, once it runs.
  detail::Segments Log;
  std::atomic<std::uint64_t> Syncs{0};

  std::mutex Mutex;
  std::condition_variable Wake;
  std::deque<StorageWrite> Queue;
  bool Stopping = false;
  std::thread Disk;
};

StoredIdentity LogStorage::Impl::loadIdentity(bool Empty) {
  std::filesystem::path Path = Folder / "identity";
  if (auto Data = detail::readChecked(Path)) {
    detail::Decoder From(*Data, Path.string());
    StoredIdentity Found;
    Found.Id = base::ReplicaId(From.u64());
    Found.Cluster = From.u64();
    Found.Forming = From.u64() != 0;
    return Found;
  }
  // A new identity over an old log would be a second replica with the first
  // one's entries.
  if (!Empty)
    throw StorageError(fmt::format(
        "{}: missing, but the data folder is not empty", Path.string()));
  StoredIdentity New;
  while (New.Id.value() == 0)
    New.Id = base::ReplicaId(base::randomU64());
  detail::replaceChecked(Path, encode(New));
  return New;
}

void LogStorage::Impl::execute(const StorageWrite &Write) {
  if (const auto *Append = std::get_if<AppendEntries>(&Write)) {
    Log.append(Append->Entries);
    return;
  }
  if (const auto *Truncate = std::get_if<TruncateFrom>(&Write)) {
    Log.truncateFrom(Truncate->First.value());
    return;
  }
  if (const auto *Vote = std::get_if<StoredVote>(&Write)) {
    detail::replaceChecked(Folder / "vote", encode(*Vote));
    return;
  }
  if (const auto *Identity = std::get_if<StoredIdentity>(&Write)) {
    detail::replaceChecked(Folder / "identity", encode(*Identity));
    return;
  }
  const auto &Save = std::get<SaveSnapshot>(Write);
  // The log must not end below the snapshot after a crash.
  Log.sync();
  detail::replaceChecked(Folder / "snapshot", encode(*Save.Snapshot));
  if (Save.DiscardLog)
    Log.discardAll();
  else
    Log.dropUpTo(Save.Snapshot->Index.value());
}

void LogStorage::Impl::report(std::uint64_t Done,
                              const std::exception_ptr &Failure) {
  asio::post(Executor, [Shared = Shared, Done, Failure] {
    Shared->Synced = std::max(Shared->Synced, Done);
    if (Failure)
      Shared->Failure = Failure;
    Shared->Changed.notifyAll();
  });
}

void LogStorage::Impl::runDisk() {
  std::uint64_t Done = 0;
  for (;;) {
    std::deque<StorageWrite> Batch;
    {
      std::unique_lock<std::mutex> Guard(Mutex);
      Wake.wait(Guard, [this] { return Stopping || !Queue.empty(); });
      if (Queue.empty())
        return;
      Batch.swap(Queue);
    }
    try {
      for (const StorageWrite &Write : Batch)
        execute(Write);
      Log.sync();
      ++Syncs;
    } catch (...) {
      report(Done, std::current_exception());
      return;
    }
    Done += Batch.size();
    report(Done, nullptr);
  }
}

LogStorage::LogStorage(std::filesystem::path Folder,
                       const asio::any_io_executor &Executor)
    : Inner(std::make_unique<Impl>(std::move(Folder), Executor)) {
  Inner->Loaded = Inner->load();
  Inner->Id = Inner->Loaded.Identity.Id;
  Inner->Disk = std::thread([Impl = Inner.get()] { Impl->runDisk(); });
}

LogStorage::~LogStorage() = default;

base::ReplicaId LogStorage::id() const { return Inner->Id; }

Recovered LogStorage::recover() {
  return std::exchange(Inner->Loaded, Recovered());
}

/// Removes the entries that the snapshot covers. The whole log goes when it
/// does not contain the snapshot's last entry: an installed snapshot replaces
/// a log that conflicts with it, and the process stopped in between.
static bool trimToSnapshot(const StoredSnapshot &Snapshot,
                           std::vector<EntryRef> &Entries) {
  if (Entries.empty() || Entries.front()->Index > Snapshot.Index)
    return true;
  std::uint64_t Covered =
      Snapshot.Index.value() - Entries.front()->Index.value();
  if (Covered >= Entries.size() ||
      Entries[Covered]->EntryTerm != Snapshot.IndexTerm) {
    Entries.clear();
    return false;
  }
  Entries.erase(Entries.begin(),
                Entries.begin() + static_cast<std::ptrdiff_t>(Covered) + 1);
  return true;
}

Recovered LogStorage::Impl::load() {
  Recovered Result;
  std::filesystem::path VotePath = Folder / "vote";
  auto Vote = detail::readChecked(VotePath);
  if (Vote) {
    detail::Decoder From(*Vote, VotePath.string());
    Result.Vote.CurrentTerm = base::Term(From.u64());
    Result.Vote.VotedFor = base::ReplicaId(From.u64());
  }
  std::filesystem::path SnapshotPath = Folder / "snapshot";
  if (auto Data = detail::readChecked(SnapshotPath))
    Result.Snapshot = decodeSnapshot(*Data, SnapshotPath.string());
  Result.Entries = Log.recover();
  Result.Identity =
      loadIdentity(!Vote && !Result.Snapshot && Result.Entries.empty());
  if (Result.Snapshot && !trimToSnapshot(*Result.Snapshot, Result.Entries))
    Log.discardAll();
  std::uint64_t Start = Result.Snapshot ? Result.Snapshot->Index.value() : 0;
  if (!Result.Entries.empty() &&
      Result.Entries.front()->Index.value() != Start + 1)
    throw StorageError(fmt::format(
        "{}: the log starts at entry {}, but the snapshot ends at {}",
        Folder.string(), Result.Entries.front()->Index.value(), Start));
  return Result;
}

std::uint64_t LogStorage::write(StorageWrite Write) {
  {
    std::lock_guard<std::mutex> Guard(Inner->Mutex);
    Inner->Queue.push_back(std::move(Write));
  }
  Inner->Wake.notify_one();
  return ++Inner->Written;
}

std::uint64_t LogStorage::written() const { return Inner->Written; }
std::uint64_t LogStorage::synced() const { return Inner->Shared->Synced; }
std::exception_ptr LogStorage::failure() const {
  return Inner->Shared->Failure;
}
base::Signal &LogStorage::progress() { return Inner->Shared->Changed; }
std::uint64_t LogStorage::syncs() const { return Inner->Syncs; }

} // namespace amaranth::replication
