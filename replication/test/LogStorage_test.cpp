#include "amaranth/replication/LogStorage.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>

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

  /// The limit only ends a test that would hang.
  void waitForSync() {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (Disk->lastSyncedWrite() < Disk->lastQueuedWrite() &&
           !Disk->failure() && std::chrono::steady_clock::now() < End) {
      Context.restart();
      Context.run_for(std::chrono::milliseconds(1));
      Context.poll();
    }
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

/// Bytes of one record of these tests: header and payload.
constexpr std::uint64_t RecordBytes = 56 + 100;

TEST_CASE_METHOD(LogStorageTest, "LogStorage reopened returns all writes") {
  base::ReplicaId Id = Disk->id();
  append(1, 5);
  Disk->write(StoredVote{base::Term(3), base::ReplicaId(9)});
  Disk->write(StoredIdentity{Id, 77, false});
  Disk->write(TruncateFrom{base::LogIndex(4)});
  append(4, 6, 3);
  open();
  CHECK(Disk->id() == Id);
  CHECK(Recovered.Identity.Cluster == 77);
  CHECK(Recovered.Vote.CurrentTerm == base::Term(3));
  CHECK(Recovered.Vote.VotedFor == base::ReplicaId(9));
  REQUIRE(Recovered.Entries.size() == 6);
  CHECK(Recovered.Entries[2]->EntryTerm == base::Term(1));
  CHECK(Recovered.Entries[5]->EntryTerm == base::Term(3));
  CHECK(Recovered.Entries[5]->Payload == base::Bytes(100, 6));
}

TEST_CASE_METHOD(LogStorageTest, "LogStorage writes queued share a sync") {
  append(1, 200);
  CHECK(Disk->syncCount() < 200);
}

// Guards against refusing to start after a crash during a write.
TEST_CASE_METHOD(LogStorageTest, "LogStorage torn tail is cut and replaced") {
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

// The pages of one unsynced group may reach the disk in any order.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage hole in an unsynced group is a torn tail") {
  append(1, 1);
  Disk->write(AppendEntries{{entry(2), entry(3), entry(4)}});
  waitForSync();
  Disk.reset();
  flipBit(firstSegment(), RecordBytes + 30);
  open();
  CHECK(Recovered.Entries.size() == 1);
}

// Guards against cutting acknowledged entries after damage of the disk.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage damage in the middle names file and offset") {
  append(1, 2);
  append(3, 3);
  Disk.reset();
  flipBit(firstSegment(), RecordBytes + 60);
  std::string Failure = openError();
  CHECK_THAT(Failure, Catch::Contains(firstSegment().string()));
  CHECK_THAT(Failure, Catch::Contains("offset " + std::to_string(RecordBytes)));
}

TEST_CASE_METHOD(LogStorageTest, "LogStorage damaged vote is refused") {
  Disk->write(StoredVote{base::Term(3), base::ReplicaId(9)});
  waitForSync();
  Disk.reset();
  flipBit(Folder / "vote", 9);
  CHECK_THAT(openError(), Catch::Contains("vote"));
}

// Guards against a second identity over the log of a first one.
TEST_CASE_METHOD(LogStorageTest, "LogStorage without identity is refused") {
  append(1, 1);
  Disk.reset();
  fs::remove(Folder / "identity");
  CHECK_THAT(openError(), Catch::Contains("identity"));
}

TEST_CASE_METHOD(LogStorageTest, "LogStorage folder in use is refused") {
  CHECK_THROWS_WITH(LogStorage(Folder, Context.get_executor()),
                    Catch::Contains("in use"));
}

TEST_CASE_METHOD(LogStorageTest, "LogStorage snapshot trims the log") {
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

// A crash between writing the snapshot and removing a log that conflicts
// with it must not leave both in force.
TEST_CASE_METHOD(LogStorageTest,
                 "LogStorage log that conflicts with the snapshot is dropped") {
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

TEST_CASE_METHOD(LogStorageTest, "LogStorage segments are rolled and dropped") {
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
