#ifndef AMARANTH_DATAPLANE_SLOTQUEUE_H
#define AMARANTH_DATAPLANE_SLOTQUEUE_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/ExchangeStream.h"

#include <memory>
#include <utility>
#include <vector>

namespace amaranth::dataplane {

/// What the order of waiting requests depends on.
struct WaitingWork {
  /// Rank; 0 goes first.
  std::uint32_t Priority = 0;
  /// When a response is wanted.
  base::TimePoint Objective;
  /// When a response is of no more use.
  base::TimePoint Deadline;
  /// Expected time of the request once it has a slot.
  base::Millis Service;
  /// Order of arrival.
  std::uint64_t Sequence = 0;
};

/// The slots of an upstream and the exchanges that wait for one, in the order
/// of `goesFirst`. Single-threaded.
class SlotQueue {
public:
  enum class Result : std::uint8_t { Granted, Expired, Ended, Dropped };

  explicit SlotQueue(base::Clock &Time) : Time(Time) {}

  /// Waits for a slot until `LatestStart`; under overload only as long as the
  /// objective can be met, see `holdsLate`. With `Alone`, waits until nothing
  /// else holds a slot and keeps all others waiting until the release.
  boost::asio::awaitable<Result>
  acquire(std::shared_ptr<ExchangeStream> Waiting, WaitingWork Work,
          base::TimePoint LatestStart, bool Alone);
  void release();
  /// Running work is not touched when the limit falls.
  void setLimit(std::uint32_t Slots);
  /// Ends all waits with `Dropped`.
  void dropWaiting();

  std::uint32_t inFlight() const { return Running; }
  std::uint32_t limit() const { return Limit; }
  std::size_t queued() const { return Waiters.size(); }
  /// Waiting requests that would go before `Work`.
  std::size_t ahead(const WaitingWork &Work) const;
  /// Expected wait of `Work` for a slot; `Typical` is the time of a request
  /// that runs now.
  base::Millis expectedWait(const WaitingWork &Work,
                            base::Millis Typical) const;

private:
  struct Waiter {
    std::shared_ptr<ExchangeStream> Exchange;
    WaitingWork Work;
    bool Alone = false;
    bool Granted = false;
    bool Dropped = false;
  };
  using Waiting = std::vector<std::shared_ptr<Waiter>>;

  bool available(bool Alone) const;
  Waiting::iterator next();
  void grantNext();

  base::Clock &Time;
  std::uint32_t Limit = 0;
  std::uint32_t Running = 0;
  bool AloneHeld = false;
  std::uint64_t NextSequence = 0;
  Waiting Waiters;
};

/// Gives a granted slot back at the end of a scope.
class SlotHold {
public:
  explicit SlotHold(SlotQueue &Queue) : Queue(Queue) {}
  ~SlotHold() { release(); }
  SlotHold(const SlotHold &) = delete;
  SlotHold &operator=(const SlotHold &) = delete;

  /// Gives the slot back early. Further calls do nothing.
  void release() {
    if (std::exchange(Held, false))
      Queue.release();
  }

private:
  SlotQueue &Queue;
  bool Held = true;
};

} // namespace amaranth::dataplane

#endif
