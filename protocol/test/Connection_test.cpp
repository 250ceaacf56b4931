#include "amaranth/protocol/Connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>

namespace asio = boost::asio;

namespace amaranth::protocol {

class ConnectionTest {
protected:
  ConnectionTest()
      : Server(Context.get_executor(), {"127.0.0.1", 0},
               {Role::Control, "1", base::AvailabilityZone("z")},
               {{Role::Node, "secret"}}, Time) {
    asio::co_spawn(
        Context,
        Server.serve(
            [this](std::shared_ptr<Channel> Link) -> asio::awaitable<void> {
              Accepted = Link;
              for (;;) {
                Frame Next = co_await Link->receive();
                co_await Link->send(Next.Type, Next.Stream, Next.Payload);
              }
            }),
        asio::detached);
  }

  /// Runs the loop until `Done`. The limit only ends a test that
  /// would hang.
  void runUntil(const std::function<bool()> &Done) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!Done() && std::chrono::steady_clock::now() < End) {
      Context.restart();
      Context.run_for(std::chrono::milliseconds(1));
    }
    REQUIRE(Done());
  }

  void dial(const std::string &Key) {
    asio::co_spawn(
        Context,
        [this, Key]() -> asio::awaitable<void> {
          TcpDialer Dialer({Role::Node, "n1", base::AvailabilityZone("z")},
                           {{Role::Node, Key}}, Time);
          try {
            Client = co_await Dialer.dial(Server.local(), base::Millis(1000));
          } catch (const ChannelClosed &Failure) {
            Refusal = Failure.what();
          }
        },
        asio::detached);
    runUntil([this] { return Client || !Refusal.empty(); });
  }

  /// Checks that the client stays open for `Count` heartbeats.
  void checkHeartbeats(int Count) {
    asio::co_spawn(
        Context,
        [this]() -> asio::awaitable<void> { co_await Client->receive(); },
        asio::detached);
    for (int Beat = 0; Beat < Count; ++Beat) {
      auto Before = Client->bytesReceived();
      Time.advance(HeartbeatInterval);
      runUntil([&] { return Client->bytesReceived() > Before; });
    }
    CHECK(Client->isOpen());
  }

  asio::io_context Context;
  base::ManualClock Time;
  Listener Server;
  std::shared_ptr<Channel> Client;
  std::shared_ptr<Channel> Accepted;
  std::string Refusal;
};

TEST_CASE_METHOD(ConnectionTest, "Channel message is answered in order") {
  dial("secret");
  REQUIRE(Client);
  CHECK(Client->peer().Id == "1");
  std::vector<std::uint64_t> Streams;
  asio::co_spawn(
      Context,
      [this, &Streams]() -> asio::awaitable<void> {
        for (std::uint64_t I = 1; I <= 100; ++I)
          co_await Client->send(MessageType::Delta, I, base::Bytes(1000, 7));
        while (Streams.size() < 100)
          Streams.push_back((co_await Client->receive()).Stream);
      },
      asio::detached);
  runUntil([&] { return Streams.size() == 100; });
  CHECK(std::is_sorted(Streams.begin(), Streams.end()));
  CHECK(Accepted->peer().Id == "n1");
}

// Guards against frames that wait in the receive buffer of a busy process
// although it has time to read them: each turn of the event loop used to read
// half a frame of a connection.
TEST_CASE_METHOD(ConnectionTest,
                 "Channel with received frames delivers them in few turns") {
  dial("secret");
  REQUIRE(Client);
  constexpr std::uint64_t FrameCount = 50;
  for (std::uint64_t I = 1; I <= FrameCount; ++I)
    Client->post(MessageType::Delta, I, base::Bytes(100, 7));
  runUntil(
      [&] { return Accepted && Accepted->bytesReceived() > FrameCount * 100; });
  // The server returns each frame. The client reads only after all of them have
  // arrived in its receive buffer.
  runUntil([&] { return Accepted->bytesSent() > FrameCount * 100; });
  std::uint64_t Received = 0;
  unsigned Turns = 0;
  // Keeps the event loop busy: each run of this handler is one turn.
  std::function<void()> Turn = [&] {
    ++Turns;
    if (Received < FrameCount)
      asio::post(Context, Turn);
  };
  asio::post(Context, Turn);
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        while (Received < FrameCount) {
          co_await Client->receive();
          ++Received;
        }
      },
      asio::detached);
  runUntil([&] { return Received == FrameCount; });
  constexpr unsigned MaxTurns = 5;
  CHECK(Turns <= MaxTurns);
}

