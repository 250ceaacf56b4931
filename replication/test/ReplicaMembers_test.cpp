#include "Cluster.h"

#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

class ReplicaMembersTest {
protected:
  /// The fourth process is a learner, the fifth stays down at first.
  ReplicaMembersTest() : Mesh(11, 3, 2) {
    Mesh.Settings.SnapshotChunkBytes = 100;
  }

  void startFour() {
    for (std::size_t I = 0; I < 4; ++I)
      Mesh.start(I);
    std::uint64_t Index = Mesh.commit("start");
    REQUIRE(Mesh.runUntil([this, Index] {
      return Mesh.at(3).Log->appliedIndex().value() >= Index;
    }));
  }

  Replica &leader() {
    REQUIRE(Mesh.runUntil([this] { return Mesh.leader() != nullptr; }));
    return *Mesh.leader()->Log;
  }

  /// Runs the change until it is not refused as too early.
  std::string
  change(const std::function<asio::awaitable<void>(Replica &)> &Change) {
    std::string Error;
    for (int Try = 0; Try < 20; ++Try) {
      Replica &Leads = leader();
      Error = Mesh.change([&] { return Change(Leads); })->Error;
      if (Error.find("not finished yet") == std::string::npos)
        break;
      Mesh.run(base::Millis(100));
    }
    return Error;
  }

  std::string promote(base::ReplicaId Id) {
    return change(
        [Id](Replica &Log) { return Log.promote(Id, base::Millis(2000)); });
  }

  std::size_t voters() {
    std::size_t Count = 0;
    for (const MemberStatus &Each : leader().members())
      Count += Each.Voter ? 1 : 0;
    return Count;
  }

  Cluster Mesh;
};

TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica behind the log start gets a snapshot in chunks") {
  Mesh.Settings.CompactEntries = 20;
  Mesh.Settings.TrailingEntries = 2;
  startFour();
  for (int I = 0; I < 60; ++I)
    Mesh.commit("c" + std::to_string(I));
  CHECK(leader().logStart() > base::LogIndex(20));
  Mesh.start(4);
  Mesh.checkAcknowledged();
  CHECK(Mesh.at(4).Machine->Restores == 1);
  // A snapshot of its own must also survive a restart.
  Mesh.kill(4);
  Mesh.start(4);
  Mesh.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica learner is promoted and then counts as a voter") {
  startFour();
  CHECK(promote(Mesh.at(3).Log->self()).empty());
  CHECK(voters() == 4);
  base::ReplicaId Id = Mesh.at(3).Log->self();
  CHECK(change([Id](Replica &Log) {
          return Log.remove(Id, base::Millis(2000));
        }).empty());
  CHECK(voters() == 3);
}

// Guards against disjoint majorities while a repair has an even number of
// voters.
TEST_CASE_METHOD(ReplicaMembersTest, "Replica of four needs three voters") {
  startFour();
  REQUIRE(promote(Mesh.at(3).Log->self()).empty());
  Mesh.commit("four");
  Mesh.checkAcknowledged();
  Mesh.Net.CutOff = {Mesh.at(0).Address, Mesh.at(1).Address};
  Mesh.run(base::Millis::seconds(3));
  std::size_t Terms = Mesh.LeaderOfTerm.size();
  Mesh.run(base::Millis::seconds(10));
  CHECK(Mesh.leader() == nullptr);
  CHECK(Mesh.LeaderOfTerm.size() == Terms);
}

// Guards against two changes under way, whose majorities may be disjoint.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica refuses a change while another is not committed") {
  startFour();
  Replica &Leads = leader();
  base::ReplicaId Id = Mesh.at(3).Log->self();
  for (std::size_t I = 0; I < 4; ++I)
    Mesh.at(I).Disk->hold(true);
  auto First =
      Mesh.change([&] { return Leads.promote(Id, base::Millis(200)); });
  CHECK_THAT(First->Error, Catch::Contains("not committed in time"));
  auto Second =
      Mesh.change([&] { return Leads.remove(Id, base::Millis(200)); });
  CHECK_THAT(Second->Error, Catch::Contains("not finished yet"));
}

// Guards against a voter that blocks commits while it catches up.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica far behind is refused as a voter") {
  startFour();
  Mesh.Net.CutOff.insert(Mesh.at(3).Address);
  for (int I = 0; I < 70; ++I)
    Mesh.commit("c" + std::to_string(I));
  CHECK_THAT(promote(Mesh.at(3).Log->self()), Catch::Contains("behind"));
  CHECK(voters() == 3);
}

TEST_CASE_METHOD(ReplicaMembersTest, "Replica that leads is not removed") {
  startFour();
  base::ReplicaId Id = leader().self();
  CHECK_THAT(
      change([Id](Replica &Log) { return Log.remove(Id, base::Millis(2000)); }),
      Catch::Contains("cannot be removed"));
}

TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica with a lost disk is replaced after a request") {
  startFour();
  base::ReplicaId Lost;
  std::size_t Index = &Mesh.at(0) == Mesh.leader() ? 1 : 0;
  Lost = Mesh.at(Index).Log->self();
  std::uint64_t Cluster = leader().clusterId();
  Mesh.loseDisk(Index);
  Mesh.start(Index);
  Mesh.checkAcknowledged();
  CHECK(Mesh.at(Index).Log->clusterId() == Cluster);
  base::ReplicaId New = Mesh.at(Index).Log->self();
  CHECK(change([&](Replica &Log) {
          return Log.replaceVoter(Lost, New, base::Millis(2000));
        }).empty());
  REQUIRE(Mesh.runUntil([&] { return voters() == 3; }));
  for (const MemberStatus &Each : leader().members())
    CHECK(Each.Id != Lost);
}

// Guards against two clusters: no replica may start one alone.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica forms no cluster until all initial voters answer") {
  Mesh.start(0);
  Mesh.start(1);
  Mesh.run(base::Millis::seconds(20));
  CHECK(Mesh.at(0).Log->clusterId() == 0);
  CHECK(Mesh.at(1).Log->term() == base::Term(0));
  Mesh.start(2);
  CHECK(Mesh.runUntil([this] { return Mesh.leader() != nullptr; }));
}

// Guards against unbounded memory when the disk or the peers stand still.
TEST_CASE_METHOD(ReplicaMembersTest,
                 "Replica with too many waiting commands refuses more") {
  Mesh.Settings.MaxQueuedCommands = 5;
  startFour();
  std::size_t Leads = 0;
  while (&Mesh.at(Leads) != Mesh.leader())
    ++Leads;
  Mesh.at(Leads).Disk->hold(true);
  for (std::size_t I = 0; I < 3; ++I)
    Mesh.at(I).Disk->hold(true);
  for (int I = 0; I < 5; ++I)
    Mesh.propose(Leads, "w" + std::to_string(I), base::Millis(500));
  auto Last = Mesh.propose(Leads, "refused", base::Millis(500));
  Mesh.run(base::Millis(50));
  REQUIRE(Last->Finished);
  CHECK(Last->CertainlyNot);
  CHECK_THAT(Last->Error, Catch::Contains("overloaded"));
}

} // namespace amaranth::replication::testing
