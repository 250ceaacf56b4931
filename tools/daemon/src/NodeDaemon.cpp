#include "amaranth/daemon/NodeDaemon.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/EventLoopLag.h"
#include "amaranth/base/InvariantMetric.h"
#include "amaranth/base/Log.h"
#include "amaranth/daemon/Shutdown.h"
#include "amaranth/dataplane/AnnounceServer.h"
#include "amaranth/dataplane/EntryServer.h"
#include "amaranth/dataplane/ExchangeServer.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/dataplane/PeerPool.h"
#include "amaranth/dataplane/SharedQuotas.h"
#include "amaranth/follower/Follower.h"
#include "amaranth/platform/PlatformDialect.h"
#include "amaranth/platform/UpstreamCalls.h"
#include "amaranth/protocol/Connection.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <prometheus/registry.h>

#include <memory>
#include <vector>

namespace asio = boost::asio;

namespace amaranth::daemon {

namespace {

protocol::SharedKeys readKeys(const NodeSettings &Settings) {
  // An empty key disables authentication; `start` logs a warning about it.
  if (Settings.TrustedNetwork)
    return {{protocol::Role::Node, ""}};
  return {{protocol::Role::Node, base::readSecretFile(Settings.NodeKeyFile)}};
}

/// Short, so that another node is tried soon when one does not respond.
constexpr base::Millis RegionPeerDialTimeout = base::Millis(400);

std::vector<follower::ControlProcess>
controlProcesses(const NodeSettings &Settings) {
  std::vector<follower::ControlProcess> Result;
  for (const ControlAddress &Control : Settings.Control)
    Result.push_back({Control.Inner, Control.Zone});
  return Result;
}

protocol::Identity identityOf(const NodeSettings &Settings) {
  return {protocol::Role::Node, Settings.Id.value(), Settings.Zone};
}

follower::FollowerSettings followerSettings(const NodeSettings &Settings) {
  auto Result = Settings.Interface == InterfaceKind::Platform
                    ? follower::FollowerSettings::withinRegion()
                    : follower::FollowerSettings();
  Result.Node = Settings.Id;
  Result.Zone = Settings.Zone;
  Result.ControlProcesses = controlProcesses(Settings);
  return Result;
}

dataplane::PeerPool::Settings peerSettings(const NodeSettings &Settings) {
  dataplane::PeerPool::Settings Result;
  if (Settings.Interface == InterfaceKind::Platform)
    Result.DialTimeout = RegionPeerDialTimeout;
  return Result;
}

dataplane::GateSettings gateSettings(const NodeSettings &Settings) {
  dataplane::GateSettings Result;
  Result.Node = Settings.Id;
  Result.NodeAddress = Settings.InnerAddress;
  Result.Zone = Settings.Zone;
  Result.AnnounceTimeout = Settings.AnnounceTimeout;
  Result.SlowStart = Settings.SlowStart;
  Result.IsolateCrashes = Settings.IsolateCrashes;
  Result.LinkBytesPerSecond = Settings.LinkBytesPerSecond;
  return Result;
}

dataplane::EntrySettings entrySettings(const NodeSettings &Settings) {
  dataplane::EntrySettings Result;
  Result.ListenAddress = Settings.CallerAddress;
  Result.LoadBalancing.Zone = Settings.Zone;
  Result.LoadBalancing.SlowStart = Settings.SlowStart;
  Result.CallerService = Settings.CallerService;
  Result.ResponseBufferBytes = Settings.ResponseBufferBytes;
  Result.LameDuckPeriod = Settings.LameDuckPeriod;
  // A random seed keeps entry nodes from making the same random choices.
  Result.Seed = base::randomU64();
  return Result;
}

std::string announceKey(const NodeSettings &Settings) {
  return Settings.AnnounceKeyFile.empty()
             ? std::string()
             : base::readSecretFile(Settings.AnnounceKeyFile);
}

std::unique_ptr<dataplane::HttpDialect> makeDialect(InterfaceKind Interface) {
  if (Interface == InterfaceKind::Platform)
    return std::make_unique<platform::PlatformDialect>();
  return std::make_unique<dataplane::NativeDialect>();
}

std::unique_ptr<dataplane::LocalHandler>
makeLocalHandler(const NodeSettings &Settings, dataplane::Gate &Upstream) {
  if (Settings.Interface == InterfaceKind::Platform)
    return std::make_unique<platform::UpstreamCalls>(Upstream);
  return std::make_unique<dataplane::AnnounceHandler>(Upstream,
                                                      announceKey(Settings));
}

} // namespace

struct NodeDaemon::Parts {
  Parts(NodeSettings NodeConfig, EventLoop &Loop, base::Clock &Time)
      : Settings(std::move(NodeConfig)), Loop(Loop),
        Executor(Loop.context().get_executor()), Keys(readKeys(Settings)),
        Dialect(makeDialect(Settings.Interface)), Invariants(Registry, Time),
        LoopLag(Registry, Time), Dialer(identityOf(Settings), Keys, Time),
        Counters(Registry), ConfigFollower(followerSettings(Settings), Executor,
                                           Time, Dialer, Registry),
        Quarantine(Time, ConfigFollower),
        Budgets(Time, ConfigFollower, Settings.SharedRetries),
        Runs(Time, Budgets),
        Upstream(Executor, gateSettings(Settings), Time, ConfigFollower,
                 ConfigFollower, Quarantine, Counters, *Dialect, Runs),
        Peers(Executor, peerSettings(Settings), Time, Dialer),
        Quotas(Executor, Settings.Id, Time, ConfigFollower, Peers, Registry,
               [this] { return inContactWithControl(); }),
        Exchanges(Executor, Upstream, Time, &Quotas),
        Entry(Executor, entrySettings(Settings), Time, ConfigFollower,
              ConfigFollower, Quarantine, Peers, Counters, *Dialect, Quotas,
              Budgets, Runs),
        Local(makeLocalHandler(Settings, Upstream)),
        Announce(Executor, Settings.AnnounceAddress, Time, Local.get(),
                 Registry, [this] { return ready(); }),
        Inner(Executor, Settings.InnerAddress, identityOf(Settings), Keys,
              Time) {
    for (const auto &Address : {Settings.ReadyAddress, Settings.MetricsAddress})
      if (Address)
        StatusServers.push_back(std::make_unique<dataplane::AnnounceServer>(
            Executor, *Address, Time, nullptr, Registry,
            [this] { return ready(); }));
  }

