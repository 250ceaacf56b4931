#include "Cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace amaranth::replication::testing {

/// A cluster of three whose commands are large compared with the limits in
/// bytes, and whose state is small.
class ReplicaBytesTest {
protected:
  static constexpr std::size_t CommandBytes = 5'000;

  ReplicaBytesTest() : TestCluster(11, 3) {
    TestCluster.KeptCommands = 2;
    TestCluster.Settings.CompactBytes = 8 * CommandBytes;
    TestCluster.Settings.TrailingBytes = 4 * CommandBytes;
    TestCluster.Settings.MaxQueuedBytes = 10 * CommandBytes;
    TestCluster.Settings.MaxCommandBytes = 2 * CommandBytes;
  }

  void startAll() {
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      TestCluster.start(I);
    leaderIndex();
  }

  std::size_t leaderIndex() {
    REQUIRE(TestCluster.runUntil(
        [this] { return TestCluster.leader() != nullptr; }));
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      if (&TestCluster.at(I) == TestCluster.leader())
        return I;
    return 0;
  }

  static std::string largeCommand(std::size_t Number) {
    std::string Text = std::to_string(Number) + "-";
    Text.resize(CommandBytes, 'x');
    return Text;
  }

  std::uint64_t commitMany(std::size_t Count) {
    std::uint64_t Last = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      Last = TestCluster.commit(largeCommand(I));
      for (std::size_t Each = 0; Each < TestCluster.size(); ++Each)
        checkMemory(Each);
    }
    return Last;
  }

  void checkMemory(std::size_t Index) {
    const Process &Target = TestCluster.at(Index);
    if (Target.isRunning())
      REQUIRE(Target.Log->logMemoryBytes() <= memoryBound());
  }

  std::size_t memoryBound() const {
    return TestCluster.Settings.maxLogMemoryBytes(3 * CommandBytes);
  }

  /// What the disk of a process contains, in bytes.
  std::size_t diskBytes(std::size_t Index) {
    const DiskImage &Image = TestCluster.at(Index).Image;
    std::size_t Bytes = Image.Snapshot ? Image.Snapshot->State.size() : 0;
    for (const EntryRef &Entry : Image.Entries)
      Bytes += Entry->memoryBytes();
    return Bytes;
  }

  bool waitUntilApplied(std::size_t Index, std::uint64_t To) {
    return TestCluster.runUntil([this, Index, To] {
      return TestCluster.at(Index).Log->appliedIndex().value() >= To;
    });
  }

  Cluster TestCluster;
};

// Guards against control processes that exceed their memory and their disk
// because the log is bounded by its number of entries only.
TEST_CASE_METHOD(ReplicaBytesTest,
                 "Replica keeps a log of large commands within its limits in "
                 "bytes") {
  startAll();
  std::uint64_t Last = commitMany(100);
  for (std::size_t I = 0; I < TestCluster.size(); ++I) {
    REQUIRE(waitUntilApplied(I, Last));
    TestCluster.runFor(base::Millis::seconds(2));
    CHECK(diskBytes(I) <= TestCluster.Settings.maxDiskBytes(3 * CommandBytes));
    CHECK(TestCluster.at(I).Log->firstLogIndex() > base::LogIndex(50));
  }
}

// Guards against a process that is killed at each start because its log, from
// before the limits in bytes, is larger than its memory.
TEST_CASE_METHOD(ReplicaBytesTest,
                 "Replica with a log above its limits starts, applies it and "
                 "discards it") {
  ReplicaSettings Limits = TestCluster.Settings;
  TestCluster.Settings.CompactBytes = TestCluster.Settings.TrailingBytes =
      std::numeric_limits<std::size_t>::max() / 2;
  startAll();
  std::uint64_t Last = 0;
  for (std::size_t I = 0; I < 60; ++I)
    Last = TestCluster.commit(largeCommand(I));
  for (std::size_t I = 0; I < TestCluster.size(); ++I)
    REQUIRE(waitUntilApplied(I, Last));
  TestCluster.runFor(base::Millis::seconds(2));
  TestCluster.Settings = Limits;
  for (std::size_t I = 0; I < TestCluster.size(); ++I) {
    TestCluster.kill(I);
    CHECK(diskBytes(I) > memoryBound());
    TestCluster.at(I).Image.MaxRecoveredBytes = 4 * CommandBytes;
  }
  startAll();
  for (std::size_t I = 0; I < TestCluster.size(); ++I)
    checkMemory(I);
  // The whole log counts as uncommitted until a leader has committed it again.
  for (std::size_t I = 0; I < TestCluster.size(); ++I)
    REQUIRE(waitUntilApplied(I, Last));
  Last = commitMany(12);
  for (std::size_t I = 0; I < TestCluster.size(); ++I) {
    REQUIRE(waitUntilApplied(I, Last));
    checkMemory(I);
    CHECK(diskBytes(I) <= TestCluster.Settings.maxDiskBytes(3 * CommandBytes));
  }
}

