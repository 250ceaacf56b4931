#include "amaranth/replication/LogStorage.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sys/resource.h>

namespace asio = boost::asio;
namespace fs = std::filesystem;

namespace amaranth::replication {

class LogStorageTest {
protected:
  LogStorageTest() {
    std::string Template = fs::temp_directory_path() / "amaranth-log-XXXXXX";
    REQUIRE(::mkdtemp(Template.data()));
    Folder = Template;
    open();
  }
  ~LogStorageTest() {
    Disk.reset();
    fs::remove_all(Folder);
  }

  void open() {
    Disk.reset();
    Disk = std::make_unique<LogStorage>(Folder, Context.get_executor());
    Recovered = Disk->recover();
  }

  static EntryRef entry(std::uint64_t Index, std::uint64_t Term = 1,
                        std::size_t Size = 100) {
    auto New = std::make_shared<LogEntry>();
    New->Index = base::LogIndex(Index);
    New->EntryTerm = base::Term(Term);
    New->Time = base::WallTime(1000);
    New->Payload.assign(Size, static_cast<std::uint8_t>(Index));
    return New;
  }

  void append(std::uint64_t First, std::uint64_t Last, std::uint64_t Term = 1) {
    for (std::uint64_t I = First; I <= Last; ++I)
      Disk->write(AppendEntries{{entry(I, Term)}});
    waitForSync();
  }

  /// Runs until all writes are synced or one has failed. The time limit only
  /// prevents a hang.
  void runUntilSyncedOrFailed() {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (Disk->lastSyncedWrite() < Disk->lastQueuedWrite() &&
           !Disk->failure() && std::chrono::steady_clock::now() < End) {
      Context.restart();
      Context.run_for(std::chrono::milliseconds(1));
      Context.poll();
    }
  }

  void waitForSync() {
    runUntilSyncedOrFailed();
    REQUIRE(Disk->lastSyncedWrite() == Disk->lastQueuedWrite());
  }

  fs::path firstSegment() const { return Folder / "log-0000000000000001"; }

  static void flipBit(const fs::path &Path, std::uint64_t Offset) {
    std::fstream File(Path, std::ios::in | std::ios::out | std::ios::binary);
    File.seekg(static_cast<std::streamoff>(Offset));
    char Byte = static_cast<char>(File.get());
    File.seekp(static_cast<std::streamoff>(Offset));
    File.put(static_cast<char>(Byte ^ 0x40));
  }

  std::string openError() {
    try {
      open();
    } catch (const StorageError &Error) {
      return Error.what();
    }
    return "";
  }

  asio::io_context Context;
  fs::path Folder;
  std::unique_ptr<LogStorage> Disk;
  RecoveredState Recovered;
};

/// Size of a record with the default payload: header and payload.
constexpr std::uint64_t RecordBytes = 56 + 100;

TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage restores all writes when it is reopened") {
  base::ReplicaId Id = Disk->id();
  append(1, 5);
  Disk->write(StoredVote{base::Term(3), base::ReplicaId(9)});
  Disk->write(StoredIdentity{Id, 77, false, {"10.0.0.1:1", "10.0.0.2:1"}});
  Disk->write(TruncateFrom{base::LogIndex(4)});
  append(4, 6, 3);
  open();
  CHECK(Disk->id() == Id);
  CHECK(Recovered.Identity.Cluster == 77);
  CHECK(Recovered.Identity.InitialVoters ==
        std::vector<std::string>{"10.0.0.1:1", "10.0.0.2:1"});
  CHECK(Recovered.Vote.CurrentTerm == base::Term(3));
  CHECK(Recovered.Vote.VotedFor == base::ReplicaId(9));
  REQUIRE(Recovered.Entries.size() == 6);
  CHECK(Recovered.Entries[2]->EntryTerm == base::Term(1));
  CHECK(Recovered.Entries[5]->EntryTerm == base::Term(3));
  CHECK(Recovered.Entries[5]->Payload == base::Bytes(100, 6));
}

TEST_CASE_METHOD(LogStorageTest, "LogStorage syncs queued writes in groups") {
  append(1, 200);
  CHECK(Disk->syncCount() < 200);
}

// Guards against a process that exceeds its memory at each start because its
// log is long.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage loads payloads above the limit on demand only") {
  constexpr std::uint64_t Count = 24;
  for (std::uint64_t I = 1; I <= Count; ++I)
    Disk->write(AppendEntries{{entry(I, 1, MaxEntryPayloadBytes / 2)}});
  waitForSync();
  open();
  REQUIRE(Recovered.Entries.size() == Count);
  std::size_t Loaded = 0;
  for (const EntryRef &Entry : Recovered.Entries)
    Loaded += Entry->Payload.size();
  CHECK(Loaded <= MaxRecoveredPayloadBytes);
  for (const EntryRef &Entry : Recovered.Entries) {
    CHECK(Entry->memoryBytes() ==
          EntryOverheadBytes + MaxEntryPayloadBytes / 2);
    if (Entry->isLoaded())
      continue;
    EntryRef Complete = Disk->load(*Entry);
    CHECK(Complete->isLoaded());
    CHECK(Complete->EntryTerm == Entry->EntryTerm);
    CHECK(Complete->Payload ==
          entry(Entry->Index.value(), 1, MaxEntryPayloadBytes / 2)->Payload);
  }
  CHECK_FALSE(Recovered.Entries.back()->isLoaded());
}

