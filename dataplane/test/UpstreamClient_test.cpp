#include "amaranth/dataplane/UpstreamClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <optional>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace amaranth::dataplane {

class UpstreamClientTest {
protected:
  UpstreamClientTest()
      : Listener(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Client(Context.get_executor(), UpstreamClient::Settings(), Time) {
    Client.setAddress({"127.0.0.1", Listener.local_endpoint().port()});
  }

  bool refuses() {
    std::optional<bool> Result;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          Result = co_await Client.refusesConnections();
        },
        asio::detached);
    Context.run_for(std::chrono::seconds(5));
    REQUIRE(Result);
    return *Result;
  }

  /// Runs `Action` after `Delay`, counted from the start of `refuses`.
  void runAfter(base::Millis Delay, std::function<void()> Action) {
    asio::co_spawn(
        Context,
        [this, Delay, Action = std::move(Action)]() -> asio::awaitable<void> {
          co_await Time.sleepFor(Delay);
          Action();
        },
        asio::detached);
  }

  /// Sends one request to an upstream that replies with `Response` and closes
  /// the connection. Returns the body, or `std::nullopt` if the call fails.
  std::optional<std::string> exchangeBody(const std::string &Response) {
    std::optional<std::string> Result;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          tcp::socket Connection =
              co_await Listener.async_accept(asio::use_awaitable);
          std::string Request;
          co_await asio::async_read_until(Connection,
                                          asio::dynamic_buffer(Request),
                                          "\r\n\r\n", asio::use_awaitable);
          co_await asio::async_write(Connection, asio::buffer(Response),
                                     asio::use_awaitable);
        },
        asio::detached);
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          UpstreamClient::FieldSource Fields = [] {
            return Headers{{"Host", "h"}};
          };
          auto Running =
              co_await Client.begin("GET", "/", std::move(Fields), 0, false);
          co_await Running->writeEnd();
          co_await Running->readHead();
          std::string Body;
          std::array<std::uint8_t, 64> Buffer{};
          while (std::size_t Count = co_await Running->readBody(Buffer))
            Body.append(Buffer.begin(), Buffer.begin() + Count);
          Result = Body;
        },
        [&](std::exception_ptr) {});
    Context.restart();
    Context.run_for(std::chrono::seconds(2));
    return Result;
  }

  asio::io_context Context;
  base::SystemClock Time;
  tcp::acceptor Listener;
  UpstreamClient Client;
};

/// An upstream that sends a part of a response without a length to an upload
/// that it does not read, and then ends the connection.
class EarlyResponseTest : public UpstreamClientTest {
protected:
  /// Starts an upload that fills the buffers of the connection.
  void startUpload() {
    asio::co_spawn(
        Context,
        [this]() -> asio::awaitable<void> {
          Peer.emplace(co_await Listener.async_accept(asio::use_awaitable));
          std::string Request;
          co_await asio::async_read_until(*Peer, asio::dynamic_buffer(Request),
                                          "\r\n\r\n", asio::use_awaitable);
          std::string Response = "HTTP/1.1 200 OK\r\n\r\n" + Body;
          co_await asio::async_write(*Peer, asio::buffer(Response),
                                     asio::use_awaitable);
        },
        asio::detached);
    asio::co_spawn(
        Context,
        [this]() -> asio::awaitable<void> {
          UpstreamClient::FieldSource Fields = [] {
            return Headers{{"Host", "h"}};
          };
          Running = co_await Client.begin("POST", "/", std::move(Fields),
                                          UnknownLength, false);
          base::Bytes Large(UploadBytes);
          co_await Running->writeBody(Large);
        },
        [this](std::exception_ptr) { UploadEnded = true; });
    run();
    REQUIRE_FALSE(UploadEnded);
    REQUIRE(Running);
  }

  /// Reads the response. Returns its body, or `std::nullopt` if the call fails.
  std::optional<std::string> readResponse() {
    std::optional<std::string> Result;
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          co_await Running->readHead();
          std::string Text;
          std::array<std::uint8_t, 256> Buffer{};
          while (std::size_t Count = co_await Running->readBody(Buffer))
            Text.append(Buffer.begin(), Buffer.begin() + Count);
          Result = Text;
        },
        [&](std::exception_ptr) { ResponseEnded = true; });
    run();
    return Result;
  }

  void resetConnection() {
    Peer->set_option(asio::socket_base::linger(true, 0));
    Peer->close();
    run();
  }

  void run() {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(200));
  }

  static constexpr std::size_t UploadBytes = 16U << 20U;
  const std::string Body = std::string(700, 'x');
  std::optional<tcp::socket> Peer;
  std::shared_ptr<UpstreamCall> Running;
  bool UploadEnded = false;
  bool ResponseEnded = false;
};