// Guards against a member that never catches up, or a leader that exceeds its
// memory, when the log is discarded while a snapshot is being sent.
TEST_CASE_METHOD(ReplicaBytesTest,
                 "Member behind the discarded log catches up while large "
                 "changes go on") {
  TestCluster.Settings.SnapshotChunkBytes = CommandBytes / 2;
  startAll();
  commitMany(3);
  std::size_t Lagging = (leaderIndex() + 1) % 3;
  TestCluster.kill(Lagging);
  commitMany(40);
  TestCluster.start(Lagging);
  std::uint64_t Last = commitMany(40);
  CHECK(waitUntilApplied(Lagging, Last));
  CHECK(TestCluster.at(Lagging).Machine->RestoreCount > 0);
  checkMemory(Lagging);
}

// Guards against a leader that ends by itself because a member needs entries
// whose payloads were left on disk and have been discarded there.
TEST_CASE_METHOD(ReplicaBytesTest,
                 "Member that lags behind a restarted leader catches up") {
  std::size_t LagAfter = GENERATE(range<std::size_t>(3, 12));
  std::size_t Loaded = GENERATE(range<std::size_t>(4, 8));
  INFO("lags after " << LagAfter << " commands, " << Loaded << " loaded");
  ReplicaSettings Limits = TestCluster.Settings;
  TestCluster.Settings.CompactBytes = TestCluster.Settings.TrailingBytes =
      std::numeric_limits<std::size_t>::max() / 2;
  startAll();
  for (std::size_t I = 0; I < LagAfter; ++I)
    TestCluster.commit(largeCommand(I));
  std::size_t Lagging = (leaderIndex() + 1) % 3;
  TestCluster.runFor(base::Millis::seconds(1));
  TestCluster.kill(Lagging);
  std::uint64_t Last = 0;
  for (std::size_t I = 0; I < 30; ++I)
    Last = TestCluster.commit(largeCommand(100 + I));
  TestCluster.runFor(base::Millis::seconds(2));
  TestCluster.Settings = Limits;
  for (std::size_t I = 0; I < TestCluster.size(); ++I) {
    TestCluster.kill(I);
    TestCluster.at(I).Image.MaxRecoveredBytes = Loaded * CommandBytes;
  }
  for (std::size_t I = 0; I < TestCluster.size(); ++I)
    if (I != Lagging)
      TestCluster.start(I);
  leaderIndex();
  TestCluster.runFor(base::Millis::seconds(2));
  TestCluster.start(Lagging);
  for (std::size_t I = 0; I < TestCluster.size(); ++I)
    CHECK(waitUntilApplied(I, Last));
}

// Guards against a leader without a majority whose log grows with each
// proposal that times out.
TEST_CASE_METHOD(ReplicaBytesTest,
                 "Partitioned leader keeps its uncommitted entries within the "
                 "limit") {
  startAll();
  commitMany(3);
  std::size_t Old = leaderIndex();
  TestCluster.Network.IsolatedAddresses.insert(TestCluster.at(Old).Address);
  std::size_t Refused = 0;
  for (std::size_t I = 0; I < 40; ++I) {
    auto Result = TestCluster.propose(Old, largeCommand(I), base::Millis(10));
    REQUIRE(TestCluster.runUntil([&] { return Result->Finished; }));
    Refused += Result->NotApplied ? 1 : 0;
    checkMemory(Old);
  }
  CHECK(Refused >= 30);
}

// Guards against a leader whose disk hangs and whose memory fills with the
// entries that wait for it, while the other voters commit them.
TEST_CASE_METHOD(ReplicaBytesTest,
                 "Leader whose disk is behind gives up its leadership") {
  startAll();
  commitMany(3);
  std::size_t Old = leaderIndex();
  TestCluster.at(Old).Disk->setSyncsPaused(true);
  std::uint64_t Last = commitMany(60);
  CHECK(leaderIndex() != Old);
  CHECK(TestCluster.at(Old).Log->appliedIndex().value() < Last);
  TestCluster.at(Old).Disk->setSyncsPaused(false);
  CHECK(waitUntilApplied(Old, Last));
}

} // namespace amaranth::replication::testing
