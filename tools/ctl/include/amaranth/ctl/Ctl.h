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
  /// The change, the file or the request was refused.
  Refused = 1,
  Usage = 2,
  /// No server could answer; nothing was changed.
  Unreachable = 3,
  /// A change may or may not have been applied.
  UnknownOutcome = 4,
  /// A section has another revision than expected; nothing was changed.
  Conflict = 5,
};

/// Runs one command. `Arguments` are without the program's name. Results go
/// to `Out`, messages to `Err`.
Exit run(const std::vector<std::string> &Arguments, Network &Net,
         std::ostream &Out, std::ostream &Err);

} // namespace amaranth::ctl

#endif
