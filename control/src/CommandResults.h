#ifndef AMARANTH_CONTROL_SRC_COMMANDRESULTS_H
#define AMARANTH_CONTROL_SRC_COMMANDRESULTS_H

#include "amaranth/control/Commands.h"

#include <string>
#include <utility>

namespace amaranth::control::detail {

/// Creates a result with a message for operators, or without one if `Message`
/// is empty.
inline CommandResult makeResult(ResultCode Code, std::string Message = {}) {
  CommandResult Result;
  Result.Code = Code;
  if (!Message.empty())
    Result.Messages.push_back(std::move(Message));
  return Result;
}

} // namespace amaranth::control::detail

#endif
