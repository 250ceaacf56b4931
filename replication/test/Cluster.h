#ifndef AMARANTH_REPLICATION_TEST_CLUSTER_H
#define AMARANTH_REPLICATION_TEST_CLUSTER_H

#include "SimulatedDisk.h"
#include "SimulatedNetwork.h"
#include "amaranth/replication/Replica.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>

namespace amaranth::replication::testing {

/// The command that every replica must apply at an index.
using CommandsByIndex = std::map<std::uint64_t, std::string>;

/// Keeps the applied commands and compares them with the other replicas.
class RecordingStateMachine final : public StateMachine {
public:
  explicit RecordingStateMachine(CommandsByIndex &ExpectedCommands)
      : ExpectedCommands(ExpectedCommands) {}

  /// The result is the index in decimal.
  base::Bytes apply(const AppliedEntry &Entry) override;
  base::Bytes snapshot() const override;
  void restore(base::ByteView Snapshot) override;

  CommandsByIndex Applied;
  std::uint64_t RestoreCount = 0;

private:
  void check(std::uint64_t Index, const std::string &Command);

  CommandsByIndex &ExpectedCommands;
};

/// One control process of the test.
struct Process {
  std::string Address;
  DiskImage Image;
  std::unique_ptr<SimulatedDisk> Disk;
  std::unique_ptr<RecordingStateMachine> Machine;
  std::unique_ptr<Transport> PeerTransport;
  std::unique_ptr<Replica> Log;

  bool isRunning() const { return Log != nullptr; }
};

/// Replicas on one `io_context` and a manual clock.
class Cluster {
public:
  Cluster(std::uint64_t Seed, std::size_t Voters, std::size_t OtherPeers = 0);

  void start(std::size_t Index);
  void kill(std::size_t Index);
  /// Kills the process and empties its disk.
  void loseDisk(std::size_t Index);

  /// Runs for this span of simulated time.
  void runFor(base::Millis Span);
  /// Runs until `Done`; false when that took longer than `Limit`.
  bool runUntil(const std::function<bool()> &Done,
                base::Millis Limit = base::Millis::seconds(30));

  /// The process that leads and is known as the leader to a majority.
  Process *leader();
  Process &at(std::size_t Index) { return *Processes[Index]; }
  std::size_t size() const { return Processes.size(); }

  struct Outcome {
    bool Finished = false;
    /// Empty on success.
    std::string Error;
    bool NotApplied = false;
    std::uint64_t Index = 0;
  };
  using OutcomeRef = std::shared_ptr<Outcome>;
  OutcomeRef propose(std::size_t Index, const std::string &Command,
                     base::Millis Timeout = base::Millis(3000));
  OutcomeRef read(std::size_t Index, base::Millis Timeout = base::Millis(3000));
  OutcomeRef change(std::function<boost::asio::awaitable<void>()> Change);
  /// Proposes until one succeeds and returns its index.
  std::uint64_t commit(const std::string &Command);

  /// Waits until every running process has caught up; fails unless each has
  /// all acknowledged commands and none that was reported as not applied.
  void checkAcknowledged();

  boost::asio::io_context Context;
  base::ManualClock Time;
  SimulatedNetwork Network;
  ReplicaSettings Settings;
  CommandsByIndex ExpectedCommands;
  /// By index.
  CommandsByIndex Acknowledged;
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
  /// Parts of killed processes, which their suspended tasks still refer to.
  std::vector<std::shared_ptr<void>> StoppedComponents;
};

} // namespace amaranth::replication::testing

#endif
