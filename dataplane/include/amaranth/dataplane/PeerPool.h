#ifndef AMARANTH_DATAPLANE_PEERPOOL_H
#define AMARANTH_DATAPLANE_PEERPOOL_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/ExchangeStream.h"
#include "amaranth/protocol/Connection.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace amaranth::dataplane {

/// The entry node's side of an exchange. Destruction cancels an exchange that
/// is not complete; later messages for it are dropped.
class ClientExchange {
public:
  ClientExchange(const boost::asio::any_io_executor &Executor,
                 std::shared_ptr<protocol::Channel> Link, std::uint64_t Stream,
                 base::Clock &Time, std::function<void()> OnDestroyed);
  ~ClientExchange();
  ClientExchange(const ClientExchange &) = delete;
  ClientExchange &operator=(const ClientExchange &) = delete;

  /// Waits for the response head. Returns nothing when `Deadline` passes first.
  /// Throws `ExchangeAborted` with the refusal when the exchange ends without a
  /// response.
  boost::asio::awaitable<std::optional<ResponseHead>>
  readHead(base::TimePoint Deadline);
  /// Tells the peer that the response is no longer needed.
  void cancel(const std::string &Cause,
              RefusalReason Reason = RefusalReason::Cancelled);
  /// Tells the peer that this node shuts down and needs the whole response by
  /// `End`.
  void endBy(base::TimePoint End);

  ExchangeStream Body;

private:
  friend class PeerPool;

  void deliver(const protocol::Frame &Message);

  base::Clock &Time;
  std::function<void()> OnDestroyed;
  std::optional<ResponseHead> Head;
};

/// Keeps one connection for each peer node and multiplexes all exchanges over
/// it.
///
/// Single-threaded.
class PeerPool {
public:
  struct Settings {
    base::Millis DialTimeout = base::Millis(1000);
    /// Connections without exchanges are closed after this time.
    base::Millis IdleTimeout = base::Millis::seconds(60);
    std::size_t MaxPeers = 4096;
  };

  /// The references must outlive the pool, and the pool must outlive its
  /// exchanges.
  PeerPool(const boost::asio::any_io_executor &Executor, Settings Options,
           base::Clock &Time, protocol::Dialer &Network);
  ~PeerPool();

  /// Closes idle connections; runs until cancelled.
  boost::asio::awaitable<void> run();

  /// Connects to the peer if there is no open connection. Throws
  /// `ExchangeAborted` with outcome not-run when the peer cannot be reached.
  boost::asio::awaitable<void> ensureConnected(base::Address Peer);

  /// Connects if necessary and sends `Head` with the time left until
  /// `Deadline`. Throws `ExchangeAborted` with outcome not-run when the head
  /// was not queued on a connection. After it was queued, the loss of the
  /// connection results in outcome unknown.
  boost::asio::awaitable<std::shared_ptr<ClientExchange>>
  open(base::Address Peer, RequestHead Head, base::TimePoint Deadline);

  /// A message that waits longer for a connection is dropped.
  static constexpr base::Millis MaxPostDelay = base::Millis(100);
  /// Receives the `QuotaGrant` messages of peers. An exception that it throws
  /// closes the connection.
  using GrantHandler =
      std::function<void(const base::NodeId &From, base::ByteView Payload)>;

  /// Sends a short message that belongs to no exchange, after connecting if
  /// necessary. The message is lost if the peer cannot be reached.
  void post(const base::Address &Peer, protocol::MessageType Type,
            base::Bytes Payload);
  /// An empty handler drops the messages.
  void onQuotaGrant(GrantHandler Handler);

  std::size_t connections() const;
  /// Closes all connections.
  void close();

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
