#include "LeaderDuties.h"

#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::control::detail {

void LeaderDuties::addEvidence(const rollout::EvidenceReport &Report) {
  collectEvidence(Collected, Report);
}

void LeaderDuties::followTerm() {
  if (!Log.isLeader()) {
    Leading.reset();
    return;
  }
  if (Leading == Log.term())
    return;
  Leading = Log.term();
  Leases.reset(Time.now());
  Evidence.reset();
}

void LeaderDuties::take(const LeaderReport &Report,
                        const document::MeshSnapshot &Mesh) {
  for (const base::NodeId &Node : Report.Nodes)
    Leases.renew(Node, Time.now());
  if (!Report.Evidence.Counts.empty())
    Evidence.add(Report.Evidence, Mesh, Time.now());
}

void LeaderDuties::receive(base::ByteView Message,
                           const document::MeshSnapshot &Mesh) {
  followTerm();
  LeaderReport Report = decodeLeaderReport(Message);
  if (Leading)
    take(Report, Mesh);
}

void LeaderDuties::forward(std::vector<base::NodeId> Heard,
                           const document::MeshSnapshot &Mesh) {
  LeaderReport Report;
  Report.Nodes = std::move(Heard);
  std::swap(Report.Evidence, Collected);
  if (Leading)
    return take(Report, Mesh);
  auto Parts = splitEvidence(Report.Evidence);
  Report.Evidence.Counts.clear();
  if (!Report.Nodes.empty())
    Log.postToLeader(encode(Report));
  for (rollout::EvidenceReport &Part : Parts)
    Log.postToLeader(encode(LeaderReport{{}, std::move(Part)}));
}

void LeaderDuties::tick(const asio::any_io_executor &Executor,
                        std::vector<base::NodeId> Heard,
                        const document::MeshSnapshot &Mesh) {
  followTerm();
  forward(std::move(Heard), Mesh);
  if (!Leading || Expiring)
    return;
  Leases.prune(Time.now());
  ExpireEndpoints Request = Leases.expired(Mesh, Time.now());
  if (Request.Items.empty())
    return;
  Expiring = true;
  asio::co_spawn(
      Executor,
      [Self = shared_from_this(), Request = std::move(Request)]()
          -> asio::awaitable<void> { co_await Self->expire(Request); },
      asio::detached);
}

asio::awaitable<void> LeaderDuties::expire(ExpireEndpoints Request) {
  base::logger("control")->info("endpoints expire count={}",
                                Request.Items.size());
  // A command that failed or whose outcome is unknown is proposed again at
  // the next tick, if the endpoints are still reachable then.
  try {
    base::Bytes Encoded = encodeCommand(Command(std::move(Request)));
    co_await Log.propose(std::move(Encoded), ProposeTimeout);
  } catch (const base::Error &Failure) {
    base::logger("control")->warn("expiry not committed error=\"{}\"",
                                  Failure.what());
  }
  Expiring = false;
}

} // namespace amaranth::control::detail
