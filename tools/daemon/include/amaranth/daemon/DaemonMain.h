#ifndef AMARANTH_DAEMON_DAEMONMAIN_H
#define AMARANTH_DAEMON_DAEMONMAIN_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/CommandLine.h"
#include "amaranth/base/Log.h"
#include "amaranth/daemon/SettingsWatch.h"
#include "amaranth/daemon/Shutdown.h"

#include <iostream>

namespace amaranth::daemon {

namespace detail {

template <typename Daemon, typename Settings>
int runDaemon(const char *Usage, Settings (*ReadSettings)(const std::string &),
              int Argc, char **Argv) {
  auto Args = base::parseCommandLine(Usage, Argc, Argv);
  Settings Config = ReadSettings(Args.at("--config").asString());
  if (Args.at("--check-config").asBool()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  base::setUpLogging(Config.LogLevel);
  base::SystemClock Time;
  EventLoop Loop;
  Daemon Process(std::move(Config), Loop, Time);
  Process.start();
  Loop.spawnEssential("log", base::flushLogs(Time));
  std::string Path = Args.at("--config").asString();
  Loop.spawnEssential("settings",
                      watchSettings(Path, Time, [&Process, ReadSettings, Path] {
                        Process.reload(ReadSettings(Path));
                      }));
  int Code = Loop.run([&Process] { return Process.stop(); });
  base::logger("daemon")->info("process exiting code={}", Code);
  base::flushLogsNow();
  return Code;
}

} // namespace detail

/// Main function of a daemon: parses the command line, reads the settings and
/// runs the daemon until it is stopped. Returns the exit code. Invalid settings
/// and startup failures are printed with the program name and result in 1.
template <typename Daemon, typename Settings>
int daemonMain(const char *Program, const char *Usage,
               Settings (*ReadSettings)(const std::string &), int Argc,
               char **Argv) {
  try {
    return detail::runDaemon<Daemon>(Usage, ReadSettings, Argc, Argv);
  } catch (const std::exception &Failure) {
    std::cerr << Program << ": " << Failure.what() << '\n';
    return 1;
  }
}

} // namespace amaranth::daemon

#endif