// Guards against damaged payloads that are applied because only the headers
// were checked at the start.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage reports a payload that was damaged after the "
                 "start") {
  constexpr std::size_t Size = MaxEntryPayloadBytes;
  for (std::uint64_t I = 1; I <= 10; ++I)
    Disk->write(AppendEntries{{entry(I, 1, Size)}});
  waitForSync();
  open();
  const LogEntry &Last = *Recovered.Entries.back();
  REQUIRE_FALSE(Last.isLoaded());
  CHECK(Disk->load(Last)->Payload.size() == Size);
  fs::path LastSegment;
  for (const auto &Item : fs::directory_iterator(Folder))
    if (Item.path().filename().string().starts_with("log-"))
      LastSegment = std::max(LastSegment, Item.path());
  flipBit(LastSegment, fs::file_size(LastSegment) - 1);
  CHECK_THROWS_AS(Disk->load(Last), StorageError);
}

// Guards against a replica that fails to start after a crash during a write.
TEST_CASE_METHOD(LogStorageTest, "LogStorage truncates a torn tail") {
  append(1, 3);
  Disk.reset();
  fs::resize_file(firstSegment(), 2 * RecordBytes + 20);
  open();
  CHECK(Recovered.Entries.size() == 2);
  append(3, 4, 2);
  open();
  REQUIRE(Recovered.Entries.size() == 4);
  CHECK(Recovered.Entries[2]->EntryTerm == base::Term(2));
}

// The pages of an unsynced group of writes may reach the disk in any order, so
// a crash can leave an invalid record before valid ones.
TEST_CASE_METHOD(
    LogStorageTest,
    "LogStorage truncates at an invalid record of an unsynced group") {
  append(1, 1);
  Disk->write(AppendEntries{{entry(2), entry(3), entry(4)}});
  waitForSync();
  Disk.reset();
  flipBit(firstSegment(), RecordBytes + 30);
  open();
  CHECK(Recovered.Entries.size() == 1);
}

// Guards against truncating acknowledged entries when the disk corrupts data.
TEST_CASE_METHOD(
    LogStorageTest,
    "LogStorage reports file and offset of a corrupt synced record") {
  append(1, 2);
  append(3, 3);
  Disk.reset();
  flipBit(firstSegment(), RecordBytes + 60);
  std::string Failure = openError();
  CHECK_THAT(Failure, Catch::Contains(firstSegment().string()));
  CHECK_THAT(Failure, Catch::Contains("offset " + std::to_string(RecordBytes)));
}

TEST_CASE_METHOD(LogStorageTest, "LogStorage rejects a corrupt vote file") {
  Disk->write(StoredVote{base::Term(3), base::ReplicaId(9)});
  waitForSync();
  Disk.reset();
  flipBit(Folder / "vote", 9);
  CHECK_THAT(openError(), Catch::Contains("vote"));
}

// Guards against a new identity for an existing log: it would be a second
// replica that has the entries of the first one.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage rejects a log without an identity file") {
  append(1, 1);
  Disk.reset();
  fs::remove(Folder / "identity");
  CHECK_THAT(openError(), Catch::Contains("identity"));
}

TEST_CASE_METHOD(LogStorageTest, "LogStorage rejects a folder that is in use") {
  CHECK_THROWS_WITH(LogStorage(Folder, Context.get_executor()),
                    Catch::Contains("in use"));
}

TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage removes log entries covered by a snapshot") {
  append(1, 5);
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(3);
  Snapshot->IndexTerm = base::Term(1);
  Snapshot->State = {1, 2, 3};
  Disk->write(SaveSnapshot{Snapshot, false});
  waitForSync();
  open();
  REQUIRE(Recovered.Snapshot);
  CHECK(Recovered.Snapshot->State == base::Bytes{1, 2, 3});
  REQUIRE(Recovered.Entries.size() == 2);
  CHECK(Recovered.Entries[0]->Index == base::LogIndex(4));
}

// A crash after a snapshot is stored and before the conflicting log is removed
// leaves both on disk. The snapshot must win.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage removes a log that conflicts with the snapshot") {
  append(1, 5);
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(3);
  Snapshot->IndexTerm = base::Term(2);
  Disk->write(SaveSnapshot{Snapshot, false});
  waitForSync();
  open();
  CHECK(Recovered.Entries.empty());
  append(4, 4, 2);
  open();
  CHECK(Recovered.Entries.size() == 1);
}

