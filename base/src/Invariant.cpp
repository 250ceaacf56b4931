#include "amaranth/base/Invariant.h"

#include <spdlog/spdlog.h>

#include <atomic>
#include <cstdlib>

namespace amaranth::base {

static std::atomic<std::uint64_t> Checks{0};

std::uint64_t invariantChecks() {
  return Checks.load(std::memory_order_relaxed);
}

void detail::countInvariant() {
  Checks.fetch_add(1, std::memory_order_relaxed);
}

void detail::failInvariant(std::string_view Condition, std::string_view Message,
                           const char *File, int Line) {
  spdlog::critical("invariant violated condition=\"{}\" message=\"{}\" "
                   "location={}:{}",
                   Condition, Message, File, Line);
  spdlog::shutdown();
  std::abort();
}

} // namespace amaranth::base
