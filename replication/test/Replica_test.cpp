#include "Cluster.h"
#include "amaranth/base/Invariant.h"

#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

class ReplicaTest {
protected:
  explicit ReplicaTest(std::size_t Voters = 3, std::size_t Others = 0)
      : Mesh(7, Voters, Others) {}

  void startAll() {
    for (std::size_t I = 0; I < Mesh.size(); ++I)
      Mesh.start(I);
    REQUIRE(Mesh.runUntil([this] { return Mesh.leader() != nullptr; }));
  }

  std::size_t leaderIndex() {
    REQUIRE(Mesh.runUntil([this] { return Mesh.leader() != nullptr; }));
    for (std::size_t I = 0; I < Mesh.size(); ++I)
      if (&Mesh.at(I) == Mesh.leader())
        return I;
    return 0;
  }

  std::size_t otherThan(std::size_t Index) { return (Index + 1) % 3; }

  bool caughtUp(std::size_t Index, std::uint64_t To) {
    return Mesh.runUntil([this, Index, To] {
      return Mesh.at(Index).Log->appliedIndex().value() >= To;
    });
  }

  Cluster Mesh;
};

class SingleReplicaTest : public ReplicaTest {
protected:
  SingleReplicaTest() : ReplicaTest(1) {}
};

class LearnerTest : public ReplicaTest {
protected:
  LearnerTest() : ReplicaTest(3, 1) {}
};

TEST_CASE_METHOD(SingleReplicaTest,
                 "Replica alone commits, reads and keeps entries on restart") {
  startAll();
  std::uint64_t Index = Mesh.commit("a");
  auto Read = Mesh.read(0);
  REQUIRE(Mesh.runUntil([&] { return Read->Finished; }));
  CHECK(Read->Error.empty());
  CHECK(Read->Index >= Index);
  Mesh.kill(0);
  Mesh.start(0);
  REQUIRE(caughtUp(0, Index));
  Mesh.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaTest, "Replica of three applies the same commands") {
  std::uint64_t Checks = base::invariantChecks();
  startAll();
  std::uint64_t Last = 0;
  for (int I = 0; I < 20; ++I)
    Last = Mesh.commit("c" + std::to_string(I));
  for (std::size_t I = 0; I < 3; ++I)
    REQUIRE(caughtUp(I, Last));
  Mesh.checkAcknowledged();
  CHECK(Mesh.at(0).Machine->Applied == Mesh.at(1).Machine->Applied);
  CHECK(Mesh.at(0).Log->clusterId() == Mesh.at(2).Log->clusterId());
  CHECK(base::invariantChecks() > Checks);
}

TEST_CASE_METHOD(ReplicaTest, "Replica that follows forwards proposals") {
  startAll();
  Mesh.commit("first");
  std::size_t Follower = otherThan(leaderIndex());
  REQUIRE(Mesh.runUntil(
      [&] { return Mesh.at(Follower).Log->leader().has_value(); }));
  auto Result = Mesh.propose(Follower, "forwarded");
  REQUIRE(Mesh.runUntil([&] { return Result->Finished; }));
  CHECK(Result->Error.empty());
  auto Read = Mesh.read(Follower);
  REQUIRE(Mesh.runUntil([&] { return Read->Finished; }));
  CHECK(Read->Error.empty());
  CHECK(Read->Index >= Result->Index);
}

// Guards against acknowledging entries that only the leader has.
TEST_CASE_METHOD(ReplicaTest, "Replica cut off as leader commits nothing") {
  startAll();
  Mesh.commit("before");
  std::size_t Old = leaderIndex();
  Mesh.Net.CutOff.insert(Mesh.at(Old).Address);
  auto Lost = Mesh.propose(Old, "lost", base::Millis(1500));
  auto Read = Mesh.read(Old, base::Millis(1500));
  REQUIRE(Mesh.runUntil([&] { return Lost->Finished && Read->Finished; }));
  CHECK_FALSE(Lost->Error.empty());
  CHECK_FALSE(Lost->CertainlyNot);
  CHECK_FALSE(Read->Error.empty());
  REQUIRE(Mesh.runUntil([&] { return !Mesh.at(Old).Log->isLeader(); },
                        base::Millis(2500)));
  std::uint64_t Index = Mesh.commit("after");
  CHECK(Mesh.at(Old).Log->sinceCurrent() >= base::Millis(1500));
  Mesh.Net.CutOff.clear();
  REQUIRE(caughtUp(Old, Index));
  Mesh.checkAcknowledged();
}

