#include "Cluster.h"
#include "amaranth/base/Invariant.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

class ReplicaTest {
protected:
  explicit ReplicaTest(std::size_t Voters = 3, std::size_t Others = 0)
      : TestCluster(7, Voters, Others) {}

  void startAll() {
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      TestCluster.start(I);
    REQUIRE(TestCluster.runUntil(
        [this] { return TestCluster.leader() != nullptr; }));
  }

  std::size_t leaderIndex() {
    REQUIRE(TestCluster.runUntil(
        [this] { return TestCluster.leader() != nullptr; }));
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      if (&TestCluster.at(I) == TestCluster.leader())
        return I;
    return 0;
  }

  std::size_t otherIndex(std::size_t Index) { return (Index + 1) % 3; }

  bool waitUntilApplied(std::size_t Index, std::uint64_t To) {
    return TestCluster.runUntil([this, Index, To] {
      return TestCluster.at(Index).Log->appliedIndex().value() >= To;
    });
  }

  Cluster TestCluster;
};

class SingleReplicaTest : public ReplicaTest {
protected:
  SingleReplicaTest() : ReplicaTest(1) {}
};

class LearnerTest : public ReplicaTest {
protected:
  LearnerTest() : ReplicaTest(3, 1) {}
};

TEST_CASE_METHOD(
    SingleReplicaTest,
    "Replica in a cluster of one keeps its entries across a restart") {
  startAll();
  std::uint64_t Index = TestCluster.commit("a");
  auto Read = TestCluster.read(0);
  REQUIRE(TestCluster.runUntil([&] { return Read->Finished; }));
  CHECK(Read->Error.empty());
  CHECK(Read->Index >= Index);
  TestCluster.kill(0);
  TestCluster.start(0);
  REQUIRE(waitUntilApplied(0, Index));
  TestCluster.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaTest,
                 "Replicas of a cluster of three apply the same commands") {
  std::uint64_t Checks = base::invariantChecks();
  startAll();
  std::uint64_t Last = 0;
  for (int I = 0; I < 20; ++I)
    Last = TestCluster.commit("c" + std::to_string(I));
  for (std::size_t I = 0; I < 3; ++I)
    REQUIRE(waitUntilApplied(I, Last));
  TestCluster.checkAcknowledged();
  CHECK(TestCluster.at(0).Machine->Applied ==
        TestCluster.at(1).Machine->Applied);
  CHECK(TestCluster.at(0).Log->clusterId() ==
        TestCluster.at(2).Log->clusterId());
  CHECK(base::invariantChecks() > Checks);
}

TEST_CASE_METHOD(ReplicaTest, "Replica forwards proposals to the leader") {
  startAll();
  TestCluster.commit("first");
  std::size_t Follower = otherIndex(leaderIndex());
  REQUIRE(TestCluster.runUntil(
      [&] { return TestCluster.at(Follower).Log->leader().has_value(); }));
  auto Result = TestCluster.propose(Follower, "forwarded");
  REQUIRE(TestCluster.runUntil([&] { return Result->Finished; }));
  CHECK(Result->Error.empty());
  auto Read = TestCluster.read(Follower);
  REQUIRE(TestCluster.runUntil([&] { return Read->Finished; }));
  CHECK(Read->Error.empty());
  CHECK(Read->Index >= Result->Index);
}

