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

/// Bounds the snapshots that run at the same time.
class SnapshotLimiter {
public:
  explicit SnapshotLimiter(std::size_t Limit) : Limit(Limit) {}

  /// A slot that is free again when the last copy is gone; null when none is
  /// free. The slots must not outlive the admission.
  std::shared_ptr<void> tryAcquire();

  std::size_t running() const { return Running; }
  std::size_t peak() const { return Peak; }

private:
  std::size_t Limit;
  std::size_t Running = 0;
  std::size_t Peak = 0;
};

/// What the connections of one service share.
struct NodeServiceContext {
  NodeServiceContext(NodeServiceSettings Settings,
                     const boost::asio::any_io_executor &Executor,
                     base::Clock &Time, replication::ReplicatedLog &Log,
                     NodeService::MeshQuery Query,
                     prometheus::Registry &Metrics);

  /// Takes the newest snapshot into the history; true when it changed.
  bool refresh();
  /// A random delay for a node that has to come back later.
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

/// The connection of one node.
class NodeSession : public std::enable_shared_from_this<NodeSession> {
public:
  NodeSession(std::shared_ptr<NodeServiceContext> Context,
              std::shared_ptr<protocol::Channel> Channel);

  /// Serves the node until the connection ends.
  boost::asio::awaitable<void> run();

  /// The newest snapshot changed.
  void wake() { Changed.notifyAll(); }
  void close(const std::string &Reason);
  /// To be called each second: reports currency, counts bytes, and closes the
  /// connection of a node that does not answer.
  void tick();

private:
  struct Update {
    base::DocumentVersion Document;
    base::StateIndex State;
    base::TimePoint SentAt;
    /// Held by snapshots only.
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
  boost::asio::awaitable<void> runCall(std::uint64_t Stream,
                                       CallRequest Request);
  boost::asio::awaitable<void> commitEndpoint(document::Endpoint Entry);
  /// Whether this process has proved that it knows every committed entry.
  boost::asio::awaitable<bool> confirmCurrent();
  void sendRetryAfter();
  bool wantsUpdate() const;
  void beginUpdate(std::shared_ptr<void> Slot);

  std::shared_ptr<NodeServiceContext> Context;
  std::shared_ptr<protocol::Channel> Channel;
  base::NodeId Node;
  base::Signal Changed;

  bool Subscribed = false;
  /// Tells subscriptions of one connection apart.
  std::uint64_t SubscriptionNumber = 0;
  /// What the node has in force.
  Subscribe Applied;
  bool CompareDigest = false;
  bool NeedsSnapshot = false;
  std::optional<Update> Outstanding;
  base::TimePoint LastSent;
  base::TimePoint EarliestSend;
  unsigned ConsecutiveRefusals = 0;
  std::size_t CallsInFlight = 0;
  std::uint64_t BytesCounted = 0;
  /// Control processes that the node was told.
  std::vector<std::string> SentControls;
};

} // namespace amaranth::control::detail

#endif
