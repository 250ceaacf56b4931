#include "Cluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

namespace {

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

std::string repeatCommand(std::uint64_t Seed, const char *Test) {
  return "repeat with: AMARANTH_SEED=" + std::to_string(Seed) +
         " AMARANTH_RUNS=1 replication_test \"" + Test + "\"";
}

} // namespace

/// A cluster under load whose faults a test injects.
class RandomRun {
public:
  RandomRun(std::uint64_t Seed, std::size_t Voters, std::size_t Others)
      : Mesh(Seed, Voters, Others), Random(Seed ^ 0x5eed), Voters(Voters) {
    Mesh.Settings.CompactEntries = 60;
    Mesh.Settings.TrailingEntries = 10;
    Mesh.Settings.SnapshotChunkBytes = 300;
    // One entry per append shows a commit of earlier terms by counting.
    if (Seed % 4 < 2)
      Mesh.Settings.MaxAppendBytes = 1;
    for (std::size_t I = 0; I < Mesh.size(); ++I)
      Mesh.start(I);
  }

  std::uint64_t below(std::uint64_t Bound) { return Random() % Bound; }

  /// Runs for this span with proposals and reads at random processes.
  void load(base::Millis Span) {
    for (base::TimePoint End = Mesh.Time.now() + Span; Mesh.Time.now() < End;) {
      std::size_t Index = below(Mesh.size());
      if (Mesh.at(Index).up()) {
        if (below(4) != 0)
          Mesh.propose(Index, "c" + std::to_string(++Proposed));
        else
          Mesh.read(Index);
      }
      Mesh.run(base::Millis(1 + static_cast<std::int64_t>(below(60))));
    }
  }

  bool loadUntil(const std::function<bool()> &Done) {
    for (int I = 0; I < 600 && !Done(); ++I)
      load(base::Millis(100));
    return Done();
  }

  void injectFault();

  /// Ends all faults, commits once more and compares the replicas.
  void settle() {
    Mesh.Net.CutOff.clear();
    Mesh.Net.LossPerMille = 0;
    for (std::size_t I = 0; I < Mesh.size(); ++I)
      if (!Mesh.at(I).up())
        Mesh.start(I);
    Mesh.run(base::Millis::seconds(5));
    Mesh.commit("last");
    Mesh.checkAcknowledged();
    if (Mesh.Net.LargestRequest >= 512U << 10U)
      FAIL("a message of " << Mesh.Net.LargestRequest << " bytes");
  }

  /// What an operator does: names the lost voter for each learner that took
  /// its place. Returns whether nothing is left to repair.
  bool repair() {
    Process *Leads = Mesh.leader();
    if (!Leads)
      return false;
    std::vector<MemberStatus> Members = Leads->Log->members();
    for (const MemberStatus &Lost : Members) {
      auto New = std::find_if(
          Members.begin(), Members.end(), [&](const MemberStatus &Each) {
            return Each.Address == Lost.Address && Each.Id != Lost.Id;
          });
      if (!Lost.Voter || New == Members.end() || !isLost(Lost))
        continue;
      base::ReplicaId Old = Lost.Id;
      base::ReplicaId Replacement = New->Id;
      std::size_t Caller = below(Mesh.size());
      if (!Mesh.at(Caller).up())
        return false;
      Replica &Log = *Mesh.at(Caller).Log;
      Mesh.change([&Log, Old, Replacement] {
        return Log.replaceVoter(Old, Replacement, base::Millis(1000));
      });
      return false;
    }
    return std::none_of(Members.begin(), Members.end(),
                        [this](const MemberStatus &Each) {
                          return Each.Voter && isLost(Each);
                        });
  }

  /// The process at the member's address has another identity.
  bool isLost(const MemberStatus &Each) {
    for (std::size_t I = 0; I < Mesh.size(); ++I)
      if (Mesh.at(I).Address == Each.Address)
        return Mesh.at(I).Image.Identity.Id != Each.Id;
    return true;
  }

  bool leaderSees(const std::function<bool(const MemberStatus &)> &Test) {
    Process *Leads = Mesh.leader();
    if (!Leads)
      return false;
    std::vector<MemberStatus> Members = Leads->Log->members();
    return std::any_of(Members.begin(), Members.end(), Test);
  }

  /// Runs until the repair of `Lost` at `Address` has reached a step.
  bool reachStep(unsigned Step, base::ReplicaId Lost,
                 const std::string &Address);

  Cluster Mesh;
  std::mt19937_64 Random;
  std::size_t Voters;
  std::uint64_t Proposed = 0;
};

void RandomRun::injectFault() {
  std::size_t Index = below(Mesh.size());
  switch (below(8)) {
  case 0:
  case 1:
    Mesh.kill(Index);
    break;
  case 2:
  case 3:
    for (std::size_t I = 0; I < Mesh.size(); ++I)
      if (!Mesh.at(I).up() && below(2) == 0)
        Mesh.start(I);
    break;
  case 4:
    Mesh.Net.CutOff.insert(Mesh.at(Index).Address);
    break;
  case 5:
    Mesh.Net.CutOff.clear();
    break;
  case 6:
    Mesh.Net.LossPerMille = static_cast<unsigned>(below(2) * below(150));
    break;
  default:
    // Only learners: a voter's disk needs a repair.
    if (Index >= Voters) {
      Mesh.loseDisk(Index);
      Mesh.start(Index);
    }
    break;
  }
}

