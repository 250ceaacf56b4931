#ifndef AMARANTH_HARNESS_PROCESS_H
#define AMARANTH_HARNESS_PROCESS_H

#include "amaranth/base/Millis.h"

#include <filesystem>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace amaranth::harness {

/// A child process of a test or of the demonstration. Only programs of this
/// kind start processes; the daemons never do.
class Process {
public:
  /// Starts `Program` with standard output and error appended to `LogFile`.
  /// Throws `base::Error` when it cannot be started.
  Process(std::filesystem::path Program, std::vector<std::string> Arguments,
          std::filesystem::path LogFile);
  /// Kills the process when it still runs.
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;

  pid_t pid() const { return Pid; }
  bool isRunning();
  void signal(int Number);
  /// SIGKILL and wait.
  void kill();
  /// Exit code, or 128 + signal; nothing when it runs on after `Limit`.
  std::optional<int> wait(base::Millis Limit);

private:
  pid_t Pid = -1;
  std::optional<int> ExitCode;
};

/// Runs a program to its end. Throws `base::Error` when it takes longer than
/// `Limit`.
struct Output {
  int ExitCode = 0;
  std::string StandardOutput;
  std::string StandardError;
};
Output runProgram(const std::filesystem::path &Program,
                  const std::vector<std::string> &Arguments,
                  const std::filesystem::path &Scratch, base::Millis Limit);

/// Sleeps for real; only for polling loops of tests and the demonstration.
void pause(base::Millis Span);

} // namespace amaranth::harness

#endif
