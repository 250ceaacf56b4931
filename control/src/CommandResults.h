#ifndef AMARANTH_CONTROL_SRC_COMMANDRESULTS_H
#define AMARANTH_CONTROL_SRC_COMMANDRESULTS_H

#include "amaranth/control/Commands.h"

#include <string>
#include <utility>

namespace amaranth::control::detail {

/// A result with one message for operators, or with none when it is empty.
inline CommandResult makeResult(ResultCode Code, std::string Message = {}) {
  CommandResult Result;
  Result.Code = Code;
  if (!Message.empty())
    Result.Messages.push_back(std::move(Message));
  return Result;
}

} // namespace amaranth::control::detail

#endif
