#include "amaranth/daemon/Shutdown.h"

#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace asio = boost::asio;

namespace amaranth::daemon {

namespace {

constexpr int FailedExitCode = 1;
constexpr int ForcedExitCode = 3;

} // namespace

void EventLoop::spawnEssential(const char *Name, asio::awaitable<void> Task) {
  asio::co_spawn(
      Context, std::move(Task), [this, Name](std::exception_ptr Failure) {
        if (!Failure || Stopping)
          return;
        try {
          std::rethrow_exception(Failure);
        } catch (const std::exception &Error) {
          base::logger("daemon")->critical("task failed task={} error=\"{}\"",
                                           Name, Error.what());
        }
        stopLoop(FailedExitCode);
      });
}

int EventLoop::run(std::function<asio::awaitable<void>()> GracefulStop) {
  asio::co_spawn(Context, awaitSignals(std::move(GracefulStop)),
                 asio::detached);
  Context.run();
  return ExitCode;
}

asio::awaitable<void>
EventLoop::awaitSignals(std::function<asio::awaitable<void>()> GracefulStop) {
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  co_await Signals.async_wait(asio::use_awaitable);
  Stopping = true;
  base::logger("daemon")->info("graceful stop started");
  asio::co_spawn(Context, GracefulStop(), [this](std::exception_ptr Failure) {
    stopLoop(Failure ? FailedExitCode : 0);
  });
  co_await Signals.async_wait(asio::use_awaitable);
  base::logger("daemon")->warn("second signal received, stopping immediately");
  stopLoop(ForcedExitCode);
}

void EventLoop::stopLoop(int Code) {
  ExitCode = Code;
  Context.stop();
}

} // namespace amaranth::daemon
