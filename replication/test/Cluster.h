#ifndef AMARANTH_REPLICATION_TEST_CLUSTER_H
#define AMARANTH_REPLICATION_TEST_CLUSTER_H

#include "SimulatedDisk.h"
#include "SimulatedNetwork.h"
#include "amaranth/replication/Replica.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <limits>
#include <map>
#include <set>

namespace amaranth::replication::testing {

/// Commands by log index.
using CommandsByIndex = std::map<std::uint64_t, std::string>;

/// Records the applied commands, and fails the test if another replica has
/// applied a different command at the same index.
class RecordingStateMachine final : public StateMachine {
public:
  explicit RecordingStateMachine(CommandsByIndex &ExpectedCommands)
      : ExpectedCommands(ExpectedCommands) {}

  /// Returns the index of the entry as decimal text.
  base::Bytes apply(const AppliedEntry &Entry) override;
  base::Bytes snapshot() const override;
  void restore(base::ByteView Snapshot) override;

  CommandsByIndex Applied;
  std::uint64_t RestoreCount = 0;
  /// Older commands are dropped, so that the state stays small.
  std::size_t KeptCommands = std::numeric_limits<std::size_t>::max();

private:
  void check(std::uint64_t Index, const std::string &Command);

  CommandsByIndex &ExpectedCommands;
};

/// A control process with its simulated disk and network.
struct Process {
  std::string Address;
  DiskImage Image;
  std::unique_ptr<SimulatedDisk> Disk;
  std::unique_ptr<RecordingStateMachine> Machine;
  std::unique_ptr<Transport> PeerTransport;
  std::unique_ptr<Replica> Log;

  bool isRunning() const { return Log != nullptr; }
};

/// A cluster of replicas that run on one `io_context` with a manual clock.
class Cluster {
public:
  Cluster(std::uint64_t Seed, std::size_t Voters, std::size_t OtherPeers = 0);

  void start(std::size_t Index);
  void kill(std::size_t Index);
  /// Kills the process and erases its disk.
  void loseDisk(std::size_t Index);

  /// Advances the simulated time by `Span`.
  void runFor(base::Millis Span);
  /// Runs until `Done` returns true or `Limit` has elapsed in simulated time.
  /// Returns the last result of `Done`.
  bool runUntil(const std::function<bool()> &Done,
                base::Millis Limit = base::Millis::seconds(30));

  /// Returns the leader that had contact with a majority within the last
  /// second, or null if there is none.
  Process *leader();
  Process &at(std::size_t Index) { return *Processes[Index]; }
  std::size_t size() const { return Processes.size(); }

  struct Outcome {
    bool Finished = false;
    /// Error message; empty on success.
    std::string Error;
    /// The proposal was rejected and must never be applied.
    bool NotApplied = false;
    std::uint64_t Index = 0;
  };
  using OutcomeRef = std::shared_ptr<Outcome>;
  OutcomeRef propose(std::size_t Index, const std::string &Command,
                     base::Millis Timeout = base::Millis(3000));
  OutcomeRef read(std::size_t Index, base::Millis Timeout = base::Millis(3000));
  /// Runs a membership change until it completes.
  OutcomeRef change(std::function<boost::asio::awaitable<void>()> Change);
  /// Proposes the command, with the attempt's number appended, until a proposal
  /// succeeds. Returns the index of its entry.
  std::uint64_t commit(const std::string &Command);

  /// Waits until every running process has applied all acknowledged commands.
  /// Fails the test if one is missing, or if a command was applied that had
  /// been reported as not applied.
  void checkAcknowledged();

  boost::asio::io_context Context;
  base::ManualClock Time;
  SimulatedNetwork Network;
  ReplicaSettings Settings;
  /// `RecordingStateMachine::KeptCommands` of processes started from now on.
  std::size_t KeptCommands = std::numeric_limits<std::size_t>::max();
  /// The command that every replica must apply at each index.
  CommandsByIndex ExpectedCommands;
  CommandsByIndex Acknowledged;
  /// Commands that were reported as not applied.
  std::set<std::string> RejectedCommands;
  std::uint64_t HighestAcknowledged = 0;
  std::uint64_t ReadCount = 0;
  std::map<std::uint64_t, base::ReplicaId> LeaderOfTerm;

private:
  boost::asio::awaitable<void> runPropose(std::size_t Index,
                                          std::string Command,
                                          base::Millis Timeout,
                                          OutcomeRef Result);
  boost::asio::awaitable<void> runRead(std::size_t Index, base::Millis Timeout,
                                       OutcomeRef Result);
  void poll();
  void checkLeaders();

  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Process>> Processes;
  /// Components of killed processes. Their suspended coroutines still refer to
  /// them.
  std::vector<std::shared_ptr<void>> StoppedComponents;
};

} // namespace amaranth::replication::testing

#endif
