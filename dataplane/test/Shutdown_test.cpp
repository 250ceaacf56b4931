#include "MeshFixture.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::dataplane::testing {

/// An entry node that shuts down while the node beside the upstream goes on.
class EntryShutdownTest : public MeshFixture {
protected:
  static constexpr std::size_t ResponseBufferBytes = 64U << 10U;
  static constexpr std::uint64_t LinkBytesPerSecond = 100'000;

  EntryShutdownTest()
      : Leaving(addNode("leaving", "z", ResponseBufferBytes)),
        Staying(addNode("staying", "z", 0, LinkBytesPerSecond)) {}

  void shutDown(base::Millis Limit) {
    spawn([](TestNode &Node, base::Millis Limit,
             std::optional<bool> &Result) -> asio::awaitable<void> {
      bool AllAnswered = co_await Node.Entry.drain(Limit);
      Result = AllAnswered;
    }(Leaving, Limit, Drained));
    settle();
  }

  void advance(base::Millis Span) {
    constexpr base::Millis Step(20);
    for (base::Millis Past(0); Past < Span; Past = Past + Step) {
      Time.advance(Step);
      for (int Round = 0; Round < 3; ++Round) {
        Context.restart();
        Context.run_for(std::chrono::milliseconds(1));
      }
    }
  }

  /// Sends a request with `Fields` behind one that is answered after two thirds
  /// of a shutdown, on the same connection, and waits for both responses.
  std::shared_ptr<CallerResult> sendLateRequest(TestUpstream &Upstream,
                                                const std::string &Fields) {
    auto Caller =
        send(Leaving.Entry.local(), "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
                                    "POST /late HTTP/1.1\r\nHost: h\r\n" +
                                        Fields + "Content-Length: 0\r\n\r\n");
    runUntil([&] { return Upstream.Seen.size() == 1; });
    shutDown(base::Millis(3000));
    advance(base::Millis(2000));
    Held = false;
    Release.notifyAll();
    runUntil([&] { return Caller->Done; });
    return Caller;
  }

  TestNode &Leaving;
  TestNode &Staying;
  /// Whether all requests were answered when the shutdown ended.
  std::optional<bool> Drained;
};

// Guards against downloads that wait for the link of the other node until the
// node that took them has ended, which cuts them off without a response.
TEST_CASE_METHOD(
    EntryShutdownTest,
    "Downloads in progress are answered before the shutdown ends") {
  constexpr std::size_t Bytes = 200'000;
  constexpr std::size_t Count = 3;
  Mesh.Routes.edit().begin()->second.Kind = document::RequestKind::Download;
  Mesh.Routes.edit().begin()->second.Objective = base::Millis(100);
  Snapshots.set(Mesh);
  TestUpstream &Upstream = addUpstream(Staying);
  std::vector<std::shared_ptr<CallerResult>> Downloads;
  Downloads.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Downloads.push_back(get(Leaving, "/size/" + std::to_string(Bytes)));
  runUntil([&] { return Upstream.BytesWritten == Count * Bytes; });
  // The link sends 80 kB of bodies a second.
  shutDown(base::Millis(4000));
  advance(base::Millis(100));
  auto Refused = std::ranges::count_if(Downloads, [](const auto &Each) {
    return Each->Done && Each->status() >= 500 && !Each->Reset;
  });
  CHECK(Refused == 2);
  advance(base::Millis(4000));
  auto Whole = std::ranges::count_if(Downloads, [](const auto &Each) {
    return Each->Done && Each->status() == 200 && Each->body().size() == Bytes;
  });
  CHECK(Whole == 1);
  CHECK(Drained == true);
}

