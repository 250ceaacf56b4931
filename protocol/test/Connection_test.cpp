#include "amaranth/protocol/Connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

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
  asio::co_spawn(
      Context,
      [this]() -> asio::awaitable<void> { co_await Client->receive(); },
      asio::detached);
  for (int Beat = 0; Beat < 20; ++Beat) {
    auto Before = Client->bytesReceived();
    Time.advance(HeartbeatInterval);
    runUntil([&] { return Client->bytesReceived() > Before; });
  }
  CHECK(Client->isOpen());
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
