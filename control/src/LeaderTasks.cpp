#include "LeaderTasks.h"

#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::control::detail {

void LeaderTasks::addEvidence(const rollout::EvidenceReport &Report) {
  mergeEvidence(PendingEvidence, Report);
}

void LeaderTasks::updateTerm() {
  if (!Log.isLeader()) {
    LeadingTerm.reset();
    return;
  }
  if (LeadingTerm == Log.term())
    return;
  LeadingTerm = Log.term();
  Leases.reset(Time.now());
  Evidence.reset();
}

void LeaderTasks::applyReport(const LeaderReport &Report,
                              const document::MeshSnapshot &Mesh) {
  for (const base::NodeId &Node : Report.Nodes)
    Leases.renew(Node, Time.now());
  if (!Report.Evidence.Counts.empty())
    Evidence.add(Report.Evidence, Mesh, Time.now());
}

void LeaderTasks::receive(base::ByteView Message,
                          const document::MeshSnapshot &Mesh) {
  updateTerm();
  LeaderReport Report = decodeLeaderReport(Message);
  if (LeadingTerm)
    applyReport(Report, Mesh);
}

void LeaderTasks::sendReport(std::vector<base::NodeId> ConnectedNodes,
                             const document::MeshSnapshot &Mesh) {
  LeaderReport Report;
  Report.Nodes = std::move(ConnectedNodes);
  std::swap(Report.Evidence, PendingEvidence);
  if (LeadingTerm)
    return applyReport(Report, Mesh);
  auto Parts = splitEvidence(Report.Evidence);
  Report.Evidence.Counts.clear();
  if (!Report.Nodes.empty())
    Log.postToLeader(encode(Report));
  for (rollout::EvidenceReport &Part : Parts)
    Log.postToLeader(encode(LeaderReport{{}, std::move(Part)}));
}

void LeaderTasks::tick(const asio::any_io_executor &Executor,
                       std::vector<base::NodeId> ConnectedNodes,
                       const document::MeshSnapshot &Mesh) {
  updateTerm();
  sendReport(std::move(ConnectedNodes), Mesh);
  if (!LeadingTerm || ExpiryInProgress)
    return;
  Leases.prune(Time.now());
  ExpireEndpoints Request = Leases.expired(Mesh, Time.now());
  if (Request.Items.empty())
    return;
  ExpiryInProgress = true;
  asio::co_spawn(
      Executor,
      [Self = shared_from_this(), Request = std::move(Request)]()
          -> asio::awaitable<void> { co_await Self->expire(Request); },
      asio::detached);
}

asio::awaitable<void> LeaderTasks::expire(ExpireEndpoints Request) {
  base::logger("control")->info("expiring endpoints of lost nodes count={}",
                                Request.Items.size());
  // If the command fails or its outcome is unknown, the next tick proposes it
  // again for the endpoints that are still marked as reachable.
  try {
    base::Bytes Encoded = encodeCommand(Command(std::move(Request)));
    co_await Log.propose(std::move(Encoded), ProposeTimeout);
  } catch (const base::Error &Failure) {
    base::logger("control")->warn(
        "endpoint expiry was not committed error=\"{}\"", Failure.what());
  }
  ExpiryInProgress = false;
}

} // namespace amaranth::control::detail