// Guards against lost acknowledgements, diverging replicas and stale reads
// under kills, lost unsynced writes, partitions, loss and late messages.
TEST_CASE("Replica random faults lose no acknowledged entry") {
  const char *Name = "Replica random faults lose no acknowledged entry";
  std::uint64_t First = fromEnvironment("AMARANTH_SEED", 1);
  std::uint64_t Runs = fromEnvironment("AMARANTH_RUNS", 30);
  std::uint64_t Acknowledged = 0;
  std::uint64_t Reads = 0;
  for (std::uint64_t Seed = First; Seed < First + Runs; ++Seed) {
    INFO(repeatCommand(Seed, Name));
    RandomRun Run(Seed, 3 + 2 * (Seed % 2), 1);
    for (int Fault = 0; Fault < 60; ++Fault) {
      Run.load(base::Millis(100 + static_cast<std::int64_t>(Run.below(2500))));
      Run.injectFault();
    }
    Run.settle();
    Acknowledged += Run.Mesh.Acknowledged.size();
    Reads += Run.Mesh.Reads;
  }
  WARN(Runs << " runs from seed " << First << ": " << Acknowledged
            << " acknowledged entries, " << Reads << " reads");
  CHECK(Acknowledged > 100 * Runs);
  CHECK(Reads > 30 * Runs);
}

constexpr unsigned RepairSteps = 6;

bool RandomRun::reachStep(unsigned Step, base::ReplicaId Lost,
                          const std::string &Address) {
  auto IsNew = [Lost, Address](const MemberStatus &Each) {
    return Each.Address == Address && Each.Id != Lost;
  };
  switch (Step) {
  case 0: // Nothing was done yet.
    return true;
  case 1: // The new process runs.
    load(base::Millis(10));
    return true;
  case 2: // It is a learner.
    return loadUntil([&] { return leaderSees(IsNew); });
  case 3: // The replacement was asked for.
    return loadUntil([&] {
      repair();
      return leaderSees(
          [&](const MemberStatus &Each) { return IsNew(Each) && Each.Voter; });
    });
  case 4: // The lost voter is being removed.
    return loadUntil([&] {
      return !leaderSees(
          [Lost](const MemberStatus &Each) { return Each.Id == Lost; });
    });
  default: // All is done.
    return loadUntil([&] { return repair(); });
  }
}

/// Loses the disk of one voter, repairs it, and loses a second one at `Step`
/// of the repair.
static void runRepair(std::uint64_t Seed, std::size_t Voters, unsigned Step,
                      bool SecondDisk) {
  RandomRun Run(Seed, Voters, 1);
  Run.load(base::Millis::seconds(8));
  std::size_t First = Run.below(Voters);
  std::size_t Second = (First + 1 + Run.below(Voters - 1)) % Voters;
  base::ReplicaId Lost = Run.Mesh.at(First).Log->self();
  Run.Mesh.loseDisk(First);
  for (unsigned Each = 0; Each <= Step; ++Each) {
    if (!Run.reachStep(Each, Lost, Run.Mesh.at(First).Address))
      FAIL("step " << Each << " of the repair was not reached");
    if (Each == 0 && Step != 0)
      Run.Mesh.start(First);
  }
  if (SecondDisk)
    Run.Mesh.loseDisk(Second);
  else
    Run.Mesh.kill(Second);
  Run.load(base::Millis(static_cast<std::int64_t>(Run.below(4000))));
  for (std::size_t I = 0; I < Run.Mesh.size(); ++I)
    if (!Run.Mesh.at(I).up())
      Run.Mesh.start(I);
  if (!Run.loadUntil([&] { return Run.repair(); }))
    FAIL("the repair did not finish");
  Run.settle();
}

// Guards against a repair that loses entries or gets stuck when a second
// voter fails, and against a lost disk that votes or forms a new cluster.
TEST_CASE("Replica second loss at each repair step loses nothing") {
  const char *Name = "Replica second loss at each repair step loses nothing";
  std::uint64_t First = fromEnvironment("AMARANTH_SEED", 1);
  std::uint64_t Runs = fromEnvironment("AMARANTH_RUNS", 4);
  for (std::uint64_t Seed = First; Seed < First + Runs; ++Seed)
    for (unsigned Step = 0; Step < RepairSteps; ++Step) {
      INFO(repeatCommand(Seed, Name) << ", step " << Step);
      // Three voters survive a second lost disk only after the repair.
      runRepair(Seed, 3, Step, Step == RepairSteps - 1);
      runRepair(Seed, 5, Step, true);
    }
  SUCCEED();
}

} // namespace amaranth::replication::testing
