#ifndef AMARANTH_FOLLOWER_TEST_SIMULATION_H
#define AMARANTH_FOLLOWER_TEST_SIMULATION_H

#include "MemoryChannel.h"
#include "amaranth/base/Clock.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/control/NodeService.h"
#include "amaranth/follower/Follower.h"

#include <boost/asio/io_context.hpp>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace amaranth::follower::testing {

/// Bandwidth and failure state shared by all links of one control process.
struct LinkModel {
  base::Millis Latency = base::Millis(1);
  /// Corresponds to 1 Gbit/s.
  std::uint64_t BytesPerMs = 125'000;
  base::TimePoint IdleAt;
  /// Drops messages without an error. The links close after
  /// `protocol::SilenceTimeout`, as a real channel does.
  bool DropsMessages = false;
};

/// The period in which one message arrives.
struct Transfer {
  base::TimePoint Begin;
  base::TimePoint End;
};

/// One end of a link with latency and limited, shared bandwidth.
class DelayedChannel final : public protocol::Channel {
public:
  DelayedChannel(std::shared_ptr<protocol::testing::MemoryChannel> Inner,
                 base::Clock &Time, std::shared_ptr<LinkModel> Model,
                 const boost::asio::any_io_executor &Executor);

  const protocol::Identity &peer() const override { return Inner->peer(); }
  boost::asio::awaitable<void> send(protocol::MessageType Type,
                                    std::uint64_t Stream,
                                    base::Bytes Payload) override;
  void post(protocol::MessageType Type, std::uint64_t Stream,
            base::Bytes Payload) override;
  boost::asio::awaitable<protocol::Frame> receive() override;
  bool hasReceived() const override { return Inner->hasReceived(); }
  void close(const std::string &Reason) override { Inner->close(Reason); }
  bool isOpen() const override { return Inner->isOpen(); }
  /// While a transfer is running, its bytes arrive at a constant rate.
  std::optional<base::TimePoint> incompleteMessageTime() const override;
  std::uint64_t bytesSent() const override { return Inner->bytesSent(); }
  std::uint64_t bytesReceived() const override {
    return Inner->bytesReceived();
  }

  /// Transfers towards the other end, which reports them. Shared by both ends.
  std::shared_ptr<std::vector<Transfer>> Outgoing =
      std::make_shared<std::vector<Transfer>>();
  std::shared_ptr<const std::vector<Transfer>> Incoming;

  /// Called with each frame before it is sent, and may modify it.
  std::function<void(protocol::Frame &)> Tamper;

private:
  std::shared_ptr<protocol::testing::MemoryChannel> Inner;
  base::Clock &Time;
  std::shared_ptr<LinkModel> Model;
  boost::asio::any_io_executor Executor;
};

/// Replicated log of one simulated control process.
class FakeLog final : public replication::ReplicatedLog {
public:
  enum class Mode { Commit, NotLeader, Hang, CommitAndHang };
  using Commit =
      std::function<control::CommandResult(const control::Command &)>;

  FakeLog(const boost::asio::any_io_executor &Executor, base::Clock &Time,
          Commit Apply)
      : Apply(std::move(Apply)), Time(Time), Changed(Executor) {}

  boost::asio::awaitable<base::Bytes> propose(base::Bytes Command,
                                              base::Millis Timeout) override;
  boost::asio::awaitable<base::LogIndex>
  readIndex(base::Millis Timeout) override;
  bool isLeader() const override { return Leader; }
  std::optional<base::ReplicaId> leader() const override { return self(); }
  base::ReplicaId self() const override { return base::ReplicaId(1); }
  base::Term term() const override { return CurrentTerm; }
  base::LogIndex appliedIndex() const override { return Applied; }
  base::LogIndex commitIndex() const override { return Applied; }
  base::Millis staleness() const override { return Staleness; }
  std::vector<replication::MemberStatus> members() const override {
    return Members;
  }
  base::Signal &changed() override { return Changed; }
  void postToLeader(base::Bytes Message) override {
    if (ToLeader)
      ToLeader(std::move(Message));
  }

  Mode Behaviour = Mode::Commit;
  bool Leader = false;
  /// Whether `readIndex` succeeds; otherwise it times out.
  bool ReadsSucceed = true;
  base::Term CurrentTerm = base::Term(1);
  base::LogIndex Applied;
  base::Millis Staleness;
  std::vector<replication::MemberStatus> Members;
  std::function<void(base::Bytes)> ToLeader;
  std::size_t Proposals = 0;

private:
  Commit Apply;
  base::Clock &Time;
  base::Signal Changed;
};

