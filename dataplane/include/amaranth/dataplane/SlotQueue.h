#ifndef AMARANTH_DATAPLANE_SLOTQUEUE_H
#define AMARANTH_DATAPLANE_SLOTQUEUE_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/ExchangeEnd.h"

#include <map>
#include <memory>
#include <utility>

namespace amaranth::dataplane {

/// The slots of an upstream and the exchanges that wait for one, the earliest
/// deadline first. Single-threaded.
class SlotQueue {
public:
  enum class Result : std::uint8_t { Granted, Expired, Ended, Dropped };

  explicit SlotQueue(base::Clock &Time) : Time(Time) {}

  /// Waits for a slot until `Deadline`. With `Alone`, waits until nothing
  /// else holds a slot and keeps all others waiting until the release.
  boost::asio::awaitable<Result> acquire(std::shared_ptr<ExchangeEnd> Waiting,
                                         base::TimePoint Deadline, bool Alone);
  void release();
  /// Running work is not touched when the limit falls.
  void setLimit(std::uint32_t Slots);
  /// Ends all waits with `Dropped`.
  void dropWaiting();

  std::uint32_t inFlight() const { return Running; }
  std::uint32_t limit() const { return Limit; }
  std::size_t queued() const { return Waiters.size(); }

private:
  struct Waiter {
    std::shared_ptr<ExchangeEnd> Exchange;
    bool Alone = false;
    bool Granted = false;
    bool Dropped = false;
  };
  using Key = std::pair<base::TimePoint, std::uint64_t>;

  bool available(bool Alone) const;
  void grantNext();

  base::Clock &Time;
  std::uint32_t Limit = 0;
  std::uint32_t Running = 0;
  bool AloneHeld = false;
  std::uint64_t NextSequence = 0;
  std::map<Key, std::shared_ptr<Waiter>> Waiters;
};

/// Gives a granted slot back at the end of a scope.
class SlotHold {
public:
  explicit SlotHold(SlotQueue &Queue) : Queue(Queue) {}
  ~SlotHold() { Queue.release(); }
  SlotHold(const SlotHold &) = delete;
  SlotHold &operator=(const SlotHold &) = delete;

private:
  SlotQueue &Queue;
};

} // namespace amaranth::dataplane

#endif
