#include "Load.h"
#include "MeshTest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <vector>

namespace amaranth::e2e {

namespace {

constexpr unsigned VmCount = 6;
constexpr unsigned Resends = 6;

} // namespace

// Guards against one request that takes down the whole service because its
// caller sends it again and again.
TEST_CASE_METHOD(MeshTest,
                 "Crashing request takes down two upstreams at most") {
  start(VmCount, {"--time=fixed:20", "--crash-marker=poison"});
  std::atomic<unsigned> Lost = 0;
  // Each innocent request is sent until it gets through.
  Load Innocent(4, [&](unsigned Thread, unsigned Count) {
    harness::HttpResponse Answer;
    std::string Target = fmt::format("/bookings/{}/{}", Thread, Count);
    unsigned Sends = 0;
    bool Through = harness::waitUntil(
        [&] {
          Answer =
              send(*Mesh.Vms[(Thread + Sends++) % VmCount], "POST", Target);
          return Answer.Status == 200;
        },
        WaitLimit);
    Lost += Through ? 0 : 1;
    return Answer;
  });
  REQUIRE(Innocent.waitForMore(20));
  std::string Seen;
  for (unsigned I = 0; I < Resends; ++I) {
    auto Answer = send(*Mesh.Vms[I], "POST", "/bookings/poison");
    CHECK(Answer.Status != 200);
    Seen += describe(Answer) + "\n";
  }
  REQUIRE(Innocent.waitForMore(40));
  auto Dead = std::count_if(Mesh.Vms.begin(), Mesh.Vms.end(),
                            [](auto &Vm) { return !Vm->Server->isRunning(); });
  INFO(Seen);
  CHECK(Dead >= 1);
  CHECK(Dead <= 2);
  Innocent.stop();
  CHECK(Lost == 0);
}

// Guards against the incident BUDGET: an idempotent request that is sent again
// at once, at every node in turn, while supervisors restart its upstreams.
TEST_CASE_METHOD(MeshTest, "Idempotent crashing request takes down two "
                           "upstreams and no innocent request") {
  start(VmCount, {"--time=fixed:50", "--crash-marker=poison"});
  constexpr unsigned InnocentSends = 2;
  std::mutex LostMutex;
  // For each lost request, its target and the answers to its sends.
  std::vector<std::string> Lost;
  Load Innocent(12, [&](unsigned Thread, unsigned Count) {
    harness::HttpResponse Answer;
    std::string Target = fmt::format("/bookings/{}/{}", Thread, Count);
    std::string Sent = Target;
    for (unsigned Sends = 0; Sends < InnocentSends; ++Sends) {
      Answer = send(*Mesh.Vms[(Thread + Sends) % VmCount], "GET", Target);
      if (Answer.Status == 200)
        return Answer;
      Sent += "; " + describe(Answer);
    }
    std::lock_guard Guard(LostMutex);
    Lost.push_back(Sent);
    return Answer;
  });
  REQUIRE(Innocent.waitForMore(50));
  Load Poison(1, [&](unsigned, unsigned Count) {
    return send(*Mesh.Vms[Count % VmCount], "GET", "/bookings/poison");
  });
  unsigned Crashes = 0;
  constexpr std::size_t PoisonSends = 200;
  REQUIRE(harness::waitUntil(
      [&] {
        for (auto &Vm : Mesh.Vms)
          if (!Vm->Server->isRunning()) {
            ++Crashes;
            Mesh.startUpstream(*Vm);
          }
        return Poison.answered() >= PoisonSends;
      },
      WaitLimit));
  REQUIRE(Innocent.waitForMore(50));
  Innocent.stop();
  std::string Seen;
  for (const auto &Answer : Poison.stop()) {
    CHECK(Answer.Status != 200);
    if (Seen.size() < 1000)
      Seen += describe(Answer) + "\n";
  }
  INFO(Seen);
  CHECK(Crashes >= 1);
  CHECK(Crashes <= 2);
  for (const std::string &Each : Lost)
    UNSCOPED_INFO(Each);
  CHECK(Lost.empty());
}

} // namespace amaranth::e2e
