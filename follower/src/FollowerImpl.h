#ifndef AMARANTH_FOLLOWER_SRC_FOLLOWERIMPL_H
#define AMARANTH_FOLLOWER_SRC_FOLLOWERIMPL_H

#include "CallTable.h"
#include "ControlChooser.h"
#include "EndpointPublisher.h"
#include "SnapshotApplier.h"
#include "amaranth/control/FollowMessages.h"
#include "amaranth/follower/Follower.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace prometheus {
class Counter;
class Gauge;
} // namespace prometheus

namespace amaranth::follower {

/// Maintains the connection to a control process and handles its messages.
struct Follower::Impl : std::enable_shared_from_this<Follower::Impl> {
  /// An established connection and the freshness of its control process.
  struct Connection {
    std::shared_ptr<protocol::Channel> Channel;
    std::size_t ProcessIndex = 0;
    /// When the last `Currency` message or update arrived; initially when the
    /// connection was established.
    base::TimePoint LastHeardTime;
    /// As reported in the last `Currency` message.
    base::Millis Staleness;
  };

  Impl(FollowerSettings Settings, const boost::asio::any_io_executor &Executor,
       base::Clock &Time, protocol::Dialer &Dial,
       prometheus::Registry &Metrics);

  /// Connects to control processes one after another until `stop`.
  boost::asio::awaitable<void> connectLoop();
  /// Periodically sends evidence and due endpoint updates, and replaces a stale
  /// connection.
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
  detail::ControlChooser Chooser;
  detail::SnapshotApplier Applier;
  detail::EndpointPublisher Publisher;
  detail::CallTable Calls;
  base::Signal SnapshotChanged;
  base::Signal ConnectionChanged;
  rollout::EvidenceReport PendingEvidence;

private:
  /// Dials a process and returns a connection, which may come from an earlier
  /// dial. Returns null if there is none after `DialTimeout` or if the dial
  /// fails; a dial that takes longer goes on.
  boost::asio::awaitable<std::shared_ptr<Connection>>
  connect(std::size_t ProcessIndex);
  /// Runs one dial to its end. The connection goes to `Established` if one is
  /// needed.
  boost::asio::awaitable<void> dial(std::size_t ProcessIndex);
  /// Returns an established connection that is still open, or null.
  std::shared_ptr<Connection> takeEstablished();
  void closeEstablished();
  /// Waits for `Span`, or until a dial has established a connection.
  boost::asio::awaitable<void> waitForConnection(base::Millis Span);
  boost::asio::awaitable<void> runConnection(std::shared_ptr<Connection> Conn);
  boost::asio::awaitable<void> replaceStaleConnection();
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
  void addControlProcesses(const std::vector<std::string> &Addresses);
  void handleCurrency(Connection &From, const control::Currency &Message);
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
  void postToControl(protocol::MessageType Type, std::uint64_t Stream,
                     base::Bytes Payload);

  /// Processes to which a dial is running.
  std::set<std::size_t> Dialing;
  /// Connections of dials that took longer than `DialTimeout`, not in use yet.
  std::deque<std::shared_ptr<Connection>> Established;
  base::Signal DialEnded;
  std::shared_ptr<Connection> Active;
  /// Established to replace a stale `Active` connection.
  std::shared_ptr<Connection> Replacement;
  bool Stopped = false;
  unsigned FailedAttempts = 0;
  /// Last document version that was logged.
  base::DocumentVersion LoggedDocument;
  /// Attempts to replace a stale connection since the last fresh one, counted
  /// within the current round over all control processes.
  std::size_t ConsecutiveStale = 0;
  /// Completed rounds in which every process was stale, capped at
  /// `MaxStaleDoublings`.
  unsigned StaleRounds = 0;
  /// A stale connection is not replaced before this time.
  base::TimePoint NextSwitchTime;
  std::mt19937_64 Random;
  FollowerStatus Status;
  prometheus::Counter *AppliedCount;
  prometheus::Counter *RefusedCount;
  prometheus::Counter *ConnectionCount;
  prometheus::Counter *ReceivedBytes;
  prometheus::Gauge *DocumentGauge;
  prometheus::Gauge *StateGauge;
};

} // namespace amaranth::follower

#endif
