#include "MemoryChannel.h"
#include "amaranth/dataplane/PeerPool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <random>

namespace asio = boost::asio;
using amaranth::protocol::Frame;
using amaranth::protocol::MessageType;
using amaranth::protocol::testing::MemoryChannel;

namespace amaranth::dataplane {

/// Returns in-memory connections whose remote ends the test controls.
class FakeDialer final : public protocol::Dialer {
public:
  explicit FakeDialer(asio::io_context &Context) : Context(Context) {}

  asio::awaitable<std::shared_ptr<protocol::Channel>>
  dial(base::Address, base::Millis) override {
    ++Dials;
    if (RefuseDials)
      throw protocol::ChannelClosed("refused");
    auto [LocalEnd, RemoteEnd] =
        protocol::testing::makeChannelPair(Context.get_executor(), {}, {});
    RemoteEnds.push_back(RemoteEnd);
    if (CloseImmediately)
      LocalEnd->close("lost");
    co_return LocalEnd;
  }

  asio::io_context &Context;
  std::vector<std::shared_ptr<MemoryChannel>> RemoteEnds;
  int Dials = 0;
  bool RefuseDials = false;
  bool CloseImmediately = false;
};

class PeerPoolTest {
protected:
  struct Result {
    std::shared_ptr<ClientExchange> Exchange;
    std::optional<ResponseHead> Head;
    std::optional<Refusal> Refused;
    bool Done = false;
  };

  ~PeerPoolTest() {
    Pool.close();
    poll();
  }

  void poll() {
    Context.restart();
    Context.poll();
  }

  std::shared_ptr<Result> open() {
    auto Into = std::make_shared<Result>();
    auto Task = [](PeerPool &Pool, base::Clock &Time,
                   std::shared_ptr<Result> Into) -> asio::awaitable<void> {
      RequestHead Head;
      Head.Method = "GET";
      Head.Target = "/";
      Head.Attempt = "a";
      Head.BodyLength = 0;
      base::TimePoint Deadline = Time.now() + base::Millis(1000);
      base::Address Peer{"127.0.0.1", 1};
      try {
        Into->Exchange = co_await Pool.open(Peer, std::move(Head), Deadline);
        Into->Head = co_await Into->Exchange->readHead(Deadline);
      } catch (const ExchangeAborted &Failure) {
        Into->Refused = Failure.refusal();
      }
      Into->Done = true;
    };
    asio::co_spawn(Context, Task(Pool, Time, Into), asio::detached);
    poll();
    return Into;
  }

  void reply(std::uint64_t Stream, unsigned Status) {
    ResponseHead Head;
    Head.Status = Status;
    Dialer.RemoteEnds.back()->post(MessageType::ResponseHead, Stream,
                                   encode(Head));
    poll();
  }

