#include "MemoryChannel.h"
#include "MeshFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;
using amaranth::protocol::MessageType;
using amaranth::protocol::testing::MemoryChannel;

namespace amaranth::dataplane::testing {

/// A gate with an upstream, and the entry node's end of a connection to it.
class ExchangeServerTest : public MeshFixture {
protected:
  ExchangeServerTest() : Node(addNode("n")), Upstream(addUpstream(Node)) {
    auto [Near, Far] = protocol::testing::makeChannelPair(
        Context.get_executor(), {protocol::Role::Node, "entry", {}},
        {protocol::Role::Node, "n", {}});
    Entry = Near;
    auto Serve =
        [](TestNode &Node,
           std::shared_ptr<protocol::Channel> Link) -> asio::awaitable<void> {
      // Closes the connection as `protocol::Listener` does.
      try {
        co_await Node.Exchanges.serve(Link);
      } catch (const base::ProtocolError &Failure) {
        Link->close(Failure.what());
      }
    };
    spawn(Serve(Node, Far));
    settle();
  }
  ~ExchangeServerTest() { Entry->close("end of the test"); }

  /// Queues a request that was sent at `Sent`, without running the gate.
  void postRequest(const std::string &Target, base::BootTime Sent,
                   base::Millis Remaining) {
    RequestHead Head;
    Head.Service = base::ServiceName("s");
    Head.Version = base::VersionName("v1");
    Head.Method = "GET";
    Head.Target = Target;
    Head.Attempt = Head.CallerAttempt = Target;
    Head.BodyLength = 0;
    Head.Remaining = Head.Objective = Remaining;
    Head.Sent = Sent;
    Entry->post(MessageType::RequestHead, NextStream++, encode(Head));
  }

  /// Receives the next refusal and skips the messages before it.
  Refusal receiveRefusal() {
    std::optional<Refusal> Result;
    auto Receive = [](std::shared_ptr<MemoryChannel> From,
                      std::optional<Refusal> &Into) -> asio::awaitable<void> {
      while (!Into) {
        protocol::Frame Next = co_await From->receive();
        if (Next.Type == MessageType::Refusal)
          Into = decodeRefusal(Next.Payload);
      }
    };
    spawn(Receive(Entry, Result));
    runUntil([&] { return Result.has_value(); });
    return *Result;
  }

  TestNode &Node;
  TestUpstream &Upstream;
  std::shared_ptr<MemoryChannel> Entry;
  std::uint64_t NextStream = 1;
};

// Guards against work for a caller that has left: a busy gate reads the request
// and its cancellation from the same buffer.
TEST_CASE_METHOD(ExchangeServerTest,
                 "Request received together with its cancel is not run") {
  postRequest("/cancelled", Time.bootNow(), base::Millis(1000));
  Entry->post(MessageType::Cancel, NextStream - 1, encodeCancel());
  postRequest("/wanted", Time.bootNow(), base::Millis(1000));
  runUntil([&] { return !Upstream.Seen.empty(); });
  settle();
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /wanted"});
}

// Guards against work for a caller that leaves while the gate opens a
// connection to the upstream.
TEST_CASE_METHOD(ExchangeServerTest,
                 "Request cancelled during the connect is not run") {
  postRequest("/cancelled", Time.bootNow(), base::Millis(1000));
  Context.restart();
  while (Node.UpstreamGate.load().InFlight == 0)
    REQUIRE(Context.poll_one() == 1);
  Entry->post(MessageType::Cancel, NextStream - 1, encodeCancel());
  runUntil([&] { return Node.UpstreamGate.load().InFlight == 0; });
  settle();
  CHECK(Upstream.Seen.empty());
}

// Guards against a deadline that passes while the gate opens a connection.
TEST_CASE_METHOD(ExchangeServerTest,
                 "Request expired during the connect is not run") {
  postRequest("/expired", Time.bootNow(), base::Millis(500));
  Context.restart();
  while (Node.UpstreamGate.load().InFlight == 0)
    REQUIRE(Context.poll_one() == 1);
  Time.advance(base::Millis(600));
  Refusal Expired = receiveRefusal();
  CHECK(Expired.Outcome == ExecutionOutcome::NotRun);
  CHECK(Expired.Reason == RefusalReason::DeadlineExceeded);
  settle();
  CHECK(Upstream.Seen.empty());
}

// Guards against a deadline that starts when the gate reads the request: one
// that waited on the way reached the upstream after its caller had left.
TEST_CASE_METHOD(ExchangeServerTest,
                 "Request delayed beyond its deadline is not run") {
  // The fastest message gives the offset of the two clocks.
  constexpr base::Millis ClockOffset = base::Millis(123'456);
  base::BootTime OnTime = Time.bootNow() + ClockOffset;
  postRequest("/first", OnTime, base::Millis(700));
  runUntil([&] { return Upstream.Seen.size() == 1; });

  Time.advance(base::Millis(800));
  postRequest("/late", OnTime, base::Millis(700));
  Refusal Late = receiveRefusal();
  CHECK(Late.Outcome == ExecutionOutcome::NotRun);
  CHECK(Late.Reason == RefusalReason::DeadlineExceeded);
  CHECK(Upstream.Seen.size() == 1);

  postRequest("/in-time", OnTime, base::Millis(1000));
  runUntil([&] { return Upstream.Seen.size() == 2; });
  const auto *Passed =
      findHeader(Upstream.SeenFields[1], "X-Request-Deadline-Ms");
  REQUIRE(Passed);
  CHECK(std::stoi(*Passed) == 200);
}

TEST_CASE_METHOD(
    ExchangeServerTest,
    "Request with a negative departure time closes the connection") {
  postRequest("/x", base::BootTime(-1), base::Millis(1000));
  runUntil([&] { return !Entry->isOpen(); });
  CHECK(Upstream.Seen.empty());
}

} // namespace amaranth::dataplane::testing
