#include "amaranth/daemon/ControlDaemon.h"

#include "amaranth/base/EventLoopLag.h"
#include "amaranth/base/InvariantMetric.h"
#include "amaranth/base/Log.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/control/DocumentService.h"
#include "amaranth/control/NodeService.h"
#include "amaranth/control/NodeServiceStatus.h"
#include "amaranth/control/OperatorServer.h"
#include "amaranth/control/RolloutAdapter.h"
#include "amaranth/control/TimedRolloutController.h"
#include "amaranth/daemon/Shutdown.h"
#include "amaranth/dataplane/AnnounceServer.h"
#include "amaranth/platform/OperatorCalls.h"
#include "amaranth/protocol/Connection.h"
#include "amaranth/replication/LogStorage.h"
#include "amaranth/replication/Replica.h"
#include "amaranth/rollout/RolloutController.h"

#include <fmt/ranges.h>
#include <prometheus/registry.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::daemon {

namespace {

protocol::SharedKeys readKeys(const ControlSettings &Settings) {
  // An empty key disables authentication; `start` logs a warning about it.
  if (Settings.TrustedNetwork)
    return {{protocol::Role::Control, ""}, {protocol::Role::Node, ""}};
  return {
      {protocol::Role::Control, base::readSecretFile(Settings.ControlKeyFile)},
      {protocol::Role::Node, base::readSecretFile(Settings.NodeKeyFile)}};
}

std::vector<std::string>
addressTexts(const std::vector<base::Address> &Addresses) {
  std::vector<std::string> Result;
  Result.reserve(Addresses.size());
  for (const base::Address &Each : Addresses)
    Result.push_back(Each.text());
  return Result;
}

/// Heartbeat and election times for a cluster within one region, which must
/// accept changes again within three seconds of losing its leader.
constexpr base::Millis RegionHeartbeat = base::Millis(100);
constexpr base::Millis RegionElectionMin = base::Millis(400);
constexpr base::Millis RegionElectionMax = base::Millis(800);

/// Largest state in such a cluster: a document of `MaxDocumentBodyBytes` as
/// text and decoded, the audit trail, and the labels of accepted documents.
constexpr std::size_t RegionMaxSnapshotBytes = 64U << 20U;

/// State for which the limits of the log are logged at the start.
constexpr std::size_t AssumedStateBytes = 4U << 20U;

/// Time that operators' calls in progress have at a shutdown. Longer than a
/// commit takes while there is a majority.
constexpr base::Millis OperatorDrainTime = base::Millis(2000);

replication::ReplicaSettings replicaSettings(const ControlSettings &Settings) {
  replication::ReplicaSettings Result;
  Result.Address = Settings.InnerAddress.text();
  if (!Settings.Seeds.empty()) {
    if (Settings.Bootstrap)
      Result.InitialVoters = addressTexts(Settings.Seeds);
    Result.KnownPeers = addressTexts(Settings.Seeds);
    Result.TargetVoters = 2 * Settings.ToleratedLosses + 1;
    Result.HeartbeatInterval = RegionHeartbeat;
    Result.ElectionTimeoutMin = RegionElectionMin;
    Result.ElectionTimeoutMax = RegionElectionMax;
    Result.MaxSnapshotBytes = RegionMaxSnapshotBytes;
    return Result;
  }
  auto &Addresses = Settings.Join ? Result.KnownPeers : Result.InitialVoters;
  for (const base::Address &Voter : Settings.Voters)
    Addresses.push_back(Voter.text());
  return Result;
}

control::OperatorServerSettings
operatorSettings(const ControlSettings &Settings) {
  control::OperatorServerSettings Result;
  Result.Listen = Settings.OperatorAddress;
  if (Settings.Interface == InterfaceKind::Platform)
    Result.MaxBodyBytes = platform::MaxDocumentBodyBytes;
  return Result;
}

control::OperatorKeys operatorKeys(const ControlSettings &Settings) {
  return Settings.OperatorKeysFile.empty()
             ? control::OperatorKeys()
             : control::OperatorKeys::read(Settings.OperatorKeysFile);
}

} // namespace

namespace {

/// Adapts the replica's membership changes to the operator interface.
class ReplicaMembership final : public control::MembershipControl {
public:
  explicit ReplicaMembership(replication::Replica &Log) : Log(Log) {}

  asio::awaitable<void> replaceVoter(base::ReplicaId Lost,
                                     base::ReplicaId Replacement,
                                     base::Millis Timeout) override {
    try {
      co_await Log.replaceVoter(Lost, Replacement, Timeout);
    } catch (const replication::RequestRejected &Refusal) {
      throw control::MembershipRefused(Refusal.what());
    }
  }

  asio::awaitable<void> removeMember(base::ReplicaId Id,
                                     base::Millis Timeout) override {
    try {
      co_await Log.remove(Id, Timeout);
    } catch (const replication::RequestRejected &Refusal) {
      throw control::MembershipRefused(Refusal.what());
    }
  }

private:
  replication::Replica &Log;
};

} // namespace

