#include "amaranth/dataplane/UpstreamClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

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

  /// Runs `Action` this long after `refuses` began.
  void later(base::Millis Delay, std::function<void()> Action) {
    asio::co_spawn(
        Context,
        [this, Delay, Action = std::move(Action)]() -> asio::awaitable<void> {
          co_await Time.sleepFor(Delay);
          Action();
        },
        asio::detached);
  }

  asio::io_context Context;
  base::SystemClock Time;
  tcp::acceptor Listener;
  UpstreamClient Client;
};

TEST_CASE_METHOD(UpstreamClientTest,
                 "refusesConnections without a listener is true") {
  Listener.close();
  CHECK(refuses());
}

TEST_CASE_METHOD(UpstreamClientTest,
                 "refusesConnections with a listener is false") {
  CHECK_FALSE(refuses());
}

// Guards against a crash that is taken for one broken connection because the
// dying process closes its listening socket last: the request that caused it
// is then not reported and may run again.
TEST_CASE_METHOD(UpstreamClientTest,
                 "refusesConnections while the listener closes is true") {
  later(base::Millis(10), [this] { Listener.close(); });
  CHECK(refuses());
}

} // namespace amaranth::dataplane