// Guards against the loss of an acknowledged entry: recovery took records above
// 1 MiB for a torn tail, although `append` had written and synced them.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage restores entries of every accepted size") {
  constexpr std::size_t Largest = MaxEntryPayloadBytes;
  for (std::size_t Size : {(std::size_t{1} << 20U) + 1, Largest}) {
    std::uint64_t Index = Recovered.Entries.size() + 1;
    Disk->write(AppendEntries{{entry(Index, 1, Size)}});
    waitForSync();
    open();
    REQUIRE(Recovered.Entries.size() == Index);
    CHECK(Recovered.Entries.back()->Payload.size() == Size);
  }
  append(3, 3);
  open();
  CHECK(Recovered.Entries.size() == 3);
}

// Guards against an acknowledgement of an entry that recovery would not accept.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage reports an entry above the limit as a failure") {
  append(1, 1);
  Disk->write(AppendEntries{{entry(2, 1, MaxEntryPayloadBytes + 1)}});
  runUntilSyncedOrFailed();
  REQUIRE(Disk->failure());
  CHECK_THROWS_AS(std::rethrow_exception(Disk->failure()), StorageError);
  open();
  CHECK(Recovered.Entries.size() == 1);
}

/// Limits the size of files of this process, so that writes beyond it are cut
/// off and fail like those on a full disk.
class FileSizeLimit {
public:
  explicit FileSizeLimit(std::uint64_t Bytes)
      : Handler(std::signal(SIGXFSZ, SIG_IGN)) {
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &Before) == 0);
    rlimit Limited = Before;
    Limited.rlim_cur = Bytes;
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &Limited) == 0);
  }
  ~FileSizeLimit() {
    ::setrlimit(RLIMIT_FSIZE, &Before);
    std::signal(SIGXFSZ, Handler);
  }
  FileSizeLimit(const FileSizeLimit &) = delete;
  FileSizeLimit &operator=(const FileSizeLimit &) = delete;

private:
  rlimit Before{};
  void (*Handler)(int);
};

// Guards against a replica that does not start again after its disk was full:
// the last write reached the disk in part.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage goes on after a disk that was full") {
  append(1, 3);
  {
    // Room for the fourth record and a part of the fifth.
    FileSizeLimit Full(4 * RecordBytes + 20);
    Disk->write(AppendEntries{{entry(4), entry(5)}});
    runUntilSyncedOrFailed();
    REQUIRE(Disk->failure());
    // The supervisor starts the process while the disk is still full.
    open();
    CHECK(Recovered.Entries.size() == 4);
    Disk->write(AppendEntries{{entry(5)}});
    runUntilSyncedOrFailed();
    REQUIRE(Disk->failure());
  }
  open();
  CHECK(Recovered.Entries.size() == 4);
  append(5, 6);
  open();
  CHECK(Recovered.Entries.size() == 6);
}

// Guards against a replica that does not start after a loss of power during a
// compaction: of two segments that were removed, the older one came back.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage ignores covered segments before a gap") {
  for (std::uint64_t I = 1; I <= 40; ++I)
    Disk->write(AppendEntries{{entry(I, 1, 1U << 20U)}});
  waitForSync();
  fs::path Copy = Folder / "copy";
  fs::copy_file(firstSegment(), Copy);
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(38);
  Snapshot->IndexTerm = base::Term(1);
  Disk->write(SaveSnapshot{Snapshot, false});
  waitForSync();
  fs::rename(Copy, firstSegment());
  open();
  CHECK(Recovered.Entries.size() == 2);
  append(41, 41);
  open();
  CHECK(Recovered.Entries.size() == 3);
}

// Guards against the loss of entries that no snapshot covers.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage refuses a gap above the snapshot") {
  for (std::uint64_t I = 1; I <= 40; ++I)
    Disk->write(AppendEntries{{entry(I, 1, 1U << 20U)}});
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(4);
  Snapshot->IndexTerm = base::Term(1);
  Disk->write(SaveSnapshot{Snapshot, false});
  waitForSync();
  Disk.reset();
  std::vector<fs::path> Segments;
  for (const auto &Item : fs::directory_iterator(Folder))
    if (Item.path().filename().string().starts_with("log-"))
      Segments.push_back(Item.path());
  std::ranges::sort(Segments);
  REQUIRE(Segments.size() >= 3);
  fs::remove(Segments[1]);
  CHECK_THAT(openError(), Catch::Contains("previous segment ends"));
}

TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage starts new segments and removes covered ones") {
  std::uint64_t Last = 40;
  for (std::uint64_t I = 1; I <= Last; ++I)
    Disk->write(AppendEntries{{entry(I, 1, 1U << 20U)}});
  auto Snapshot = std::make_shared<StoredSnapshot>();
  Snapshot->Index = base::LogIndex(38);
  Snapshot->IndexTerm = base::Term(1);
  Disk->write(SaveSnapshot{Snapshot, false});
  waitForSync();
  CHECK_FALSE(fs::exists(firstSegment()));
  open();
  CHECK(Recovered.Entries.size() == 2);
}

} // namespace amaranth::replication