/// A process whose state has been stale for longer reports not ready.
constexpr base::Millis MaxReadyStaleness = base::Millis::seconds(5);

struct ControlDaemon::Parts {
  Parts(ControlSettings ControlConfig, EventLoop &Loop, base::Clock &Time)
      : Settings(std::move(ControlConfig)), Loop(Loop), Time(Time),
        Executor(Loop.context().get_executor()), Keys(readKeys(Settings)),
        Invariants(Registry, Time), LoopLag(Registry, Time),
        Disk(Settings.DataFolder, Executor), Self{protocol::Role::Control,
                                                  std::to_string(
                                                      Disk.id().value()),
                                                  Settings.Zone},
        Dialer(Self, Keys, Time), Net(Dialer, Time, Executor),
        Log(Disk, State, Net, replicaSettings(Settings), Time, Executor),
        Nodes(
            {}, Executor, Time, Log, [this] { return State.mesh(); }, Registry),
        Status(Nodes), Members(Log),
        Documents(Log, State, Status, Settings.Zone, {}),
        PlatformApi(Documents), NativeApi(Log, State, Status, Members,
                                          operatorKeys(Settings), Registry, {}),
        Operators(Executor, Time, api(), Registry, operatorSettings(Settings)),
        Store(Log, State), Evidence(Nodes.evidence(), State, Time),
        Rollouts(Time, Store, Evidence),
        TimedRollouts(Time, Log, State, Nodes.evidence(), {}),
        Inner(Executor, Settings.InnerAddress, Self, Keys, Time) {
    if (Settings.MetricsAddress)
      MetricsServer = std::make_unique<dataplane::AnnounceServer>(
          Executor, *Settings.MetricsAddress, Time, nullptr, Registry,
          [this] { return Log.staleness() < MaxReadyStaleness; });
  }

  control::ApiHandler &api() {
    if (Settings.Interface == InterfaceKind::Platform)
      return PlatformApi;
    return NativeApi;
  }

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
  base::EventLoopLag LoopLag;
  replication::LogStorage Disk;
  protocol::Identity Self;
  protocol::TcpDialer Dialer;
  replication::ChannelTransport Net;
  control::ControlState State;
  replication::Replica Log;
  control::NodeService Nodes;
  control::NodeServiceStatus Status;
  ReplicaMembership Members;
  control::DocumentService Documents;
  platform::OperatorCalls PlatformApi;
  control::OperatorApi NativeApi;
  control::OperatorServer Operators;
  control::ReplicatedRolloutStore Store;
  control::ReportedEvidence Evidence;
  rollout::RolloutController Rollouts;
  control::TimedRolloutController TimedRollouts;
  protocol::Listener Inner;
  /// Serves metrics on a separate address; null when none is configured.
  std::unique_ptr<dataplane::AnnounceServer> MetricsServer;
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
  P.Loop.spawnEssential("event loop lag", P.LoopLag.run());
  P.Loop.spawnEssential("operator server", P.Operators.run());
  P.Loop.spawnEssential("rollout controller", P.Rollouts.run());
  P.Loop.spawnEssential("timed rollouts", P.TimedRollouts.run());
  if (P.MetricsServer)
    P.Loop.spawnEssential("metrics server", P.MetricsServer->serve());
  if (P.Settings.TrustedNetwork)
    base::logger("control")->warn(
        "authentication is disabled: every process that can reach {} and {} "
        "is trusted",
        P.Inner.local().text(), P.Operators.address().text());
  replication::ReplicaSettings Limits = replicaSettings(P.Settings);
  base::logger("control")->info(
      "limits of the log memory_bytes={} disk_bytes={} state_bytes={}",
      Limits.maxLogMemoryBytes(AssumedStateBytes),
      Limits.maxDiskBytes(AssumedStateBytes), AssumedStateBytes);
  base::logger("control")->info(
      "control process started replica={} zone={} inner={} operator={}",
      P.Self.Id, P.Settings.Zone.value(), P.Inner.local().text(),
      P.Operators.address().text());
}

void ControlDaemon::reload(const ControlSettings &Settings) {
  std::vector<std::string> Seeds = addressTexts(Settings.Seeds);
  base::logger("control")->info("seeds in force seeds={}",
                                fmt::join(Seeds, ","));
  if (!Seeds.empty())
    Self->Log.setKnownPeers(std::move(Seeds));
}

asio::awaitable<void> ControlDaemon::stop() {
  Parts &P = *Self;
  bool Answered = co_await P.Operators.drain(OperatorDrainTime);
  P.Inner.stop();
  P.Nodes.stop();
  P.Log.stop();
  base::logger("control")->info("graceful stop finished operators_done={}",
                                Answered);
}

} // namespace amaranth::daemon
