#include "amaranth/daemon/ControlDaemon.h"
#include "amaranth/daemon/DaemonMain.h"
#include "amaranth/daemon/DaemonSettings.h"

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

} // namespace

int main(int Argc, char **Argv) {
  using namespace amaranth::daemon;
  return daemonMain<ControlDaemon>("amaranth-control", Usage,
                                   readControlSettings, Argc, Argv);
}
