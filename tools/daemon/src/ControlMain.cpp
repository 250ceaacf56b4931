#include "amaranth/base/CommandLine.h"
#include "amaranth/base/Log.h"
#include "amaranth/daemon/ControlDaemon.h"
#include "amaranth/daemon/DaemonSettings.h"
#include "amaranth/daemon/Shutdown.h"

#include <iostream>

namespace {

const char *const Usage =
    R"(amaranth-control: keeps and distributes the configuration.

Usage:
  amaranth-control --config=FILE [--check-config]
  amaranth-control (-h | --help)

Options:
  --config=FILE   Settings (INI, section [control]).
  --check-config  Check the settings, print every fault, and exit.
  -h --help       Show this text.

The first SIGTERM stops gracefully, the second one at once.
Exit code: 0 stopped gracefully or settings are valid, 1 settings, start or
disk failed, 2 wrong command line, 3 stopped by a second signal.
)";

int runControl(int Count, char **Values) {
  using namespace amaranth;
  auto Args = base::parseCommandLine(Usage, Count, Values);
  auto Settings = daemon::readControlSettings(Args.at("--config").asString());
  if (Args.at("--check-config").asBool()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  base::setUpLogging(Settings.LogLevel);
  base::SystemClock Time;
  daemon::EventLoop Loop;
  daemon::ControlDaemon Control(std::move(Settings), Loop, Time);
  Control.start();
  return Loop.run([&Control] { return Control.stop(); });
}

} // namespace

int main(int Count, char **Values) {
  try {
    return runControl(Count, Values);
  } catch (const std::exception &Failure) {
    std::cerr << "amaranth-control: " << Failure.what() << '\n';
    return 1;
  }
}
