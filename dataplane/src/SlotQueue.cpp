#include "amaranth/dataplane/SlotQueue.h"

#include "SchedulingOrder.h"
#include "amaranth/base/Invariant.h"

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

asio::awaitable<SlotQueue::Result>
SlotQueue::acquire(std::shared_ptr<ExchangeStream> Exchange,
                   SchedulingParams Work, base::TimePoint LatestStart,
                   bool Suspect) {
  if (Exchange->ended())
    co_return Result::Ended;
  auto Own = std::make_shared<Waiter>();
  Own->Exchange = Exchange;
  Own->Work = Work;
  Own->Work.Sequence = NextSequence++;
  Own->Suspect = Suspect;
  Waiters.push_back(Own);
  grantNext();
  base::TimePoint Until =
      std::min(LatestStart, latestTimelyStart(Work) + base::Millis(1));
  for (;;) {
    // The objective can no longer be met. A short queue still serves the
    // request until its latest start.
    if (Time.now() >= Until && acceptsLateRequests(Waiters.size(), Limit))
      Until = LatestStart;
    if (Own->Granted || Own->Dropped || Exchange->ended() ||
        Time.now() >= Until)
      break;
    co_await Time.waitFor(Exchange->changed(), Until);
  }
  if (Own->Granted)
    co_return Result::Granted;
  if (Own->Dropped)
    co_return Result::Dropped;
  std::erase(Waiters, Own);
  co_return Exchange->ended() ? Result::Ended : Result::Expired;
}

void SlotQueue::release(bool Suspect) {
  AMARANTH_INVARIANT(Running > 0, "slot released twice");
  --Running;
  if (Suspect)
    SuspectRunning = false;
  grantNext();
}

void SlotQueue::setLimit(std::uint32_t Slots) {
  Limit = Slots;
  grantNext();
}

void SlotQueue::dropWaiters() {
  for (auto &Entry : std::exchange(Waiters, {})) {
    Entry->Dropped = true;
    Entry->Exchange->changed().notifyAll();
  }
}

std::size_t SlotQueue::countAhead(const SchedulingParams &Work) const {
  SchedulingParams New = Work;
  New.Sequence = NextSequence;
  base::TimePoint Now = Time.now();
  return static_cast<std::size_t>(
      std::count_if(Waiters.begin(), Waiters.end(), [&](const auto &Entry) {
        return precedes(Entry->Work, New, Now);
      }));
}

base::Millis SlotQueue::expectedWait(const SchedulingParams &Work,
                                     base::Millis MedianServiceTime) const {
  if (Limit == 0)
    return MedianServiceTime;
  if (Running + Waiters.size() < Limit)
    return base::Millis(0);
  SchedulingParams New = Work;
  New.Sequence = NextSequence;
  base::TimePoint Now = Time.now();
  base::Millis TotalAhead = MedianServiceTime;
  for (const auto &Entry : Waiters)
    if (precedes(Entry->Work, New, Now))
      TotalAhead =
          TotalAhead + std::max(Entry->Work.ServiceTime, base::Millis(1));
  return TotalAhead / Limit;
}

SlotQueue::WaiterList::iterator SlotQueue::nextWaiter() {
  base::TimePoint Now = Time.now();
  auto First = Waiters.end();
  for (auto It = Waiters.begin(); It != Waiters.end(); ++It)
    if (!((*It)->Suspect && SuspectRunning) &&
        (First == Waiters.end() || precedes((*It)->Work, (*First)->Work, Now)))
      First = It;
  return First;
}

void SlotQueue::grantNext() {
  while (Running < Limit) {
    auto First = nextWaiter();
    if (First == Waiters.end())
      return;
    auto Entry = *First;
    Waiters.erase(First);
    ++Running;
    SuspectRunning = SuspectRunning || Entry->Suspect;
    AMARANTH_INVARIANT(Running <= Limit, "more work than slots");
    Entry->Granted = true;
    Entry->Exchange->changed().notifyAll();
  }
}

} // namespace amaranth::dataplane