// Guards against a download that its link carries more slowly than expected, so
// that the node that took it ends in the middle of the response.
TEST_CASE_METHOD(EntryShutdownTest,
                 "Download that is not complete at the end is not cut off") {
  constexpr std::size_t Bytes = 250'000;
  Mesh.Routes.edit().begin()->second.Kind = document::RequestKind::Download;
  Mesh.Routes.edit().begin()->second.Objective = base::Millis(100);
  Snapshots.set(Mesh);
  TestNode &Other = addNode("other");
  TestUpstream &Upstream = addUpstream(Staying);
  auto Download = get(Leaving, "/size/" + std::to_string(Bytes));
  runUntil([&] { return Upstream.BytesWritten == Bytes; });
  shutDown(base::Millis(4000));
  advance(base::Millis(2000));
  // Short responses use the link without waiting for it, 2.5 s in all.
  for (int I = 0; I < 25; ++I)
    get(Other, "/size/8000");
  advance(base::Millis(2500));
  REQUIRE(Download->Done);
  CHECK_FALSE(Download->Reset);
  CHECK(Download->status() >= 500);
}

// Guards against a shutdown that ends without a response to its last requests
// because the process did not run at the moment at which it gives them up.
TEST_CASE_METHOD(EntryShutdownTest,
                 "Request gets a response although the node runs late") {
  TestUpstream &Upstream = addUpstream(Staying);
  auto Held = get(Leaving, "/hold");
  runUntil([&] { return Upstream.Seen.size() == 1; });
  shutDown(base::Millis(3000));
  advance(base::Millis(2800));
  CHECK_FALSE(Held->Done);
  Time.advance(base::Millis(300));
  runUntil([&] { return Held->Done; });
  CHECK_FALSE(Held->Reset);
  CHECK(Held->status() == 504);
  advance(base::Millis(100));
  CHECK(Drained == true);
}

// Guards against a planned shutdown that closes the connection of a request
// whose upstream has not answered.
TEST_CASE_METHOD(EntryShutdownTest,
                 "Request that outlasts the shutdown gets a response") {
  TestUpstream &Upstream = addUpstream(Staying);
  auto Held = get(Leaving, "/hold");
  runUntil([&] { return Upstream.Seen.size() == 1; });
  shutDown(base::Millis(3000));
  advance(base::Millis(2700));
  CHECK_FALSE(Held->Done);
  advance(base::Millis(400));
  REQUIRE(Held->Done);
  CHECK(Held->status() == 504);
  CHECK(Held->has("X-Amaranth-Outcome: unknown"));
  CHECK(Drained == true);
}

// Guards against a request that waits for a slot behind others until the node
// that took it has ended.
TEST_CASE_METHOD(EntryShutdownTest,
                 "Waiting request of a node that shuts down precedes others") {
  TestUpstream &Upstream = addUpstream(Staying, "v1", 1);
  auto Running = get(Staying, "/hold");
  runUntil([&] { return Upstream.Seen.size() == 1; });
  auto Other = get(Staying, "/echo/other");
  runUntil([&] { return Staying.UpstreamGate.load().Queued == 1; });
  auto Waiting = get(Leaving, "/echo/leaving");
  runUntil([&] { return Staying.UpstreamGate.load().Queued == 2; });
  shutDown(base::Millis(3000));
  Held = false;
  Release.notifyAll();
  runUntil([&] { return Upstream.Seen.size() == 3; });
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /hold",
                                                  "GET /echo/leaving",
                                                  "GET /echo/other"});
}

// Guards against a request that arrives late in the shutdown, is passed on and
// is cut off at its end.
TEST_CASE_METHOD(EntryShutdownTest,
                 "Request late in a shutdown is refused if it may outlast it") {
  TestUpstream &Upstream = addUpstream(Staying);
  auto Caller = sendLateRequest(Upstream, "");
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /hold"});
  CHECK(Caller->has("X-Amaranth-Outcome: not-run"));
  CHECK(Caller->has("X-Amaranth-Reason: node-draining"));
}

// A request that is due before the node ends cannot be cut off by it.
TEST_CASE_METHOD(EntryShutdownTest,
                 "Request late in a shutdown is served if it is due before") {
  TestUpstream &Upstream = addUpstream(Staying);
  sendLateRequest(Upstream, "X-Request-Deadline-Ms: 500\r\n");
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /hold", "POST /late"});
}

} // namespace amaranth::dataplane::testing
