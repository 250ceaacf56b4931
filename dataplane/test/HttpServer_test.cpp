#include "amaranth/dataplane/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
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
    HttpServer::Handler None = [](std::shared_ptr<HttpConnection>,
                                  HttpRequest) -> asio::awaitable<void> {
      co_return;
    };
    asio::co_spawn(Context, Server.serve(std::move(None)), asio::detached);
    Context.poll();
  }
  ~HttpServerTest() {
    Server.stop();
    Context.restart();
    Context.poll();
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

} // namespace amaranth::dataplane
