#include "HeartbeatTimer.h"

#include "SocketChannel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::protocol::detail {

namespace {

/// Half of the shortest heartbeat interval.
constexpr base::Millis CheckInterval = HeartbeatInterval / 2;

} // namespace

void HeartbeatTimer::add(const std::shared_ptr<SocketChannel> &Channel) {
  Channels.push_back(Channel);
  ++OpenChannels;
  if (std::exchange(Running, true))
    return;
  auto Executor = Channel->executor();
  AllClosed.emplace(Executor);
  asio::co_spawn(
      Executor,
      [Self = shared_from_this()]() -> asio::awaitable<void> {
        co_await Self->run();
      },
      asio::detached);
}

void HeartbeatTimer::channelClosed() {
  if (--OpenChannels == 0)
    AllClosed->notifyAll();
}

asio::awaitable<void> HeartbeatTimer::run() {
  while (OpenChannels != 0) {
    co_await Time.waitFor(*AllClosed, Time.now() + CheckInterval);
    check();
  }
  Channels.clear();
  Running = false;
}

void HeartbeatTimer::check() {
  std::erase_if(Channels, [](const std::weak_ptr<SocketChannel> &Each) {
    auto Channel = Each.lock();
    if (!Channel || !Channel->isOpen())
      return true;
    Channel->checkHeartbeat();
    return false;
  });
}

} // namespace amaranth::protocol::detail
