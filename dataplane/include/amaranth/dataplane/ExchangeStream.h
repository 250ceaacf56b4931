#ifndef AMARANTH_DATAPLANE_EXCHANGESTREAM_H
#define AMARANTH_DATAPLANE_EXCHANGESTREAM_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Signal.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/protocol/Channel.h"

#include <deque>
#include <memory>
#include <optional>

namespace amaranth::dataplane {

/// Thrown when an exchange ends before its message is complete.
class ExchangeAborted : public base::Error {
public:
  explicit ExchangeAborted(Refusal Cause)
      : base::Error(reasonText(Cause.Reason) + ": " + Cause.Text),
        Cause(std::move(Cause)) {}

  const Refusal &refusal() const { return Cause; }

private:
  Refusal Cause;
};

/// Local side of an exchange: sends one body and receives the other, each with
/// flow control over a window of `WindowBytes`.
///
/// Not thread-safe. At most one task receives and one task sends at a time.
/// The owner of the connection passes the peer's messages to the `on...`
/// functions, which never suspend.
class ExchangeStream {
public:
  enum class Role : std::uint8_t { Entry, Gate };

  ExchangeStream(const boost::asio::any_io_executor &Executor,
                 std::shared_ptr<protocol::Channel> Channel,
                 std::uint64_t StreamId, Role LocalRole);

  /// Sends a piece of at most `MaxPieceBytes`; suspends until the send window
  /// has room for it. Throws `ExchangeAborted`.
  boost::asio::awaitable<void> sendData(base::Bytes Data, bool End);
  /// Returns the next piece of the peer's body; `End` marks the last one.
  /// Throws `ExchangeAborted` if the exchange ends before that piece.
  boost::asio::awaitable<BodyPiece> readData();

  void onData(BodyPiece Piece);
  void onWindow(std::uint32_t Bytes);
  /// Ends the exchange; pending operations throw. Later calls have no effect.
  void end(Refusal Cause);

  bool ended() const { return EndCause.has_value(); }
  /// Requires `ended()`.
  const Refusal &endCause() const { return *EndCause; }
  /// True once `readData` has returned the last piece of the peer's body.
  bool bodyComplete() const { return EndDelivered; }
  std::size_t bufferedBytes() const { return Buffered; }
  std::uint64_t streamId() const { return StreamId; }
  protocol::Channel &channel() { return *Channel; }
  /// Notified on every state change.
  base::Signal &changed() { return Changed; }

private:
  std::shared_ptr<protocol::Channel> Channel;
  std::uint64_t StreamId;
  Role LocalRole;
  base::Signal Changed;
  std::deque<BodyPiece> ReceiveQueue;
  std::size_t Buffered = 0;
  std::size_t SendWindow = WindowBytes;
  std::optional<Refusal> EndCause;
  bool EndReceived = false;
  bool EndDelivered = false;
};

} // namespace amaranth::dataplane

#endif