  bool ready() const {
    return ConfigFollower.current() != nullptr && !Stopping;
  }

  bool inContactWithControl() const {
    return ConfigFollower.status().ControlAddress.has_value();
  }

  asio::awaitable<void> serveInner(std::shared_ptr<protocol::Channel> Link) {
    if (Link->peer().ProcessRole == protocol::Role::Node)
      co_await Exchanges.serve(Link);
  }

  NodeSettings Settings;
  EventLoop &Loop;
  asio::any_io_executor Executor;
  protocol::SharedKeys Keys;
  std::unique_ptr<dataplane::HttpDialect> Dialect;
  prometheus::Registry Registry;
  base::InvariantMetric Invariants;
  base::EventLoopLag LoopLag;
  protocol::TcpDialer Dialer;
  dataplane::Metrics Counters;
  follower::Follower ConfigFollower;
  dataplane::CrashQuarantine Quarantine;
  dataplane::RetryBudgets Budgets;
  dataplane::UpstreamRuns Runs;
  dataplane::Gate Upstream;
  dataplane::PeerPool Peers;
  dataplane::SharedQuotas Quotas;
  dataplane::ExchangeServer Exchanges;
  dataplane::EntryServer Entry;
  std::unique_ptr<dataplane::LocalHandler> Local;
  dataplane::AnnounceServer Announce;
  protocol::Listener Inner;
  /// Serve readiness and metrics on separate addresses.
  std::vector<std::unique_ptr<dataplane::AnnounceServer>> StatusServers;
  bool Stopping = false;
};

NodeDaemon::NodeDaemon(NodeSettings Settings, EventLoop &Loop,
                       base::Clock &Time)
    : Self(std::make_unique<Parts>(std::move(Settings), Loop, Time)) {}

NodeDaemon::~NodeDaemon() = default;

void NodeDaemon::start() {
  Parts &P = *Self;
  P.ConfigFollower.start();
  P.Loop.spawnEssential(
      "inner listener",
      P.Inner.serve([&P](std::shared_ptr<protocol::Channel> Link) {
        return P.serveInner(std::move(Link));
      }));
  P.Loop.spawnEssential("invariant metric", P.Invariants.run());
  P.Loop.spawnEssential("event loop lag", P.LoopLag.run());
  P.Loop.spawnEssential("gate", P.Upstream.run());
  P.Loop.spawnEssential("peer pool", P.Peers.run());
  P.Loop.spawnEssential("quotas", P.Quotas.run());
  P.Loop.spawnEssential("caller server", P.Entry.serve());
  P.Loop.spawnEssential("caller tasks", P.Entry.run());
  P.Loop.spawnEssential("announce server", P.Announce.serve());
  for (const auto &Server : P.StatusServers)
    P.Loop.spawnEssential("page server", Server->serve());
  if (P.Settings.TrustedNetwork)
    base::logger("node")->warn("authentication is disabled: every process that "
                               "can reach {} is trusted",
                               P.Inner.local().text());
  if (!P.Settings.IsolateCrashes)
    base::logger("node")->warn("crash isolation is disabled: a request that "
                               "crashes upstreams is not refused");
  base::logger("node")->info(
      "node started node={} zone={} caller={} inner={} announce={}",
      P.Settings.Id.value(), P.Settings.Zone.value(), P.Entry.local().text(),
      P.Inner.local().text(), P.Announce.local().text());
}

void NodeDaemon::reload(const NodeSettings &Settings) {
  auto Controls = controlProcesses(Settings);
  base::logger("node")->info("control processes in settings count={}",
                             Controls.size());
  Self->ConfigFollower.setControlProcesses(Controls);
}

asio::awaitable<void> NodeDaemon::stop() {
  using namespace asio::experimental::awaitable_operators;
  Parts &P = *Self;
  P.Stopping = true;
  auto [EntryDone, GateDone] = co_await (
      P.Entry.drain(P.Settings.ShutdownTimeout) &&
      P.Upstream.drain(P.Settings.ShutdownTimeout, P.Settings.LameDuckPeriod));
  base::logger("node")->info("graceful stop finished callers_done={} "
                             "upstream_done={}",
                             EntryDone, GateDone);
  P.Inner.stop();
  P.Announce.stop();
  P.ConfigFollower.stop();
}

} // namespace amaranth::daemon
