#include "amaranth/control/NodeService.h"

#include "NodeSession.h"
#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::control {

namespace {

/// Reports go to the leader at this interval.
constexpr base::Millis TickInterval = base::Millis(250);
/// Ticks between two messages about currency to each node.
constexpr unsigned CurrencyTicks = 2;

} // namespace

struct NodeService::Impl : std::enable_shared_from_this<NodeService::Impl> {
  Impl(NodeServiceSettings Settings, const asio::any_io_executor &Executor,
       base::Clock &Time, replication::ReplicatedLog &Log, MeshQuery Mesh,
       prometheus::Registry &Metrics)
      : Parts(std::make_shared<detail::ServiceParts>(
            Settings, Executor, Time, Log, std::move(Mesh), Metrics)) {}

  void refresh() {
    if (!Parts->refresh())
      return;
    for (const auto &[Node, Session] : Sessions)
      Session->wake();
  }

  /// Takes new snapshots, at most one in each update interval.
  asio::awaitable<void> followLog() {
    while (!Stopped) {
      std::uint64_t Before = Parts->Log.appliedIndex().value();
      refresh();
      co_await Parts->Time.sleepFor(Parts->Settings.UpdateInterval);
      if (Stopped || Parts->Log.appliedIndex().value() != Before)
        continue;
      co_await Parts->Log.changed().wait();
    }
  }

  asio::awaitable<void> tickLoop() {
    while (!Stopped) {
      co_await Parts->Time.sleepFor(TickInterval);
      if (!Stopped)
        tick();
    }
  }

  void tick() {
    std::vector<base::NodeId> Heard;
    // A session that closes itself stays in the map until `serve` resumes.
    for (const auto &[Node, Session] : Sessions) {
      Heard.push_back(Node);
      if (Ticks % CurrencyTicks == 0)
        Session->tick();
    }
    ++Ticks;
    Parts->Statistics.prune();
    if (const auto &Newest = Parts->History.current())
      Parts->Duties->tick(Parts->Executor, std::move(Heard), *Newest);
  }

  std::shared_ptr<detail::ServiceParts> Parts;
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
        Shared->Parts->Executor,
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
    Session->close("the control process stops");
}

asio::awaitable<void>
NodeService::serve(std::shared_ptr<protocol::Channel> Link) {
  auto Self = Shared;
  if (Self->Stopped || Link->peer().ProcessRole != protocol::Role::Node) {
    Link->close("only nodes are served");
    co_return;
  }
  base::NodeId Node(Link->peer().Id);
  auto Session =
      std::make_shared<detail::NodeSession>(Self->Parts, std::move(Link));
  if (auto Older = Self->Sessions.find(Node); Older != Self->Sessions.end())
    Older->second->close("replaced by a newer connection of the node");
  Self->Sessions[Node] = Session;
  Self->refresh();
  co_await Session->run();
  auto Found = Self->Sessions.find(Node);
  if (Found != Self->Sessions.end() && Found->second == Session)
    Self->Sessions.erase(Found);
}

void NodeService::receiveReport(base::ByteView Message) {
  const auto &Newest = Shared->Parts->History.current();
  if (!Newest)
    return;
  try {
    Shared->Parts->Duties->receive(Message, *Newest);
  } catch (const base::ProtocolError &Failure) {
    base::logger("control")->warn("report of a control process dropped "
                                  "error=\"{}\"",
                                  Failure.what());
  }
}

std::vector<ServedNode> NodeService::nodes() const {
  const auto &Newest = Shared->Parts->History.current();
  return Shared->Parts->Statistics.nodes(Newest ? Newest->State
                                                : base::StateIndex());
}

std::vector<VersionConvergence> NodeService::convergence() const {
  return Shared->Parts->Statistics.convergence();
}

const LeaseTable &NodeService::leases() const {
  return Shared->Parts->Duties->leases();
}

const EvidenceTable &NodeService::evidence() const {
  return Shared->Parts->Duties->evidence();
}

std::size_t NodeService::runningSnapshots() const {
  return Shared->Parts->Admission.running();
}

std::size_t NodeService::peakSnapshots() const {
  return Shared->Parts->Admission.peak();
}

} // namespace amaranth::control
