#include "amaranth/base/Error.h"

#include <fmt/format.h>

namespace amaranth::base {

static std::string joinMessages(const std::vector<FileFault> &Faults) {
  std::string Text;
  for (const FileFault &Fault : Faults) {
    if (!Text.empty())
      Text += '\n';
    Text += Fault.message();
  }
  return Text;
}

std::string FileFault::message() const {
  std::string Text = File;
  if (Line != 0)
    Text += fmt::format(":{}", Line);
  Text += ": ";
  if (!Section.empty())
    Text += fmt::format("[{}] ", Section);
  if (!Key.empty())
    Text += fmt::format("{}: ", Key);
  return Text + Reason;
}

FileError::FileError(std::vector<FileFault> Faults)
    : Error(joinMessages(Faults)), Faults(std::move(Faults)) {}

} // namespace amaranth::base
