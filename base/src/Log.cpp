#include "amaranth/base/Log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <mutex>

namespace amaranth::base {

namespace {

constexpr const char *LinePattern = "%Y-%m-%dT%H:%M:%S.%eZ %l component=%n %v";

const spdlog::sink_ptr &standardErrorSink() {
  static const auto Sink = [] {
    spdlog::sink_ptr New = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    return New;
  }();
  return Sink;
}

} // namespace

void setUpLogging(const std::string &Level) {
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>("main", standardErrorSink()));
  spdlog::set_pattern(LinePattern, spdlog::pattern_time_type::utc);
  spdlog::set_level(spdlog::level::from_str(Level));
}

std::shared_ptr<spdlog::logger> logger(const std::string &Component) {
  static std::mutex Mutex;
  std::lock_guard<std::mutex> Lock(Mutex);
  if (auto Existing = spdlog::get(Component))
    return Existing;
  auto New = std::make_shared<spdlog::logger>(Component, standardErrorSink());
  spdlog::initialize_logger(New);
  New->set_pattern(LinePattern, spdlog::pattern_time_type::utc);
  return New;
}

} // namespace amaranth::base
