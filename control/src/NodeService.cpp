#include "amaranth/control/NodeService.h"

#include "NodeSession.h"
#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::control {

namespace {

/// Interval between two reports to the leader.
constexpr base::Millis TickInterval = base::Millis(250);
/// Number of ticks between two `Currency` messages to a node.
constexpr unsigned CurrencyTicks = 2;

} // namespace

struct NodeService::Impl : std::enable_shared_from_this<NodeService::Impl> {
  Impl(NodeServiceSettings Settings, const asio::any_io_executor &Executor,
       base::Clock &Time, replication::ReplicatedLog &Log, MeshQuery Mesh,
       prometheus::Registry &Metrics)
      : Context(std::make_shared<detail::NodeServiceContext>(
            Settings, Executor, Time, Log, std::move(Mesh), Metrics)) {}

  void refresh() {
    if (!Context->refresh())
      return;
    for (const auto &[Node, Session] : Sessions)
      Session->wake();
  }

  /// Refreshes the snapshot after log changes, at most once per update
  /// interval.
  asio::awaitable<void> followLog() {
    while (!Stopped) {
      std::uint64_t Before = Context->Log.appliedIndex().value();
      refresh();
      co_await Context->Time.sleepFor(Context->Settings.UpdateInterval);
      if (Stopped || Context->Log.appliedIndex().value() != Before)
        continue;
      co_await Context->Log.changed().wait();
    }
  }

  asio::awaitable<void> tickLoop() {
    while (!Stopped) {
      co_await Context->Time.sleepFor(TickInterval);
      if (!Stopped)
        tick();
    }
  }

  void tick() {
    std::vector<base::NodeId> ConnectedNodes;
    // A session may close itself here; `serve` removes it from the map when it
    // resumes.
    for (const auto &[Node, Session] : Sessions) {
      ConnectedNodes.push_back(Node);
      if (Ticks % CurrencyTicks == 0)
        Session->tick();
    }
    ++Ticks;
    Context->Statistics.prune();
    Context->Statistics.reportLaggards();
    if (const auto &Newest = Context->History.current())
      Context->Tasks->tick(Context->Executor, std::move(ConnectedNodes),
                           *Newest);
  }

  std::shared_ptr<detail::NodeServiceContext> Context;
  std::map<base::NodeId, std::shared_ptr<detail::NodeSession>> Sessions;
  unsigned Ticks = 0;
  bool Stopped = false;
};

NodeService::NodeService(NodeServiceSettings Settings,
                         const asio::any_io_executor &Executor,
                         base::Clock &Time, replication::ReplicatedLog &Log,
                         MeshQuery Mesh, prometheus::Registry &Metrics)
    : Shared(std::make_shared<Impl>(Settings, Executor, Time, Log,
                                    std::move(Mesh), Metrics)) {}

NodeService::~NodeService() { stop(); }

void NodeService::start() {
  auto Run = [this](auto Loop) {
    asio::co_spawn(
        Shared->Context->Executor,
        [Self = Shared, Loop]() -> asio::awaitable<void> {
          co_await ((*Self).*Loop)();
        },
        asio::detached);
  };
  Run(&Impl::followLog);
  Run(&Impl::tickLoop);
}

void NodeService::stop() {
  Shared->Stopped = true;
  for (const auto &[Node, Session] : Shared->Sessions)
    Session->close("control process is stopping");
}

asio::awaitable<void>
NodeService::serve(std::shared_ptr<protocol::Channel> Channel) {
  auto Self = Shared;
  if (Self->Stopped || Channel->peer().ProcessRole != protocol::Role::Node) {
    Channel->close("peer is not a node");
    co_return;
  }
  base::NodeId Node(Channel->peer().Id);
  auto Session =
      std::make_shared<detail::NodeSession>(Self->Context, std::move(Channel));
  if (auto Older = Self->Sessions.find(Node); Older != Self->Sessions.end())
    Older->second->close("replaced by a newer connection from the same node");
  Self->Sessions[Node] = Session;
  Self->refresh();
  co_await Session->run();
  auto Found = Self->Sessions.find(Node);
  if (Found != Self->Sessions.end() && Found->second == Session)
    Self->Sessions.erase(Found);
}

void NodeService::receiveReport(base::ByteView Message) {
  const auto &Newest = Shared->Context->History.current();
  if (!Newest)
    return;
  try {
    Shared->Context->Tasks->receive(Message, *Newest);
  } catch (const base::ProtocolError &Failure) {
    base::logger("control")->warn(
        "malformed report from a control process dropped "
        "error=\"{}\"",
        Failure.what());
  }
}

std::vector<ServedNode> NodeService::nodes() const {
  const auto &Newest = Shared->Context->History.current();
  return Shared->Context->Statistics.nodes(Newest ? Newest->State
                                                  : base::StateIndex());
}

std::vector<VersionConvergence> NodeService::convergence() const {
  return Shared->Context->Statistics.convergence();
}

const LeaseTable &NodeService::leases() const {
  return Shared->Context->Tasks->leases();
}

const EvidenceTable &NodeService::evidence() const {
  return Shared->Context->Tasks->evidence();
}

std::size_t NodeService::runningSnapshots() const {
  return Shared->Context->SnapshotSlots.running();
}

std::size_t NodeService::peakSnapshots() const {
  return Shared->Context->SnapshotSlots.peak();
}

} // namespace amaranth::control
