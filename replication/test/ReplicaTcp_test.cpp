#include "Cluster.h"
#include "amaranth/base/Log.h"
#include "amaranth/protocol/Connection.h"
#include "amaranth/replication/LogStorage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>

namespace asio = boost::asio;
namespace fs = std::filesystem;

namespace amaranth::replication::testing {

/// Three replicas with real files and TCP connections, assembled as in a
/// control process.
class ReplicaTcpTest {
protected:
  struct ControlProcess {
    std::unique_ptr<LogStorage> Disk;
    std::unique_ptr<protocol::Listener> Listener;
    std::unique_ptr<protocol::TcpDialer> Dialer;
    std::unique_ptr<ChannelTransport> PeerTransport;
    std::unique_ptr<RecordingStateMachine> Machine;
    std::unique_ptr<Replica> Log;
  };

  ReplicaTcpTest() {
    base::setUpLogging("error");
    std::string Template = fs::temp_directory_path() / "amaranth-tcp-XXXXXX";
    REQUIRE(::mkdtemp(Template.data()));
    Folder = Template;
    for (int I = 0; I < 3; ++I)
      createProcess(I);
    for (int I = 0; I < 3; ++I)
      startReplica(I);
  }
  ~ReplicaTcpTest() {
    for (ControlProcess &Each : Processes) {
      Each.Log->stop();
      Each.Listener->stop();
      Each.PeerTransport.reset();
    }
    for (int I = 0; I < 100; ++I)
      runOnce();
    fs::remove_all(Folder);
  }

  void createProcess(int Index) {
    ControlProcess &Each = Processes[Index];
    auto Executor = Context.get_executor();
    Each.Disk =
        std::make_unique<LogStorage>(Folder / std::to_string(Index), Executor);
    protocol::Identity Self{protocol::Role::Control,
                            std::to_string(Each.Disk->id().value()),
                            base::AvailabilityZone("z")};
    protocol::SharedKeys Keys{{protocol::Role::Control, "secret"}};
    Each.Listener = std::make_unique<protocol::Listener>(
        Executor, base::Address{"127.0.0.1", 0}, Self, Keys, Time);
    Each.Dialer = std::make_unique<protocol::TcpDialer>(Self, Keys, Time);
    Each.PeerTransport =
        std::make_unique<ChannelTransport>(*Each.Dialer, Time, Executor);
    Settings.InitialVoters.push_back(Each.Listener->local().text());
  }

  void startReplica(int Index) {
    ControlProcess &Each = Processes[Index];
    auto Executor = Context.get_executor();
    Settings.Address = Settings.InitialVoters[Index];
    Each.Machine = std::make_unique<RecordingStateMachine>(ExpectedCommands);
    Each.Log = std::make_unique<Replica>(*Each.Disk, *Each.Machine,
                                         *Each.PeerTransport, Settings, Time,
                                         Executor);
    asio::co_spawn(Executor, Each.Log->run(), asio::detached);
    asio::co_spawn(
        Executor,
        Each.Listener->serve(
            [Log = Each.Log.get()](std::shared_ptr<protocol::Channel> Link)
                -> asio::awaitable<void> { co_await Log->serve(Link); }),
        asio::detached);
  }

  /// Runs the event loop for 1 ms, then advances the simulated clock by 1 ms.
  /// Simulated time is never faster than real time, so that sockets and disks
  /// can keep up.
  void runOnce() {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(1));
    Time.advance(base::Millis(1));
  }

  /// The time limit only prevents a hang.
  bool runUntil(const std::function<bool()> &Done) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!Done() && std::chrono::steady_clock::now() < End)
      runOnce();
    return Done();
  }

  int leader() {
    for (int I = 0; I < 3; ++I)
      if (Processes[I].Log->isLeader())
        return I;
    return -1;
  }

  /// Proposes the command until it is committed. It may be committed twice if
  /// the outcome of a proposal is unknown.
  asio::awaitable<void> propose(int Index, std::string Command) {
    base::ByteView View = base::asBytes(Command);
    for (bool Done = false; !Done;) {
      base::Bytes Copy(View.begin(), View.end());
      try {
        co_await Processes[Index].Log->propose(std::move(Copy),
                                               base::Millis(3000));
        Done = true;
      } catch (const base::Error &) {
        Done = false;
      }
      if (!Done)
        co_await Time.sleepFor(base::Millis(100));
    }
    ++Committed;
  }

  bool allApplied() {
    std::size_t Count = ExpectedCommands.size();
    return std::all_of(Processes.begin(), Processes.end(),
                       [Count](const ControlProcess &Each) {
                         return Each.Machine->Applied.size() == Count;
                       });
  }

  asio::io_context Context;
  base::ManualClock Time;
  fs::path Folder;
  ReplicaSettings Settings;
  CommandsByIndex ExpectedCommands;
  std::array<ControlProcess, 3> Processes;
  int Committed = 0;
};

// Guards against replies that are matched to the wrong request on a shared
// connection.
TEST_CASE_METHOD(ReplicaTcpTest,
                 "Replicas over TCP commit the proposals of every process") {
  REQUIRE(runUntil([&] { return leader() >= 0; }));
  REQUIRE(runUntil([&] {
    return std::all_of(Processes.begin(), Processes.end(),
                       [](const ControlProcess &Each) {
                         return Each.Log->leader().has_value();
                       });
  }));
  for (int I = 0; I < 300; ++I)
    asio::co_spawn(Context, propose(I % 3, "c" + std::to_string(I)),
                   asio::detached);
  REQUIRE(runUntil([&] { return Committed == 300; }));
  CHECK(runUntil([&] { return allApplied(); }));
  std::set<std::string> Commands;
  for (const auto &[Index, Command] : ExpectedCommands)
    Commands.insert(Command);
  CHECK(Commands.size() == 300);
  // Group commit needs far fewer syncs than there are commands.
  CHECK(Processes[0].Disk->syncCount() < 200);
}

} // namespace amaranth::replication::testing
