#include "Cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace amaranth::replication::testing {

/// Five control processes that know three seeds, as in a deployment.
class ReplicaRepairTest {
protected:
  explicit ReplicaRepairTest(std::uint64_t Seed = 21,
                             std::size_t OtherPeers = 3)
      : TestCluster(Seed, 3, OtherPeers) {
    TestCluster.Settings.TargetVoters = 5;
    TestCluster.Settings.HeartbeatInterval = base::Millis(100);
    TestCluster.Settings.ElectionTimeoutMin = base::Millis(400);
    TestCluster.Settings.ElectionTimeoutMax = base::Millis(800);
    // The processes know only the addresses of the seeds.
    TestCluster.Settings.KnownPeers = TestCluster.Settings.InitialVoters;
  }

  void startFive() {
    for (std::size_t I : {4U, 2U, 0U, 3U, 1U})
      TestCluster.start(I);
    REQUIRE(waitVoters(5));
    TestCluster.commit("start");
  }

  /// Starts without initial voters: a process with an empty disk must not form
  /// a new cluster after the first start.
  void startWithEmptyDisk(std::size_t Index) {
    auto Initial = std::exchange(TestCluster.Settings.InitialVoters, {});
    TestCluster.start(Index);
    TestCluster.Settings.InitialVoters = std::move(Initial);
  }

  /// Returns whether there are exactly `Count` voters and all of them run.
  bool allVotersRun(std::size_t Count) {
    Process *Leader = TestCluster.leader();
    if (!Leader)
      return false;
    std::size_t Voters = 0;
    for (const MemberStatus &Each : Leader->Log->members()) {
      if (!Each.Voter)
        continue;
      ++Voters;
      bool Runs = false;
      for (std::size_t I = 0; I < TestCluster.size(); ++I)
        Runs = Runs || (TestCluster.at(I).isRunning() &&
                        TestCluster.at(I).Log->self() == Each.Id);
      if (!Runs)
        return false;
    }
    return Voters == Count;
  }

