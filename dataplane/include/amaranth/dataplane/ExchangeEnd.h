#ifndef AMARANTH_DATAPLANE_EXCHANGEEND_H
#define AMARANTH_DATAPLANE_EXCHANGEEND_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Signal.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/protocol/Channel.h"

#include <deque>
#include <memory>
#include <optional>

namespace amaranth::dataplane {

/// An exchange ended before its message was complete.
class ExchangeEnded : public base::Error {
public:
  explicit ExchangeEnded(Refusal Why)
      : base::Error(reasonText(Why.Why) + ": " + Why.Text),
        Why(std::move(Why)) {}

  const Refusal &refusal() const { return Why; }

private:
  Refusal Why;
};

/// One side of an exchange: the body that it sends and the body that it
/// receives, each under a window of `WindowBytes`.
///
/// Single-threaded. One task receives and one task sends at a time. The owner
/// of the connection delivers the peer's messages through the `on...`
/// functions, which never wait.
class ExchangeEnd {
public:
  enum class Side : std::uint8_t { Entry, Gate };

  ExchangeEnd(const boost::asio::any_io_executor &Executor,
              std::shared_ptr<protocol::Channel> Link, std::uint64_t Stream,
              Side Here);

  /// Sends a piece of at most `MaxPieceBytes`; waits for the window. Throws
  /// `ExchangeEnded`.
  boost::asio::awaitable<void> sendData(base::Bytes Data, bool End);
  /// The next piece of the peer's body; the one with `End` is the last.
  /// Throws `ExchangeEnded` when the body breaks off.
  boost::asio::awaitable<BodyPiece> readData();

  void onData(BodyPiece Piece);
  void onWindow(std::uint32_t Bytes);
  /// Ends the exchange; pending operations throw. The first call counts.
  void end(Refusal Why);

  bool ended() const { return Ending.has_value(); }
  /// Only when `ended`.
  const Refusal &ending() const { return *Ending; }
  /// True when the peer's body was delivered up to its end.
  bool bodyComplete() const { return LastSeen; }
  std::size_t bufferedBytes() const { return Buffered; }
  std::uint64_t stream() const { return Stream; }
  protocol::Channel &link() { return *Link; }
  /// Notified on every change.
  base::Signal &changed() { return Changed; }

private:
  std::shared_ptr<protocol::Channel> Link;
  std::uint64_t Stream;
  Side Here;
  base::Signal Changed;
  std::deque<BodyPiece> Inbox;
  std::size_t Buffered = 0;
  std::size_t Credit = WindowBytes;
  std::optional<Refusal> Ending;
  bool LastReceived = false;
  bool LastSeen = false;
};

} // namespace amaranth::dataplane

#endif