/// Simulates control processes and nodes on a manual clock.
class Simulation {
public:
  struct Control {
    std::shared_ptr<FakeLog> Log;
    std::shared_ptr<const document::MeshSnapshot> Mesh;
    std::shared_ptr<LinkModel> Links = std::make_shared<LinkModel>();
    std::unique_ptr<prometheus::Registry> Metrics;
    std::unique_ptr<control::NodeService> Service;
    bool Down = false;
    /// Dials hang until they time out, as at a VM without power or a process
    /// that is frozen.
    bool Hangs = false;
    /// Role that the process at the address reports.
    protocol::Role PeerRole = protocol::Role::Control;
    /// Commits are not delivered to this process.
    bool Lagging = false;
    /// Dials that began, and when.
    std::vector<base::TimePoint> DialTimes;
    std::vector<std::weak_ptr<DelayedChannel>> OpenChannels;
    std::function<void(protocol::Frame &)> Tamper;
    /// Number of messages sent to nodes, by type. Compressed messages count
    /// under the type of their content.
    std::map<protocol::MessageType, std::size_t> SentMessages;
    std::size_t CompressedMessages = 0;
  };
  struct Node {
    std::unique_ptr<protocol::Dialer> Dial;
    std::unique_ptr<prometheus::Registry> Metrics;
    std::unique_ptr<Follower> NodeFollower;
  };

  /// The first control process is the leader.
  explicit Simulation(std::size_t Controls, std::uint64_t Seed = 1);
  ~Simulation();

  Follower &addNode(const std::string &Name,
                    std::set<base::ServiceName> Services = {});
  /// Adds a node with the given limits, whose seeds are the control processes
  /// with the indexes `Seeds`.
  Follower &addNode(const std::string &Name, FollowerSettings Settings,
                    const std::vector<std::size_t> &Seeds);
  void removeNode(std::size_t Index);

  /// Commits a change of the mesh; `Document` also assigns a new document
  /// version.
  void commit(bool Document,
              const std::function<void(document::MeshSnapshot &)> &Change);
  /// Ends the lag of a process and delivers the latest state to it.
  void deliverLatest(Control &Process);
  /// Closes all connections of a process. `Down` also refuses new ones.
  void closeConnections(Control &Process, bool Down);
  /// Drops all messages of a process without an error.
  void dropMessages(Control &Process);
  /// Cuts the power of a process: its messages are lost and dials hang.
  void cutPower(Control &Process);
  /// Adds a control process with the latest state and returns its index.
  std::size_t addControl();
  /// Commits a list of members, which the processes that don't lag send.
  void setMembers(const std::vector<std::size_t> &Members);

  void run(base::Millis Span);
  /// Runs until the condition holds and returns the simulated time elapsed.
  /// Fails the test after `Limit`.
  base::Millis runUntil(const std::function<bool()> &Done,
                        base::Millis Limit = base::Millis::seconds(60));
  /// Changes the sequence number of one endpoint, the smallest possible delta.
  void updateEndpoint(int Endpoint);
  /// Whether every node has applied the latest state.
  bool converged() const;
  static base::Address address(std::size_t Control) {
    return {"10.0.0.1", static_cast<std::uint16_t>(Control)};
  }

  /// Populates the mesh with services, routes, and endpoints of other nodes.
  void fill(int Services, int Routes, int Endpoints);
  document::Endpoint endpoint(int Index, const std::string &Node);

  boost::asio::io_context Context;
  base::ManualClock Time;
  std::mt19937_64 Random;
  std::uint64_t NextIndex = 1;
  /// If set, commands are applied to this state machine.
  std::unique_ptr<control::ControlState> StateMachine;
  /// Endpoint updates committed so far.
  std::size_t EndpointUpdates = 0;
  std::shared_ptr<const document::MeshSnapshot> Latest;
  std::vector<std::unique_ptr<Control>> Controls;
  std::vector<Node> Nodes;

  /// Applies a committed command.
  control::CommandResult apply(const control::Command &Request);

private:
  void poll();
  control::CommandResult applyToStateMachine(const control::Command &Request);
  void deliverAll();
  void deliver(Control &Process);
  void closeSilentConnections();

  std::uint64_t Seed;
  std::map<Control *, base::TimePoint> DroppingSince;
  std::vector<replication::MemberStatus> LatestMembers;
};

} // namespace amaranth::follower::testing

#endif