// Guards against a part of a response that is delivered as a complete one,
// because the write of the upload consumed the reset of the connection.
TEST_CASE_METHOD(EarlyResponseTest,
                 "Early response fails if the upload saw the reset") {
  startUpload();
  resetConnection();
  REQUIRE(UploadEnded);
  CHECK_FALSE(readResponse());
  CHECK(ResponseEnded);
}

// The same, where the check for open connections consumed the reset.
TEST_CASE_METHOD(EarlyResponseTest,
                 "Early response fails if a check of the connection saw the "
                 "reset") {
  std::optional<std::string> Result;
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        Peer.emplace(co_await Listener.async_accept(asio::use_awaitable));
        std::string Response = "HTTP/1.1 200 OK\r\n\r\n" + Body;
        co_await asio::async_write(*Peer, asio::buffer(Response),
                                   asio::use_awaitable);
      },
      asio::detached);
  asio::co_spawn(
      Context,
      [&]() -> asio::awaitable<void> {
        UpstreamClient::FieldSource Fields = [] {
          return Headers{{"Host", "h"}};
        };
        Running =
            co_await Client.begin("GET", "/", std::move(Fields), 0, false);
        co_await Running->writeEnd();
        co_await Running->readHead();
        base::Bytes Buffer(Body.size());
        std::size_t Count = 0;
        while (Count < Body.size())
          Count += co_await Running->readBody(
              std::span<std::uint8_t>(Buffer).subspan(Count));
        // Ends the connection while this call does not read.
        Peer->set_option(asio::socket_base::linger(true, 0));
        Peer->close();
        CHECK_FALSE(Client.hasOpenConnection());
        co_await Running->readBody(Buffer);
        Result = "complete";
      },
      [&](std::exception_ptr) { ResponseEnded = true; });
  run();
  CHECK(ResponseEnded);
  CHECK_FALSE(Result);
}

// Guards against early responses that are lost although the upstream ended them
// in order.
TEST_CASE_METHOD(EarlyResponseTest,
                 "Early response is complete if the upstream ended it in "
                 "order") {
  startUpload();
  Peer->shutdown(tcp::socket::shutdown_send);
  run();
  SECTION("and goes on reading") {}
  SECTION("and then resets the connection") { resetConnection(); }
  CHECK(readResponse() == Body);
}

TEST_CASE_METHOD(UpstreamClientTest,
                 "refusesConnections without a listener is true") {
  Listener.close();
  CHECK(refuses());
}

TEST_CASE_METHOD(UpstreamClientTest,
                 "refusesConnections with a listener is false") {
  CHECK_FALSE(refuses());
}

// Guards against treating a crash as a single broken connection because the
// exiting process closes its listening socket last: the request that caused the
// crash would not be reported and could be executed again.
TEST_CASE_METHOD(UpstreamClientTest,
                 "refusesConnections while the listener closes is true") {
  runAfter(base::Millis(10), [this] { Listener.close(); });
  CHECK(refuses());
}

TEST_CASE_METHOD(UpstreamClientTest,
                 "Response with unambiguous framing is complete") {
  const std::vector<std::string> Responses = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
      ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4\r\nabcd\r\n0\r\n\r\n"),
      "HTTP/1.1 200 OK\r\n\r\nabcd",
  };
  for (const std::string &Response : Responses) {
    INFO(Response);
    CHECK(exchangeBody(Response) == "abcd");
  }
}

// Guards against forwarding a response as complete that is truncated or
// contains bytes of another one.
TEST_CASE_METHOD(UpstreamClientTest,
                 "Response with ambiguous or truncated framing fails") {
  const std::vector<std::string> Responses = {
      "",
      "garbage\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabcd",
      "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabcd",
      ("HTTP/1.1 200 OK\r\n"
       "Content-Length: 99999999999999999999\r\n\r\nabcd"),
      ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
       "Content-Length: 5\r\n\r\nabcd"),
      ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
       "Transfer-Encoding: chunked\r\n\r\nabcd"),
      ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "zz\r\nabcd\r\n0\r\n\r\n"),
      ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "4\r\nabcd\r\n"),
      "HTTP/1.1 200 OK\r\nContent-Le",
  };
  for (const std::string &Response : Responses) {
    INFO(Response);
    CHECK_FALSE(exchangeBody(Response));
  }
}

// Guards against a status that HTTP does not define, such as 000. It was
// skipped like an informational one, so that its body was read as a response.
TEST_CASE_METHOD(UpstreamClientTest,
                 "Response with an undefined status fails") {
  for (const char *Status : {"000", "001", "099", "101", "600", "999"}) {
    INFO(Status);
    std::string Inner = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
    CHECK_FALSE(exchangeBody(
        std::string("HTTP/1.1 ") + Status + " X\r\nContent-Length: " +
        std::to_string(Inner.size()) + "\r\n\r\n" + Inner));
  }
  CHECK(exchangeBody("HTTP/1.1 103 Early Hints\r\n\r\n"
                     "HTTP/1.1 599 X\r\nContent-Length: 4\r\n\r\nabcd") ==
        "abcd");
}

} // namespace amaranth::dataplane
