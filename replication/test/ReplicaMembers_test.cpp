#include "Cluster.h"

#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

class ReplicaMembersTest {
protected:
  /// Three voters and two learners; the second learner is not started by
  /// `startFour`.
  ReplicaMembersTest() : TestCluster(11, 3, 2) {
    TestCluster.Settings.SnapshotChunkBytes = 100;
  }

  void startFour() {
    for (std::size_t I = 0; I < 4; ++I)
      TestCluster.start(I);
    std::uint64_t Index = TestCluster.commit("start");
    REQUIRE(TestCluster.runUntil([this, Index] {
      return TestCluster.at(3).Log->appliedIndex().value() >= Index;
    }));
  }

  Replica &leader() {
    REQUIRE(TestCluster.runUntil(
        [this] { return TestCluster.leader() != nullptr; }));
    return *TestCluster.leader()->Log;
  }

  /// Retries the change while it is rejected because another one is not
  /// committed.
  std::string
  change(const std::function<asio::awaitable<void>(Replica &)> &Change) {
    std::string Error;
    for (int Try = 0; Try < 20; ++Try) {
      Replica &Leader = leader();
      Error = TestCluster.change([&] { return Change(Leader); })->Error;
      if (Error.find("not finished yet") == std::string::npos)
        break;
      TestCluster.runFor(base::Millis(100));
    }
    return Error;
  }

  std::string promote(base::ReplicaId Id) {
    return change(
        [Id](Replica &Log) { return Log.promote(Id, base::Millis(2000)); });
  }

  std::size_t voterCount() {
    std::size_t Count = 0;
    for (const MemberStatus &Each : leader().members())
      Count += Each.Voter ? 1 : 0;
    return Count;
  }

  Cluster TestCluster;
};

TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica behind the first log index receives a snapshot") {
  TestCluster.Settings.CompactEntries = 20;
  TestCluster.Settings.TrailingEntries = 2;
  startFour();
  for (int I = 0; I < 60; ++I)
    TestCluster.commit("c" + std::to_string(I));
  CHECK(leader().firstLogIndex() > base::LogIndex(20));
  TestCluster.start(4);
  TestCluster.checkAcknowledged();
  CHECK(TestCluster.at(4).Machine->RestoreCount == 1);
  // The installed snapshot must also survive a restart.
  TestCluster.kill(4);
  TestCluster.start(4);
  TestCluster.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica promoted from learner counts as a voter") {
  startFour();
  CHECK(promote(TestCluster.at(3).Log->self()).empty());
  CHECK(voterCount() == 4);
  base::ReplicaId Id = TestCluster.at(3).Log->self();
  CHECK(change([Id](Replica &Log) {
          return Log.remove(Id, base::Millis(2000));
        }).empty());
  CHECK(voterCount() == 3);
}

// Guards against disjoint majorities while the number of voters is even, as
// between the two steps of a replacement.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica in a cluster of four voters needs three votes") {
  startFour();
  REQUIRE(promote(TestCluster.at(3).Log->self()).empty());
  TestCluster.commit("four");
  TestCluster.checkAcknowledged();
  TestCluster.Network.IsolatedAddresses = {TestCluster.at(0).Address,
                                           TestCluster.at(1).Address};
  TestCluster.runFor(base::Millis::seconds(3));
  std::size_t Terms = TestCluster.LeaderOfTerm.size();
  TestCluster.runFor(base::Millis::seconds(10));
  CHECK(TestCluster.leader() == nullptr);
  CHECK(TestCluster.LeaderOfTerm.size() == Terms);
}

// Guards against two uncommitted changes, whose majorities may be disjoint.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica rejects a change while another is not committed") {
  startFour();
  Replica &Leader = leader();
  base::ReplicaId Id = TestCluster.at(3).Log->self();
  for (std::size_t I = 0; I < 4; ++I)
    TestCluster.at(I).Disk->setSyncsPaused(true);
  auto First =
      TestCluster.change([&] { return Leader.promote(Id, base::Millis(200)); });
  CHECK_THAT(First->Error, Catch::Contains("not committed in time"));
  auto Second =
      TestCluster.change([&] { return Leader.remove(Id, base::Millis(200)); });
  CHECK_THAT(Second->Error, Catch::Contains("not finished yet"));
}

// Guards against a new voter that delays commits until it has caught up.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica that lags too far is not promoted") {
  startFour();
  TestCluster.Network.IsolatedAddresses.insert(TestCluster.at(3).Address);
  for (int I = 0; I < 70; ++I)
    TestCluster.commit("c" + std::to_string(I));
  CHECK_THAT(promote(TestCluster.at(3).Log->self()), Catch::Contains("behind"));
  CHECK(voterCount() == 3);
}

TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica cannot be removed while it is the leader") {
  startFour();
  base::ReplicaId Id = leader().self();
  CHECK_THAT(
      change([Id](Replica &Log) { return Log.remove(Id, base::Millis(2000)); }),
      Catch::Contains("cannot be removed"));
}

TEST_CASE_METHOD(
    ReplicaMembersTest,
    "Replica with a lost disk is replaced by an operator request") {
  startFour();
  base::ReplicaId Lost;
  std::size_t Index = &TestCluster.at(0) == TestCluster.leader() ? 1 : 0;
  Lost = TestCluster.at(Index).Log->self();
  std::uint64_t Cluster = leader().clusterId();
  TestCluster.loseDisk(Index);
  TestCluster.start(Index);
  TestCluster.checkAcknowledged();
  CHECK(TestCluster.at(Index).Log->clusterId() == Cluster);
  base::ReplicaId New = TestCluster.at(Index).Log->self();
  CHECK(change([&](Replica &Log) {
          return Log.replaceVoter(Lost, New, base::Millis(2000));
        }).empty());
  REQUIRE(TestCluster.runUntil([&] { return voterCount() == 3; }));
  for (const MemberStatus &Each : leader().members())
    CHECK(Each.Id != Lost);
}

// Guards against a second cluster formed by a subset of the initial voters.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica forms no cluster until all initial voters answer") {
  TestCluster.start(0);
  TestCluster.start(1);
  TestCluster.runFor(base::Millis::seconds(20));
  CHECK(TestCluster.at(0).Log->clusterId() == 0);
  CHECK(TestCluster.at(1).Log->term() == base::Term(0));
  TestCluster.start(2);
  CHECK(
      TestCluster.runUntil([this] { return TestCluster.leader() != nullptr; }));
}

// Guards against a cluster that is never formed: a process that is killed
// before that is not told the initial voters again.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica restarted before the formation still forms") {
  TestCluster.start(0);
  TestCluster.runFor(base::Millis(250));
  TestCluster.kill(0);
  for (std::size_t I = 1; I < 5; ++I)
    TestCluster.start(I);
  TestCluster.runFor(base::Millis(1500));
  CHECK(TestCluster.leader() == nullptr);
  std::vector<std::string> Voters =
      std::exchange(TestCluster.Settings.InitialVoters, {});
  TestCluster.Settings.KnownPeers = Voters;
  TestCluster.start(0);
  CHECK(
      TestCluster.runUntil([this] { return TestCluster.leader() != nullptr; }));
}

// Guards against a second cluster: a process that lost its disk has no initial
// voters, wherever the formation has got to.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica with an empty disk and no initial voters forms "
                 "no cluster") {
  TestCluster.start(0);
  TestCluster.runFor(base::Millis(250));
  TestCluster.loseDisk(0);
  std::vector<std::string> Voters =
      std::exchange(TestCluster.Settings.InitialVoters, {});
  TestCluster.Settings.KnownPeers = Voters;
  for (std::size_t I = 0; I < 3; ++I)
    TestCluster.start(I);
  TestCluster.runFor(base::Millis::seconds(20));
  for (std::size_t I = 0; I < 3; ++I)
    CHECK(TestCluster.at(I).Log->clusterId() == 0);
}

// Guards against unbounded memory use while the disk or the peers are stalled.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica rejects commands above the queue limit") {
  TestCluster.Settings.MaxQueuedCommands = 5;
  startFour();
  std::size_t LeaderIndex = 0;
  while (&TestCluster.at(LeaderIndex) != TestCluster.leader())
    ++LeaderIndex;
  TestCluster.at(LeaderIndex).Disk->setSyncsPaused(true);
  for (std::size_t I = 0; I < 3; ++I)
    TestCluster.at(I).Disk->setSyncsPaused(true);
  for (int I = 0; I < 5; ++I)
    TestCluster.propose(LeaderIndex, "w" + std::to_string(I),
                        base::Millis(500));
  auto Last = TestCluster.propose(LeaderIndex, "refused", base::Millis(500));
  TestCluster.runFor(base::Millis(50));
  REQUIRE(Last->Finished);
  CHECK(Last->NotApplied);
  CHECK_THAT(Last->Error, Catch::Contains("overloaded"));
}

} // namespace amaranth::replication::testing
