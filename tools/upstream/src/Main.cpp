#include "amaranth/base/Log.h"
#include "amaranth/upstream/Announcer.h"
#include "amaranth/upstream/Options.h"
#include "amaranth/upstream/UpstreamServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <iostream>

namespace asio = boost::asio;
using namespace amaranth;
using dataplane::Announcement;

namespace {

/// Time between the notice of draining and the end of an idle program, so
/// that the node has refused new work before the listener closes.
constexpr base::Millis DrainNotice = base::Millis(1000);

asio::awaitable<void> stopOnSignal(upstream::UpstreamServer &Server,
                                   upstream::Announcer &News, base::Clock &Time,
                                   base::Millis Limit,
                                   asio::io_context &Context) {
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  co_await Signals.async_wait(asio::use_awaitable);
  base::logger("upstream")->info("draining");
  News.setState(Announcement::State::Draining);
  co_await Time.sleepFor(DrainNotice);
  co_await Server.drain(Limit);
  News.setState(Announcement::State::Stopped);
  co_await News.announceNow();
  Context.stop();
}

asio::awaitable<void> becomeReady(upstream::Announcer &News, base::Clock &Time,
                                  base::Millis ColdStart) {
  if (ColdStart > base::Millis(0))
    co_await Time.sleepFor(ColdStart);
  News.setState(Announcement::State::Ready);
}

int run(const upstream::Options &Given) {
  base::setUpLogging(Given.LogLevel);
  base::SystemClock Time;
  asio::io_context Context(1);
  auto Executor = Context.get_executor();
  upstream::UpstreamServer Server(Executor, Given, Time);
  Announcement Self = Given.Self;
  Self.Upstream = Server.local();
  Self.Incarnation = static_cast<std::uint64_t>(Time.wallNow().count());
  Self.ReportedState = Announcement::State::Starting;
  upstream::Announcer News(Executor, Self, Given.Node, Given.AnnounceKey, Time);
  asio::co_spawn(Executor, Server.serve(), asio::detached);
  asio::co_spawn(Executor, News.run(), asio::detached);
  asio::co_spawn(Executor, becomeReady(News, Time, Given.ColdStart),
                 asio::detached);
  asio::co_spawn(Executor,
                 stopOnSignal(Server, News, Time, Given.DrainLimit, Context),
                 asio::detached);
  base::logger("upstream")
      ->info("started service={} version={} address={}", Self.Service.value(),
             Self.Version.value(), Self.Upstream.text());
  Context.run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    return run(upstream::parseOptions({Arguments + 1, Arguments + Count}));
  } catch (const std::exception &Failure) {
    std::cerr << "amaranth-upstream: " << Failure.what() << '\n';
    return 1;
  }
}