  bool waitVoters(std::size_t Count,
                  base::Millis Limit = base::Millis(10'000)) {
    return TestCluster.runUntil([&] { return allVotersRun(Count); }, Limit);
  }

  /// Lets the disk of a process be full for `Span`. The process ends when a
  /// write fails and is started again, as by a supervisor.
  void fillDisk(std::size_t Index, base::Millis Span) {
    constexpr base::Millis RestartDelay = base::Millis(300);
    TestCluster.at(Index).Image.Full = true;
    base::TimePoint End = TestCluster.Time.now() + Span;
    while (TestCluster.Time.now() < End) {
      TestCluster.runFor(RestartDelay);
      if (!TestCluster.at(Index).Disk->failure())
        continue;
      TestCluster.kill(Index);
      TestCluster.runFor(RestartDelay);
      TestCluster.start(Index);
    }
    TestCluster.at(Index).Image.Full = false;
    TestCluster.runFor(RestartDelay);
    if (!TestCluster.at(Index).Disk->failure())
      return;
    TestCluster.kill(Index);
    TestCluster.start(Index);
  }

  Cluster TestCluster;
};

/// Time within which a restarted process must be a voter again. A deployment
/// counts the process as lost for this long, and the next failure may follow
/// immediately afterwards.
constexpr base::Millis RecoveryTimeLimit = base::Millis(4000);

TEST_CASE_METHOD(ReplicaRepairTest,
                 "Five voters form a cluster from three seeds") {
  startFive();
  TestCluster.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaRepairTest,
                 "A process with an empty disk becomes a voter automatically") {
  startFive();
  TestCluster.loseDisk(1);
  startWithEmptyDisk(1);
  CHECK(waitVoters(5, RecoveryTimeLimit));
  TestCluster.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaRepairTest,
                 "Two simultaneous disk losses are repaired") {
  startFive();
  for (int I = 0; I < 20; ++I)
    TestCluster.commit("c" + std::to_string(I));
  TestCluster.loseDisk(0);
  TestCluster.loseDisk(3);
  startWithEmptyDisk(0);
  startWithEmptyDisk(3);
  CHECK(waitVoters(5, RecoveryTimeLimit));
  // Two further losses must not meet a cluster with too few voters.
  TestCluster.loseDisk(1);
  TestCluster.loseDisk(2);
  startWithEmptyDisk(1);
  startWithEmptyDisk(2);
  CHECK(waitVoters(5, RecoveryTimeLimit));
  TestCluster.checkAcknowledged();
}

TEST_CASE_METHOD(ReplicaRepairTest,
                 "A process at another address replaces a failed voter") {
  startFive();
  TestCluster.loseDisk(2);
  TestCluster.runFor(base::Millis(1000));
  startWithEmptyDisk(5);
  CHECK(waitVoters(5, RecoveryTimeLimit));
  TestCluster.checkAcknowledged();
}

// Guards against a repair that removes voters which are down only temporarily:
// their disks may hold the only copies of an entry.
TEST_CASE_METHOD(ReplicaRepairTest,
                 "Voters that restart with their disks remain voters") {
  startFive();
  std::vector<base::ReplicaId> Before;
  for (std::size_t I = 0; I < 5; ++I)
    Before.push_back(TestCluster.at(I).Log->self());
  TestCluster.kill(0);
  TestCluster.kill(4);
  TestCluster.runFor(base::Millis(5000));
  TestCluster.commit("while two are down");
  TestCluster.start(0);
  TestCluster.start(4);
  REQUIRE(waitVoters(5));
  for (const MemberStatus &Each : TestCluster.leader()->Log->members())
    CHECK(std::find(Before.begin(), Before.end(), Each.Id) != Before.end());
  TestCluster.checkAcknowledged();
}

// Guards against a cluster that accepts no changes any more after the disk of
// each of its processes was full for some seconds, never two at once.
TEST_CASE("Disks that are full one after another do not stop changes") {
  struct FullDisksRun : ReplicaRepairTest {
    explicit FullDisksRun(std::uint64_t Seed, std::size_t Processes)
        : ReplicaRepairTest(Seed), Processes(Processes) {}

    void execute() {
      startFive();
      for (std::size_t I = 5; I < Processes; ++I)
        startWithEmptyDisk(I);
      for (int Round = 0; Round < 2; ++Round)
        for (std::size_t I = 0; I < Processes; ++I) {
          TestCluster.propose((I + 1) % Processes, "before" + name(I));
          fillDisk(I, base::Millis(4'500));
          TestCluster.commit("while full" + name(I));
        }
      CHECK(waitVoters(5, RecoveryTimeLimit));
      base::TimePoint Start = TestCluster.Time.now();
      TestCluster.commit("afterwards");
      CHECK(TestCluster.Time.now() - Start < RecoveryTimeLimit);
      TestCluster.checkAcknowledged();
    }

  private:
    static std::string name(std::size_t Index) {
      return "-" + std::to_string(Index);
    }
    std::size_t Processes;
  };
  auto Seed = GENERATE(range<std::uint64_t>(1, 9));
  // With a sixth process, a voter that fails for long is replaced.
  auto Processes = GENERATE(std::size_t{5}, std::size_t{6});
  INFO("seed " << Seed << ", " << Processes << " processes");
  FullDisksRun(Seed, Processes).execute();
}

TEST_CASE_METHOD(ReplicaRepairTest,
                 "A restart of all processes elects a leader within 1.5 s") {
  startFive();
  for (std::size_t I = 0; I < 5; ++I)
    TestCluster.kill(I);
  for (std::size_t I = 0; I < 5; ++I)
    TestCluster.start(I);
  CHECK(TestCluster.runUntil([this] { return TestCluster.leader() != nullptr; },
                             base::Millis(1500)));
  TestCluster.checkAcknowledged();
}

// Guards against lost acknowledged entries over a series of random kills and
// disk losses, with an acknowledged command before each round.
TEST_CASE("Replica repair loses no acknowledged entry in random failures") {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    INFO("seed " << Seed);
    class RandomLossRun : public ReplicaRepairTest {
    public:
      explicit RandomLossRun(std::uint64_t Seed)
          : ReplicaRepairTest(Seed), Random(Seed) {}
      void execute() {
        startFive();
        for (int Round = 0; Round < 6; ++Round) {
          TestCluster.commit("round" + std::to_string(Round));
          std::size_t First = Random() % 5;
          std::size_t Second = (First + 1 + Random() % 4) % 5;
          lose(First);
          if (Random() % 2 == 0)
            lose(Second);
          for (std::size_t I = 0; I < 5; ++I)
            if (!TestCluster.at(I).isRunning())
              startWithEmptyDisk(I);
          REQUIRE(waitVoters(5));
        }
        TestCluster.checkAcknowledged();
      }

    private:
      void lose(std::size_t Index) {
        if (Random() % 2 == 0)
          TestCluster.loseDisk(Index);
        else
          TestCluster.kill(Index);
      }
      std::mt19937_64 Random;
    };
    RandomLossRun(Seed).execute();
  }
}

/// Five control processes and four others that may replace them.
class ReplicaReplacementTest : public ReplicaRepairTest {
protected:
  ReplicaReplacementTest() : ReplicaRepairTest(31, 6) {}

  std::string addressOf(std::size_t Index) {
    return TestCluster.at(Index).Address;
  }

  /// Cuts a process off for good and starts another one, whose settings name
  /// `Seed` only.
  void replace(std::size_t Gone, std::size_t Successor, std::size_t Seed) {
    TestCluster.Network.IsolatedAddresses.insert(addressOf(Gone));
    std::vector<std::string> Seeds =
        std::exchange(TestCluster.Settings.KnownPeers, {addressOf(Seed)});
    startWithEmptyDisk(Successor);
    TestCluster.Settings.KnownPeers = Seeds;
    REQUIRE(TestCluster.runUntil(
        [&] { return isVoter(Successor) && !isMember(Gone); },
        base::Millis(10'000)));
  }

  bool isVoter(std::size_t Index) { return hasMember(Index, true); }
  bool isMember(std::size_t Index) { return hasMember(Index, false); }

private:
  bool hasMember(std::size_t Index, bool MustVote) {
    Process *Leader = TestCluster.leader();
    if (!Leader)
      return false;
    auto Members = Leader->Log->members();
    return std::any_of(
        Members.begin(), Members.end(), [&](const MemberStatus &Each) {
          return Each.Address == addressOf(Index) && (Each.Voter || !MustVote);
        });
  }
};

// Guards against a process that stays outside for good: it was removed while it
// was cut off, and all seeds of its settings were replaced meanwhile, while a
// member that it knows from its log still runs.
TEST_CASE_METHOD(ReplicaReplacementTest,
                 "Removed voter whose seeds are all gone becomes a member "
                 "again") {
  startFive();
  replace(4, 5, 3);
  replace(0, 6, 3);
  replace(1, 7, 3);
  replace(2, 8, 3);
  TestCluster.commit("after the replacements");
  REQUIRE_FALSE(isMember(4));
  TestCluster.Network.IsolatedAddresses.erase(addressOf(4));
  CHECK(TestCluster.runUntil([&] { return isMember(4); }, RecoveryTimeLimit));
  for (std::size_t Gone : {0U, 1U, 2U})
    TestCluster.kill(Gone);
  TestCluster.checkAcknowledged();
}

// Guards against a process that asks addresses that hang one after the other
// and joins late.
TEST_CASE_METHOD(ReplicaReplacementTest,
                 "New process joins in time although most of its seeds hang") {
  startFive();
  TestCluster.Settings.KnownPeers = {addressOf(3)};
  for (int I = 0; I < 8; ++I) {
    std::string Gone = "10.0.0.0:" + std::to_string(7000 + I);
    TestCluster.Network.IsolatedAddresses.insert(Gone);
    TestCluster.Settings.KnownPeers.push_back(Gone);
  }
  TestCluster.kill(4);
  startWithEmptyDisk(5);
  CHECK(TestCluster.runUntil([&] { return isVoter(5); }, RecoveryTimeLimit));
}

} // namespace amaranth::replication::testing
