#ifndef AMARANTH_CONTROL_SRC_NODESESSION_H
#define AMARANTH_CONTROL_SRC_NODESESSION_H

#include "LeaderTasks.h"
#include "NodeStatistics.h"
#include "amaranth/base/Signal.h"
#include "amaranth/control/MeshHistory.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace amaranth::control::detail {

/// Limits the number of snapshots in flight.
class SnapshotLimiter {
public:
  explicit SnapshotLimiter(std::size_t Limit) : Limit(Limit) {}

  /// Returns a slot that is released when its last copy is destroyed, or null
  /// if none is free. Slots must not outlive the limiter.
  std::shared_ptr<void> tryAcquire();

  std::size_t running() const { return Running; }
  std::size_t peak() const { return Peak; }

private:
  std::size_t Limit;
  std::size_t Running = 0;
  std::size_t Peak = 0;
};

/// State that all sessions of a `NodeService` share.
struct NodeServiceContext {
  NodeServiceContext(NodeServiceSettings Settings,
                     const boost::asio::any_io_executor &Executor,
                     base::Clock &Time, replication::ReplicatedLog &Log,
                     NodeService::MeshQuery Query,
                     prometheus::Registry &Metrics);

  /// Adds the latest snapshot to the history. Returns whether it changed.
  bool refresh();
  /// Returns a random delay for a node that is asked to retry later.
  base::Millis randomRetryDelay();

  NodeServiceSettings Settings;
  boost::asio::any_io_executor Executor;
  base::Clock &Time;
  replication::ReplicatedLog &Log;
  NodeService::MeshQuery Query;
  MeshHistory History;
  SnapshotLimiter SnapshotSlots;
  NodeStatistics Statistics;
  std::shared_ptr<LeaderTasks> Tasks;
  std::mt19937_64 Random;
};

/// Serves the connection of a node.
class NodeSession : public std::enable_shared_from_this<NodeSession> {
public:
  NodeSession(std::shared_ptr<NodeServiceContext> Context,
              std::shared_ptr<protocol::Channel> Channel);

  /// Serves the node until the connection ends.
  boost::asio::awaitable<void> run();

  /// Notifies the session that the latest snapshot changed.
  void wake() { Changed.notifyAll(); }
  void close(const std::string &Reason);
  /// Must be called periodically. Sends a `Currency` message, updates the byte
  /// count, and closes the connection if the node has not acknowledged an
  /// update in time.
  void tick();

private:
  struct Update {
    base::DocumentVersion Document;
    base::StateIndex State;
    base::TimePoint SentAt;
    /// Slot of the snapshot limiter; null for deltas.
    std::shared_ptr<void> Slot;
  };

  void handle(const protocol::Frame &Message);
  void handleSubscribe(Subscribe Message);
  void handleAcknowledge(const Acknowledge &Message);
  void handleApplyFailure(const ApplyFailure &Message);
  void startCall(std::uint64_t Stream, CallRequest Request);
  void startEndpointUpdate(document::Endpoint Entry);
  void reply(std::uint64_t Stream, const CallReply &Answer);
  void replyResult(std::uint64_t Stream, ResultCode Code, std::string Message);
  void countBytes();
  void sendCurrency();

  boost::asio::awaitable<void> updateLoop();
  boost::asio::awaitable<void> sendUpdate();
  boost::asio::awaitable<void> sendSnapshot();
  boost::asio::awaitable<void> send(const EncodedUpdate &Update);
  boost::asio::awaitable<void> runCall(std::uint64_t Stream,
                                       CallRequest Request);
  boost::asio::awaitable<void> commitEndpoint(document::Endpoint Entry);
  /// Returns whether this process could confirm that it has applied every
  /// committed entry.
  boost::asio::awaitable<bool> confirmCurrent();
  void sendRetryAfter();
  bool wantsUpdate() const;
  void beginUpdate(std::shared_ptr<void> Slot);

  std::shared_ptr<NodeServiceContext> Context;
  std::shared_ptr<protocol::Channel> Channel;
  base::NodeId Node;
  base::Signal Changed;

  bool Subscribed = false;
  /// Incremented with each subscription on this connection.
  std::uint64_t SubscriptionNumber = 0;
  /// The subscription, updated with the state that the node acknowledged.
  Subscribe Applied;
  bool CompareDigest = false;
  bool NeedsSnapshot = false;
  std::optional<Update> Outstanding;
  base::TimePoint LastSent;
  base::TimePoint EarliestSend;
  unsigned ConsecutiveRefusals = 0;
  std::size_t CallsInFlight = 0;
  std::uint64_t BytesCounted = 0;
  /// Control process addresses that were last sent to the node.
  std::vector<std::string> SentControls;
};

} // namespace amaranth::control::detail

#endif
