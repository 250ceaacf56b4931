#include "Cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

namespace {

std::uint64_t integerFromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

std::string reproductionCommand(std::uint64_t Seed, const char *Test) {
  return "reproduce with: AMARANTH_SEED=" + std::to_string(Seed) +
         " AMARANTH_RUNS=1 replication_test \"" + Test + "\"";
}

} // namespace

/// A cluster under load into which a test injects random faults.
class RandomFaultRun {
public:
  RandomFaultRun(std::uint64_t Seed, std::size_t Voters, std::size_t Others)
      : TestCluster(Seed, Voters, Others), Random(Seed ^ 0x5eed),
        Voters(Voters) {
    TestCluster.Settings.CompactEntries = 60;
    TestCluster.Settings.TrailingEntries = 10;
    TestCluster.Settings.SnapshotChunkBytes = 300;
    // Some runs compact by bytes, and leave payloads on disk at a restart.
    if (Seed % 3 == 0)
      TestCluster.Settings.CompactBytes = 20 * EntryOverheadBytes;
    if (Seed % 5 < 3)
      TestCluster.Settings.TrailingBytes = 3 * EntryOverheadBytes;
    if (Seed % 2 == 0)
      for (std::size_t I = 0; I < TestCluster.size(); ++I)
        TestCluster.at(I).Image.MaxRecoveredBytes = 40;
    // With one entry per append request, a leader that wrongly commits an entry
    // of an earlier term by counting replicas is detected.
    if (Seed % 4 < 2)
      TestCluster.Settings.MaxAppendBytes = 1;
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      TestCluster.start(I);
  }

  std::uint64_t randomBelow(std::uint64_t Bound) { return Random() % Bound; }

  /// Runs for `Span` of simulated time and sends proposals and reads to random
  /// processes.
  void runLoad(base::Millis Span) {
    for (base::TimePoint End = TestCluster.Time.now() + Span;
         TestCluster.Time.now() < End;) {
      std::size_t Index = randomBelow(TestCluster.size());
      if (TestCluster.at(Index).isRunning()) {
        if (randomBelow(4) != 0)
          TestCluster.propose(Index, "c" + std::to_string(++Proposed));
        else
          TestCluster.read(Index);
      }
      TestCluster.runFor(
          base::Millis(1 + static_cast<std::int64_t>(randomBelow(60))));
    }
  }

  bool runLoadUntil(const std::function<bool()> &Done) {
    for (int I = 0; I < 600 && !Done(); ++I)
      runLoad(base::Millis(100));
    return Done();
  }

  void injectRandomFault();

  /// Ends all faults, commits a command and compares the replicas.
  void recoverAndCheck() {
    TestCluster.Network.IsolatedAddresses.clear();
    TestCluster.Network.FaultsPerMille = 0;
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      if (!TestCluster.at(I).isRunning())
        TestCluster.start(I);
    TestCluster.runFor(base::Millis::seconds(5));
    TestCluster.commit("last");
    TestCluster.checkAcknowledged();
    if (TestCluster.Network.LargestRequestBytes >= 512U << 10U)
      FAIL("message too large: " << TestCluster.Network.LargestRequestBytes
                                 << " bytes");
  }

  /// Acts as the operator: replaces one lost voter by the learner at the same
  /// address. Returns true if no lost voter remains.
  bool repairLostVoters() {
    Process *Leader = TestCluster.leader();
    if (!Leader)
      return false;
    std::vector<MemberStatus> Members = Leader->Log->members();
    for (const MemberStatus &Lost : Members) {
      auto New = std::find_if(
          Members.begin(), Members.end(), [&](const MemberStatus &Each) {
            return Each.Address == Lost.Address && Each.Id != Lost.Id;
          });
      if (!Lost.Voter || New == Members.end() || !hasLostDisk(Lost))
        continue;
      base::ReplicaId Old = Lost.Id;
      base::ReplicaId Replacement = New->Id;
      std::size_t Caller = randomBelow(TestCluster.size());
      if (!TestCluster.at(Caller).isRunning())
        return false;
      Replica &Log = *TestCluster.at(Caller).Log;
      TestCluster.change([&Log, Old, Replacement] {
        return Log.replaceVoter(Old, Replacement, base::Millis(1000));
      });
      return false;
    }
    return std::none_of(Members.begin(), Members.end(),
                        [this](const MemberStatus &Each) {
                          return Each.Voter && hasLostDisk(Each);
                        });
  }

  /// Returns whether the process at the member's address has another id.
  bool hasLostDisk(const MemberStatus &Each) {
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      if (TestCluster.at(I).Address == Each.Address)
        return TestCluster.at(I).Image.Identity.Id != Each.Id;
    return true;
  }

  bool
  leaderHasMember(const std::function<bool(const MemberStatus &)> &Predicate) {
    Process *Leader = TestCluster.leader();
    if (!Leader)
      return false;
    std::vector<MemberStatus> Members = Leader->Log->members();
    return std::any_of(Members.begin(), Members.end(), Predicate);
  }

  /// Runs until the repair of voter `Lost` at `Address` has reached `Step`.
  bool runToRepairStep(unsigned Step, base::ReplicaId Lost,
                       const std::string &Address);

  Cluster TestCluster;
  std::mt19937_64 Random;
  std::size_t Voters;
  std::uint64_t Proposed = 0;
};

