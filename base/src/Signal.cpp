#include "amaranth/base/Signal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdint>

namespace asio = boost::asio;

namespace amaranth::base {

struct Signal::State {
  explicit State(const asio::any_io_executor &Executor)
      : Timer(Executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer Timer;
  std::uint64_t Generation = 0;
  bool Destroyed = false;
};

Signal::Signal(const asio::any_io_executor &Executor)
    : Shared(std::make_shared<State>(Executor)) {}

Signal::~Signal() {
  Shared->Destroyed = true;
  Shared->Timer.cancel();
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

void Signal::notifyAll() {
  ++Shared->Generation;
  Shared->Timer.cancel();
}

} // namespace amaranth::base