// Guards against acknowledging entries that are stored only on the leader.
TEST_CASE_METHOD(ReplicaTest,
                 "Replica commits nothing as a partitioned leader") {
  startAll();
  TestCluster.commit("before");
  std::size_t OldLeader = leaderIndex();
  TestCluster.Network.IsolatedAddresses.insert(
      TestCluster.at(OldLeader).Address);
  auto Lost = TestCluster.propose(OldLeader, "lost", base::Millis(1500));
  auto Read = TestCluster.read(OldLeader, base::Millis(1500));
  REQUIRE(
      TestCluster.runUntil([&] { return Lost->Finished && Read->Finished; }));
  CHECK_FALSE(Lost->Error.empty());
  CHECK_FALSE(Lost->NotApplied);
  CHECK_FALSE(Read->Error.empty());
  REQUIRE(TestCluster.runUntil(
      [&] { return !TestCluster.at(OldLeader).Log->isLeader(); },
      base::Millis(2500)));
  std::uint64_t Index = TestCluster.commit("after");
  CHECK(TestCluster.at(OldLeader).Log->staleness() >= base::Millis(1500));
  TestCluster.Network.IsolatedAddresses.clear();
  REQUIRE(waitUntilApplied(OldLeader, Index));
  TestCluster.checkAcknowledged();
}

// Guards against followers that reply before the entry is durable.
TEST_CASE_METHOD(
    ReplicaTest,
    "Replica commits an entry only after a majority has synced it") {
  startAll();
  TestCluster.commit("before");
  std::size_t LeaderIndex = leaderIndex();
  for (std::size_t I = 0; I < 3; ++I)
    if (I != LeaderIndex)
      TestCluster.at(I).Disk->setSyncsPaused(true);
  auto Result = TestCluster.propose(LeaderIndex, "held", base::Millis(900));
  TestCluster.runFor(base::Millis(800));
  CHECK_FALSE(Result->Finished);
  for (std::size_t I = 0; I < 3; ++I)
    TestCluster.at(I).Disk->setSyncsPaused(false);
  TestCluster.commit("after");
  TestCluster.checkAcknowledged();
}

// Guards against a leader that counts its own copy before it is durable: the
// entry could be lost after its commit.
TEST_CASE_METHOD(
    ReplicaTest,
    "Replica as leader counts its own copy only once it is synced") {
  startAll();
  TestCluster.commit("before");
  std::size_t LeaderIndex = leaderIndex();
  TestCluster.Network.IsolatedAddresses.insert(
      TestCluster.at(otherIndex(LeaderIndex)).Address);
  TestCluster.at(LeaderIndex).Disk->setSyncsPaused(true);
  auto Result = TestCluster.propose(LeaderIndex, "held");
  TestCluster.runFor(base::Millis(800));
  CHECK_FALSE(Result->Finished);
  TestCluster.at(LeaderIndex).Disk->setSyncsPaused(false);
  REQUIRE(TestCluster.runUntil([&] { return Result->Finished; }));
  CHECK(Result->Error.empty());
}

// Guards against a replica that crashes before its vote is durable and then
// votes twice in one term.
TEST_CASE_METHOD(ReplicaTest, "Replica counts a vote only once it is synced") {
  startAll();
  TestCluster.commit("before");
  // After this, either of the other replicas has a log that can win.
  TestCluster.checkAcknowledged();
  std::size_t LeaderIndex = leaderIndex();
  TestCluster.at(otherIndex(LeaderIndex)).Disk->setSyncsPaused(true);
  TestCluster.kill(LeaderIndex);
  std::size_t Terms = TestCluster.LeaderOfTerm.size();
  TestCluster.runFor(base::Millis::seconds(10));
  CHECK(TestCluster.LeaderOfTerm.size() == Terms);
  TestCluster.at(otherIndex(LeaderIndex)).Disk->setSyncsPaused(false);
  CHECK(
      TestCluster.runUntil([this] { return TestCluster.leader() != nullptr; }));
}

