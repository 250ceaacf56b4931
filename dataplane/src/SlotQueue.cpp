#include "amaranth/dataplane/SlotQueue.h"

#include "SchedulingOrder.h"
#include "amaranth/base/Invariant.h"

#include <algorithm>
#include <cmath>

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
  Own->Suspect = Suspect;
  Own->schedule(Work, LatestStart, NextSequence++);
  Waiters.push_back(Own);
  grantNext();
  for (;;) {
    // The objective can no longer be met. A short queue still serves the
    // request until its latest start.
    if (Time.now() >= Own->Until &&
        acceptsLateRequests(Waiters.size(), capacity(Own->Work.ServiceTime)))
      Own->Until = Own->LatestStart;
    grantNext();
    if (Own->Granted || Own->Dropped || Exchange->ended() ||
        Time.now() >= Own->Until)
      break;
    co_await Time.waitFor(Exchange->changed(),
                          std::min(Own->Until, nextGrant(*Own)));
  }
  if (Own->Granted)
    co_return Result::Granted;
  if (Own->Dropped)
    co_return Result::Dropped;
  std::erase(Waiters, Own);
  // The next waiter waits for the rate from now on.
  grantNext();
  co_return Exchange->ended() ? Result::Ended : Result::Expired;
}

void SlotQueue::Waiter::schedule(SchedulingParams Params,
                                 base::TimePoint Latest,
                                 std::uint64_t Sequence) {
  Work = Params;
  Work.Sequence = Sequence;
  LatestStart = Latest;
  Until = std::min(Latest, latestTimelyStart(Params) + base::Millis(1));
}

void SlotQueue::reschedule(const ExchangeStream &Exchange,
                           SchedulingParams Work, base::TimePoint LatestStart) {
  for (const auto &Entry : Waiters)
    if (Entry->Exchange.get() == &Exchange)
      Entry->schedule(Work, LatestStart, Entry->Work.Sequence);
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

void SlotQueue::setRate(std::optional<RequestRate> Rate, base::Millis Delay) {
  RateLimit.setRate(Rate, Time.now(), Delay);
  grantNext();
}

std::uint32_t SlotQueue::capacity(base::Millis ServiceTime) const {
  auto Rate = RateLimit.rate();
  if (!Rate || Limit == 0)
    return Limit;
  double Running =
      Rate->PerSecond * static_cast<double>(ServiceTime.count()) / 1000;
  return static_cast<std::uint32_t>(
      std::clamp(std::ceil(Running), 1.0, static_cast<double>(Limit)));
}

void SlotQueue::dropWaiters() {
  for (auto &Entry : std::exchange(Waiters, {})) {
    Entry->Dropped = true;
    Entry->Exchange->changed().notifyAll();
  }
}

std::vector<SchedulingParams>
SlotQueue::withTurns(const SchedulingParams *New) const {
  std::vector<SchedulingParams> All;
  All.reserve(Waiters.size() + 1);
  for (const auto &Entry : Waiters)
    All.push_back(Entry->Work);
  if (New)
    All.push_back(*New);
  Shares.assignTurns(All, Time.now());
  return All;
}

std::vector<SchedulingParams>
SlotQueue::ahead(const SchedulingParams &Work) const {
  SchedulingParams New = Work;
  New.Sequence = NextSequence;
  std::vector<SchedulingParams> All = withTurns(&New);
  New = All.back();
  All.pop_back();
  base::TimePoint Now = Time.now();
  std::erase_if(All, [&](const SchedulingParams &Each) {
    return !precedes(Each, New, Now);
  });
  return All;
}

std::size_t SlotQueue::countAhead(const SchedulingParams &Work) const {
  return ahead(Work).size();
}

base::Millis
SlotQueue::expectedWait(const SchedulingParams &Work,
                        scheduling::OutstandingWork &Running) const {
  std::vector<SchedulingParams> Ahead = ahead(Work);
  for (const SchedulingParams &Each : Ahead)
    Running.addWaiting(Each.MeanServiceTime);
  base::Millis RateWait = RateLimit.timeUntil(Ahead.size() + 1, Time.now());
  return std::max(RateWait, Running.untilSlot());
}

SlotQueue::WaiterList::iterator SlotQueue::nextWaiter() {
  base::TimePoint Now = Time.now();
  std::vector<SchedulingParams> Work = withTurns(nullptr);
  std::size_t First = Waiters.size();
  for (std::size_t I = 0; I < Waiters.size(); ++I)
    if (!(Waiters[I]->Suspect && SuspectRunning) &&
        (First == Waiters.size() || precedes(Work[I], Work[First], Now)))
      First = I;
  return Waiters.begin() + static_cast<std::ptrdiff_t>(First);
}

base::TimePoint SlotQueue::nextGrant(const Waiter &Own) {
  if (Running >= Limit)
    return base::TimePoint::max();
  auto First = nextWaiter();
  if (First == Waiters.end() || First->get() != &Own)
    return base::TimePoint::max();
  return Time.now() + RateLimit.timeUntil(1, Time.now());
}

void SlotQueue::grantNext() {
  while (Running < Limit) {
    auto First = nextWaiter();
    if (First == Waiters.end())
      return;
    auto Entry = *First;
    if (!RateLimit.tryAcquire(Time.now())) {
      // It may have become the first one, and then waits for the rate.
      Entry->Exchange->changed().notifyAll();
      return;
    }
    Waiters.erase(First);
    ++Running;
    Shares.recordService(Entry->Work, Time.now());
    SuspectRunning = SuspectRunning || Entry->Suspect;
    AMARANTH_INVARIANT(Running <= Limit, "more work than slots");
    Entry->Granted = true;
    Entry->Exchange->changed().notifyAll();
  }
}

} // namespace amaranth::dataplane
