#include "amaranth/dataplane/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace amaranth::dataplane {

class HttpServerTest {
protected:
  HttpServerTest()
      : Server(Context.get_executor(), {"127.0.0.1", 0}, {}, Time) {
    HttpServer::Handler Echo =
        [](std::shared_ptr<HttpConnection> Connection,
           HttpRequest Request) -> asio::awaitable<void> {
      Headers None;
      std::string Target = Request.Target;
      co_await Connection->respond(200, std::move(None), std::move(Target));
    };
    asio::co_spawn(Context, Server.serve(std::move(Echo)), asio::detached);
    Context.poll();
  }
  ~HttpServerTest() {
    Server.stop();
    Context.restart();
    Context.poll();
  }

  tcp::socket connect() {
    tcp::socket Client(Context);
    Client.connect({asio::ip::address_v4::loopback(), Server.local().Port});
    return Client;
  }

  static void send(tcp::socket &Client, const std::string &Target) {
    asio::write(Client,
                asio::buffer("GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n"));
  }

  void runLoop() {
    Context.restart();
    Context.run_for(std::chrono::milliseconds(20));
  }

  /// Runs the server until the connection has ended. Returns what it sent, or
  /// "reset" if it was reset.
  std::string readToEnd(tcp::socket &Client) {
    std::string Text;
    boost::system::error_code End;
    asio::async_read(
        Client, asio::dynamic_buffer(Text),
        [&](boost::system::error_code Code, std::size_t) { End = Code; });
    for (int Round = 0; Round < 200 && !End; ++Round)
      runLoop();
    return End == asio::error::eof ? Text : "reset";
  }

  asio::io_context Context;
  base::ManualClock Time;
  HttpServer Server;
};

// Guards against clients that wait in the accept queue of a busy process: each
// turn of the event loop used to accept one connection.
TEST_CASE_METHOD(HttpServerTest,
                 "HttpServer accepts waiting connections in few turns") {
  constexpr std::size_t ClientCount = 50;
  std::vector<tcp::socket> Clients;
  for (std::size_t I = 0; I < ClientCount; ++I) {
    Clients.emplace_back(Context);
    Clients.back().connect(
        {asio::ip::address_v4::loopback(), Server.local().Port});
  }
  unsigned Turns = 0;
  // Keeps the event loop busy: each run of this handler is one turn.
  std::function<void()> Turn = [&] {
    ++Turns;
    if (Server.connections() < ClientCount)
      asio::post(Context, Turn);
    else
      Context.stop();
  };
  asio::post(Context, Turn);
  Context.restart();
  // The limit only ends a test that would hang.
  Context.run_for(std::chrono::seconds(20));
  CHECK(Server.connections() == ClientCount);
  constexpr unsigned MaxTurns = 5;
  CHECK(Turns <= MaxTurns);
}

// Guards against a planned shutdown under load that cuts off requests which the
// process has received but not read yet.
TEST_CASE_METHOD(HttpServerTest,
                 "stopGracefully serves a request in the accept queue") {
  tcp::socket Client = connect();
  send(Client, "/queued");
  Server.stopGracefully();
  std::string Response = readToEnd(Client);
  INFO(Response);
  CHECK(Response.ends_with("/queued"));
  CHECK(Response.find("Connection: close") != std::string::npos);
  CHECK(Server.connections() == 0);
}

TEST_CASE_METHOD(HttpServerTest,
                 "stopGracefully serves a request on a kept connection") {
  tcp::socket Client = connect();
  send(Client, "/first");
  runLoop();
  send(Client, "/second");
  Server.stopGracefully();
  std::string Response = readToEnd(Client);
  INFO(Response);
  CHECK(Response.ends_with("/second"));
  CHECK(Response.find("Connection: close") != std::string::npos);
}

TEST_CASE_METHOD(HttpServerTest,
                 "stopGracefully waits for the first request of a connection") {
  tcp::socket Accepted = connect();
  tcp::socket Silent = connect();
  tcp::socket Kept = connect();
  send(Kept, "/kept");
  runLoop();
  tcp::socket Queued = connect();
  Server.stopGracefully();
  CHECK(readToEnd(Kept).ends_with("/kept"));
  for (tcp::socket *Client : {&Queued, &Accepted}) {
    send(*Client, "/late");
    CHECK(readToEnd(*Client).ends_with("/late"));
  }
  CHECK(Server.connections() == 1);
  for (int I = 0; I < 3; ++I) {
    Time.advance(base::Millis(500));
    runLoop();
  }
  CHECK(Server.connections() == 0);
}

} // namespace amaranth::dataplane
