#include "Cluster.h"

#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <sstream>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

void RecordingMachine::check(std::uint64_t Index, const std::string &Command) {
  auto [Place, New] = Shared.emplace(Index, Command);
  if (!New && Place->second != Command)
    FAIL("entry " << Index << " is " << Command << " here and " << Place->second
                  << " elsewhere");
}

base::Bytes RecordingMachine::apply(const AppliedEntry &Entry) {
  std::string Command(base::asText(Entry.Command));
  check(Entry.Index.value(), Command);
  Applied[Entry.Index.value()] = Command;
  base::ByteView Result = base::asBytes(Command);
  std::string Index = std::to_string(Entry.Index.value());
  Result = base::asBytes(Index);
  return {Result.begin(), Result.end()};
}

base::Bytes RecordingMachine::snapshot() const {
  std::ostringstream Out;
  for (const auto &[Index, Command] : Applied)
    Out << Index << ' ' << Command << '\n';
  std::string Text = Out.str();
  return {Text.begin(), Text.end()};
}

void RecordingMachine::restore(base::ByteView Snapshot) {
  ++Restores;
  Applied.clear();
  std::istringstream In{std::string(base::asText(Snapshot))};
  std::uint64_t Index = 0;
  for (std::string Command; In >> Index >> Command;) {
    check(Index, Command);
    Applied[Index] = Command;
  }
}

Cluster::Cluster(std::uint64_t Seed, std::size_t Voters, std::size_t Others)
    : Net(Time, Context.get_executor(), Seed + 1), Random(Seed) {
  base::setUpLogging("error");
  for (std::size_t I = 0; I < Voters + Others; ++I) {
    auto New = std::make_unique<Process>();
    New->Address = "10.0.0." + std::to_string(I + 1) + ":7000";
    (I < Voters ? Settings.InitialVoters : Settings.KnownPeers)
        .push_back(New->Address);
    Processes.push_back(std::move(New));
  }
}

void Cluster::start(std::size_t Index) {
  Process &Each = at(Index);
  auto Executor = Context.get_executor();
  Each.Disk =
      std::make_unique<SimulatedDisk>(Each.Image, Time, Executor, Random());
  Each.Machine = std::make_unique<RecordingMachine>(Shared);
  Each.Net = Net.transportOf(Each.Address);
  ReplicaSettings Mine = Settings;
  Mine.Address = Each.Address;
  Mine.Seed = Random() | 1U;
  Each.Log = std::make_unique<Replica>(*Each.Disk, *Each.Machine, *Each.Net,
                                       Mine, Time, Executor);
  Net.Processes[Each.Address] = Each.Log.get();
  asio::co_spawn(Executor, Each.Log->run(), asio::detached);
}

void Cluster::kill(std::size_t Index) {
  Process &Each = at(Index);
  if (!Each.up())
    return;
  Net.Processes[Each.Address] = nullptr;
  Each.Disk->crash();
  Each.Log->stop();
  Buried.emplace_back(std::move(Each.Log));
  Buried.emplace_back(std::move(Each.Disk));
  Buried.emplace_back(std::move(Each.Machine));
  Buried.emplace_back(std::move(Each.Net));
}

void Cluster::loseDisk(std::size_t Index) {
  kill(Index);
  at(Index).Image = DiskImage();
}

void Cluster::poll() {
  Context.restart();
  Context.poll();
  checkLeaders();
}

void Cluster::checkLeaders() {
  for (const auto &Each : Processes) {
    if (!Each->up() || !Each->Log->isLeader())
      continue;
    auto [Place, New] =
        LeaderOfTerm.emplace(Each->Log->term().value(), Each->Log->self());
    if (!New && Place->second != Each->Log->self())
      FAIL("two leaders in term " << Place->first);
  }
}

void Cluster::run(base::Millis Span) {
  base::TimePoint End = Time.now() + Span;
  poll();
  while (Time.now() < End) {
    base::TimePoint Next = std::min(Time.nextDeadline(), End);
    Time.advance(std::max(Next - Time.now(), base::Millis(1)));
    poll();
  }
}

bool Cluster::runUntil(const std::function<bool()> &Done, base::Millis Limit) {
  base::TimePoint End = Time.now() + Limit;
  poll();
  while (!Done() && Time.now() < End)
    run(base::Millis(5));
  return Done();
}

