#ifndef AMARANTH_CTL_CTL_H
#define AMARANTH_CTL_CTL_H

#include "amaranth/ctl/Network.h"

#include <ostream>
#include <string>
#include <vector>

namespace amaranth::ctl {

/// Exit codes of `amaranthctl`.
enum class Exit : int {
  Ok = 0,
  /// The server rejected the change or request, or the file is invalid.
  Refused = 1,
  Usage = 2,
  /// No server was reachable or able to respond; nothing was changed.
  Unreachable = 3,
  /// A change may or may not have been applied.
  UnknownOutcome = 4,
  /// The current revision of a section differs from the expected one; nothing
  /// was changed.
  Conflict = 5,
};

/// Runs one command. `Arguments` excludes the program name. Results are
/// written to `Out`, diagnostics to `Err`.
Exit run(const std::vector<std::string> &Arguments, Network &Net,
         std::ostream &Out, std::ostream &Err);

} // namespace amaranth::ctl

#endif
