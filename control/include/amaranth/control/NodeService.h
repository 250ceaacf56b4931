#ifndef AMARANTH_CONTROL_NODESERVICE_H
#define AMARANTH_CONTROL_NODESERVICE_H

#include "amaranth/base/Clock.h"
#include "amaranth/control/EvidenceTable.h"
#include "amaranth/control/LeaseTable.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/protocol/Channel.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace amaranth::control {

struct NodeServiceSettings {
  /// Maximum number of snapshots sent but not yet acknowledged, over all nodes.
  /// Further nodes are asked to retry later.
  std::size_t MaxConcurrentSnapshots = 32;
  /// Maximum number of pending calls and endpoint updates per node.
  std::size_t MaxCallsPerNode = 256;
  /// Minimum interval between two updates to a node.
  base::Millis UpdateInterval = base::Millis(50);
  /// A node that does not acknowledge an update within this time is
  /// disconnected.
  base::Millis AcknowledgeTimeout = base::Millis::seconds(10);
  base::Millis ReadIndexTimeout = base::Millis::seconds(2);
  /// Timeout for proposing endpoint updates and expiries, and the upper limit
  /// for the timeout of node calls.
  base::Millis ProposeTimeout = base::Millis::seconds(5);
  /// Range of the random delay for nodes that are asked to retry later.
  base::Millis RetryAfterMin = base::Millis(100);
  base::Millis RetryAfterMax = base::Millis(1000);
  /// Seed of the random delays; 0 means a seed from the operating system.
  std::uint64_t Seed = 0;
};

/// Status of a node that is, or recently was, connected to this control
/// process.
struct ServedNode {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  bool Connected = false;
  /// Versions that the node last acknowledged; 0 before the first
  /// acknowledgement.
  base::DocumentVersion Document;
  base::StateIndex State;
  /// Number of log entries by which the node's state lags behind this process.
  std::uint64_t EntriesBehind = 0;
  /// Time since the last message from the node.
  base::Millis SinceHeard;
  /// Number of updates that the node rejected, and the reason of the last one.
  std::uint64_t Failures = 0;
  std::string LastFailure;
  /// Total over all connections of the node to this process.
  std::uint64_t BytesSent = 0;
};

/// Time that a document version took to reach the nodes of this process.
struct VersionConvergence {
  base::DocumentVersion Document;
  /// Time from the commit, as seen by this process, to the last
  /// acknowledgement. Empty until all nodes have acknowledged the version.
  std::optional<base::Millis> Duration;
};

/// Distributes the configuration to the nodes that connect to this control
/// process.
///
/// Not thread-safe. `Time`, `Log` and the registry must outlive the service
/// and the `io_context` tasks that it started.
class NodeService {
public:
  /// Returns the latest snapshot of the applied state, or null.
  using MeshQuery =
      std::function<std::shared_ptr<const document::MeshSnapshot>()>;

  NodeService(NodeServiceSettings Settings,
              const boost::asio::any_io_executor &Executor, base::Clock &Time,
              replication::ReplicatedLog &Log, MeshQuery Mesh,
              prometheus::Registry &Metrics);
  /// Stops the service.
  ~NodeService();
  NodeService(const NodeService &) = delete;
  NodeService &operator=(const NodeService &) = delete;

  /// Starts following the log and sending periodic messages.
  void start();
  /// Closes all connections, which makes all `serve` calls return.
  void stop();

  /// Serves a connection until it ends. Closes the connection if the peer is
  /// not a node. A new connection from a node replaces its previous one.
  boost::asio::awaitable<void>
  serve(std::shared_ptr<protocol::Channel> Channel);

  /// Processes a message that another control process sent through
  /// `ReplicatedLog::postToLeader`. Malformed messages are logged and dropped.
  void receiveReport(base::ByteView Message);

  /// Nodes that are connected or were connected in the last 10 minutes.
  std::vector<ServedNode> nodes() const;
  /// Recent document versions, oldest first.
  std::vector<VersionConvergence> convergence() const;

  /// Valid only while this process is the leader.
  const LeaseTable &leases() const;
  const EvidenceTable &evidence() const;

  /// Number of snapshots in flight, and its maximum so far.
  std::size_t runningSnapshots() const;
  std::size_t peakSnapshots() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::control

#endif
