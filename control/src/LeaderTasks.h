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

/// Reports connected nodes and rollout evidence to the leader. On the leader,
/// collects these reports and expires the endpoints of nodes that no control
/// process reports any more.
class LeaderTasks : public std::enable_shared_from_this<LeaderTasks> {
public:
  LeaderTasks(base::Clock &Time, replication::ReplicatedLog &Log,
              base::Millis ProposeTimeout)
      : Time(Time), Log(Log), ProposeTimeout(ProposeTimeout) {}

  /// Adds the evidence of a node to the next report to the leader.
  void addEvidence(const rollout::EvidenceReport &Report);

  /// Must be called periodically with the nodes connected to this process.
  /// Sends the report and, on the leader, starts the expiry of endpoints.
  void tick(const boost::asio::any_io_executor &Executor,
            std::vector<base::NodeId> ConnectedNodes,
            const document::MeshSnapshot &Mesh);

  /// Processes a report from another control process. Throws
  /// `base::ProtocolError` if it is malformed.
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
  /// Term in which this process is the leader; empty if it is not the leader.
  std::optional<base::Term> LeadingTerm;
  bool ExpiryInProgress = false;
};

} // namespace amaranth::control::detail

#endif
