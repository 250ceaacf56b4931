#include "amaranth/dataplane/SlotQueue.h"

#include "amaranth/base/Invariant.h"
#include "amaranth/base/Timeout.h"

namespace asio = boost::asio;

namespace amaranth::dataplane {

bool SlotQueue::available(bool Alone) const {
  if (Alone)
    return Running == 0 && Limit != 0;
  return !AloneHeld && Running < Limit;
}

asio::awaitable<SlotQueue::Result>
SlotQueue::acquire(std::shared_ptr<ExchangeEnd> Waiting,
                   base::TimePoint Deadline, bool Alone) {
  if (Waiting->ended())
    co_return Result::Ended;
  auto Mine = std::make_shared<Waiter>();
  Mine->Exchange = Waiting;
  Mine->Alone = Alone;
  Key Place(Deadline, NextSequence++);
  Waiters.emplace(Place, Mine);
  grantNext();
  while (!Mine->Granted && !Mine->Dropped && !Waiting->ended() &&
         Time.now() < Deadline)
    co_await base::withTimeout(Time, Deadline - Time.now(),
                               Waiting->changed().wait());
  if (Mine->Granted)
    co_return Result::Granted;
  if (Mine->Dropped)
    co_return Result::Dropped;
  Waiters.erase(Place);
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
  for (auto &[Place, Entry] : std::exchange(Waiters, {})) {
    Entry->Dropped = true;
    Entry->Exchange->changed().notifyAll();
  }
}

void SlotQueue::grantNext() {
  while (!Waiters.empty()) {
    auto First = Waiters.begin();
    auto Entry = First->second;
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
