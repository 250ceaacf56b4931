#include "Cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace amaranth::replication::testing {

/// Five processes that know three seeds, as on the deployments.
class ReplicaRepairTest {
protected:
  explicit ReplicaRepairTest(std::uint64_t Seed = 21) : Mesh(Seed, 3, 3) {
    Mesh.Settings.TargetVoters = 5;
    Mesh.Settings.HeartbeatInterval = base::Millis(100);
    Mesh.Settings.ElectionTimeoutMin = base::Millis(400);
    Mesh.Settings.ElectionTimeoutMax = base::Millis(800);
    // Processes are told the seeds only.
    Mesh.Settings.KnownPeers = Mesh.Settings.InitialVoters;
  }

  void startFive() {
    for (std::size_t I : {4U, 2U, 0U, 3U, 1U})
      Mesh.start(I);
    REQUIRE(waitVoters(5));
    Mesh.commit("start");
  }

  /// An empty disk never forms a cluster after the first start.
  void startEmpty(std::size_t Index) {
    auto Initial = std::exchange(Mesh.Settings.InitialVoters, {});
    Mesh.start(Index);
    Mesh.Settings.InitialVoters = std::move(Initial);
  }

  /// True when that many voters are members and all of them run.
  bool allVotersRun(std::size_t Count) {
    Process *Leads = Mesh.leader();
    if (!Leads)
      return false;
    std::size_t Voters = 0;
    for (const MemberStatus &Each : Leads->Log->members()) {
      if (!Each.Voter)
        continue;
      ++Voters;
      bool Runs = false;
      for (std::size_t I = 0; I < Mesh.size(); ++I)
        Runs = Runs || (Mesh.at(I).up() && Mesh.at(I).Log->self() == Each.Id);
      if (!Runs)
        return false;
    }
    return Voters == Count;
  }

  bool waitVoters(std::size_t Count,
                  base::Millis Limit = base::Millis(10'000)) {
    return Mesh.runUntil([&] { return allVotersRun(Count); }, Limit);
  }

  Cluster Mesh;
};

/// Time after its start for which a process still counts as lost on the
/// deployments; the next loss may come right after it.
constexpr base::Millis CatchUp = base::Millis(4000);

TEST_CASE_METHOD(ReplicaRepairTest, "Five voters form from three seeds") {
  startFive();
  Mesh.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaRepairTest,
                 "A process with an empty disk becomes a voter by itself") {
  startFive();
  Mesh.loseDisk(1);
  startEmpty(1);
  CHECK(waitVoters(5, CatchUp));
  Mesh.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaRepairTest, "Two lost disks at once are repaired") {
  startFive();
  for (int I = 0; I < 20; ++I)
    Mesh.commit("c" + std::to_string(I));
  Mesh.loseDisk(0);
  Mesh.loseDisk(3);
  startEmpty(0);
  startEmpty(3);
  CHECK(waitVoters(5, CatchUp));
  // The next two losses must not find a cluster that is still short.
  Mesh.loseDisk(1);
  Mesh.loseDisk(2);
  startEmpty(1);
  startEmpty(2);
  CHECK(waitVoters(5, CatchUp));
  Mesh.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaRepairTest,
                 "A process at another address takes a lost one's place") {
  startFive();
  Mesh.loseDisk(2);
  Mesh.run(base::Millis(1000));
  startEmpty(5);
  CHECK(waitVoters(5, CatchUp));
  Mesh.checkAcknowledged();
}

// Guards against a repair that removes voters which are only down for a
// while: their disks may hold the only copies.
TEST_CASE_METHOD(ReplicaRepairTest,
                 "Voters that come back with their disks stay voters") {
  startFive();
  std::vector<base::ReplicaId> Before;
  for (std::size_t I = 0; I < 5; ++I)
    Before.push_back(Mesh.at(I).Log->self());
  Mesh.kill(0);
  Mesh.kill(4);
  Mesh.run(base::Millis(5000));
  Mesh.commit("while two are down");
  Mesh.start(0);
  Mesh.start(4);
  REQUIRE(waitVoters(5));
  for (const MemberStatus &Each : Mesh.leader()->Log->members())
    CHECK(std::find(Before.begin(), Before.end(), Each.Id) != Before.end());
  Mesh.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaRepairTest,
                 "A restart of everything elects a leader within 1.5 s") {
  startFive();
  for (std::size_t I = 0; I < 5; ++I)
    Mesh.kill(I);
  for (std::size_t I = 0; I < 5; ++I)
    Mesh.start(I);
  CHECK(Mesh.runUntil([this] { return Mesh.leader() != nullptr; },
                      base::Millis(1500)));
  Mesh.checkAcknowledged();
}

// Losses in series with seeds, with an acknowledged change between any two.
TEST_CASE("Replica repair loses nothing over random losses") {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    INFO("seed " << Seed);
    class Run : public ReplicaRepairTest {
    public:
      explicit Run(std::uint64_t Seed)
          : ReplicaRepairTest(Seed), Random(Seed) {}
      void play() {
        startFive();
        for (int Round = 0; Round < 6; ++Round) {
          Mesh.commit("round" + std::to_string(Round));
          std::size_t First = Random() % 5;
          std::size_t Second = (First + 1 + Random() % 4) % 5;
          lose(First);
          if (Random() % 2 == 0)
            lose(Second);
          for (std::size_t I = 0; I < 5; ++I)
            if (!Mesh.at(I).up())
              startEmpty(I);
          REQUIRE(waitVoters(5));
        }
        Mesh.checkAcknowledged();
      }

    private:
      void lose(std::size_t Index) {
        if (Random() % 2 == 0)
          Mesh.loseDisk(Index);
        else
          Mesh.kill(Index);
      }
      std::mt19937_64 Random;
    };
    Run(Seed).play();
  }
}

} // namespace amaranth::replication::testing
