#ifndef AMARANTH_FOLLOWER_SRC_FOLLOWERIMPL_H
#define AMARANTH_FOLLOWER_SRC_FOLLOWERIMPL_H

#include "CallTable.h"
#include "ControlSearch.h"
#include "EndpointPublisher.h"
#include "SnapshotApplier.h"
#include "amaranth/control/FollowMessages.h"
#include "amaranth/follower/Follower.h"

#include <memory>
#include <optional>
#include <random>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace amaranth::follower {

/// Maintains the connection to a control process and handles its messages.
struct Follower::Impl : std::enable_shared_from_this<Follower::Impl> {
  using Connection = detail::ControlConnection;

  Impl(FollowerSettings Settings, const boost::asio::any_io_executor &Executor,
       base::Clock &Time, protocol::Dialer &Dial,
       prometheus::Registry &Metrics);

  /// Keeps the node connected to a control process until `stop`.
  boost::asio::awaitable<void> connectLoop();
  /// Periodically sends evidence and due endpoint updates, and replaces a stale
  /// connection as soon as it is found to be stale.
  boost::asio::awaitable<void> tickLoop();
  void stop();

  bool isConnected() const { return Active && Active->Channel->isOpen(); }
  /// Waits until connected, stopped, or past the deadline.
  boost::asio::awaitable<void> waitUntilConnected(base::TimePoint Deadline);

  /// Sends a call over the active connection and returns its correlation id.
  /// Requires `isConnected`.
  std::uint64_t sendCall(base::Bytes Command, base::TimePoint Deadline);
  void sendEndpoints(bool Reconnected);
  void addService(const base::ServiceName &Service);
  FollowerStatus status() const;

  FollowerSettings Settings;
  boost::asio::any_io_executor Executor;
  base::Clock &Time;
  protocol::Dialer &Dial;
  std::shared_ptr<detail::ControlSearch> Search;
  detail::SnapshotApplier Applier;
  detail::EndpointPublisher Publisher;
  detail::CallTable Calls;
  base::Signal SnapshotChanged;
  base::Signal ConnectionChanged;
  rollout::EvidenceReport PendingEvidence;

private:
  boost::asio::awaitable<void> runConnection(std::shared_ptr<Connection> Conn);
  boost::asio::awaitable<void> replaceStaleConnection();
  /// Called after a search that found no current process, for example because
  /// there is no majority.
  void pauseSearches();
  boost::asio::awaitable<void> subscribeAfter(std::shared_ptr<Connection> Conn,
                                              base::Millis Delay);
  void handle(Connection &From, const protocol::Frame &Message);
  void handleUpdate(const protocol::Frame &Message);
  /// Applies a snapshot piece or a delta. Returns whether a new snapshot is in
  /// effect. Throws `UpdateRefused`.
  bool apply(const protocol::Frame &Message);
  /// Throws `UpdateRefused` if the message is malformed.
  static control::CompressedUpdate decompress(base::ByteView Payload);
  void onUpdateApplied();
  void onUpdateRefused(const detail::UpdateRefused &Refusal);
  void handleCurrency(Connection &From, const control::Currency &Message);
  /// Records a message from a process that is current.
  void onCurrent(const Connection &From);
  void subscribe();
  void sendEvidence();
  /// Time since the control process last sent a `Currency` message or a part of
  /// an update.
  base::Millis silence(const Connection &Conn) const;
  bool isSilent(const Connection &Conn) const;
  bool isStale(const Connection &Conn) const;
  /// Why a stale connection is closed, for the log.
  std::string staleReason(const Connection &Conn) const;
  base::Millis nextBackoff();
  /// Time until the next tick, earlier if the connection turns silent before.
  base::Millis nextTickDelay() const;
  void postToControl(protocol::MessageType Type, std::uint64_t Stream,
                     base::Bytes Payload);

  std::shared_ptr<Connection> Active;
  /// Established to replace a stale `Active` connection.
  std::shared_ptr<Connection> Replacement;
  bool Stopped = false;
  unsigned FailedAttempts = 0;
  /// Last document version that was logged.
  base::DocumentVersion LoggedDocument;
  /// Pause after the next search that finds no current process. Doubles with
  /// each such search in a row.
  base::Millis StalePause;
  /// No search replaces a stale connection before this time.
  base::TimePoint NextSwitchTime;
  /// The connection of the last message from a current process, when it
  /// arrived, and the dials until then.
  std::weak_ptr<protocol::Channel> LastCurrentChannel;
  std::optional<base::TimePoint> LastCurrentTime;
  std::uint64_t DialsAtLastCurrent = 0;
  std::mt19937_64 Random;
  FollowerStatus Status;
  prometheus::Counter *AppliedCount;
  prometheus::Counter *RefusedCount;
  prometheus::Counter *ConnectionCount;
  prometheus::Counter *ReceivedBytes;
  prometheus::Histogram *FailoverTime;
  prometheus::Histogram *FailoverDials;
  prometheus::Gauge *DocumentGauge;
  prometheus::Gauge *StateGauge;
};

} // namespace amaranth::follower

#endif
