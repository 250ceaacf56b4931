#include "Demonstration.h"
#include "amaranth/base/CommandLine.h"

#include <iostream>
#include <unistd.h>

namespace {

const char *const Usage = R"(amaranth-demo: runs both deployments on loopback.

Usage:
  amaranth-demo --programs=DIR [--folder=DIR] [--keep]
  amaranth-demo (-h | --help)

Options:
  --programs=DIR  Build folder with the programs.
  --folder=DIR    Folder for settings, data and logs; removed at the end.
                  A new folder below the temporary folder by default.
  --keep          Keep everything running until Enter is pressed.
  -h --help       Show this text.

Exit code: 0 when every step showed what it should, otherwise 1.
)";

std::filesystem::path folderOf(const amaranth::base::Arguments &Args) {
  if (Args.at("--folder"))
    return Args.at("--folder").asString();
  return std::filesystem::temp_directory_path() /
         ("amaranth-demo-" + std::to_string(::getpid()));
}

} // namespace

int main(int Count, char **Values) {
  using namespace amaranth;
  auto Args = base::parseCommandLine(Usage, Count, Values);
  try {
    demo::Demonstration Run(Args.at("--programs").asString(), folderOf(Args));
    bool Passed = Run.run();
    if (Args.at("--keep").asBool())
      Run.waitForEnter();
    return Passed ? 0 : 1;
  } catch (const std::exception &Failure) {
    std::cerr << "amaranth-demo: " << Failure.what() << '\n';
    return 1;
  }
}