// Guards against a buffer that cannot hold a frame larger than one read.
TEST_CASE_METHOD(ConnectionTest, "Channel delivers large and small frames") {
  dial("secret");
  REQUIRE(Client);
  std::vector<std::size_t> Sizes = {0, 1, 100'000, 3, 2'000'000, 16'384, 5};
  std::vector<std::size_t> Received;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        for (std::size_t Size : Sizes)
          co_await Client->send(MessageType::Delta, 1, base::Bytes(Size, 7));
      },
      asio::detached);
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        while (Received.size() < Sizes.size()) {
          Frame Next = co_await Client->receive();
          CHECK(std::ranges::count(Next.Payload, 7) ==
                static_cast<std::ptrdiff_t>(Next.Payload.size()));
          Received.push_back(Next.Payload.size());
        }
      },
      asio::detached);
  runUntil([&] { return Received.size() == Sizes.size(); });
  CHECK(Received == Sizes);
}

// Guards against a receiver that takes a peer for silent while a large message
// of that peer is arriving.
TEST_CASE_METHOD(ConnectionTest,
                 "Channel reports that a message is arriving in parts") {
  dial("secret");
  runUntil([&] { return Client && Accepted; });
  CHECK_FALSE(Accepted->incompleteMessageTime());
  Client->post(MessageType::Snapshot, 0, base::Bytes(3U << 20U, 1));
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  Context.restart();
  while (!Accepted->incompleteMessageTime() &&
         std::chrono::steady_clock::now() < End)
    Context.run_one_for(std::chrono::milliseconds(10));
  REQUIRE(Accepted->incompleteMessageTime());
  CHECK(*Accepted->incompleteMessageTime() <= Time.now());
  CHECK(Accepted->bytesReceived() < (3U << 20U));
  runUntil([&] { return Accepted->bytesReceived() > (3U << 20U); });
  CHECK_FALSE(Accepted->incompleteMessageTime());
}

TEST_CASE_METHOD(ConnectionTest, "Dialer with a wrong key is refused") {
  dial("guess");
  CHECK_FALSE(Client);
  CHECK_THAT(Refusal, Catch::Contains("cannot connect"));
}

// Guards against connections whose peer is gone without a FIN or RST.
TEST_CASE_METHOD(ConnectionTest,
                 "Channel silent for the timeout throws ChannelClosed") {
  dial("secret");
  REQUIRE(Client);
  bool Ended = false;
  asio::co_spawn(
      Context,
      [this, &Ended]() -> asio::awaitable<void> {
        try {
          co_await Client->receive();
        } catch (const ChannelClosed &) {
          Ended = true;
        }
      },
      asio::detached);
  Context.poll();
  // One jump past the timeout: no heartbeat can arrive in between.
  Time.advance(SilenceTimeout);
  runUntil([&] { return Ended; });
  CHECK_FALSE(Client->isOpen());
}

TEST_CASE_METHOD(ConnectionTest, "Channel idle with heartbeats stays open") {
  dial("secret");
  REQUIRE(Client);
  checkHeartbeats(20);
}

// Guards against a heartbeat timer that ends with the last channel and does not
// start again.
TEST_CASE_METHOD(ConnectionTest,
                 "Channel opened after the last one closed has heartbeats") {
  dial("secret");
  REQUIRE(Client);
  auto First = std::exchange(Client, nullptr);
  First->close("test");
  runUntil([&] { return Server.connections() == 0; });
  dial("secret");
  REQUIRE(Client);
  checkHeartbeats(5);
}

// Guards against nodes that wait in the accept queue of a busy process: each
// turn of the event loop used to accept one connection.
TEST_CASE_METHOD(ConnectionTest,
                 "Listener accepts waiting connections in few turns") {
  constexpr std::size_t ClientCount = 50;
  auto Address = Server.local();
  std::vector<asio::ip::tcp::socket> Clients;
  for (std::size_t I = 0; I < ClientCount; ++I) {
    Clients.emplace_back(Context);
    Clients.back().connect({asio::ip::make_address(Address.Ip), Address.Port});
  }
  unsigned Turns = 0;
  // Keeps the event loop busy: each run of this handler is one turn.
  std::function<void()> Turn = [&] {
    ++Turns;
    if (Server.connections() < ClientCount)
      asio::post(Context, Turn);
  };
  asio::post(Context, Turn);
  runUntil([&] { return Server.connections() == ClientCount; });
  constexpr unsigned MaxTurns = 5;
  CHECK(Turns <= MaxTurns);
}

// Guards against a connection that holds memory before it is authenticated.
TEST_CASE_METHOD(ConnectionTest,
                 "Listener garbage instead of a Hello closes the connection") {
  asio::ip::tcp::socket Socket(Context);
  auto Address = Server.local();
  Socket.connect({asio::ip::make_address(Address.Ip), Address.Port});
  std::string Garbage(64, '\xff');
  asio::write(Socket, asio::buffer(Garbage));
  bool Closed = false;
  std::array<char, 64> Buffer{};
  Socket.async_read_some(asio::buffer(Buffer),
                         [&](boost::system::error_code Failure, std::size_t) {
                           Closed = Failure.failed();
                         });
  runUntil([&] { return Closed; });
  CHECK_FALSE(Accepted);
}

} // namespace amaranth::protocol
