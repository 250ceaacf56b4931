#include "MeshFixture.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <prometheus/text_serializer.h>

#include <array>

namespace amaranth::dataplane::testing {

namespace {

constexpr base::Millis Step = base::Millis(10);

} // namespace

class SharedQuotasTest : public MeshFixture {
protected:
  SharedQuotasTest() {
    Limit.Name = base::CustomerName("studio");
    Limit.RequestsPerSecond = 20;
    Limit.Burst = 10;
    Mesh.Customers[Limit.Name] = Limit;
    for (const char *Name : {"one", "two", "three"}) {
      TestNode &Node = addNode(Name, std::string("zone-") + Name);
      addUpstream(Node);
      boost::asio::co_spawn(
          Context, Node.Limits.run(),
          boost::asio::bind_cancellation_slot(Runs[Nodes.size() - 1].slot(),
                                              boost::asio::detached));
    }
  }

  void pass(base::Millis Span) {
    for (; Span > base::Millis(0); Span = Span - Step) {
      Time.advance(Step);
      for (int Round = 0; Round < 3; ++Round) {
        Context.restart();
        Context.run_for(std::chrono::milliseconds(1));
      }
    }
  }

  void admit(TestNode &Node) {
    spawn([](SharedQuotasTest &Test,
             TestNode &Node) -> boost::asio::awaitable<void> {
      auto Verdict = co_await Node.Limits.admit(Test.Limit, base::Millis(1000));
      if (Verdict.Admitted)
        ++Test.Admitted;
      else
        ++Test.Refused;
      Test.RetryAfter = std::max(Test.RetryAfter, Verdict.RetryAfter);
    }(*this, Node));
  }

  bool owns(TestNode &Node) {
    return prometheus::TextSerializer()
               .Serialize(Node.Registry.Collect())
               .find("amaranth_quota_owned_shards 1") != std::string::npos;
  }

  document::Customer Limit;
  std::array<boost::asio::cancellation_signal, 3> Runs;
  unsigned Admitted = 0;
  unsigned Refused = 0;
  base::Millis RetryAfter;
};

// Guards against a limit that holds for each node instead of for their sum, and
// against requests that wait longer than they may.
TEST_CASE_METHOD(SharedQuotasTest,
                 "Three nodes share the limit of a customer over connections") {
  pass(base::Millis(2500));
  for (int I = 0; I < 30; ++I)
    admit(*Nodes[static_cast<std::size_t>(I) % 3]);
  pass(SharedQuotas::MaxWaitTime + Step);
  CHECK(Admitted + Refused == 30);
  // The burst, and 160 ms at 20 requests a second.
  CHECK(Admitted >= 10);
  CHECK(Admitted <= 14);
  CHECK(RetryAfter > base::Millis(0));
  CHECK(RetryAfter <= base::Millis(1000));

  pass(base::Millis(1100));
  std::size_t Owned = 0;
  for (const auto &Node : Nodes) {
    Owned += owns(*Node) ? 1 : 0;
    std::string Text =
        prometheus::TextSerializer().Serialize(Node->Registry.Collect());
    CHECK(Text.find("studio") == std::string::npos);
  }
  CHECK(Owned == 1);
}

// Guards against a limit that is lost when the owner leaves: another node takes
// over, and callers of the remaining nodes are served.
TEST_CASE_METHOD(SharedQuotasTest,
                 "Requests are admitted after a node stops answering") {
  pass(base::Millis(3500));
  std::size_t Owner = 3;
  for (std::size_t I = 0; I < 3; ++I)
    if (owns(*Nodes[I]))
      Owner = I;
  REQUIRE(Owner < 3);
  Runs.at(Owner).emit(boost::asio::cancellation_type::all);
  Nodes[Owner]->Inner.stop();
  for (const auto &Node : Nodes)
    Node->Peers.close();

  // Half of the limit; each request goes to another node that is left.
  auto Load = [&](int Count) {
    Admitted = 0;
    Refused = 0;
    for (int I = 0; I < Count; ++I) {
      admit(*Nodes[(Owner + 1 + static_cast<std::size_t>(I) % 2) % 3]);
      pass(base::Millis(100));
    }
  };
  Load(20);
  Load(10);
  pass(base::Millis(100));
  CHECK(Admitted == 10);
  CHECK(Refused == 0);
}

// Guards against a peer whose malformed message changes a quota or stays
// connected.
TEST_CASE_METHOD(SharedQuotasTest,
                 "Malformed quota request ends the connection") {
  std::shared_ptr<protocol::Channel> Link;
  bool Closed = false;
  spawn([](SharedQuotasTest &Test, std::shared_ptr<protocol::Channel> &Link,
           bool &Closed) -> boost::asio::awaitable<void> {
    Link = co_await Test.Nodes[0]->Dialer.dial(Test.Nodes[1]->Inner.local(),
                                               base::Millis(1000));
    Link->post(protocol::MessageType::QuotaRequest, 0, base::Bytes(40, 0xff));
    try {
      for (;;)
        co_await Link->receive();
    } catch (const protocol::ChannelClosed &) {
      Closed = true;
    }
  }(*this, Link, Closed));
  runUntil([&] { return Closed; });
  CHECK_THROWS_AS(
      Nodes[1]->Limits.answer(base::NodeId("one"), base::Bytes(40, 0xff)),
      base::ProtocolError);
}

} // namespace amaranth::dataplane::testing
