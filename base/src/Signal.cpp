#include "amaranth/base/Signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>
#include <list>

namespace asio = boost::asio;

namespace amaranth::base {

struct Signal::State {
  explicit State(const asio::any_io_executor &Executor)
      : Timer(Executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer Timer;
  /// Timers of the coroutines that wait with a deadline.
  std::list<asio::steady_timer> Bounded;
  std::uint64_t Generation = 0;
  bool Destroyed = false;
};

Signal::Signal(const asio::any_io_executor &Executor)
    : Shared(std::make_shared<State>(Executor)) {}

Signal::~Signal() {
  Shared->Destroyed = true;
  notifyAll();
}

asio::awaitable<void> Signal::wait() {
  auto Keep = Shared;
  std::uint64_t Before = Keep->Generation;
  boost::system::error_code Ignored;
  co_await Keep->Timer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  // An unchanged generation means that the coroutine itself was cancelled.
  if (Keep->Destroyed || Keep->Generation == Before)
    throw boost::system::system_error(asio::error::operation_aborted);
}

asio::awaitable<void>
Signal::waitUntil(std::chrono::steady_clock::time_point Deadline) {
  auto Keep = Shared;
  std::uint64_t Before = Keep->Generation;
  auto Place = Keep->Bounded.emplace(Keep->Bounded.end(),
                                     Keep->Timer.get_executor(), Deadline);
  boost::system::error_code Failure;
  co_await Place->async_wait(
      asio::redirect_error(asio::use_awaitable, Failure));
  Keep->Bounded.erase(Place);
  bool Cancelled = Failure && Keep->Generation == Before;
  if (Keep->Destroyed || Cancelled)
    throw boost::system::system_error(asio::error::operation_aborted);
}

void Signal::notifyAll() {
  ++Shared->Generation;
  Shared->Timer.cancel();
  for (asio::steady_timer &Each : Shared->Bounded)
    Each.cancel();
}

} // namespace amaranth::base
