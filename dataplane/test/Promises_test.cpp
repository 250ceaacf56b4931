#include "MeshFixture.h"
#include "amaranth/base/Invariant.h"

#include <catch2/catch.hpp>

#include <random>

namespace amaranth::dataplane::testing {

class PromisesTest : public MeshFixture {
protected:
  PromisesTest() : Left(addNode("left")), Right(addNode("right")) {}

  void release() {
    Held = false;
    Release.notifyAll();
  }
  /// Number of requests with this target that upstreams received.
  std::size_t seen(const std::string &Target) const {
    std::size_t Count = 0;
    for (const auto &Upstream : Upstreams)
      for (const std::string &Line : Upstream->Seen)
        Count += Line.ends_with(" " + Target) ? 1 : 0;
    return Count;
  }

  TestNode &Left;
  TestNode &Right;
};

// Promise P7 of docs/design.md: a resend through another node while the first
// attempt is running.
TEST_CASE_METHOD(PromisesTest, "Keyed request sent twice runs once") {
  addUpstream(Left);
  addUpstream(Right);
  auto First = post(Left, "/hold", "x", "Idempotency-Key: k\r\n");
  runUntil([&] { return seen("/hold") == 1; });
  auto Second = post(Right, "/hold", "x", "Idempotency-Key: k\r\n");
  runUntil([&] { return Second->Done; });
  CHECK(Second->status() == 409);
  CHECK(Second->has("X-Amaranth-Outcome: unknown"));
  release();
  runUntil([&] { return First->Done; });
  CHECK(First->body() == "POST /hold x");
  settle();
  auto Third = post(Right, "/hold", "x", "Idempotency-Key: k\r\n");
  runUntil([&] { return Third->Done; });
  CHECK(Third->body() == First->body());
  CHECK(seen("/hold") == 1);
  auto Other = post(Right, "/other", "x", "Idempotency-Key: k\r\n");
  runUntil([&] { return Other->Done; });
  CHECK(Other->status() == 409);
  CHECK(Other->has("X-Amaranth-Outcome: not-run"));
}

// Promise P7 with random interleavings of resends, held responses and broken
// responses.
TEST_CASE_METHOD(PromisesTest, "Keyed requests in random order run once each") {
  unsigned Seed = 20'240'611;
  INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  addUpstream(Left);
  addUpstream(Right);
  std::vector<std::shared_ptr<CallerResult>> Results;
  for (int I = 0; I < 120; ++I) {
    std::string Name = std::to_string(Random() % 20);
    const char *Kinds[] = {"/echo/", "/hold/", "/break/", "/short/"};
    std::string Target = Kinds[std::stoi(Name) % 4] + Name;
    Results.push_back(post(Random() % 2 ? Left : Right, Target, Name,
                           "Idempotency-Key: " + Name + "\r\n"));
    if (Random() % 3 == 0)
      settle();
  }
  release();
  runUntil([&] {
    return std::all_of(Results.begin(), Results.end(),
                       [](const auto &Result) { return Result->Done; });
  });
  for (int I = 0; I < 20; ++I) {
    const char *Kinds[] = {"/echo/", "/hold/", "/break/", "/short/"};
    CHECK(seen(Kinds[I % 4] + std::to_string(I)) <= 1);
  }
}

// Promise P5: many exchanges share one connection.
TEST_CASE_METHOD(PromisesTest, "Crossed responses reach their own callers") {
  unsigned Seed = 7;
  INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  addUpstream(Right, "v1", 64);
  std::vector<std::pair<std::string, std::shared_ptr<CallerResult>>> Calls;
  for (int I = 0; I < 100; ++I) {
    std::string Body(Random() % 200'000, static_cast<char>('a' + I % 26));
    Body += std::to_string(I);
    Calls.emplace_back("POST /echo " + Body, post(Left, "/echo", Body));
  }
  runUntil([&] {
    return std::all_of(Calls.begin(), Calls.end(),
                       [](const auto &Call) { return Call.second->Done; });
  });
  for (const auto &[Expected, Result] : Calls) {
    if (Result->status() == 503)
      CHECK(Result->has("X-Amaranth-Outcome: not-run"));
    else
      CHECK(Result->body() == Expected);
  }
  CHECK(Left.Peers.connections() == 1);
}

// A truncated body must not look complete to the caller.
TEST_CASE_METHOD(PromisesTest, "Short upstream body resets the caller") {
  addUpstream(Right);
  auto Result = get(Left, "/short");
  runUntil([&] { return Result->Done; });
  CHECK(Result->Reset);
  CHECK(Result->body().size() < 100'000);
}

// While the entry node holds the response back, it can still retry and send a
// complete response instead of resetting the connection.
TEST_CASE_METHOD(PromisesTest, "Held response that breaks off is retried") {
  TestNode &Holding = addNode("holding", "z", 64 * 1024);
  addUpstream(Left);
  addUpstream(Right);
  auto Result = get(Holding, "/short");
  runUntil([&] { return Result->Done; });
  CHECK(seen("/short") >= 2);
  CHECK_FALSE(Result->Reset);
  CHECK(Result->status() == 502);
  CHECK(Result->has("X-Amaranth-Outcome: unknown"));
}

TEST_CASE_METHOD(PromisesTest,
                 "Broken unkeyed POST is unknown and not retried") {
  addUpstream(Left);
  addUpstream(Right);
  auto Result = post(Left, "/break", "x");
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 502);
  CHECK(Result->has("X-Amaranth-Outcome: unknown"));
  CHECK(seen("/break") == 1);
  auto Idempotent = get(Left, "/break");
  runUntil([&] { return Idempotent->Done; });
  CHECK(seen("/break") == 3);
  CHECK(Idempotent->has("X-Amaranth-Outcome: unknown"));
}

// Promise P6: no byte reached the upstream, and the idempotency key is
// released.
TEST_CASE_METHOD(PromisesTest, "Unreachable upstream gives not-run") {
  TestUpstream &Unreachable = addUpstream(Right);
  Unreachable.crash();
  auto Result = post(Left, "/echo", "x", "Idempotency-Key: k\r\n");
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 503);
  CHECK(Result->has("X-Amaranth-Outcome: not-run"));
  settle();
  CHECK(std::holds_alternative<control::ReleaseClaim>(Control.Seen[1]));
  addUpstream(Left);
  auto Again = post(Left, "/echo", "x", "Idempotency-Key: k\r\n");
  runUntil([&] { return Again->Done; });
  CHECK(Again->status() == 200);
  CHECK(seen("/echo") == 1);
}

TEST_CASE_METHOD(PromisesTest,
                 "Request without control's majority is not run") {
  addUpstream(Right);
  Control.Down = true;
  auto Keyed = post(Left, "/echo", "x", "Idempotency-Key: k\r\n");
  auto Plain = post(Left, "/plain", "x");
  runUntil([&] { return Plain->Done; });
  CHECK(Plain->status() == 200);
  for (int I = 0; I < 60 && !Keyed->Done; ++I) {
    Time.advance(base::Millis(50));
    settle();
  }
  REQUIRE(Keyed->Done);
  CHECK(Keyed->has("X-Amaranth-Reason: claim-unavailable"));
  CHECK(Keyed->has("X-Amaranth-Outcome: not-run"));
  CHECK(seen("/echo") == 0);
}

TEST_CASE_METHOD(PromisesTest, "Refused request is retried on another node") {
  TestUpstream &Unreachable = addUpstream(Left);
  addUpstream(Right);
  Unreachable.crash();
  for (int I = 0; I < 10; ++I) {
    auto Result = post(Left, "/echo", "x");
    runUntil([&] { return Result->Done; });
    CHECK(Result->status() == 200);
  }
  CHECK(seen("/echo") == 10);
}

// Promises P8 and P9 at the gate.
TEST_CASE_METHOD(PromisesTest,
                 "Draining upstream ends its work and gets none") {
  TestUpstream &Upstream = addUpstream(Right);
  auto Running = post(Left, "/hold", "x");
  runUntil([&] { return seen("/hold") == 1; });
  announce(Right, Upstream, Announcement::State::Draining);
  auto Late = post(Left, "/echo", "x");
  runUntil([&] { return Late->Done; });
  CHECK(Late->has("X-Amaranth-Reason: upstream-draining"));
  CHECK(Late->has("X-Amaranth-Outcome: not-run"));
  CHECK(Control.Published.back().State == document::EndpointState::Draining);
  release();
  runUntil([&] { return Running->Done; });
  CHECK(Running->status() == 200);
  CHECK(seen("/echo") == 0);
}

TEST_CASE_METHOD(PromisesTest, "Draining node finishes what is in flight") {
  addUpstream(Right);
  auto Running = post(Left, "/hold", "x");
  runUntil([&] { return seen("/hold") == 1; });
  bool Drained = false;
  auto Drain = [](TestNode &Node, bool &Done) -> boost::asio::awaitable<void> {
    Done = co_await Node.UpstreamGate.drain(base::Millis(30'000));
  };
  spawn(Drain(Right, Drained));
  settle();
  CHECK_FALSE(Drained);
  auto Late = post(Left, "/echo", "x");
  runUntil([&] { return Late->Done; });
  CHECK(Late->has("X-Amaranth-Reason: node-draining"));
  release();
  runUntil([&] { return Running->Done; });
  CHECK(Running->status() == 200);
  for (int I = 0; I < 20 && !Drained; ++I) {
    Time.advance(base::Millis(20));
    settle();
  }
  CHECK(Drained);
}

// Callers poll readiness only periodically, so a node must accept requests for
// a while after it starts to report that it is not ready.
TEST_CASE_METHOD(PromisesTest,
                 "Lame duck serves new work until its time ends") {
  addUpstream(Right);
  auto Drain = [](TestNode &Node) -> boost::asio::awaitable<void> {
    co_await Node.UpstreamGate.drain(base::Millis(30'000), base::Millis(2'000));
  };
  spawn(Drain(Right));
  settle();
  auto Early = post(Left, "/echo", "x");
  runUntil([&] { return Early->Done; });
  CHECK(Early->status() == 200);
  Time.advance(base::Millis(2'000));
  settle();
  auto Late = post(Left, "/echo", "x");
  runUntil([&] { return Late->Done; });
  CHECK(Late->has("X-Amaranth-Reason: node-draining"));
}

// Memory use must not grow with the size of a response.
TEST_CASE_METHOD(PromisesTest, "Slow reader gets 64 MB with bounded memory") {
  constexpr std::size_t Size = 64'000'000;
  TestUpstream &Upstream = addUpstream(Right);
  PauseReading = true;
  auto Result = get(Left, "/size/" + std::to_string(Size));
  runUntil([&] { return Upstream.BytesWritten > 0; });
  std::uint64_t Before = 0;
  do {
    Before = Upstream.BytesWritten;
    settle();
  } while (Upstream.BytesWritten != Before);
  // Two flow-control windows and the kernel buffers of three connections.
  CHECK(Before < 24'000'000);
  PauseReading = false;
  Release.notifyAll();
  runUntil([&] { return Result->Done; });
  CHECK(Result->body().size() == Size);
}

TEST_CASE_METHOD(PromisesTest, "Caller that goes away ends its exchange") {
  TestUpstream &Upstream = addUpstream(Right);
  auto Result = get(Left, "/hold");
  runUntil([&] { return Upstream.Seen.size() == 1; });
  CHECK(Right.UpstreamGate.load().InFlight == 1);
  Result->Socket->close();
  runUntil([&] { return Right.UpstreamGate.load().InFlight == 0; });
}

TEST_CASE_METHOD(PromisesTest,
                 "Deadline shrinks over hops and ends a request") {
  TestUpstream &Upstream = addUpstream(Right);
  auto Result = get(Left, "/hold", "X-Request-Deadline-Ms: 700\r\n");
  runUntil([&] { return Upstream.Seen.size() == 1; });
  const auto *Passed =
      findHeader(Upstream.SeenFields[0], "X-Request-Deadline-Ms");
  REQUIRE(Passed);
  CHECK(std::stoi(*Passed) <= 700);
  Time.advance(base::Millis(701));
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 504);
  CHECK(Result->has("X-Amaranth-Outcome: unknown"));
  auto Past = get(Left, "/echo", "X-Request-Deadline-Ms: 0\r\n");
  runUntil([&] { return Past->Done; });
  CHECK(Past->status() == 504);
  CHECK(Past->has("X-Amaranth-Outcome: not-run"));
}

// Promise P6: an attempt with unknown outcome followed by a not-run refusal
// must not be reported as not-run.
TEST_CASE_METHOD(PromisesTest,
                 "Unknown attempt before a refusal stays unknown") {
  addUpstream(Left);
  TestUpstream &Draining = addUpstream(Right);
  announce(Right, Draining, Announcement::State::Draining);
  bool SeenUnknown = false;
  for (int I = 0; I < 10; ++I) {
    auto Result = get(Left, "/break");
    runUntil([&] { return Result->Done; });
    REQUIRE_FALSE(Result->has("X-Amaranth-Outcome: not-run"));
    SeenUnknown = SeenUnknown || Result->has("X-Amaranth-Outcome: unknown");
    Time.advance(base::Millis(60'000));
    announce(Left, *Upstreams[0], Announcement::State::Ready);
    announce(Right, Draining, Announcement::State::Draining);
  }
  CHECK(SeenUnknown);
}

} // namespace amaranth::dataplane::testing
