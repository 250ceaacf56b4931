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

asio::awaitable<void> waitUntilSynced(Storage &Disk, std::uint64_t Number) {
  for (;;) {
    if (std::exception_ptr Failure = Disk.failure())
      std::rethrow_exception(Failure);
    if (Disk.lastSyncedWrite() >= Number)
      co_return;
    co_await Disk.progress().wait();
  }
}

namespace {

base::Bytes encode(const StoredIdentity &Value) {
  detail::Encoder Out;
  Out.u64(Value.Id.value()).u64(Value.Cluster).u64(Value.Forming ? 1 : 0);
  Out.u64(Value.InitialVoters.size());
  for (const std::string &Address : Value.InitialVoters)
    Out.lengthPrefixed(base::asBytes(Address));
  return std::move(Out.Data);
}

StoredIdentity decodeIdentity(const base::Bytes &Data,
                              const std::string &Name) {
  detail::Decoder Input(Data, Name);
  StoredIdentity Value;
  Value.Id = base::ReplicaId(Input.u64());
  Value.Cluster = Input.u64();
  Value.Forming = Input.u64() != 0;
  // Files of earlier versions end here.
  for (std::uint64_t Left = Input.atEnd() ? 0 : Input.u64(); Left > 0; --Left)
    Value.InitialVoters.emplace_back(base::asText(Input.lengthPrefixed()));
  return Value;
}

base::Bytes encode(const StoredVote &Value) {
  return detail::Encoder()
      .u64(Value.CurrentTerm.value())
      .u64(Value.VotedFor.value())
      .Data;
}

/// Encodes what precedes the bytes of the state, which are too many to copy.
base::Bytes encodeSnapshotHead(const StoredSnapshot &Value) {
  return detail::Encoder()
      .u64(Value.Index.value())
      .u64(Value.IndexTerm.value())
      .u64(static_cast<std::uint64_t>(Value.Time.count()))
      .lengthPrefixed(Value.Membership)
      .u64(Value.State.size())
      .Data;
}

/// Takes over the memory of `Data`.
SnapshotRef decodeSnapshot(base::Bytes Data, const std::string &Name) {
  detail::Decoder Input(Data, Name);
  auto Value = std::make_shared<StoredSnapshot>();
  Value->Index = base::LogIndex(Input.u64());
  Value->IndexTerm = base::Term(Input.u64());
  Value->Time = base::WallTime(static_cast<std::int64_t>(Input.u64()));
  Value->Membership = Input.lengthPrefixed();
  base::ByteView State = Input.lengthPrefixedView();
  auto Start = Data.begin() + (State.data() - Data.data());
  Data.erase(Start + static_cast<std::ptrdiff_t>(State.size()), Data.end());
  Data.erase(Data.begin(), Start);
  Value->State = std::move(Data);
  return Value;
}

detail::FileDescriptor lockDataFolder(const std::filesystem::path &Folder) {
  std::error_code Failure;
  std::filesystem::create_directories(Folder, Failure);
  if (Failure)
    throw StorageError(fmt::format("{}: failed to create the data folder: {}",
                                   Folder.string(), Failure.message()));
  detail::FileDescriptor LockFile(Folder / "lock", O_RDWR | O_CREAT);
  if (::flock(LockFile.fd(), LOCK_EX | LOCK_NB) != 0)
    throw StorageError(fmt::format(
        "{}: the data folder is in use by another process", Folder.string()));
  return LockFile;
}

/// Result of the syncs. Owned jointly with the handlers that the disk thread
/// posts, because they may run after the storage is destroyed.
struct SyncProgress {
  explicit SyncProgress(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  base::Signal Changed;
  std::uint64_t Synced = 0;
  std::exception_ptr Failure;
};

} // namespace

struct LogStorage::Impl {
  Impl(std::filesystem::path Path, const asio::any_io_executor &Executor)
      : Folder(std::move(Path)), FolderLock(lockDataFolder(Folder)),
        Executor(Executor),
        ProgressState(std::make_shared<SyncProgress>(Executor)), Log(Folder) {}

  ~Impl() {
    {
      std::lock_guard<std::mutex> Guard(Mutex);
      StopRequested = true;
    }
    QueueCondition.notify_one();
    if (DiskThread.joinable())
      DiskThread.join();
  }

  StoredIdentity loadIdentity(bool FolderEmpty);
  RecoveredState load();
  void runDiskThread();
  void executeWrite(const StorageWrite &Write);
  void postProgress(std::uint64_t SyncedWrites,
                    const std::exception_ptr &Failure);

  std::filesystem::path Folder;
  detail::FileDescriptor FolderLock;
  asio::any_io_executor Executor;
  std::shared_ptr<SyncProgress> ProgressState;
  std::uint64_t Written = 0;
  /// Result of `load`, returned by `recover`.
  RecoveredState Loaded;
  base::ReplicaId Id;

  /// Accessed only by the disk thread after it has started, except for `load`.
  detail::Segments Log;
  std::atomic<std::uint64_t> Syncs{0};