  asio::io_context Context;
  base::ManualClock Time;
  FakeDialer Dialer{Context};
  PeerPool Pool{Context.get_executor(), {}, Time, Dialer};
};

TEST_CASE_METHOD(PeerPoolTest, "Failed dial results in not-run and a backoff") {
  Dialer.RefuseDials = true;
  for (int I = 0; I < 20; ++I) {
    auto Call = open();
    REQUIRE(Call->Refused);
    CHECK(Call->Refused->Outcome == ExecutionOutcome::NotRun);
    CHECK(Call->Refused->Reason == RefusalReason::PeerUnreachable);
  }
  // Without the backoff, each of the 20 calls would dial.
  CHECK(Dialer.Dials < 20);
  Dialer.RefuseDials = false;
  Time.advance(base::Millis(2000));
  CHECK_FALSE(open()->Refused);
}

TEST_CASE_METHOD(PeerPoolTest,
                 "Connection loss before the head results in not-run") {
  Dialer.CloseImmediately = true;
  auto Call = open();
  REQUIRE(Call->Refused);
  CHECK(Call->Refused->Outcome == ExecutionOutcome::NotRun);
}

TEST_CASE_METHOD(PeerPoolTest,
                 "Connection loss after the head results in unknown") {
  auto First = open();
  auto Second = open();
  CHECK_FALSE(First->Done);
  Dialer.RemoteEnds.back()->close("cut");
  poll();
  for (const auto &Call : {First, Second}) {
    REQUIRE(Call->Refused);
    CHECK(Call->Refused->Outcome == ExecutionOutcome::Unknown);
    CHECK(Call->Refused->Reason == RefusalReason::ConnectionLost);
  }
  CHECK_FALSE(open()->Refused);
  CHECK(Dialer.Dials == 2);
}

// Guards P5 (complete response, own request): the response arrives after its
// exchange was cancelled.
TEST_CASE_METHOD(PeerPoolTest, "Late answer reaches no other exchange") {
  auto First = open();
  Time.advance(base::Millis(1000));
  poll();
  CHECK(First->Done);
  CHECK_FALSE(First->Head);
  First->Exchange.reset();
  auto Second = open();
  reply(1, 200);
  CHECK_FALSE(Second->Done);
  reply(2, 201);
  REQUIRE(Second->Head);
  CHECK(Second->Head->Status == 201);
  CHECK(Pool.connections() == 1);
}

TEST_CASE_METHOD(PeerPoolTest,
                 "Responses in random order reach their exchanges") {
  unsigned Seed = 99;
  INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  std::vector<std::shared_ptr<Result>> Calls;
  std::vector<std::uint64_t> Streams;
  for (std::uint64_t I = 1; I <= 200; ++I) {
    Calls.push_back(open());
    Streams.push_back(I);
  }
  std::shuffle(Streams.begin(), Streams.end(), Random);
  for (std::uint64_t Stream : Streams)
    reply(Stream, 200 + static_cast<unsigned>(Stream));
  for (std::size_t I = 0; I < Calls.size(); ++I) {
    REQUIRE(Calls[I]->Head);
    CHECK(Calls[I]->Head->Status == 201 + I);
  }
}

// Guards against a sender that exhausts the receiver's memory.
TEST_CASE_METHOD(PeerPoolTest,
                 "Sender stops at the window until it is extended") {
  auto Call = open();
  std::size_t Sent = 0;
  auto Pump = [](std::shared_ptr<Result> Call,
                 std::size_t &Sent) -> asio::awaitable<void> {
    try {
      for (;;) {
        base::Bytes Piece(MaxPieceBytes, 1);
        co_await Call->Exchange->Body.sendData(std::move(Piece), false);
        Sent += MaxPieceBytes;
      }
    } catch (const ExchangeAborted &) {
      Sent += 1;
    }
  };
  asio::co_spawn(Context, Pump(Call, Sent), asio::detached);
  poll();
  CHECK(Sent == WindowBytes);
  Dialer.RemoteEnds.back()->post(MessageType::Window, 1,
                                 encode(WindowUpdate{MaxPieceBytes, {}}));
  poll();
  CHECK(Sent == WindowBytes + MaxPieceBytes);
  Dialer.RemoteEnds.back()->close("cut");
  poll();
  CHECK(Sent == WindowBytes + MaxPieceBytes + 1);
}

// Guards against a peer that ignores the flow control window.
TEST_CASE_METHOD(PeerPoolTest, "Peer that exceeds the window is disconnected") {
  auto Call = open();
  base::Bytes Piece(MaxPieceBytes, 1);
  for (int I = 0; I < 5; ++I)
    Dialer.RemoteEnds.back()->post(MessageType::ResponseData, 1,
                                   encodeResponseData(Piece, false));
  poll();
  REQUIRE(Call->Refused);
  CHECK(Call->Refused->Outcome == ExecutionOutcome::Unknown);
  CHECK_FALSE(Dialer.RemoteEnds.back()->isOpen());
}

TEST_CASE_METHOD(PeerPoolTest, "Heads above the limits are refused") {
  ResponseHead Head;
  Head.Status = 200;
  for (std::size_t I = 0; I <= MaxHeaderCount; ++I)
    Head.Fields.emplace_back("N", "v");
  CHECK_THROWS_AS(decodeResponseHead(encode(Head)), base::ProtocolError);
  Head.Fields = {{"N", std::string(MaxHeaderBytes, 'v')}};
  CHECK_THROWS_AS(decodeResponseHead(encode(Head)), base::ProtocolError);
  // A line break would let the sender inject a header field.
  Head.Fields = {{"N", "v\r\nX: y"}};
  CHECK_THROWS_AS(decodeResponseHead(encode(Head)), base::ProtocolError);
}

} // namespace amaranth::dataplane
