#include "MeshFixture.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::dataplane::testing {

/// Callers that send requests before they have the response to the previous
/// one.
class PipeliningTest : public OneNodeFixture {
protected:
  static std::string request(const std::string &Target,
                             const std::string &Fields = "",
                             const std::string &Method = "GET") {
    return Method + " " + Target + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
  }

  /// Sends `First`, waits until the upstream runs it, and sends `Rest`.
  std::shared_ptr<CallerResult> sendBehind(const std::string &First,
                                           const std::string &Rest) {
    auto Result = send(Node.Entry.local(), First);
    runUntil([&] { return Upstream.Seen.size() == 1; });
    asio::write(*Result->Socket, asio::buffer(Rest));
    settle();
    return Result;
  }

  void release() {
    Held = false;
    Release.notifyAll();
  }

  using Lines = std::vector<std::string>;
};

// Bytes of the next request are no end of the connection.
TEST_CASE_METHOD(PipeliningTest,
                 "Requests behind a running one are answered in order") {
  // More than the node reads ahead.
  std::string Filler = "X-Filler: " + std::string(30'000, 'x') + "\r\n";
  auto Result =
      sendBehind(request("/hold"), request("/b", Filler) +
                                       request("/c", "Connection: close\r\n"));
  CHECK(Upstream.Seen == Lines{"GET /hold"});
  release();
  runUntil([&] { return Result->Done; });
  CHECK(Upstream.Seen == Lines{"GET /hold", "GET /b", "GET /c"});
  auto Place = [&](const char *Body) { return Result->Text.find(Body); };
  CHECK(Place("GET /hold ") < Place("GET /b "));
  CHECK(Place("GET /b ") < Place("GET /c "));
  CHECK(Place("GET /c ") != std::string::npos);
}

// Guards against work for a caller that has left: the bytes of the next request
// used to end the watch for the end of the connection.
TEST_CASE_METHOD(PipeliningTest,
                 "Caller that leaves with a request waiting is noticed") {
  auto Result = sendBehind(request("/hold"), request("/b", "", "POST"));
  Result->Socket->close();
  runUntil([&] {
    auto Link = Upstream.Connections.front().lock();
    return !Link || Link->closed();
  });
  release();
  settle();
  CHECK(Upstream.Seen == Lines{"GET /hold"});
}

// A reset because of the unread bytes would take the response with it.
TEST_CASE_METHOD(PipeliningTest,
                 "Nothing behind a response that closes the connection runs") {
  std::string Behind;
  while (Behind.size() < 400'000)
    Behind += request("/never", "X-Filler: " + std::string(1000, 'x') + "\r\n",
                      "DELETE");
  auto Result = send(Node.Entry.local(),
                     request("/hold", "Connection: close\r\n") + Behind);
  runUntil([&] { return Upstream.Seen.size() == 1; });
  settle();
  release();
  runUntil([&] { return Result->Done; });
  CHECK(Result->body() == "GET /hold ");
  CHECK_FALSE(Result->Reset);
  CHECK(Upstream.Seen == Lines{"GET /hold"});
}

// A request that fails must not take those behind it with it.
TEST_CASE_METHOD(PipeliningTest,
                 "Request behind one that misses its deadline is served") {
  auto Result = sendBehind(request("/hold", "X-Request-Deadline-Ms: 500\r\n"),
                           request("/b", "X-Request-Deadline-Ms: 500\r\n") +
                               request("/c", "Connection: close\r\n"));
  Time.advance(base::Millis(600));
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 504);
  CHECK(Upstream.Seen == Lines{"GET /hold", "GET /b", "GET /c"});
  CHECK(Result->Text.find("GET /b ") < Result->Text.find("GET /c "));
  CHECK(Result->has("GET /c "));
}

TEST_CASE_METHOD(PipeliningTest,
                 "Shutdown answers a waiting request and runs no other") {
  auto Result = sendBehind(request("/hold"), request("/b") + request("/c"));
  spawn([](TestNode &Node) -> asio::awaitable<void> {
    co_await Node.Entry.drain(base::Millis(3000));
  }(Node));
  settle();
  release();
  runUntil([&] { return Result->Done; });
  CHECK(Result->has("GET /hold "));
  CHECK(Result->has("Connection: close"));
  CHECK_FALSE(Result->Reset);
  CHECK(Upstream.Seen == Lines{"GET /hold", "GET /b"});
}

} // namespace amaranth::dataplane::testing