// Guards against the scenario of figure 8 in the Raft paper: an entry of an
// earlier term is stored on a majority, but a replica whose last entry has a
// later term can still be elected and overwrite it.
TEST_CASE_METHOD(
    ReplicaTest,
    "Replica commits earlier terms only with an entry of its term") {
  TestCluster.Settings.MaxAppendBytes = 1;
  startAll();
  TestCluster.commit("before");
  std::size_t A = leaderIndex();
  for (std::size_t I = 0; I < 3; ++I)
    REQUIRE(waitUntilApplied(I, TestCluster.HighestAcknowledged));
  std::uint64_t Before = TestCluster.at(A).Log->commitIndex().value();
  TestCluster.Network.IsolatedAddresses.insert(TestCluster.at(A).Address);
  TestCluster.propose(A, "early", base::Millis(100));
  TestCluster.runFor(base::Millis(700));
  TestCluster.kill(A);
  std::size_t B = leaderIndex();
  std::size_t C = 3 - A - B;
  // The first entry of B's term reaches no other replica.
  TestCluster.Network.IsolatedAddresses = {TestCluster.at(C).Address};
  TestCluster.runFor(base::Millis(700));
  TestCluster.kill(B);
  TestCluster.Network.IsolatedAddresses.clear();
  TestCluster.start(A);
  bool Early = TestCluster.runUntil([&] {
    return TestCluster.at(A).Log->commitIndex().value() == Before + 1;
  });
  CHECK_FALSE(Early);
  CHECK(TestCluster.at(A).Log->commitIndex().value() >= Before + 2);
}

TEST_CASE_METHOD(LearnerTest, "Replica joins as a learner and reads") {
  startAll();
  std::uint64_t Index = TestCluster.commit("a");
  REQUIRE(waitUntilApplied(3, Index));
  Replica &Learner = *TestCluster.at(3).Log;
  REQUIRE(TestCluster.runUntil(
      [&] { return Learner.staleness() < base::Millis(1000); }));
  auto Read = TestCluster.read(3);
  REQUIRE(TestCluster.runUntil([&] { return Read->Finished; }));
  CHECK(Read->Error.empty());
  std::size_t Voters = 0;
  for (const MemberStatus &Each : Learner.members())
    Voters += Each.Voter ? 1 : 0;
  CHECK(Learner.members().size() == 4);
  CHECK(Voters == 3);
  TestCluster.Network.IsolatedAddresses.insert(TestCluster.at(3).Address);
  TestCluster.runFor(base::Millis(6000));
  CHECK(Learner.staleness() >= base::Millis(5000));
}

TEST_CASE_METHOD(LearnerTest, "Replica posts messages to the leader") {
  startAll();
  REQUIRE(waitUntilApplied(3, TestCluster.commit("a")));
  std::string Received;
  TestCluster.at(leaderIndex())
      .Log->onMessage([&](base::ReplicaId From, base::ByteView Message) {
        CHECK(From == TestCluster.at(3).Log->self());
        Received = base::asText(Message);
      });
  TestCluster.at(3).Log->postToLeader({'h', 'i'});
  CHECK(TestCluster.runUntil([&] { return Received == "hi"; }));
}

// Guards against a leader that repeats the same request without a pause to a
// follower whose disk has lost entries that it had acknowledged.
TEST_CASE_METHOD(ReplicaTest,
                 "Replica that lost acknowledged entries gets them again") {
  startAll();
  std::size_t Leader = leaderIndex();
  std::size_t Follower = otherIndex(Leader);
  std::uint64_t Index = 0;
  for (int I = 0; I < 6; ++I)
    Index = TestCluster.commit("c" + std::to_string(I));
  REQUIRE(TestCluster.runUntil([&] {
    base::ReplicaId Id = TestCluster.at(Follower).Log->self();
    return std::ranges::any_of(
        TestCluster.at(Leader).Log->members(), [&](const MemberStatus &Each) {
          return Each.Id == Id && Each.MatchIndex.value() >= Index;
        });
  }));
  TestCluster.kill(Follower);
  std::vector<EntryRef> &Stored = TestCluster.at(Follower).Image.Entries;
  REQUIRE(Stored.size() > 3);
  Stored.resize(Stored.size() - 3);
  TestCluster.start(Follower);
  CHECK(waitUntilApplied(Follower, Index));
  CHECK(leaderIndex() == Leader);
}

} // namespace amaranth::replication::testing
