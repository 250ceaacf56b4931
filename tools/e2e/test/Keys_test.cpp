#include "Load.h"
#include "MeshTest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <set>

namespace amaranth::e2e {

namespace {

constexpr unsigned Senders = 6;
constexpr unsigned Rounds = 8;
constexpr unsigned MaxSends = 4;

std::uint64_t seed() {
  const char *Given = std::getenv("AMARANTH_E2E_SEED");
  return Given ? std::stoull(Given) : std::random_device()();
}

} // namespace

class KeysTest : public MeshTest {
protected:
  /// Sends a request with a key of its own, and again through other nodes
  /// after an answer without a result, or leaves it at the first refusal.
  harness::HttpResponse sendKey(unsigned Thread, unsigned Count,
                                std::uint64_t Seed) {
    std::mt19937_64 Random(Seed + Thread * 1'000'003ULL + Count);
    std::string Key = fmt::format("key-{}-{}", Thread, Count);
    bool Resend = Random() % 3 != 0;
    harness::HttpResponse Answer;
    for (unsigned Sends = 0; Sends < MaxSends; ++Sends) {
      Answer = send(*Mesh.Vms[Random() % Mesh.Vms.size()], "POST",
                    "/bookings/book/" + Key, Key);
      bool NotRun = Answer.header("x-amaranth-outcome") == "not-run";
      if (Sends == 0 && NotRun && !Resend) {
        std::lock_guard<std::mutex> Lock(Mutex);
        NeverResent.insert(Key);
      }
      if (Answer.Status == 200 || !Resend)
        break;
    }
    return Answer;
  }

  /// Kills a process of each kind, and starts them again.
  void killAndRestart(std::mt19937_64 &Random, Load &Requests) {
    harness::UpstreamVm &First = *Mesh.Vms[Random() % Mesh.Vms.size()];
    harness::UpstreamVm &Second = *Mesh.Vms[Random() % Mesh.Vms.size()];
    harness::ControlProcess &Control =
        *Mesh.Controls[Random() % Mesh.Controls.size()];
    First.Node->kill();
    Second.Server->kill();
    Control.Running->kill();
    CHECK(Requests.waitForMore(5));
    Mesh.startControlProcess(Control);
    Mesh.startNode(First);
    Mesh.startUpstream(Second);
    CHECK(Mesh.waitForControl(WaitLimit));
    CHECK(Mesh.waitForNodes(WaitLimit));
    CHECK(Requests.waitForMore(20));
  }

  std::mutex Mutex;
  std::set<std::string> NeverResent;
};

// Guards against a double booking after failures, and against a refusal that
// says not-run about a request that ran.
TEST_CASE_METHOD(KeysTest, "Request with a key runs at most once") {
  std::uint64_t Seed = seed();
  std::cout << fmt::format("AMARANTH_E2E_SEED={} e2e_test \"Request with a "
                           "key runs at most once\"\n",
                           Seed);
  start(4, {"--time=exp:20"});
  std::mt19937_64 Random(Seed);
  Load Requests(Senders, [&](unsigned Thread, unsigned Count) {
    return sendKey(Thread, Count, Seed);
  });
  REQUIRE(Requests.waitForMore(20));
  for (unsigned I = 0; I < Rounds; ++I)
    killAndRestart(Random, Requests);

  std::size_t Good = 0;
  auto Answers = Requests.stop();
  for (const auto &Answer : Answers)
    Good += Answer.Status == 200 ? 1 : 0;
  auto Counts = executions();
  std::cout << fmt::format("{} keys, {} answered, {} executed, {} not-run and "
                           "never resent\n",
                           Answers.size(), Good, Counts.size(),
                           NeverResent.size());
  CHECK(Good > 0);
  CHECK(Counts.size() >= Good);
  for (const auto &[Key, Count] : Counts) {
    INFO(Key << " with seed " << Seed);
    CHECK(Count == 1);
    CHECK(NeverResent.count(Key) == 0);
  }
}

} // namespace amaranth::e2e
