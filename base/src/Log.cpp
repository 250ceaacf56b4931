#include "amaranth/base/Log.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace amaranth::base {

namespace {

constexpr const char *LinePattern = "%Y-%m-%dT%H:%M:%S.%eZ %l component=%n %v";

/// Collects lines for a writer that must not block.
class BufferSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  /// From now on lines wait for `drain`.
  void buffer() { Buffered = true; }

  /// Writes as much as standard output takes at once.
  void drain() {
    std::lock_guard<std::mutex> Lock(mutex_);
    // A pipe that is ready takes at least this much.
    constexpr std::size_t ReadyBytes = 4096;
    write(ReadyBytes, canWrite);
  }

  std::uint64_t dropped() {
    std::lock_guard<std::mutex> Lock(mutex_);
    return Dropped;
  }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    if (isOverRate(Message)) {
      ++Dropped;
      return;
    }
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    if (Pending.size() + Line.size() > MaxLogBuffer) {
      ++Dropped;
      return;
    }
    Pending.append(Line.data(), Line.size());
    if (!Buffered)
      write(MaxLogBuffer, [] { return true; });
  }
  void flush_() override {}

private:
  static bool canWrite() {
    pollfd Wanted{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&Wanted, 1, 0) == 1;
  }

  /// Writes in pieces of at most `Piece` bytes while `MayWrite` says so.
  template <typename Condition>
  void write(std::size_t Piece, Condition MayWrite) {
    std::size_t Done = 0;
    while (Done < Pending.size() && MayWrite()) {
      std::size_t Size = std::min(Pending.size() - Done, Piece);
      ssize_t Written = ::write(STDOUT_FILENO, Pending.data() + Done, Size);
      if (Written <= 0)
        break;
      Done += static_cast<std::size_t>(Written);
    }
    Pending.erase(0, Done);
  }

  bool isOverRate(const spdlog::details::log_msg &Message) {
    if (Message.logger_name != spdlog::string_view_t(RequestLog))
      return false;
    auto Second =
        std::chrono::time_point_cast<std::chrono::seconds>(Message.time);
    if (Second != RateSecond) {
      RateSecond = Second;
      RateCount = 0;
    }
    return ++RateCount > MaxRequestLines;
  }

  std::string Pending;
  bool Buffered = false;
  std::uint64_t Dropped = 0;
  std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>
      RateSecond;
  std::uint64_t RateCount = 0;
};

const std::shared_ptr<BufferSink> &outputSink() {
  static const auto Sink = std::make_shared<BufferSink>();
  return Sink;
}

} // namespace

void setUpLogging(const std::string &Level) {
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("main", outputSink()));
  spdlog::set_pattern(LinePattern, spdlog::pattern_time_type::utc);
  spdlog::set_level(spdlog::level::from_str(Level));
}

std::shared_ptr<spdlog::logger> logger(const std::string &Component) {
  static std::mutex Mutex;
  std::lock_guard<std::mutex> Lock(Mutex);
  if (auto Existing = spdlog::get(Component))
    return Existing;
  auto New = std::make_shared<spdlog::logger>(Component, outputSink());
  spdlog::initialize_logger(New);
  New->set_pattern(LinePattern, spdlog::pattern_time_type::utc);
  return New;
}

boost::asio::awaitable<void> flushLogs(Clock &Time) {
  outputSink()->buffer();
  std::uint64_t Reported = 0;
  for (;;) {
    co_await Time.sleepFor(LogFlushInterval);
    outputSink()->drain();
    std::uint64_t Dropped = outputSink()->dropped();
    if (Dropped == Reported)
      continue;
    logger("log")->warn("log lines left out count={}", Dropped - Reported);
    Reported = Dropped;
  }
}

void flushLogsNow() { outputSink()->drain(); }

std::uint64_t droppedLogLines() { return outputSink()->dropped(); }

} // namespace amaranth::base
