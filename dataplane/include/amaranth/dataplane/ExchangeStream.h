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

/// An exchange ended before its message was complete.
class ExchangeAborted : public base::Error {
public:
  explicit ExchangeAborted(Refusal Cause)
      : base::Error(reasonText(Cause.Reason) + ": " + Cause.Text),
        Cause(std::move(Cause)) {}

  const Refusal &refusal() const { return Cause; }

private:
  Refusal Cause;
};

/// One side of an exchange: the body that it sends and the body that it
/// receives, each under a window of `WindowBytes`.
///
/// Single-threaded. One task receives and one task sends at a time. The owner
/// of the connection delivers the peer's messages through the `on...`
/// functions, which never wait.
class ExchangeStream {
public:
  enum class Role : std::uint8_t { Entry, Gate };

  ExchangeStream(const boost::asio::any_io_executor &Executor,
                 std::shared_ptr<protocol::Channel> Channel,
                 std::uint64_t StreamId, Role LocalRole);

  /// Sends a piece of at most `MaxPieceBytes`; waits for the window. Throws
  /// `ExchangeAborted`.
  boost::asio::awaitable<void> sendData(base::Bytes Data, bool End);
  /// The next piece of the peer's body; the one with `End` is the last.
  /// Throws `ExchangeAborted` when the body breaks off.
  boost::asio::awaitable<BodyPiece> readData();

  void onData(BodyPiece Piece);
  void onWindow(std::uint32_t Bytes);
  /// Ends the exchange; pending operations throw. The first call counts.
  void end(Refusal Cause);

  bool ended() const { return EndCause.has_value(); }
  /// Only when `ended`.
  const Refusal &endCause() const { return *EndCause; }
  /// True when the peer's body was delivered up to its end.
  bool bodyComplete() const { return EndDelivered; }
  std::size_t bufferedBytes() const { return Buffered; }
  std::uint64_t streamId() const { return StreamId; }
  protocol::Channel &channel() { return *Channel; }
  /// Notified on every change.
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
