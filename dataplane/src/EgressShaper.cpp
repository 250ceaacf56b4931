#include "amaranth/dataplane/EgressShaper.h"

#include "SchedulingOrder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

constexpr double MillisPerSecond = 1000;
/// Unused link time that is made up for when a process runs late while bodies
/// wait, for example because its share of the processor is used up until the
/// end of a period of 100 ms. Without this the link carries less than
/// `transmissionTime` promises.
constexpr std::int64_t MaxCatchUpMillis = 100;

} // namespace

struct EgressShaper::Impl : std::enable_shared_from_this<EgressShaper::Impl> {
  struct Waiter {
    std::shared_ptr<ExchangeStream> Sender;
    SchedulingParams Work;
    std::size_t PieceSize = 0;
    std::size_t Remaining = 0;
    bool Granted = false;
  };

  Impl(asio::any_io_executor Executor, std::uint64_t BytesPerSecond,
       base::Clock &Time)
      : Executor(std::move(Executor)), Time(Time),
        BytesPerMilli(static_cast<double>(BytesPerSecond * BodySharePercent) /
                      100 / MillisPerSecond),
        LastRefill(Time.now()) {}

  /// Token bucket: adds the bytes that the link could send since the last
  /// refill, up to one piece, and more while bodies wait; see
  /// `MaxCatchUpMillis`.
  void refill() {
    base::TimePoint Now = Time.now();
    AvailableBytes +=
        BytesPerMilli * static_cast<double>((Now - LastRefill).count());
    auto MaxBytes = static_cast<double>(PieceBytes);
    if (GrantTaskRunning)
      MaxBytes += BytesPerMilli * MaxCatchUpMillis;
    AvailableBytes = std::min(AvailableBytes, MaxBytes);
    LastRefill = Now;
  }
  bool grantOne();
  asio::awaitable<void> grantWaiters();

  asio::any_io_executor Executor;
  base::Clock &Time;
  double BytesPerMilli;
  /// Fill level of the token bucket; negative while a piece is being sent.
  double AvailableBytes = static_cast<double>(PieceBytes);
  base::TimePoint LastRefill;
  std::vector<std::shared_ptr<Waiter>> Waiters;
  std::uint64_t NextSequence = 0;
  bool GrantTaskRunning = false;
};

/// Grants the first waiter. Returns false when the link is busy or the queue is
/// empty.
bool EgressShaper::Impl::grantOne() {
  refill();
  if (AvailableBytes < 0 || Waiters.empty())
    return false;
  base::TimePoint Now = Time.now();
  auto First =
      std::ranges::min_element(Waiters, [Now](const auto &A, const auto &B) {
        return precedes(A->Work, B->Work, Now);
      });
  std::shared_ptr<Waiter> Next = *First;
  Waiters.erase(First);
  AvailableBytes -= static_cast<double>(Next->PieceSize);
  Next->Granted = true;
  Next->Sender->changed().notifyAll();
  return true;
}

asio::awaitable<void> EgressShaper::Impl::grantWaiters() {
  auto KeepAlive = shared_from_this();
  while (!Waiters.empty()) {
    // The body that was granted comes back for its next piece before another
    // one is chosen.
    while (grantOne())
      co_await asio::post(Executor, asio::use_awaitable);
    auto BusyMillis =
        static_cast<std::int64_t>(-AvailableBytes / BytesPerMilli) + 1;
    if (!Waiters.empty())
      co_await Time.sleepFor(base::Millis(BusyMillis));
  }
  GrantTaskRunning = false;
}

EgressShaper::EgressShaper(asio::any_io_executor Executor,
                           std::uint64_t BytesPerSecond, base::Clock &Time)
    : Self(std::make_shared<Impl>(std::move(Executor), BytesPerSecond, Time)) {}

EgressShaper::~EgressShaper() = default;

bool EgressShaper::isEnabled() const { return Self->BytesPerMilli > 0; }

void EgressShaper::recordSent(std::size_t Bytes) {
  if (!isEnabled())
    return;
  Self->refill();
  Self->AvailableBytes -= static_cast<double>(Bytes);
}

base::Millis EgressShaper::transmissionTime(std::size_t Bytes) const {
  if (!isEnabled())
    return base::Millis(0);
  return base::Millis(static_cast<std::int64_t>(static_cast<double>(Bytes) /
                                                Self->BytesPerMilli));
}

std::uint64_t EgressShaper::nextSequence() { return Self->NextSequence++; }

void EgressShaper::reschedule(const ExchangeStream &Sender,
                              SchedulingParams Work) {
  for (const auto &Entry : Self->Waiters) {
    if (Entry->Sender.get() != &Sender)
      continue;
    Work.ServiceTime = Entry->Work.ServiceTime;
    Work.Sequence = Entry->Work.Sequence;
    Entry->Work = Work;
  }
}

base::Millis
EgressShaper::expectedCompletion(const ExchangeStream &Sender) const {
  auto Own = std::ranges::find_if(Self->Waiters, [&Sender](const auto &Entry) {
    return Entry->Sender.get() == &Sender;
  });
  if (Own == Self->Waiters.end())
    return base::Millis(0);
  base::TimePoint Now = Self->Time.now();
  std::size_t Bytes = (*Own)->Remaining;
  for (const auto &Entry : Self->Waiters)
    if (Entry != *Own && precedes(Entry->Work, (*Own)->Work, Now))
      Bytes += Entry->Remaining;
  return transmissionTime(Bytes);
}

base::Millis EgressShaper::backlog(bool IncludeLate) const {
  base::TimePoint Now = Self->Time.now();
  std::size_t WaitingBytes = 0;
  for (const auto &Entry : Self->Waiters)
    if (IncludeLate || !isLate(Entry->Work, Now))
      WaitingBytes += Entry->Remaining;
  return transmissionTime(WaitingBytes);
}

asio::awaitable<void>
EgressShaper::acquire(std::shared_ptr<ExchangeStream> Sender,
                      SchedulingParams Work, std::size_t PieceSize,
                      std::size_t Remaining) {
  auto KeepAlive = Self;
  if (!isEnabled())
    co_return;
  Work.ServiceTime = transmissionTime(Remaining);
  auto Own = std::make_shared<Impl::Waiter>(
      Impl::Waiter{Sender, Work, PieceSize, Remaining, false});
  KeepAlive->Waiters.push_back(Own);
  if (!KeepAlive->GrantTaskRunning)
    KeepAlive->grantOne();
  if (!KeepAlive->GrantTaskRunning && !KeepAlive->Waiters.empty()) {
    KeepAlive->GrantTaskRunning = true;
    asio::co_spawn(
        KeepAlive->Executor,
        [KeepAlive]() -> asio::awaitable<void> {
          co_await KeepAlive->grantWaiters();
        },
        asio::detached);
  }
  while (!Own->Granted && !Sender->ended())
    co_await Sender->changed().wait();
  std::erase(KeepAlive->Waiters, Own);
}

} // namespace amaranth::dataplane
