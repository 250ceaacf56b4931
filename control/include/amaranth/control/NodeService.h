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
  /// Snapshots sent but not yet acknowledged, over all nodes. Others are told
  /// to come back later.
  std::size_t MaxConcurrentSnapshots = 32;
  /// Calls and endpoint updates of one node that wait for their result.
  std::size_t MaxCallsPerNode = 256;
  /// A node gets at most one update in this time.
  base::Millis UpdateInterval = base::Millis(50);
  /// A node that does not answer an update for this time is disconnected.
  base::Millis AcknowledgeTimeout = base::Millis::seconds(10);
  base::Millis ReadIndexTimeout = base::Millis::seconds(2);
  /// For endpoint updates and expiries, and the limit for calls of nodes.
  base::Millis ProposeTimeout = base::Millis::seconds(5);
  /// Nodes that are told to come back later wait a random time in this range.
  base::Millis RetryAfterMin = base::Millis(100);
  base::Millis RetryAfterMax = base::Millis(1000);
  /// Seed of the random delays; 0 takes one from the operating system.
  std::uint64_t Seed = 0;
};

/// What a control process knows about a node that it serves or served.
struct ServedNode {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  bool Connected = false;
  /// Versions that the node acknowledged; 0 before the first one.
  base::DocumentVersion Document;
  base::StateIndex State;
  /// Log entries between the node's state and the newest one here.
  std::uint64_t EntriesBehind = 0;
  /// Since the last message of the node.
  base::Millis SinceHeard;
  /// Updates that the node refused, and the last reason.
  std::uint64_t Failures = 0;
  std::string LastFailure;
  /// Over all connections of the node to this process.
  std::uint64_t BytesSent = 0;
};

/// How long a document version took to reach the nodes of this process.
struct VersionConvergence {
  base::DocumentVersion Document;
  /// From the commit, as seen by this process, to the last acknowledgement.
  /// Empty while nodes are missing.
  std::optional<base::Millis> Duration;
};

/// Serves the nodes that connect to this control process.
///
/// Single-threaded. `Time`, `Log` and the registry must outlive the service
/// and the `io_context` tasks that it started.
class NodeService {
public:
  /// The newest snapshot of the applied state, or null.
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

  /// Starts to follow the log and to send the periodic messages.
  void start();
  /// Closes all connections; `serve` calls return.
  void stop();

  /// Serves one connection until it ends. A connection whose peer is no node
  /// is closed. A new connection of a node replaces its older one.
  boost::asio::awaitable<void>
  serve(std::shared_ptr<protocol::Channel> Channel);

  /// To be called with each message that another control process passed to
  /// `ReplicatedLog::postToLeader`. Malformed messages are logged and dropped.
  void receiveReport(base::ByteView Message);

  /// Connected nodes, and others that were connected in the last ten minutes.
  std::vector<ServedNode> nodes() const;
  /// Last document versions, oldest first.
  std::vector<VersionConvergence> convergence() const;

  /// Meaningful while this process leads.
  const LeaseTable &leases() const;
  const EvidenceTable &evidence() const;

  /// Snapshots that run now, and the most at any time.
  std::size_t runningSnapshots() const;
  std::size_t peakSnapshots() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::control

#endif