void RandomFaultRun::injectRandomFault() {
  std::size_t Index = randomBelow(TestCluster.size());
  switch (randomBelow(8)) {
  case 0:
  case 1:
    TestCluster.kill(Index);
    break;
  case 2:
  case 3:
    for (std::size_t I = 0; I < TestCluster.size(); ++I)
      if (!TestCluster.at(I).isRunning() && randomBelow(2) == 0)
        TestCluster.start(I);
    break;
  case 4:
    TestCluster.Network.IsolatedAddresses.insert(TestCluster.at(Index).Address);
    break;
  case 5:
    TestCluster.Network.IsolatedAddresses.clear();
    break;
  case 6:
    TestCluster.Network.FaultsPerMille =
        static_cast<unsigned>(randomBelow(2) * randomBelow(150));
    break;
  default:
    // Only learners lose their disk: a voter would have to be replaced.
    if (Index >= Voters) {
      TestCluster.loseDisk(Index);
      TestCluster.start(Index);
    }
    break;
  }
}

// Guards against the loss of acknowledged entries, diverging replicas and stale
// reads under process kills, loss of unsynced writes, network partitions,
// message loss and delayed messages.
TEST_CASE("Replicas lose no acknowledged entry under random faults") {
  const char *Name = "Replicas lose no acknowledged entry under random faults";
  std::uint64_t First = integerFromEnvironment("AMARANTH_SEED", 1);
  std::uint64_t Runs = integerFromEnvironment("AMARANTH_RUNS", 30);
  std::uint64_t Acknowledged = 0;
  std::uint64_t Reads = 0;
  for (std::uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    INFO(reproductionCommand(Seed, Name));
    RandomFaultRun Run(Seed, 3 + 2 * (Seed % 2), 1);
    for (int Fault = 0; Fault < 60; ++Fault) {
      Run.runLoad(
          base::Millis(100 + static_cast<std::int64_t>(Run.randomBelow(2500))));
      Run.injectRandomFault();
    }
    Run.recoverAndCheck();
    Acknowledged += Run.TestCluster.Acknowledged.size();
    Reads += Run.TestCluster.ReadCount;
  }
  WARN(Runs << " runs from seed " << First << ": " << Acknowledged
            << " acknowledged entries, " << Reads << " reads");
  CHECK(Acknowledged > 100 * Runs);
  CHECK(Reads > 30 * Runs);
}

constexpr unsigned RepairStepCount = 6;

bool RandomFaultRun::runToRepairStep(unsigned Step, base::ReplicaId Lost,
                                     const std::string &Address) {
  auto IsReplacement = [Lost, Address](const MemberStatus &Each) {
    return Each.Address == Address && Each.Id != Lost;
  };
  switch (Step) {
  case 0: // The disk is lost; the process is not restarted yet.
    return true;
  case 1: // The process runs with an empty disk.
    runLoad(base::Millis(10));
    return true;
  case 2: // The process is a learner.
    return runLoadUntil([&] { return leaderHasMember(IsReplacement); });
  case 3: // The process is a voter.
    return runLoadUntil([&] {
      repairLostVoters();
      return leaderHasMember([&](const MemberStatus &Each) {
        return IsReplacement(Each) && Each.Voter;
      });
    });
  case 4: // The lost voter is no longer a member.
    return runLoadUntil([&] {
      return !leaderHasMember(
          [Lost](const MemberStatus &Each) { return Each.Id == Lost; });
    });
  default: // The repair is complete.
    return runLoadUntil([&] { return repairLostVoters(); });
  }
}

/// Erases the disk of one voter and repairs it. At `Step` of the repair, a
/// second voter is killed and, if `LoseSecondDisk` is set, its disk is erased.
static void runRepair(std::uint64_t Seed, std::size_t Voters, unsigned Step,
                      bool LoseSecondDisk) {
  RandomFaultRun Run(Seed, Voters, 1);
  Run.runLoad(base::Millis::seconds(8));
  std::size_t First = Run.randomBelow(Voters);
  std::size_t Second = (First + 1 + Run.randomBelow(Voters - 1)) % Voters;
  base::ReplicaId Lost = Run.TestCluster.at(First).Log->self();
  Run.TestCluster.loseDisk(First);
  for (unsigned Each = 0; Each <= Step; ++Each) {
    if (!Run.runToRepairStep(Each, Lost, Run.TestCluster.at(First).Address))
      FAIL("step " << Each << " of the repair was not reached");
    if (Each == 0 && Step != 0)
      Run.TestCluster.start(First);
  }
  if (LoseSecondDisk)
    Run.TestCluster.loseDisk(Second);
  else
    Run.TestCluster.kill(Second);
  Run.runLoad(base::Millis(static_cast<std::int64_t>(Run.randomBelow(4000))));
  for (std::size_t I = 0; I < Run.TestCluster.size(); ++I)
    if (!Run.TestCluster.at(I).isRunning())
      Run.TestCluster.start(I);
  if (!Run.runLoadUntil([&] { return Run.repairLostVoters(); }))
    FAIL("the repair did not finish");
  Run.recoverAndCheck();
}

// Guards against a repair that loses entries or hangs when a second voter
// fails, and against a process with an empty disk that votes or forms a new
// cluster.
TEST_CASE("A second failure during a voter repair loses no entry") {
  const char *Name = "A second failure during a voter repair loses no entry";
  std::uint64_t First = integerFromEnvironment("AMARANTH_SEED", 1);
  std::uint64_t Runs = integerFromEnvironment("AMARANTH_RUNS", 4);
  for (std::uint64_t Seed = First; Seed < First + Runs; ++Seed)
    for (unsigned Step = 0; Step < RepairStepCount; ++Step) {
      INFO(reproductionCommand(Seed, Name) << ", step " << Step);
      // A cluster of three voters tolerates a second lost disk only after the
      // repair is complete.
      runRepair(Seed, 3, Step, Step == RepairStepCount - 1);
      runRepair(Seed, 5, Step, true);
    }
  SUCCEED();
}

} // namespace amaranth::replication::testing
