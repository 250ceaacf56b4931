#ifndef AMARANTH_DATAPLANE_EGRESSSHAPER_H
#define AMARANTH_DATAPLANE_EGRESSSHAPER_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/ExchangeStream.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <memory>
#include <vector>

namespace amaranth::dataplane {

/// Divides the link of this node among the bodies that it sends to other
/// nodes.
///
/// Answers large responses on a narrow link. Sent as they arrive, they fill
/// the send buffers of all connections and the link's queue, and every short
/// message waits behind them: the calls that the upstream makes, and the
/// responses to the calls of others. Here the large bodies wait instead and one
/// piece at a time goes out, in the order of `goesFirst`: responses that can
/// still be in time complete one after the other instead of all late.
/// Single-threaded.
class EgressShaper {
public:
  /// Larger pieces would keep short messages waiting; at 12 Mbit/s one takes
  /// 5 ms.
  static constexpr std::size_t PieceBytes = 8U << 10U;
  /// Part of the link that bodies may fill, in percent. The rest is for the
  /// headers of packets and for short messages, which do not wait; at 93 they
  /// still queued for 170 ms on a link of 12 Mbit/s.
  static constexpr std::uint64_t BodySharePercent = 80;

  /// `BytesPerSecond` is what the link carries; 0 for a link that is not
  /// shaped. `Time` must outlive the object and its waiters.
  EgressShaper(boost::asio::any_io_executor Executor,
               std::uint64_t BytesPerSecond, base::Clock &Time);
  ~EgressShaper();

  bool shapes() const;
  /// Counts bytes that go out without waiting.
  void took(std::size_t Bytes);
  /// Waits until a piece may go out of a body of which `Left` bytes are still
  /// to be sent. Returns early when `Sender` ends. The service time of `Work`
  /// is set by this function.
  boost::asio::awaitable<void> acquire(std::shared_ptr<ExchangeStream> Sender,
                                       WaitingWork Work, std::size_t Piece,
                                       std::size_t Left);
  /// Time that the link needs for the waiting bodies that can be in time; with
  /// `Late`, for all that wait.
  base::Millis backlog(bool Late) const;
  /// Time that the link needs for `Bytes`; 0 for a link that is not shaped.
  base::Millis timeFor(std::size_t Bytes) const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
