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
    auto Serve = [](TestNode &Node, std::shared_ptr<protocol::Channel> Link)
        -> asio::awaitable<void> { co_await Node.Exchanges.serve(Link); };
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

} // namespace amaranth::dataplane::testing
