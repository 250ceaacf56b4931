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

/// Node status, convergence times and metrics for operators.
class NodeStatistics {
public:
  NodeStatistics(base::Clock &Time, prometheus::Registry &Metrics);

  /// Returns a connection number to pass to `recordDisconnection`. It
  /// distinguishes the connections of a node, because an older one may end
  /// after a newer one was accepted.
  std::uint64_t recordConnection(const protocol::Identity &Node);
  void recordDisconnection(const base::NodeId &Node, std::uint64_t Connection);
  void recordMessage(const base::NodeId &Node);
  /// Records that the node has applied these versions.
  void recordAcknowledgement(const base::NodeId &Node,
                             base::DocumentVersion Document,
                             base::StateIndex State);
  void recordRefusal(const base::NodeId &Node, const std::string &Reason);
  void recordSentBytes(const base::NodeId &Node, std::uint64_t Bytes);
  void countSnapshot();
  void countDelta();
  void countRetryAfter();

  /// Records that the latest snapshot has this document version.
  void recordCommit(base::DocumentVersion Document);

  std::vector<ServedNode> nodes(base::StateIndex Newest) const;
  std::vector<VersionConvergence> convergence() const;
  /// Removes nodes that have been disconnected for 10 minutes.
  void prune();
  /// Logs once for each document version which connected nodes have not
  /// acknowledged it in time.
  void reportLaggards();

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
    bool Reported = false;
  };

  void removeFromVersion(base::DocumentVersion Document);
  void updateConvergence();

  base::Clock &Time;
  std::uint64_t Connections = 0;
  std::map<base::NodeId, Record> Records;
  /// Number of connected nodes per acknowledged document version.
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