Process *Cluster::leader() {
  for (const auto &Each : Processes)
    if (Each->up() && Each->Log->isLeader() &&
        Each->Log->staleness() < base::Millis(1000))
      return Each.get();
  return nullptr;
}

asio::awaitable<void> Cluster::runPropose(std::size_t Index,
                                          std::string Command,
                                          base::Millis Timeout,
                                          OutcomeRef Result) {
  base::ByteView Raw = base::asBytes(Command);
  base::Bytes Copy(Raw.begin(), Raw.end());
  try {
    base::Bytes Reply =
        co_await at(Index).Log->propose(std::move(Copy), Timeout);
    Result->Index = std::stoull(std::string(base::asText(Reply)));
    Acknowledged[Result->Index] = Command;
    HighestAcknowledged = std::max(HighestAcknowledged, Result->Index);
  } catch (const NotLeader &Error) {
    Result->Error = Error.what();
    Result->CertainlyNot = true;
    CertainlyNot.insert(Command);
  } catch (const base::Error &Error) {
    Result->Error = Error.what();
  }
  Result->Finished = true;
}

Cluster::OutcomeRef Cluster::propose(std::size_t Index,
                                     const std::string &Command,
                                     base::Millis Timeout) {
  auto Result = std::make_shared<Outcome>();
  asio::co_spawn(Context, runPropose(Index, Command, Timeout, Result),
                 asio::detached);
  return Result;
}

asio::awaitable<void> Cluster::runRead(std::size_t Index, base::Millis Timeout,
                                       OutcomeRef Result) {
  std::uint64_t AtLeast = HighestAcknowledged;
  try {
    base::LogIndex Found = co_await at(Index).Log->readIndex(Timeout);
    Result->Index = Found.value();
    ++Reads;
    if (Found.value() < AtLeast)
      FAIL("read index " << Found << " is below the acknowledged " << AtLeast);
  } catch (const base::Error &Error) {
    Result->Error = Error.what();
  }
  Result->Finished = true;
}

Cluster::OutcomeRef Cluster::read(std::size_t Index, base::Millis Timeout) {
  auto Result = std::make_shared<Outcome>();
  asio::co_spawn(Context, runRead(Index, Timeout, Result), asio::detached);
  return Result;
}

static asio::awaitable<void>
runChange(std::function<asio::awaitable<void>()> Change,
          Cluster::OutcomeRef Result) {
  try {
    co_await Change();
  } catch (const base::Error &Error) {
    Result->Error = Error.what();
  }
  Result->Finished = true;
}

Cluster::OutcomeRef
Cluster::change(std::function<asio::awaitable<void>()> Change) {
  auto Result = std::make_shared<Outcome>();
  asio::co_spawn(Context, runChange(std::move(Change), Result), asio::detached);
  runUntil([&] { return Result->Finished; });
  return Result;
}

std::uint64_t Cluster::commit(const std::string &Command) {
  for (int Try = 0; Try < 20; ++Try) {
    runUntil([this] { return leader() != nullptr; });
    for (std::size_t I = 0; I < size(); ++I) {
      if (!at(I).up() || !at(I).Log->isLeader())
        continue;
      OutcomeRef Result = propose(I, Command + "-" + std::to_string(Try));
      runUntil([&] { return Result->Finished; });
      if (Result->Error.empty())
        return Result->Index;
    }
  }
  FAIL("no proposal succeeded");
  return 0;
}

void Cluster::checkAcknowledged() {
  for (const auto &Each : Processes) {
    bool Applied = !Each->up() || runUntil([&] {
      return Each->Log->appliedIndex().value() >= HighestAcknowledged;
    });
    if (!Applied)
      FAIL(Each->Address << " applied only "
                         << Each->Log->appliedIndex().value() << " of "
                         << HighestAcknowledged);
  }
  for (const auto &Each : Processes) {
    if (!Each->up())
      continue;
    for (const auto &[Index, Command] : Acknowledged) {
      auto Found = Each->Machine->Applied.find(Index);
      if (Found == Each->Machine->Applied.end() || Found->second != Command)
        FAIL("acknowledged " << Command << " at " << Index << " is lost at "
                             << Each->Address);
    }
    for (const auto &[Index, Command] : Each->Machine->Applied)
      if (CertainlyNot.contains(Command))
        FAIL(Command << " was reported as not applied, but is at " << Index);
  }
}

} // namespace amaranth::replication::testing
