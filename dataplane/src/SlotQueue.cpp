#include "amaranth/dataplane/SlotQueue.h"

#include "WorkOrder.h"
#include "amaranth/base/Invariant.h"

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

bool SlotQueue::available(bool Alone) const {
  if (Alone)
    return Running == 0 && Limit != 0;
  return !AloneHeld && Running < Limit;
}

asio::awaitable<SlotQueue::Result>
SlotQueue::acquire(std::shared_ptr<ExchangeStream> Waiting, WaitingWork Work,
                   base::TimePoint LatestStart, bool Alone) {
  if (Waiting->ended())
    co_return Result::Ended;
  auto Mine = std::make_shared<Waiter>();
  Mine->Exchange = Waiting;
  Mine->Work = Work;
  Mine->Work.Sequence = NextSequence++;
  Mine->Alone = Alone;
  Waiters.push_back(Mine);
  grantNext();
  base::TimePoint Until =
      std::min(LatestStart, latestInTime(Work) + base::Millis(1));
  for (;;) {
    // The objective is out of reach from here on.
    if (Time.now() >= Until && holdsLate(Waiters.size(), Limit))
      Until = LatestStart;
    if (Mine->Granted || Mine->Dropped || Waiting->ended() ||
        Time.now() >= Until)
      break;
    co_await Time.waitFor(Waiting->changed(), Until);
  }
  if (Mine->Granted)
    co_return Result::Granted;
  if (Mine->Dropped)
    co_return Result::Dropped;
  std::erase(Waiters, Mine);
  // A waiter that wanted to run alone kept the others waiting.
  grantNext();
  co_return Waiting->ended() ? Result::Ended : Result::Expired;
}

void SlotQueue::release() {
  AMARANTH_INVARIANT(Running > 0, "slot released twice");
  --Running;
  AloneHeld = false;
  grantNext();
}

void SlotQueue::setLimit(std::uint32_t Slots) {
  Limit = Slots;
  grantNext();
}

void SlotQueue::dropWaiting() {
  for (auto &Entry : std::exchange(Waiters, {})) {
    Entry->Dropped = true;
    Entry->Exchange->changed().notifyAll();
  }
}

std::size_t SlotQueue::ahead(const WaitingWork &Work) const {
  WaitingWork New = Work;
  New.Sequence = NextSequence;
  base::TimePoint Now = Time.now();
  return static_cast<std::size_t>(
      std::count_if(Waiters.begin(), Waiters.end(), [&](const auto &Entry) {
        return goesFirst(Entry->Work, New, Now);
      }));
}

base::Millis SlotQueue::expectedWait(const WaitingWork &Work,
                                     base::Millis Typical) const {
  if (Limit == 0)
    return Typical;
  if (Running + Waiters.size() < Limit)
    return base::Millis(0);
  WaitingWork New = Work;
  New.Sequence = NextSequence;
  base::TimePoint Now = Time.now();
  base::Millis Before = Typical;
  for (const auto &Entry : Waiters)
    if (goesFirst(Entry->Work, New, Now))
      Before = Before + std::max(Entry->Work.Service, base::Millis(1));
  return Before / Limit;
}

SlotQueue::Waiting::iterator SlotQueue::next() {
  base::TimePoint Now = Time.now();
  return std::min_element(Waiters.begin(), Waiters.end(),
                          [&](const auto &Left, const auto &Right) {
                            return goesFirst(Left->Work, Right->Work, Now);
                          });
}

void SlotQueue::grantNext() {
  while (!Waiters.empty()) {
    auto First = next();
    auto Entry = *First;
    if (!available(Entry->Alone))
      return;
    Waiters.erase(First);
    ++Running;
    AloneHeld = Entry->Alone;
    AMARANTH_INVARIANT(Running <= Limit, "more work than slots");
    Entry->Granted = true;
    Entry->Exchange->changed().notifyAll();
  }
}

} // namespace amaranth::dataplane