  std::mutex Mutex;
  std::condition_variable QueueCondition;
  std::deque<StorageWrite> Queue;
  bool StopRequested = false;
  std::thread DiskThread;
};

StoredIdentity LogStorage::Impl::loadIdentity(bool FolderEmpty) {
  std::filesystem::path Path = Folder / "identity";
  if (auto Data = detail::readChecksummedFile(Path))
    return decodeIdentity(*Data, Path.string());
  // A new identity with an existing log would make this a second replica that
  // has the entries of the first one.
  if (!FolderEmpty)
    throw StorageError(fmt::format(
        "{}: file is missing although the data folder contains replica state",
        Path.string()));
  StoredIdentity Identity;
  while (Identity.Id.value() == 0)
    Identity.Id = base::ReplicaId(base::randomU64());
  detail::replaceChecksummedFile(Path, {encode(Identity)});
  return Identity;
}

void LogStorage::Impl::executeWrite(const StorageWrite &Write) {
  if (const auto *Append = std::get_if<AppendEntries>(&Write)) {
    Log.append(Append->Entries);
    return;
  }
  if (const auto *Truncate = std::get_if<TruncateFrom>(&Write)) {
    Log.truncateFrom(Truncate->First.value());
    return;
  }
  if (const auto *Vote = std::get_if<StoredVote>(&Write)) {
    detail::replaceChecksummedFile(Folder / "vote", {encode(*Vote)});
    return;
  }
  if (const auto *Identity = std::get_if<StoredIdentity>(&Write)) {
    detail::replaceChecksummedFile(Folder / "identity", {encode(*Identity)});
    return;
  }
  const auto &Save = std::get<SaveSnapshot>(Write);
  // After a crash, the log must not end below the snapshot's index.
  Log.sync();
  detail::replaceChecksummedFile(
      Folder / "snapshot",
      {encodeSnapshotHead(*Save.Snapshot), Save.Snapshot->State});
  if (Save.DiscardLog)
    Log.removeAllSegments();
  else
    Log.removeSegmentsUpTo(Save.Snapshot->Index.value());
}

void LogStorage::Impl::postProgress(std::uint64_t SyncedWrites,
                                    const std::exception_ptr &Failure) {
  asio::post(Executor, [ProgressState = ProgressState, SyncedWrites, Failure] {
    ProgressState->Synced = std::max(ProgressState->Synced, SyncedWrites);
    if (Failure)
      ProgressState->Failure = Failure;
    ProgressState->Changed.notifyAll();
  });
}

void LogStorage::Impl::runDiskThread() {
  std::uint64_t SyncedWrites = 0;
  for (;;) {
    std::deque<StorageWrite> Batch;
    {
      std::unique_lock<std::mutex> Guard(Mutex);
      QueueCondition.wait(Guard,
                          [this] { return StopRequested || !Queue.empty(); });
      if (Queue.empty())
        return;
      Batch.swap(Queue);
    }
    try {
      for (const StorageWrite &Write : Batch)
        executeWrite(Write);
      Log.sync();
      ++Syncs;
    } catch (...) {
      postProgress(SyncedWrites, std::current_exception());
      return;
    }
    SyncedWrites += Batch.size();
    postProgress(SyncedWrites, nullptr);
  }
}

LogStorage::LogStorage(std::filesystem::path Folder,
                       const asio::any_io_executor &Executor)
    : Inner(std::make_unique<Impl>(std::move(Folder), Executor)) {
  Inner->Loaded = Inner->load();
  Inner->Id = Inner->Loaded.Identity.Id;
  Inner->DiskThread =
      std::thread([Impl = Inner.get()] { Impl->runDiskThread(); });
}

LogStorage::~LogStorage() = default;

base::ReplicaId LogStorage::id() const { return Inner->Id; }

RecoveredState LogStorage::recover() {
  return std::exchange(Inner->Loaded, RecoveredState());
}

/// Removes the entries that the snapshot covers. If the log does not contain
/// the snapshot's last entry, removes all entries and returns false: the
/// process crashed after it had stored a snapshot received from the leader and
/// before it had removed the conflicting log.
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

RecoveredState LogStorage::Impl::load() {
  RecoveredState Result;
  std::filesystem::path VotePath = Folder / "vote";
  auto Vote = detail::readChecksummedFile(VotePath);
  if (Vote) {
    detail::Decoder Input(*Vote, VotePath.string());
    Result.Vote.CurrentTerm = base::Term(Input.u64());
    Result.Vote.VotedFor = base::ReplicaId(Input.u64());
  }
  std::filesystem::path SnapshotPath = Folder / "snapshot";
  if (auto Data = detail::readChecksummedFile(SnapshotPath))
    Result.Snapshot = decodeSnapshot(std::move(*Data), SnapshotPath.string());
  std::uint64_t SnapshotEnd =
      Result.Snapshot ? Result.Snapshot->Index.value() : 0;
  Result.Entries = Log.recover(SnapshotEnd, MaxRecoveredPayloadBytes);
  Result.Identity =
      loadIdentity(!Vote && !Result.Snapshot && Result.Entries.empty());
  if (Result.Snapshot && !trimToSnapshot(*Result.Snapshot, Result.Entries))
    Log.removeAllSegments();
  if (!Result.Entries.empty() &&
      Result.Entries.front()->Index.value() != SnapshotEnd + 1)
    throw StorageError(fmt::format(
        "{}: gap in the log: it starts at entry {}, but the snapshot ends at "
        "entry {}",
        Folder.string(), Result.Entries.front()->Index.value(), SnapshotEnd));
  return Result;
}

EntryRef LogStorage::load(const LogEntry &Entry) {
  return Inner->Log.load(Entry);
}

std::uint64_t LogStorage::write(StorageWrite Write) {
  {
    std::lock_guard<std::mutex> Guard(Inner->Mutex);
    Inner->Queue.push_back(std::move(Write));
  }
  Inner->QueueCondition.notify_one();
  return ++Inner->Written;
}

std::uint64_t LogStorage::lastQueuedWrite() const { return Inner->Written; }
std::uint64_t LogStorage::lastSyncedWrite() const {
  return Inner->ProgressState->Synced;
}
std::exception_ptr LogStorage::failure() const {
  return Inner->ProgressState->Failure;
}
base::Signal &LogStorage::progress() { return Inner->ProgressState->Changed; }
std::uint64_t LogStorage::syncCount() const { return Inner->Syncs; }

} // namespace amaranth::replication
