#ifndef AMARANTH_CONTROL_SRC_LEADERTASKS_H
#define AMARANTH_CONTROL_SRC_LEADERTASKS_H

#include "amaranth/base/Clock.h"
#include "amaranth/control/EvidenceTable.h"
#include "amaranth/control/FollowMessages.h"
#include "amaranth/control/LeaseTable.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <memory>
#include <optional>
#include <vector>

namespace amaranth::control::detail {

/// Brings the nodes heard and the evidence to the leader, and on the leader
/// expires the endpoints of silent nodes.
class LeaderTasks : public std::enable_shared_from_this<LeaderTasks> {
public:
  LeaderTasks(base::Clock &Time, replication::ReplicatedLog &Log,
              base::Millis ProposeTimeout)
      : Time(Time), Log(Log), ProposeTimeout(ProposeTimeout) {}

  /// Adds a node's report to the next message to the leader.
  void addEvidence(const rollout::EvidenceReport &Report);

  /// To be called each second with the nodes connected here.
  void tick(const boost::asio::any_io_executor &Executor,
            std::vector<base::NodeId> ConnectedNodes,
            const document::MeshSnapshot &Mesh);

  /// A report of another control process. Throws `base::ProtocolError`.
  void receive(base::ByteView Message, const document::MeshSnapshot &Mesh);

  const LeaseTable &leases() const { return Leases; }
  const EvidenceTable &evidence() const { return Evidence; }

private:
  void updateTerm();
  void applyReport(const LeaderReport &Report,
                   const document::MeshSnapshot &Mesh);
  void sendReport(std::vector<base::NodeId> ConnectedNodes,
                  const document::MeshSnapshot &Mesh);
  boost::asio::awaitable<void> expire(ExpireEndpoints Request);

  base::Clock &Time;
  replication::ReplicatedLog &Log;
  base::Millis ProposeTimeout;
  LeaseTable Leases;
  EvidenceTable Evidence;
  rollout::EvidenceReport PendingEvidence;
  /// Term in which this process leads; empty when it does not.
  std::optional<base::Term> LeadingTerm;
  bool ExpiryInProgress = false;
};

} // namespace amaranth::control::detail

#endif
