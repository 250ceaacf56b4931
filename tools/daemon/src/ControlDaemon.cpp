#include "amaranth/daemon/ControlDaemon.h"

#include "amaranth/base/InvariantMetric.h"
#include "amaranth/base/Log.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/control/NodeService.h"
#include "amaranth/control/OperatorServer.h"
#include "amaranth/control/RolloutAdapter.h"
#include "amaranth/control/ServedNodes.h"
#include "amaranth/daemon/Shutdown.h"
#include "amaranth/protocol/Connection.h"
#include "amaranth/replication/LogStorage.h"
#include "amaranth/replication/Replica.h"
#include "amaranth/rollout/RolloutController.h"

#include <prometheus/registry.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::daemon {

namespace {

protocol::SharedKeys readKeys(const ControlSettings &Settings) {
  return {
      {protocol::Role::Control, base::readSecretFile(Settings.ControlKeyFile)},
      {protocol::Role::Node, base::readSecretFile(Settings.NodeKeyFile)}};
}

replication::ReplicaSettings replicaSettings(const ControlSettings &Settings) {
  replication::ReplicaSettings Result;
  Result.Address = Settings.InnerAddress.text();
  auto &Known = Settings.Join ? Result.KnownPeers : Result.InitialVoters;
  for (const base::Address &Voter : Settings.Voters)
    Known.push_back(Voter.text());
  return Result;
}

control::OperatorServerSettings
operatorSettings(const ControlSettings &Settings) {
  control::OperatorServerSettings Result;
  Result.Listen = Settings.OperatorAddress;
  return Result;
}

} // namespace

namespace {

/// Gives the operators' interface the replica's membership changes.
class ReplicaMembership final : public control::MembershipControl {
public:
  explicit ReplicaMembership(replication::Replica &Log) : Log(Log) {}

  asio::awaitable<void> replaceVoter(base::ReplicaId Lost,
                                     base::ReplicaId Replacement,
                                     base::Millis Timeout) override {
    try {
      co_await Log.replaceVoter(Lost, Replacement, Timeout);
    } catch (const replication::Refused &Refusal) {
      throw control::MembershipRefused(Refusal.what());
    }
  }

  asio::awaitable<void> removeMember(base::ReplicaId Id,
                                     base::Millis Timeout) override {
    try {
      co_await Log.remove(Id, Timeout);
    } catch (const replication::Refused &Refusal) {
      throw control::MembershipRefused(Refusal.what());
    }
  }

private:
  replication::Replica &Log;
};

} // namespace

struct ControlDaemon::Parts {
  Parts(ControlSettings ControlConfig, EventLoop &Loop, base::Clock &Time)
      : Settings(std::move(ControlConfig)), Loop(Loop), Time(Time),
        Executor(Loop.context().get_executor()), Keys(readKeys(Settings)),
        Invariants(Registry, Time),
        Disk(Settings.DataFolder, Executor), Self{protocol::Role::Control,
                                                  std::to_string(
                                                      Disk.id().value()),
                                                  Settings.Zone},
        Dialer(Self, Keys, Time), Net(Dialer, Time, Executor),
        Log(Disk, State, Net, replicaSettings(Settings), Time, Executor),
        Nodes(
            {}, Executor, Time, Log, [this] { return State.mesh(); }, Registry),
        Status(Nodes), Members(Log),
        Operators(Executor, Time, Log, State, Status, Members,
                  control::OperatorKeys::read(Settings.OperatorKeysFile),
                  Registry, operatorSettings(Settings)),
        Store(Log, State), Evidence(Nodes.evidence(), State, Time),
        Rollouts(Time, Store, Evidence),
        Inner(Executor, Settings.InnerAddress, Self, Keys, Time) {}

  asio::awaitable<void> serveInner(std::shared_ptr<protocol::Channel> Link) {
    if (Link->peer().ProcessRole == protocol::Role::Control)
      co_await Log.serve(Link);
    else
      co_await Nodes.serve(Link);
  }

  ControlSettings Settings;
  EventLoop &Loop;
  base::Clock &Time;
  asio::any_io_executor Executor;
  protocol::SharedKeys Keys;
  prometheus::Registry Registry;
  base::InvariantMetric Invariants;
  replication::LogStorage Disk;
  protocol::Identity Self;
  protocol::TcpDialer Dialer;
  replication::ChannelTransport Net;
  control::ControlState State;
  replication::Replica Log;
  control::NodeService Nodes;
  control::ServedNodes Status;
  ReplicaMembership Members;
  control::OperatorServer Operators;
  control::ReplicatedRolloutStore Store;
  control::ReportedEvidence Evidence;
  rollout::RolloutController Rollouts;
  protocol::Listener Inner;
};

ControlDaemon::ControlDaemon(ControlSettings Settings, EventLoop &Loop,
                             base::Clock &Time)
    : Self(std::make_unique<Parts>(std::move(Settings), Loop, Time)) {}

ControlDaemon::~ControlDaemon() = default;

void ControlDaemon::start() {
  Parts &P = *Self;
  P.Log.onMessage([&P](base::ReplicaId, base::ByteView Message) {
    P.Nodes.receiveReport(Message);
  });
  P.Nodes.start();
  P.Loop.spawnEssential("replica", P.Log.run());
  P.Loop.spawnEssential(
      "inner listener",
      P.Inner.serve([&P](std::shared_ptr<protocol::Channel> Link) {
        return P.serveInner(std::move(Link));
      }));
  P.Loop.spawnEssential("invariant metric", P.Invariants.run());
  P.Loop.spawnEssential("operator server", P.Operators.run());
  P.Loop.spawnEssential("rollout controller", P.Rollouts.run());
  base::logger("control")->info(
      "control process started replica={} zone={} inner={} operator={}",
      P.Self.Id, P.Settings.Zone.value(), P.Inner.local().text(),
      P.Operators.address().text());
}

asio::awaitable<void> ControlDaemon::stop() {
  Parts &P = *Self;
  P.Operators.stop();
  P.Inner.stop();
  P.Nodes.stop();
  P.Log.stop();
  base::logger("control")->info("graceful stop finished");
  co_return;
}

} // namespace amaranth::daemon
