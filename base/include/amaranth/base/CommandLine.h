#ifndef AMARANTH_BASE_COMMANDLINE_H
#define AMARANTH_BASE_COMMANDLINE_H

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace amaranth::base {

/// Exit code of a program whose command line does not match its usage.
inline constexpr int UsageExitCode = 2;

using Arguments = std::map<std::string, docopt::value>;

/// Parses the command line against a docopt usage text. `--help` prints the
/// text and ends the process with code 0; a command line that does not match
/// prints the usage to standard error and ends it with `UsageExitCode`.
Arguments parseCommandLine(const std::string &Usage, int Count,
                           char *const *Values);

} // namespace amaranth::base

#endif
