#ifndef AMARANTH_CONTROL_SRC_NODESTATISTICS_H
#define AMARANTH_CONTROL_SRC_NODESTATISTICS_H

#include "amaranth/base/Clock.h"
#include "amaranth/control/NodeService.h"

#include <deque>
#include <map>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace amaranth::control::detail {

/// What operators see of the nodes: status, convergence, metrics.
class NodeStatistics {
public:
  NodeStatistics(base::Clock &Time, prometheus::Registry &Metrics);

  /// Returns a number for `disconnected`, which tells the connections of one
  /// node apart: an older one may end after the newer one was accepted.
  std::uint64_t recordConnection(const protocol::Identity &Node);
  void recordDisconnection(const base::NodeId &Node, std::uint64_t Connection);
  void recordMessage(const base::NodeId &Node);
  /// The node has these versions in force.
  void recordAcknowledgement(const base::NodeId &Node,
                             base::DocumentVersion Document,
                             base::StateIndex State);
  void recordRefusal(const base::NodeId &Node, const std::string &Reason);
  void recordSentBytes(const base::NodeId &Node, std::uint64_t Bytes);
  void countSnapshot();
  void countDelta();
  void countRetryAfter();

  /// A snapshot with this document version is the newest one here.
  void recordCommit(base::DocumentVersion Document);

  std::vector<ServedNode> nodes(base::StateIndex Newest) const;
  std::vector<VersionConvergence> convergence() const;
  /// Forgets nodes that are gone for ten minutes.
  void prune();

private:
  struct Record {
    ServedNode Status;
    base::TimePoint LastHeard;
    std::uint64_t Connection = 0;
  };
  struct Version {
    base::DocumentVersion Document;
    base::TimePoint SeenAt;
    std::optional<base::Millis> Duration;
  };

  void removeFromVersion(base::DocumentVersion Document);
  void updateConvergence();

  base::Clock &Time;
  std::uint64_t Connections = 0;
  std::map<base::NodeId, Record> Records;
  /// Number of connected nodes by acknowledged document version.
  std::map<base::DocumentVersion, std::size_t> NodesByVersion;
  std::deque<Version> Versions;
  prometheus::Counter *Bytes;
  prometheus::Counter *Snapshots;
  prometheus::Counter *Deltas;
  prometheus::Counter *RetryAfters;
  prometheus::Counter *Refusals;
  prometheus::Gauge *NodeCount;
  prometheus::Histogram *Convergence;
};

} // namespace amaranth::control::detail

#endif
