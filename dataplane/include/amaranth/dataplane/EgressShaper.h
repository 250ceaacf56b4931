#ifndef AMARANTH_DATAPLANE_EGRESSSHAPER_H
#define AMARANTH_DATAPLANE_EGRESSSHAPER_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/ExchangeStream.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <memory>
#include <vector>

namespace amaranth::dataplane {

/// Schedules the large bodies that this node sends to other nodes over a
/// bandwidth-limited link.
///
/// Without shaping, large responses on a slow link fill the send buffers of all
/// connections and the queue of the link, and every short message is delayed
/// behind them: the calls that the upstream makes, and the responses to calls
/// of other nodes. With shaping, large bodies wait in the node and are sent one
/// piece at a time in the order of `precedes`, so that responses that can still
/// meet their objective complete one after another instead of all being late.
/// Single-threaded.
class EgressShaper {
public:
  /// Bounds the delay of a short message behind one piece: a piece takes about
  /// 5 ms at 12 Mbit/s.
  static constexpr std::size_t PieceBytes = 8U << 10U;
  /// Percentage of the link bandwidth available to shaped bodies. The rest is
  /// reserved for packet headers and for short messages, which are not delayed;
  /// at 93 % short messages still queued for 170 ms on a 12 Mbit/s link.
  static constexpr std::uint64_t BodySharePercent = 80;

  /// `BytesPerSecond` is the bandwidth of the link; 0 disables shaping. `Time`
  /// must outlive the object and its waiters.
  EgressShaper(boost::asio::any_io_executor Executor,
               std::uint64_t BytesPerSecond, base::Clock &Time);
  ~EgressShaper();

  bool isEnabled() const;
  /// Charges bytes that are sent without waiting to the link.
  void recordSent(std::size_t Bytes);
  /// Position of a new body in the order of arrival, for
  /// `SchedulingParams::Sequence`: bodies that are equal otherwise are sent one
  /// after another.
  std::uint64_t nextSequence();
  /// Waits until the next piece may be sent of a body that has `Remaining`
  /// unsent bytes. Returns early when `Sender` ends. Ignores the service time
  /// in `Work` and computes it from `Remaining`.
  boost::asio::awaitable<void> acquire(std::shared_ptr<ExchangeStream> Sender,
                                       SchedulingParams Work,
                                       std::size_t PieceSize,
                                       std::size_t Remaining);
  /// Replaces the order of a body that waits; has no effect on others.
  void reschedule(const ExchangeStream &Sender, SchedulingParams Work);
  /// Time until a waiting body has been sent, with all that precede it; 0 if it
  /// does not wait.
  base::Millis expectedCompletion(const ExchangeStream &Sender) const;
  /// Transmission time of the waiting bodies that can still meet their
  /// objective; with `IncludeLate`, of all waiting bodies.
  base::Millis backlog(bool IncludeLate) const;
  /// Time that the link needs to send `Bytes`; 0 when shaping is disabled.
  base::Millis transmissionTime(std::size_t Bytes) const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
