#include "Cluster.h"

#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <sstream>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

void RecordingStateMachine::check(std::uint64_t Index,
                                  const std::string &Command) {
  auto [Position, Inserted] = ExpectedCommands.emplace(Index, Command);
  if (!Inserted && Position->second != Command)
    FAIL("entry " << Index << " is " << Command << " on this replica, but "
                  << Position->second << " on another");
}

base::Bytes RecordingStateMachine::apply(const AppliedEntry &Entry) {
  std::string Command(base::asText(Entry.Command));
  check(Entry.Index.value(), Command);
  Applied[Entry.Index.value()] = Command;
  while (Applied.size() > KeptCommands)
    Applied.erase(Applied.begin());
  base::ByteView Result = base::asBytes(Command);
  std::string Index = std::to_string(Entry.Index.value());
  Result = base::asBytes(Index);
  return {Result.begin(), Result.end()};
}

base::Bytes RecordingStateMachine::snapshot() const {
  std::ostringstream Out;
  for (const auto &[Index, Command] : Applied)
    Out << Index << ' ' << Command << '\n';
  std::string Text = Out.str();
  return {Text.begin(), Text.end()};
}

void RecordingStateMachine::restore(base::ByteView Snapshot) {
  ++RestoreCount;
  Applied.clear();
  std::istringstream In{std::string(base::asText(Snapshot))};
  std::uint64_t Index = 0;
  for (std::string Command; In >> Index >> Command;) {
    check(Index, Command);
    Applied[Index] = Command;
  }
}

Cluster::Cluster(std::uint64_t Seed, std::size_t Voters, std::size_t OtherPeers)
    : Network(Time, Context.get_executor(), Seed + 1), Random(Seed) {
  base::setUpLogging("error");
  for (std::size_t I = 0; I < Voters + OtherPeers; ++I) {
    auto Added = std::make_unique<Process>();
    Added->Address = "10.0.0." + std::to_string(I + 1) + ":7000";
    (I < Voters ? Settings.InitialVoters : Settings.KnownPeers)
        .push_back(Added->Address);
    Processes.push_back(std::move(Added));
  }
}

void Cluster::start(std::size_t Index) {
  Process &Target = at(Index);
  auto Executor = Context.get_executor();
  Target.Disk =
      std::make_unique<SimulatedDisk>(Target.Image, Time, Executor, Random());
  Target.Machine = std::make_unique<RecordingStateMachine>(ExpectedCommands);
  Target.Machine->KeptCommands = KeptCommands;
  Target.PeerTransport = Network.makeTransport(Target.Address);
  ReplicaSettings OwnSettings = Settings;
  OwnSettings.Address = Target.Address;
  OwnSettings.Seed = Random() | 1U;
  Target.Log = std::make_unique<Replica>(*Target.Disk, *Target.Machine,
                                         *Target.PeerTransport, OwnSettings,
                                         Time, Executor);
  Network.Replicas[Target.Address] = Target.Log.get();
  asio::co_spawn(Executor, Target.Log->run(), asio::detached);
}

void Cluster::kill(std::size_t Index) {
  Process &Target = at(Index);
  if (!Target.isRunning())
    return;
  Network.Replicas[Target.Address] = nullptr;
  Target.Disk->crash();
  Target.Log->stop();
  StoppedComponents.emplace_back(std::move(Target.Log));
  StoppedComponents.emplace_back(std::move(Target.Disk));
  StoppedComponents.emplace_back(std::move(Target.Machine));
  StoppedComponents.emplace_back(std::move(Target.PeerTransport));
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
    if (!Each->isRunning() || !Each->Log->isLeader())
      continue;
    auto [Position, Inserted] =
        LeaderOfTerm.emplace(Each->Log->term().value(), Each->Log->self());
    if (!Inserted && Position->second != Each->Log->self())
      FAIL("two leaders in term " << Position->first);
  }
}

void Cluster::runFor(base::Millis Span) {
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
    runFor(base::Millis(5));
  return Done();
}

Process *Cluster::leader() {
  for (const auto &Each : Processes)
    if (Each->isRunning() && Each->Log->isLeader() &&
        Each->Log->staleness() < base::Millis(1000))
      return Each.get();
  return nullptr;
}

asio::awaitable<void> Cluster::runPropose(std::size_t Index,
                                          std::string Command,
                                          base::Millis Timeout,
                                          OutcomeRef Result) {
  base::ByteView View = base::asBytes(Command);
  base::Bytes Copy(View.begin(), View.end());
  try {
    base::Bytes Reply =
        co_await at(Index).Log->propose(std::move(Copy), Timeout);
    Result->Index = std::stoull(std::string(base::asText(Reply)));
    Acknowledged[Result->Index] = Command;
    HighestAcknowledged = std::max(HighestAcknowledged, Result->Index);
  } catch (const NotLeader &Error) {
    Result->Error = Error.what();
    Result->NotApplied = true;
    RejectedCommands.insert(Command);
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
  std::uint64_t MinIndex = HighestAcknowledged;
  try {
    base::LogIndex Found = co_await at(Index).Log->readIndex(Timeout);
    Result->Index = Found.value();
    ++ReadCount;
    if (Found.value() < MinIndex)
      FAIL("read index " << Found << " is below the acknowledged index "
                         << MinIndex);
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
  for (int Attempt = 0; Attempt < 20; ++Attempt) {
    runUntil([this] { return leader() != nullptr; });
    for (std::size_t I = 0; I < size(); ++I) {
      if (!at(I).isRunning() || !at(I).Log->isLeader())
        continue;
      OutcomeRef Result = propose(I, Command + "-" + std::to_string(Attempt));
      runUntil([&] { return Result->Finished; });
      if (Result->Error.empty())
        return Result->Index;
    }
  }
  FAIL("no proposal succeeded in 20 attempts");
  return 0;
}

void Cluster::checkAcknowledged() {
  for (const auto &Each : Processes) {
    bool Applied = !Each->isRunning() || runUntil([&] {
      return Each->Log->appliedIndex().value() >= HighestAcknowledged;
    });
    if (!Applied)
      FAIL(Each->Address << " applied only "
                         << Each->Log->appliedIndex().value() << " of "
                         << HighestAcknowledged);
  }
  for (const auto &Each : Processes) {
    if (!Each->isRunning())
      continue;
    for (const auto &[Index, Command] : Acknowledged) {
      auto Found = Each->Machine->Applied.find(Index);
      if (Found == Each->Machine->Applied.end() || Found->second != Command)
        FAIL("acknowledged command " << Command << " at index " << Index
                                     << " is missing on " << Each->Address);
    }
    for (const auto &[Index, Command] : Each->Machine->Applied)
      if (RejectedCommands.contains(Command))
        FAIL(Command << " was reported as not applied, but is applied at index "
                     << Index);
  }
}

} // namespace amaranth::replication::testing
