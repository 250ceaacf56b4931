#include "Load.h"
#include "MeshTest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>

namespace amaranth::e2e {

// Guards against a shutdown that cuts off requests in flight, both of callers
// of the node and of the upstream beside it.
TEST_CASE_METHOD(MeshTest, "Node that shuts down finishes its requests") {
  constexpr unsigned Count = 12;
  start(3, {"--time=fixed:300"});
  harness::UpstreamVm &Leaving = *Mesh.Vms.front();
  Load Others(4, [this](unsigned Thread, unsigned) {
    return send(*Mesh.Vms[1 + Thread % 2], "POST", "/bookings/beside");
  });
  REQUIRE(Others.waitForMore(10));
  std::size_t Before = executions().size();
  std::vector<harness::HttpResponse> Answers(Count);
  std::vector<std::thread> Callers;
  for (unsigned I = 0; I < Count; ++I)
    Callers.emplace_back([&, I] {
      Answers[I] = send(Leaving, "POST", "/bookings/in-flight",
                        fmt::format("in-flight-{}", I));
    });
  bool Arrived = harness::waitUntil(
      [&] { return executions().size() == Before + Count; }, WaitLimit);
  Leaving.Node->signal(SIGTERM);
  auto Code = Leaving.Node->wait(WaitLimit);
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Arrived);
  CHECK(Code == 0);
  for (const auto &Answer : Answers) {
    INFO(describe(Answer));
    CHECK(Answer.Status == 200);
    CHECK(Answer.Body.starts_with("POST /bookings/in-flight bytes=0"));
  }
  REQUIRE(Others.waitForMore(10));
  for (const auto &Answer : Others.stop()) {
    INFO(describe(Answer));
    // A refusal before the start is allowed, an interruption is not.
    bool Refused = Answer.header("x-amaranth-outcome") == "not-run";
    CHECK((Answer.Status == 200 || Refused));
  }
}

// Guards against requests sent to an upstream that is about to end.
TEST_CASE_METHOD(MeshTest, "Leaving upstream causes no refusal") {
  start(3, {"--time=fixed:20"});
  harness::UpstreamVm &Leaving = *Mesh.Vms.front();
  Load Requests(6, [this](unsigned Thread, unsigned) {
    return send(*Mesh.Vms[Thread % 3], "POST", "/bookings/work");
  });
  REQUIRE(Requests.waitForMore(50));
  Leaving.Server->signal(SIGTERM);
  auto Code = Leaving.Server->wait(WaitLimit);
  CHECK(Code == 0);
  std::size_t AtEnd = Requests.answered();
  REQUIRE(Requests.waitForMore(100));
  auto Answers = Requests.stop();
  bool Used = false;
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    INFO("answer " << I << " of " << Answers.size() << ": "
                   << describe(Answers[I]));
    CHECK(Answers[I].Status == 200);
    bool FromLeaving = Answers[I].header("x-upstream-id") == Leaving.Id;
    Used = Used || FromLeaving;
    // Answers that arrived at the moment of the end are not told apart.
    if (I > AtEnd + 6)
      CHECK_FALSE(FromLeaving);
  }
  CHECK(Used);
}

} // namespace amaranth::e2e
