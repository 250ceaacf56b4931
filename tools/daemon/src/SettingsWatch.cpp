#include "amaranth/daemon/SettingsWatch.h"

#include "amaranth/base/Error.h"
#include "amaranth/base/IniFile.h"
#include "amaranth/base/Log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>

#include <csignal>
#include <sys/stat.h>

namespace asio = boost::asio;

namespace amaranth::daemon {

namespace {

/// File attributes that reveal a possible change. Comparing them is cheaper
/// than reading the file on every poll.
struct FileState {
  std::int64_t Seconds = 0;
  std::int64_t Nanos = 0;
  std::int64_t Size = -1;
  std::uint64_t Inode = 0;

  bool operator==(const FileState &) const = default;
};

FileState readFileState(const std::string &Path) {
  struct stat Status {};
  if (::stat(Path.c_str(), &Status) != 0)
    return {};
  return {Status.st_mtim.tv_sec, Status.st_mtim.tv_nsec, Status.st_size,
          Status.st_ino};
}

void reload(const std::string &Path, const char *Cause,
            const std::function<void()> &Reload) {
  try {
    Reload();
    base::logger("daemon")->info("settings reloaded cause={} file={}", Cause,
                                 Path);
  } catch (const base::Error &Fault) {
    base::logger("daemon")->error("settings reload failed, keeping the current "
                                  "settings cause={} error=\"{}\"",
                                  Cause, Fault.what());
  }
}

} // namespace

asio::awaitable<void> watchSettings(std::string Path, base::Clock &Time,
                                    std::function<void()> Reload) {
  auto Executor = co_await asio::this_coro::executor;
  asio::signal_set Signals(Executor, SIGHUP);
  bool HangupReceived = false;
  std::function<void()> Arm = [&] {
    Signals.async_wait([&](boost::system::error_code Failure, int) {
      if (Failure)
        return;
      HangupReceived = true;
      Arm();
    });
  };
  Arm();
  FileState LastState = readFileState(Path);
  for (;;) {
    co_await Time.sleepFor(SettingsInterval);
    FileState CurrentState = readFileState(Path);
    bool Signalled = std::exchange(HangupReceived, false);
    if (CurrentState == LastState && !Signalled)
      continue;
    LastState = CurrentState;
    reload(Path, Signalled ? "signal" : "change", Reload);
  }
}

} // namespace amaranth::daemon
