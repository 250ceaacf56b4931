#ifndef AMARANTH_DATAPLANE_SLOTQUEUE_H
#define AMARANTH_DATAPLANE_SLOTQUEUE_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/CustomerShares.h"
#include "amaranth/dataplane/ExchangeStream.h"
#include "amaranth/dataplane/RequestRateLimit.h"
#include "amaranth/scheduling/OutstandingWork.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace amaranth::dataplane {

/// Parameters that determine the scheduling order of waiting requests.
struct SchedulingParams {
  /// 0 is the highest priority.
  std::uint32_t Priority = 0;
  /// Time by which the response should be complete.
  base::TimePoint Objective;
  /// Time after which the response is no longer useful.
  base::TimePoint Deadline;
  /// Typical time between getting a slot and completion.
  base::Millis ServiceTime;
  /// Position in the order of arrival.
  std::uint64_t Sequence = 0;
  /// Sender of the request; `NoCustomer` if it is no customer. Not the name,
  /// because g++ 12 destroys a temporary of a type with a destructor inside
  /// `co_await` twice.
  ShareId Customer = NoCustomer;
  /// Order among customers of the same priority; set by `CustomerShares`.
  double Turn = 0;
  /// Mean time between getting a slot and completion, for which others wait.
  base::Millis MeanServiceTime = base::Millis(0);
};

/// Concurrency limiter of an upstream: an adjustable number of slots, an
/// optional rate at which they are granted, and a queue of exchanges that wait
/// for one, ordered by `precedes`. Single-threaded.
class SlotQueue {
public:
  enum class Result : std::uint8_t { Granted, Expired, Ended, Dropped };

  explicit SlotQueue(base::Clock &Time) : Time(Time) {}

  /// Waits for a slot until `LatestStart`, or under overload only while the
  /// objective can still be met; see `acceptsLateRequests`. Of the exchanges
  /// with `Suspect`, only one holds a slot at a time: when the upstream
  /// crashes, there is only one request to blame.
  boost::asio::awaitable<Result>
  acquire(std::shared_ptr<ExchangeStream> Exchange, SchedulingParams Work,
          base::TimePoint LatestStart, bool Suspect);
  /// Replaces the order and the latest start of an exchange that waits; has no
  /// effect on others.
  void reschedule(const ExchangeStream &Exchange, SchedulingParams Work,
                  base::TimePoint LatestStart);
  /// `Suspect` must be the same as in the call of `acquire`.
  void release(bool Suspect);
  /// Called before `release` if nothing was sent: the grant does not count for
  /// the rate.
  void returnUnused() { RateLimit.giveBack(Time.now()); }
  /// Lowering the limit does not affect exchanges that already hold a slot.
  void setLimit(std::uint32_t Slots);
  /// Grants at most `Rate` slots a second, the first after `Delay`; no limit if
  /// empty.
  void setRate(std::optional<RequestRate> Rate,
               base::Millis Delay = base::Millis(0));
  std::optional<RequestRate> rate() const { return RateLimit.rate(); }
  /// Completes all pending `acquire` calls with `Dropped`.
  void dropWaiters();

  std::uint32_t inFlight() const { return Running; }
  std::uint32_t limit() const { return Limit; }
  /// Requests with this service time that can run at a time: as many as there
  /// are slots, or fewer if the rate admits no more.
  std::uint32_t capacity(base::Millis ServiceTime) const;
  /// Whether a new request would wait for a slot or for the rate.
  bool isFull() const {
    return Running >= Limit ||
           RateLimit.timeUntil(1, Time.now()) > base::Millis(0);
  }
  std::size_t queued() const { return Waiters.size(); }
  /// Number of waiting requests that precede `Work`.
  std::size_t countAhead(const SchedulingParams &Work) const;
  /// Expected time until `Work` gets a slot at the current rate. `Running`
  /// holds the running requests and gets the waiting ones that precede `Work`.
  base::Millis expectedWait(const SchedulingParams &Work,
                            scheduling::OutstandingWork &Running) const;

private:
  struct Waiter {
    void schedule(SchedulingParams Params, base::TimePoint Latest,
                  std::uint64_t Sequence);

    std::shared_ptr<ExchangeStream> Exchange;
    SchedulingParams Work;
    base::TimePoint LatestStart;
    /// End of the wait. Before `LatestStart` if the objective is missed earlier
    /// and the queue is too long for late requests.
    base::TimePoint Until;
    bool Suspect = false;
    bool Granted = false;
    bool Dropped = false;
  };
  using WaiterList = std::vector<std::shared_ptr<Waiter>>;

  /// The requests of all waiters in order of `Waiters`, followed by `New` if it
  /// is not null, with their turns.
  std::vector<SchedulingParams> withTurns(const SchedulingParams *New) const;
  /// The waiting requests that precede `Work`.
  std::vector<SchedulingParams> ahead(const SchedulingParams &Work) const;
  /// The first waiter in order that can have a slot now; the end if there is
  /// none.
  WaiterList::iterator nextWaiter();
  void grantNext();
  /// When the waiter should try again because the rate may admit it; never if
  /// it is not the first one or waits for a slot.
  base::TimePoint nextGrant(const Waiter &Own);

  base::Clock &Time;
  std::uint32_t Limit = 0;
  RequestRateLimit RateLimit;
  CustomerShares Shares;
  std::uint32_t Running = 0;
  bool SuspectRunning = false;
  std::uint64_t NextSequence = 0;
  WaiterList Waiters;
};

/// Releases a granted slot at the end of a scope.
class SlotGuard {
public:
  SlotGuard(SlotQueue &Queue, bool Suspect) : Queue(Queue), Suspect(Suspect) {}
  ~SlotGuard() { release(); }
  SlotGuard(const SlotGuard &) = delete;
  SlotGuard &operator=(const SlotGuard &) = delete;

  /// Releases the slot early. Further calls have no effect.
  void release() {
    if (std::exchange(HoldsSlot, false))
      Queue.release(Suspect);
  }

private:
  SlotQueue &Queue;
  bool Suspect;
  bool HoldsSlot = true;
};

} // namespace amaranth::dataplane

#endif
