#include "Load.h"
#include "MeshTest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <csignal>
#include <filesystem>
#include <future>

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

class LeavingTest : public MeshTest {
protected:
  /// Sends slow requests until one of them runs on the first upstream, so
  /// that its end has to wait for it.
  void startSlowRequests() {
    constexpr unsigned MaxSlow = 9;
    for (unsigned I = 0; I < MaxSlow && !slowRunsOnFirst(); ++I) {
      std::size_t Before = executions().size();
      Slow.push_back(std::async(std::launch::async, [this, I] {
        return send(*Mesh.Vms[0], "POST", "/bookings/slow",
                    fmt::format("slow-{}", I));
      }));
      REQUIRE(harness::waitUntil([&] { return executions().size() > Before; },
                                 WaitLimit));
    }
    REQUIRE(slowRunsOnFirst());
  }

  bool slowRunsOnFirst() const {
    return std::filesystem::exists(Mesh.folder() / "executions-0");
  }

  bool firstReportsDraining() {
    harness::HttpRequest Health;
    Health.Target = "/health";
    return harness::sendRequest(Mesh.Vms[0]->Upstream, Health, RequestLimit)
               .Status == 503;
  }

  std::vector<std::future<harness::HttpResponse>> Slow;
};

// Guards against requests sent to an upstream that is about to end.
TEST_CASE_METHOD(LeavingTest, "Leaving upstream gets no new work") {
  start(3, {"--time=fixed:20", "--fault=slow", "--slow-by=8s",
            "--fault-prefix=/bookings/slow"});
  harness::UpstreamVm &Leaving = *Mesh.Vms.front();
  Load Requests(6, [this](unsigned Thread, unsigned) {
    return send(*Mesh.Vms[Thread % 3], "POST", "/bookings/work");
  });
  REQUIRE(Requests.waitForMore(50));
  startSlowRequests();
  Leaving.Server->signal(SIGTERM);
  // The upstream reports this a second after it told its node.
  REQUIRE(
      harness::waitUntil([&] { return firstReportsDraining(); }, WaitLimit));
  // Each of the 6 senders may still wait for an answer from before.
  std::size_t AtDrain = Requests.answered() + 6;
  REQUIRE(Requests.waitForMore(60));
  REQUIRE(Leaving.Server->isRunning());
  CHECK(Leaving.Server->wait(WaitLimit) == 0);
  REQUIRE(Requests.waitForMore(60));
  for (auto &Answer : Slow)
    CHECK(Answer.get().Status == 200);
  auto Answers = Requests.stop();
  bool Used = false;
  for (std::size_t I = 0; I < Answers.size(); ++I) {
    INFO("answer " << I << " of " << Answers.size() << ": "
                   << describe(Answers[I]));
    CHECK(Answers[I].Status == 200);
    bool FromLeaving = Answers[I].header("x-upstream-id") == Leaving.Id;
    Used = Used || FromLeaving;
    CHECK_FALSE((FromLeaving && I >= AtDrain));
  }
  CHECK(Used);
}

} // namespace amaranth::e2e
