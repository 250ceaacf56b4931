#ifndef AMARANTH_FOLLOWER_SRC_FOLLOWERIMPL_H
#define AMARANTH_FOLLOWER_SRC_FOLLOWERIMPL_H

#include "CallTable.h"
#include "ControlChooser.h"
#include "EndpointPublisher.h"
#include "SnapshotApplier.h"
#include "amaranth/follower/Follower.h"

#include <memory>
#include <optional>
#include <random>

namespace prometheus {
class Counter;
class Gauge;
} // namespace prometheus

namespace amaranth::follower {

/// The connection to a control process and everything sent over it.
struct Follower::Impl : std::enable_shared_from_this<Follower::Impl> {
  /// One connection.
  struct Connection {
    std::shared_ptr<protocol::Channel> Channel;
    std::size_t ProcessIndex = 0;
    /// When the last `Currency` arrived, or the connection opened.
    base::TimePoint LastCurrencyTime;
    base::Millis Staleness;
  };

  Impl(FollowerSettings Settings, const boost::asio::any_io_executor &Executor,
       base::Clock &Time, protocol::Dialer &Dial,
       prometheus::Registry &Metrics);

  /// Connects, follows, and connects again until `stop`.
  boost::asio::awaitable<void> connectLoop();
  /// Sends what is due each second and leaves a stale control process.
  boost::asio::awaitable<void> tickLoop();
  void stop();

  bool isConnected() const { return Active && Active->Channel->isOpen(); }
  /// Returns when connected, stopped, or at the deadline.
  boost::asio::awaitable<void> waitUntilConnected(base::TimePoint Deadline);

  /// Needs a connection; returns the id of the call.
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
  boost::asio::awaitable<std::shared_ptr<protocol::Channel>>
  dial(std::size_t ProcessIndex);
  boost::asio::awaitable<void> runConnection(std::shared_ptr<Connection> Conn);
  boost::asio::awaitable<void> replaceStaleConnection();
  boost::asio::awaitable<void> subscribeAfter(std::shared_ptr<Connection> Conn,
                                              base::Millis Delay);
  void handle(Connection &From, const protocol::Frame &Message);
  void handleUpdate(const protocol::Frame &Message);
  void onUpdateApplied();
  void onUpdateRefused(const detail::UpdateRefused &Refusal);
  void addControlProcesses(const std::vector<std::string> &Addresses);
  void handleCurrency(Connection &From, const control::Currency &Message);
  void subscribe();
  void sendEvidence();
  bool isSilent(const Connection &Conn) const;
  bool isStale(const Connection &Conn) const;
  base::Millis nextBackoff();
  void postToControl(protocol::MessageType Type, std::uint64_t Stream,
                     base::Bytes Payload);

  std::shared_ptr<Connection> Active;
  /// Dialed to take the place of a stale connection.
  std::shared_ptr<Connection> Replacement;
  bool Stopped = false;
  unsigned FailedAttempts = 0;
  /// Control processes left in sequence because they were stale, and rounds
  /// over all of them.
  std::size_t ConsecutiveStale = 0;
  unsigned StaleRounds = 0;
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
