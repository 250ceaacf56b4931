#include "amaranth/daemon/DaemonMain.h"
#include "amaranth/daemon/DaemonSettings.h"
#include "amaranth/daemon/NodeDaemon.h"

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

} // namespace

int main(int Argc, char **Argv) {
  using namespace amaranth::daemon;
  return daemonMain<NodeDaemon>("amaranth-node", Usage, readNodeSettings, Argc,
                                Argv);
}
