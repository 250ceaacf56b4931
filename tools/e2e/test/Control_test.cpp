#include "Load.h"
#include "MeshTest.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>

namespace json = boost::json;

namespace amaranth::e2e {

// Guards against losing an accepted change with the leader, and against a
// request path that depends on control.
TEST_CASE_METHOD(MeshTest, "Killed leader loses no accepted change") {
  start(3, {});
  applyTimeout(14);
  std::string Before = routeSection();
  REQUIRE(Before.find("revision = ") != std::string::npos);
  harness::ControlProcess &Old = waitForLeader();
  Load Requests(4, [this](unsigned Thread, unsigned) {
    return send(*Mesh.Vms[Thread % 3], Thread % 2 == 0 ? "GET" : "POST",
                "/bookings/meanwhile");
  });
  REQUIRE(Requests.waitForMore(20));

  Old.Running->kill();
  waitForLeader(&Old);
  std::string After;
  REQUIRE(harness::waitUntil(
      [&] {
        After = routeSection();
        return !After.empty();
      },
      WaitLimit));
  CHECK(After == Before);
  applyTimeout(13);
  CHECK(routeSection().find("timeout = 13s") != std::string::npos);

  REQUIRE(Requests.waitForMore(20));
  for (const auto &Answer : Requests.stop()) {
    INFO(describe(Answer));
    REQUIRE(Answer.Status == 200);
  }
  Mesh.startControlProcess(Old);
  json::value Latest = status(waitForLeader(&Old)).at("document");
  CHECK(harness::waitUntil(
      [&] {
        json::value Status = status(Old);
        return Status.is_object() && Status.at("document") == Latest;
      },
      WaitLimit));
}

// Guards against a deposed leader that answers reads from its old copy.
TEST_CASE_METHOD(MeshTest, "Continued old leader gives no old document") {
  start(2, {});
  harness::ControlProcess &Old = waitForLeader();
  auto Before = status(Old).at("document").to_number<std::uint64_t>();
  Old.Running->signal(SIGSTOP);
  waitForLeader(&Old);
  applyTimeout(14);
  auto Latest =
      status(waitForLeader(&Old)).at("document").to_number<std::uint64_t>();
  REQUIRE(Latest > Before);

  // These requests wait in the sockets of the frozen process, so that it
  // reads them before it hears of the new leader.
  Load Reads(6, [&](unsigned, unsigned) {
    return Mesh.operatorGet(Old, "/v1/document");
  });
  harness::pause(base::Millis(500));
  Old.Running->signal(SIGCONT);
  CHECK(harness::waitUntil(
      [&] { return Mesh.operatorGet(Old, "/v1/document").Status == 200; },
      WaitLimit));
  REQUIRE(Reads.waitForMore(30));
  std::size_t Current = 0;
  for (const auto &Answer : Reads.stop()) {
    if (Answer.Status != 200)
      continue;
    ++Current;
    CHECK(json::parse(Answer.Body).at("document").to_number<std::uint64_t>() >=
          Latest);
  }
  CHECK(Current > 0);
}

} // namespace amaranth::e2e
