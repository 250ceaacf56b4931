#include "amaranth/base/Log.h"

#include <catch2/catch.hpp>

namespace amaranth::base {

// Guards against callers that fill the log of a node: above the limit lines
// are left out and counted, not written.
TEST_CASE("logger request lines above the limit are counted and left out") {
  constexpr std::uint64_t Lines = 4 * MaxRequestLines;
  std::uint64_t Before = droppedLogLines();
  auto Log = logger(RequestLog);
  for (std::uint64_t I = 0; I < Lines; ++I)
    Log->info("request id={}", I);
  // The loop may cross one boundary between seconds.
  CHECK(droppedLogLines() - Before >= Lines - 2 * MaxRequestLines);
  CHECK(droppedLogLines() - Before <= Lines - MaxRequestLines);
}

} // namespace amaranth::base
