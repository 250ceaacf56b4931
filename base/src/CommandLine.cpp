#include "amaranth/base/CommandLine.h"

#include <cstdlib>
#include <iostream>

namespace amaranth::base {

Arguments parseCommandLine(const std::string &Usage, int Count,
                           char *const *Values) {
  try {
    return docopt::docopt_parse(Usage, {Values + 1, Values + Count}, true,
                                false);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    std::exit(EXIT_SUCCESS);
  } catch (const docopt::DocoptArgumentError &Failure) {
    std::cerr << Failure.what() << "\n\n" << Usage;
    std::exit(UsageExitCode);
  }
}

} // namespace amaranth::base
