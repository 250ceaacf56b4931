#include "amaranth/harness/Process.h"

#include "amaranth/base/Error.h"
#include "amaranth/base/IniFile.h"

#include <fmt/format.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace amaranth::harness {

namespace {

constexpr base::Millis PollInterval = base::Millis(10);

class FileActions {
public:
  FileActions() {
    posix_spawn_file_actions_init(&Actions);
    // A connection that another thread has open would stay open in the child
    // after that thread closed it.
    posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  }
  ~FileActions() { posix_spawn_file_actions_destroy(&Actions); }
  FileActions(const FileActions &) = delete;
  FileActions &operator=(const FileActions &) = delete;

  void append(int Descriptor, const std::filesystem::path &File) {
    posix_spawn_file_actions_addopen(&Actions, Descriptor, File.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
  }
  const posix_spawn_file_actions_t *get() const { return &Actions; }

private:
  posix_spawn_file_actions_t Actions;
};

pid_t spawn(const std::filesystem::path &Program,
            const std::vector<std::string> &Arguments,
            const FileActions &Actions) {
  std::vector<char *> Values = {const_cast<char *>(Program.c_str())};
  for (const std::string &Argument : Arguments)
    Values.push_back(const_cast<char *>(Argument.c_str()));
  Values.push_back(nullptr);
  pid_t Pid = -1;
  int Failure = posix_spawn(&Pid, Program.c_str(), Actions.get(), nullptr,
                            Values.data(), environ);
  if (Failure != 0)
    throw base::Error(fmt::format("cannot start {}: {}", Program.string(),
                                  std::strerror(Failure)));
  return Pid;
}

int exitCodeOf(int Status) {
  constexpr int SignalBase = 128;
  return WIFSIGNALED(Status) ? SignalBase + WTERMSIG(Status)
                             : WEXITSTATUS(Status);
}

} // namespace

Process::Process(std::filesystem::path Program,
                 std::vector<std::string> Arguments,
                 std::filesystem::path LogFile) {
  FileActions Actions;
  Actions.append(STDOUT_FILENO, LogFile);
  Actions.append(STDERR_FILENO, LogFile);
  Pid = spawn(Program, Arguments, Actions);
}

Process::~Process() { kill(); }

Process::Process(Process &&Other) noexcept
    : Pid(std::exchange(Other.Pid, -1)), ExitCode(Other.ExitCode) {}

Process &Process::operator=(Process &&Other) noexcept {
  if (this == &Other)
    return *this;
  kill();
  Pid = std::exchange(Other.Pid, -1);
  ExitCode = Other.ExitCode;
  return *this;
}

bool Process::isRunning() { return Pid > 0 && !wait(base::Millis(0)); }

void Process::signal(int Number) {
  if (isRunning())
    ::kill(Pid, Number);
}

void Process::kill() {
  if (!isRunning())
    return;
  ::kill(Pid, SIGKILL);
  int Status = 0;
  ::waitpid(Pid, &Status, 0);
  ExitCode = exitCodeOf(Status);
}

std::optional<int> Process::wait(base::Millis Limit) {
  auto End = std::chrono::steady_clock::now() +
             std::chrono::milliseconds(Limit.count());
  while (!ExitCode && Pid > 0) {
    int Status = 0;
    if (::waitpid(Pid, &Status, WNOHANG) == Pid)
      ExitCode = exitCodeOf(Status);
    else if (std::chrono::steady_clock::now() >= End)
      return std::nullopt;
    else
      pause(PollInterval);
  }
  return ExitCode;
}

Output runProgram(const std::filesystem::path &Program,
                  const std::vector<std::string> &Arguments,
                  const std::filesystem::path &Scratch, base::Millis Limit) {
  auto OutFile = Scratch / "stdout.txt";
  auto ErrFile = Scratch / "stderr.txt";
  std::filesystem::remove(OutFile);
  std::filesystem::remove(ErrFile);
  FileActions Actions;
  Actions.append(STDOUT_FILENO, OutFile);
  Actions.append(STDERR_FILENO, ErrFile);
  pid_t Pid = spawn(Program, Arguments, Actions);
  auto End = std::chrono::steady_clock::now() +
             std::chrono::milliseconds(Limit.count());
  int Status = 0;
  while (::waitpid(Pid, &Status, WNOHANG) != Pid) {
    if (std::chrono::steady_clock::now() >= End) {
      ::kill(Pid, SIGKILL);
      ::waitpid(Pid, &Status, 0);
      throw base::Error(fmt::format("{} did not end within {} ms",
                                    Program.string(), Limit.count()));
    }
    pause(PollInterval);
  }
  return {exitCodeOf(Status), base::readTextFile(OutFile.string()),
          base::readTextFile(ErrFile.string())};
}

void pause(base::Millis Span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Span.count()));
}

} // namespace amaranth::harness
