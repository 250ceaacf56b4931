#include "amaranth/dataplane/EgressShaper.h"

#include "WorkOrder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

constexpr double MillisPerSecond = 1000;

} // namespace

struct EgressShaper::Impl : std::enable_shared_from_this<EgressShaper::Impl> {
  struct Waiter {
    std::shared_ptr<ExchangeStream> Sender;
    WaitingWork Work;
    std::size_t Piece = 0;
    std::size_t Left = 0;
    bool Granted = false;
  };

  Impl(asio::any_io_executor Executor, std::uint64_t BytesPerSecond,
       base::Clock &Time)
      : Executor(std::move(Executor)), Time(Time),
        BytesPerMilli(static_cast<double>(BytesPerSecond * BodySharePercent) /
                      100 / MillisPerSecond),
        FilledAt(Time.now()) {}

  /// Adds what the link has carried since the last call.
  void refill() {
    base::TimePoint Now = Time.now();
    Credit += BytesPerMilli * static_cast<double>((Now - FilledAt).count());
    Credit = std::min(Credit, static_cast<double>(PieceBytes));
    FilledAt = Now;
  }
  bool grantOne();
  asio::awaitable<void> grantAll();

  asio::any_io_executor Executor;
  base::Clock &Time;
  double BytesPerMilli;
  /// Bytes that may go out now; negative after a piece.
  double Credit = static_cast<double>(PieceBytes);
  base::TimePoint FilledAt;
  std::vector<std::shared_ptr<Waiter>> Waiters;
  std::uint64_t NextSequence = 0;
  bool Granting = false;
};

/// Lets the first waiter go. False when the link is busy or nobody waits.
bool EgressShaper::Impl::grantOne() {
  refill();
  if (Credit < 0 || Waiters.empty())
    return false;
  base::TimePoint Now = Time.now();
  auto First =
      std::ranges::min_element(Waiters, [Now](const auto &A, const auto &B) {
        return goesFirst(A->Work, B->Work, Now);
      });
  std::shared_ptr<Waiter> Next = *First;
  Waiters.erase(First);
  Credit -= static_cast<double>(Next->Piece);
  Next->Granted = true;
  Next->Sender->changed().notifyAll();
  return true;
}

asio::awaitable<void> EgressShaper::Impl::grantAll() {
  auto Keep = shared_from_this();
  while (!Waiters.empty()) {
    while (grantOne())
      ;
    auto Busy = static_cast<std::int64_t>(-Credit / BytesPerMilli) + 1;
    if (!Waiters.empty())
      co_await Time.sleepFor(base::Millis(Busy));
  }
  Granting = false;
}

EgressShaper::EgressShaper(asio::any_io_executor Executor,
                           std::uint64_t BytesPerSecond, base::Clock &Time)
    : Self(std::make_shared<Impl>(std::move(Executor), BytesPerSecond, Time)) {}

EgressShaper::~EgressShaper() = default;

bool EgressShaper::shapes() const { return Self->BytesPerMilli > 0; }

void EgressShaper::took(std::size_t Bytes) {
  if (!shapes())
    return;
  Self->refill();
  Self->Credit -= static_cast<double>(Bytes);
}

base::Millis EgressShaper::timeFor(std::size_t Bytes) const {
  if (!shapes())
    return base::Millis(0);
  return base::Millis(static_cast<std::int64_t>(static_cast<double>(Bytes) /
                                                Self->BytesPerMilli));
}

base::Millis EgressShaper::backlog(bool Late) const {
  base::TimePoint Now = Self->Time.now();
  std::size_t Waiting = 0;
  for (const auto &Each : Self->Waiters)
    if (Late || !isLate(Each->Work, Now))
      Waiting += Each->Left;
  return timeFor(Waiting);
}

asio::awaitable<void>
EgressShaper::acquire(std::shared_ptr<ExchangeStream> Sender, WaitingWork Work,
                      std::size_t Piece, std::size_t Left) {
  auto Keep = Self;
  if (!shapes())
    co_return;
  Work.Service = timeFor(Left);
  Work.Sequence = Keep->NextSequence++;
  auto Mine = std::make_shared<Impl::Waiter>(
      Impl::Waiter{Sender, Work, Piece, Left, false});
  Keep->Waiters.push_back(Mine);
  if (!Keep->Granting)
    Keep->grantOne();
  if (!Keep->Granting && !Keep->Waiters.empty()) {
    Keep->Granting = true;
    asio::co_spawn(
        Keep->Executor,
        [Keep]() -> asio::awaitable<void> { co_await Keep->grantAll(); },
        asio::detached);
  }
  while (!Mine->Granted && !Sender->ended())
    co_await Sender->changed().wait();
  std::erase(Keep->Waiters, Mine);
}

} // namespace amaranth::dataplane
