#include "amaranth/base/CommandLine.h"
#include "amaranth/base/Log.h"
#include "amaranth/daemon/DaemonSettings.h"
#include "amaranth/daemon/NodeDaemon.h"
#include "amaranth/daemon/Shutdown.h"

#include <iostream>

namespace {

const char *const Usage = R"(amaranth-node: the proxy beside one upstream.

Usage:
  amaranth-node --config=FILE [--check-config]
  amaranth-node (-h | --help)

Options:
  --config=FILE   Settings (INI, section [node]).
  --check-config  Check the settings, print every fault, and exit.
  -h --help       Show this text.

The first SIGTERM stops gracefully, the second one at once.
Exit code: 0 stopped gracefully or settings are valid, 1 settings or start
failed, 2 wrong command line, 3 stopped by a second signal.
)";

int runNode(int Count, char **Values) {
  using namespace amaranth;
  auto Args = base::parseCommandLine(Usage, Count, Values);
  auto Settings = daemon::readNodeSettings(Args.at("--config").asString());
  if (Args.at("--check-config").asBool()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  base::setUpLogging(Settings.LogLevel);
  base::SystemClock Time;
  daemon::EventLoop Loop;
  daemon::NodeDaemon Node(std::move(Settings), Loop, Time);
  Node.start();
  return Loop.run([&Node] { return Node.stop(); });
}

} // namespace

int main(int Count, char **Values) {
  try {
    return runNode(Count, Values);
  } catch (const std::exception &Failure) {
    std::cerr << "amaranth-node: " << Failure.what() << '\n';
    return 1;
  }
}