// Guards against replies that are sent before the entry is durable.
TEST_CASE_METHOD(ReplicaTest, "Replica commits only after a majority synced") {
  startAll();
  Mesh.commit("before");
  std::size_t Leads = leaderIndex();
  for (std::size_t I = 0; I < 3; ++I)
    if (I != Leads)
      Mesh.at(I).Disk->hold(true);
  auto Result = Mesh.propose(Leads, "held", base::Millis(900));
  Mesh.run(base::Millis(800));
  CHECK_FALSE(Result->Finished);
  for (std::size_t I = 0; I < 3; ++I)
    Mesh.at(I).Disk->hold(false);
  Mesh.commit("after");
  Mesh.checkAcknowledged();
}

// Guards against a leader that counts itself while its entry may be lost.
TEST_CASE_METHOD(ReplicaTest, "Replica as leader counts itself once synced") {
  startAll();
  Mesh.commit("before");
  std::size_t Leads = leaderIndex();
  Mesh.Net.CutOff.insert(Mesh.at(otherThan(Leads)).Address);
  Mesh.at(Leads).Disk->hold(true);
  auto Result = Mesh.propose(Leads, "held");
  Mesh.run(base::Millis(800));
  CHECK_FALSE(Result->Finished);
  Mesh.at(Leads).Disk->hold(false);
  REQUIRE(Mesh.runUntil([&] { return Result->Finished; }));
  CHECK(Result->Error.empty());
}

// Guards against two votes in one term after a crash.
TEST_CASE_METHOD(ReplicaTest, "Replica counts a vote only once it is synced") {
  startAll();
  Mesh.commit("before");
  // Either of the two may win then.
  Mesh.checkAcknowledged();
  std::size_t Leads = leaderIndex();
  Mesh.at(otherThan(Leads)).Disk->hold(true);
  Mesh.kill(Leads);
  std::size_t Terms = Mesh.LeaderOfTerm.size();
  Mesh.run(base::Millis::seconds(10));
  CHECK(Mesh.LeaderOfTerm.size() == Terms);
  Mesh.at(otherThan(Leads)).Disk->hold(false);
  CHECK(Mesh.runUntil([this] { return Mesh.leader() != nullptr; }));
}

// The order of events of figure 8 in the Raft paper: entry 4 of an earlier
// term is on a majority, but a replica with a later term can overwrite it.
TEST_CASE_METHOD(ReplicaTest,
                 "Replica commits earlier terms only with its own entry") {
  Mesh.Settings.MaxAppendBytes = 1;
  startAll();
  Mesh.commit("before");
  std::size_t A = leaderIndex();
  for (std::size_t I = 0; I < 3; ++I)
    REQUIRE(caughtUp(I, Mesh.HighestAcknowledged));
  std::uint64_t Before = Mesh.at(A).Log->commitIndex().value();
  Mesh.Net.CutOff.insert(Mesh.at(A).Address);
  Mesh.propose(A, "early", base::Millis(100));
  Mesh.run(base::Millis(700));
  Mesh.kill(A);
  std::size_t B = leaderIndex();
  std::size_t C = 3 - A - B;
  // The entry that opens B's term stays with B.
  Mesh.Net.CutOff = {Mesh.at(C).Address};
  Mesh.run(base::Millis(700));
  Mesh.kill(B);
  Mesh.Net.CutOff.clear();
  Mesh.start(A);
  bool Early = Mesh.runUntil(
      [&] { return Mesh.at(A).Log->commitIndex().value() == Before + 1; });
  CHECK_FALSE(Early);
  CHECK(Mesh.at(A).Log->commitIndex().value() >= Before + 2);
}

TEST_CASE_METHOD(LearnerTest, "Replica joins as a learner and reads") {
  startAll();
  std::uint64_t Index = Mesh.commit("a");
  REQUIRE(caughtUp(3, Index));
  Replica &Learner = *Mesh.at(3).Log;
  REQUIRE(Mesh.runUntil(
      [&] { return Learner.sinceCurrent() < base::Millis(1000); }));
  auto Read = Mesh.read(3);
  REQUIRE(Mesh.runUntil([&] { return Read->Finished; }));
  CHECK(Read->Error.empty());
  std::size_t Voters = 0;
  for (const MemberStatus &Each : Learner.members())
    Voters += Each.Voter ? 1 : 0;
  CHECK(Learner.members().size() == 4);
  CHECK(Voters == 3);
  Mesh.Net.CutOff.insert(Mesh.at(3).Address);
  Mesh.run(base::Millis(6000));
  CHECK(Learner.sinceCurrent() >= base::Millis(5000));
}

TEST_CASE_METHOD(LearnerTest, "Replica posts messages to the leader") {
  startAll();
  REQUIRE(caughtUp(3, Mesh.commit("a")));
  std::string Received;
  Mesh.at(leaderIndex())
      .Log->onMessage([&](base::ReplicaId From, base::ByteView Message) {
        CHECK(From == Mesh.at(3).Log->self());
        Received = base::asText(Message);
      });
  Mesh.at(3).Log->postToLeader({'h', 'i'});
  CHECK(Mesh.runUntil([&] { return Received == "hi"; }));
}

} // namespace amaranth::replication::testing
