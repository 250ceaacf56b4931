#include "amaranth/daemon/NodeDaemon.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/InvariantMetric.h"
#include "amaranth/base/Log.h"
#include "amaranth/daemon/Shutdown.h"
#include "amaranth/dataplane/AnnounceServer.h"
#include "amaranth/dataplane/EntryServer.h"
#include "amaranth/dataplane/ExchangeServer.h"
#include "amaranth/dataplane/Gate.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/dataplane/PeerPool.h"
#include "amaranth/follower/Follower.h"
#include "amaranth/protocol/Connection.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <prometheus/registry.h>

namespace asio = boost::asio;

namespace amaranth::daemon {

namespace {

protocol::Identity identityOf(const NodeSettings &Settings) {
  return {protocol::Role::Node, Settings.Id.value(), Settings.Zone};
}

follower::FollowerSettings followerSettings(const NodeSettings &Settings) {
  follower::FollowerSettings Result;
  Result.Node = Settings.Id;
  Result.Zone = Settings.Zone;
  for (const ControlAddress &Control : Settings.Control)
    Result.Controls.push_back({Control.Inner, Control.Zone});
  return Result;
}

dataplane::GateSettings gateSettings(const NodeSettings &Settings) {
  dataplane::GateSettings Result;
  Result.Node = Settings.Id;
  Result.NodeAddress = Settings.InnerAddress;
  Result.Zone = Settings.Zone;
  return Result;
}

dataplane::EntrySettings entrySettings(const NodeSettings &Settings) {
  dataplane::EntrySettings Result;
  Result.Listen = Settings.CallerAddress;
  Result.Balance.Zone = Settings.Zone;
  // Entry nodes must not draw the same choices.
  Result.Seed = base::randomU64();
  return Result;
}

dataplane::AnnounceSettings announceSettings(const NodeSettings &Settings) {
  dataplane::AnnounceSettings Result;
  Result.Listen = Settings.AnnounceAddress;
  if (!Settings.AnnounceKeyFile.empty())
    Result.Key = base::readSecretFile(Settings.AnnounceKeyFile);
  return Result;
}

} // namespace

struct NodeDaemon::Parts {
  Parts(NodeSettings NodeConfig, EventLoop &Loop, base::Clock &Time)
      : Settings(std::move(NodeConfig)), Loop(Loop),
        Executor(Loop.context().get_executor()),
        Keys({{protocol::Role::Node,
               base::readSecretFile(Settings.NodeKeyFile)}}),
        Invariants(Registry, Time), Dialer(identityOf(Settings), Keys, Time),
        Counters(Registry),
        Follow(followerSettings(Settings), Executor, Time, Dialer, Registry),
        Upstream(Executor, gateSettings(Settings), Time, Follow, Follow,
                 Counters),
        Exchanges(Executor, Upstream, Time), Peers(Executor, {}, Time, Dialer),
        Entry(Executor, entrySettings(Settings), Time, Follow, Follow, Peers,
              Counters),
        Announce(Executor, announceSettings(Settings), Time, Upstream, Registry,
                 [this] { return Follow.current() != nullptr; }),
        Inner(Executor, Settings.InnerAddress, identityOf(Settings), Keys,
              Time) {}

  asio::awaitable<void> serveInner(std::shared_ptr<protocol::Channel> Link) {
    if (Link->peer().ProcessRole == protocol::Role::Node)
      co_await Exchanges.serve(Link);
  }

  NodeSettings Settings;
  EventLoop &Loop;
  asio::any_io_executor Executor;
  protocol::SharedKeys Keys;
  prometheus::Registry Registry;
  base::InvariantMetric Invariants;
  protocol::TcpDialer Dialer;
  dataplane::Metrics Counters;
  follower::Follower Follow;
  dataplane::Gate Upstream;
  dataplane::ExchangeServer Exchanges;
  dataplane::PeerPool Peers;
  dataplane::EntryServer Entry;
  dataplane::AnnounceServer Announce;
  protocol::Listener Inner;
};

NodeDaemon::NodeDaemon(NodeSettings Settings, EventLoop &Loop,
                       base::Clock &Time)
    : Self(std::make_unique<Parts>(std::move(Settings), Loop, Time)) {}

NodeDaemon::~NodeDaemon() = default;

void NodeDaemon::start() {
  Parts &P = *Self;
  P.Follow.start();
  P.Loop.spawnEssential(
      "inner listener",
      P.Inner.serve([&P](std::shared_ptr<protocol::Channel> Link) {
        return P.serveInner(std::move(Link));
      }));
  P.Loop.spawnEssential("invariant metric", P.Invariants.run());
  P.Loop.spawnEssential("gate", P.Upstream.run());
  P.Loop.spawnEssential("peer pool", P.Peers.run());
  P.Loop.spawnEssential("caller server", P.Entry.serve());
  P.Loop.spawnEssential("caller tasks", P.Entry.run());
  P.Loop.spawnEssential("announce server", P.Announce.serve());
  base::logger("node")->info(
      "node started node={} zone={} caller={} inner={} announce={}",
      P.Settings.Id.value(), P.Settings.Zone.value(), P.Entry.local().text(),
      P.Inner.local().text(), P.Announce.local().text());
}

asio::awaitable<void> NodeDaemon::stop() {
  using namespace asio::experimental::awaitable_operators;
  Parts &P = *Self;
  auto [EntryDone, GateDone] =
      co_await (P.Entry.drain(P.Settings.ShutdownTimeout) &&
                P.Upstream.drain(P.Settings.ShutdownTimeout));
  base::logger("node")->info("graceful stop finished callers_done={} "
                             "upstream_done={}",
                             EntryDone, GateDone);
  P.Inner.stop();
  P.Announce.stop();
  P.Follow.stop();
}

} // namespace amaranth::daemon
