#include "MeshFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace amaranth::dataplane::testing {

/// Three nodes with an upstream each, and callers that resend.
class CrashIsolationTest : public MeshFixture {
protected:
  CrashIsolationTest() {
    for (const char *Name : {"a", "b", "c"})
      addUpstream(addNode(Name));
  }

  /// Waits until `Result` is complete without advancing the clock.
  void finish(const std::shared_ptr<CallerResult> &Result) {
    runUntil([&] { return Result->Done; });
  }

  /// Runs until `Result` is complete and lets time pass as needed.
  void finishInTime(const std::shared_ptr<CallerResult> &Result) {
    for (int Step = 0; Step < 200 && !Result->Done; ++Step) {
      settle();
      Time.advance(base::Millis(10));
    }
    REQUIRE(Result->Done);
  }

  std::size_t crashedUpstreams() const {
    return static_cast<std::size_t>(
        std::count_if(Upstreams.begin(), Upstreams.end(),
                      [](const auto &Each) { return Each->Crashed; }));
  }

  /// The upstream that runs a request to `Target`, or null.
  TestUpstream *runningAt(const std::string &Target) {
    for (auto &Each : Upstreams)
      if (std::find(Each->Seen.begin(), Each->Seen.end(), "GET " + Target) !=
          Each->Seen.end())
        return Each.get();
    return nullptr;
  }
};

// Guards against callers that lose their request, or wait for the report of
// the crash, because their request ran beside the one that crashed an upstream.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Idempotent request beside a crash is answered by another "
                 "upstream at once") {
  auto Innocent = get(*Nodes[0], "/hold/innocent");
  runUntil([&] { return runningAt("/hold/innocent") != nullptr; });
  TestUpstream *First = runningAt("/hold/innocent");
  Held = false;
  First->crash();
  finish(Innocent);
  CHECK(Innocent->status() == 200);
  CHECK(crashedUpstreams() == 1);
}

// Guards against a request that takes down the whole service because it is
// sent again at any node.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Request that crashed two upstreams reaches no third one") {
  auto First = get(*Nodes[0], "/crash/1");
  finishInTime(First);
  applyQuarantine();
  for (auto &Node : Nodes) {
    auto Again = get(*Node, "/crash/1");
    finishInTime(Again);
    CHECK(Again->status() == 503);
    applyQuarantine();
  }
  CHECK(crashedUpstreams() == 2);
  auto Other = get(*Nodes[0], "/echo");
  finishInTime(Other);
  CHECK(Other->status() == 200);
}

} // namespace amaranth::dataplane::testing
