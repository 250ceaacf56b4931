#include "MeshFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace amaranth::dataplane::testing {

/// A node whose upstream answers the first request of each connection with
/// `Prefix` and then sends `Filler` until the connection is closed, or closes
/// it itself.
class EndlessResponseTest : public MeshFixture {
protected:
  /// What the node may read of an endless response, with kernel buffers.
  static constexpr std::size_t MaxBytes = 4U << 20U;

  EndlessResponseTest()
      : Node(addNode("n")),
        Listener(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    auto Accept = [](EndlessResponseTest &Test) -> asio::awaitable<void> {
      boost::system::error_code Failure;
      while (!Failure) {
        auto Socket = std::make_shared<tcp::socket>(Test.Context);
        co_await Test.Listener.async_accept(
            *Socket, asio::redirect_error(asio::use_awaitable, Failure));
        if (!Failure)
          Test.spawn(answer(Test, Socket));
      }
    };
    spawn(Accept(*this));
    Announcement Message;
    Message.Service = base::ServiceName("s");
    Message.Version = base::VersionName("v1");
    Message.Upstream = {"127.0.0.1", Listener.local_endpoint().port()};
    Message.Slots = 4;
    Message.ReportedState = Announcement::State::Ready;
    Message.Incarnation = Message.Sequence = 1;
    REQUIRE(Node.UpstreamGate.announce(Message));
    applyPublished();
  }
  ~EndlessResponseTest() {
    Stopping = true;
    boost::system::error_code Ignored;
    Listener.close(Ignored);
  }

  static asio::awaitable<void> answer(EndlessResponseTest &Test,
                                      std::shared_ptr<tcp::socket> Socket) {
    ++Test.Connections;
    boost::system::error_code Failure;
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    std::string Request;
    std::array<char, 64> Unread{};
    co_await asio::async_read_until(*Socket, asio::dynamic_buffer(Request),
                                    "\r\n\r\n", Token);
    std::vector<char> Upload(Test.UploadBytesBeforePrefix);
    co_await asio::async_read(*Socket, asio::buffer(Upload), Token);
    co_await asio::async_write(*Socket, asio::buffer(Test.Prefix), Token);
    if (Test.ResetsAfterPrefix)
      Socket->set_option(asio::socket_base::linger(true, 0));
    if (Test.EndsInOrderAfterPrefix)
      Socket->shutdown(tcp::socket::shutdown_send);
    if (Test.ClosesAfterPrefix || Test.ResetsAfterPrefix)
      Socket->close();
    while (!Failure && !Test.Stopping && !Test.Filler.empty())
      Test.BytesWritten +=
          co_await asio::async_write(*Socket, asio::buffer(Test.Filler), Token);
    // Without a filler, the response just never ends.
    while (!Failure && !Test.Stopping)
      co_await Socket->async_read_some(asio::buffer(Unread), Token);
    ++Test.Closed;
  }

  /// Sends a POST, which is not retried, and returns the response.
  std::shared_ptr<CallerResult> exchange(std::string Head, std::string Rest) {
    Prefix = std::move(Head);
    Filler = std::move(Rest);
    auto Result = post(Node, "/x", "b");
    runUntil([&] { return Result->Done; });
    return Result;
  }

  /// Checks that no connection is kept for another request.
  void checkClosed() {
    runUntil([&] { return Closed == Connections; });
    CHECK(BytesWritten < MaxBytes);
    CHECK(Node.UpstreamGate.load().InFlight == 0);
  }

  TestNode &Node;
  tcp::acceptor Listener;
  std::string Prefix;
  std::string Filler;
  bool ClosesAfterPrefix = false;
  bool ResetsAfterPrefix = false;
  bool EndsInOrderAfterPrefix = false;
  /// How much of the request's body the upstream reads before `Prefix`.
  std::size_t UploadBytesBeforePrefix = 0;
  std::size_t BytesWritten = 0;
  unsigned Connections = 0;
  unsigned Closed = 0;
  bool Stopping = false;
};

/// An upstream that answers uploads early, with a body that ends with the
/// connection.
class EarlyResponseToUploadTest : public EndlessResponseTest {
protected:
  /// Sends an upload of which the upstream reads `BytesRead` first. Returns
  /// whether the caller received a complete 200 with the body.
  bool receivesCompleteResponse(std::size_t BytesRead) {
    UploadBytesBeforePrefix = BytesRead;
    Prefix = "HTTP/1.1 200 OK\r\n\r\n" + std::string(ResponseBytes, 'x');
    auto Result = post(Node, "/x", std::string(UploadBytes, 'u'));
    runUntil([&] { return Result->Done; });
    // The body comes in chunks, whose framing contains no 'x'.
    return Result->status() == 200 && Result->Text.ends_with("0\r\n\r\n") &&
           std::ranges::count(Result->body(), 'x') == ResponseBytes;
  }

  static constexpr std::size_t Rounds = 20;
  static constexpr std::size_t UploadBytes = 3U << 20U;
  static constexpr std::size_t ResponseBytes = 700;
};

// Guards against a part of a response that reaches the caller as a complete one
// because the upload consumed the reset of the connection.
TEST_CASE_METHOD(EarlyResponseToUploadTest,
                 "Early response that is reset during the upload never reaches "
                 "the caller as complete") {
  ResetsAfterPrefix = true;
  std::size_t Complete = 0;
  for (std::size_t Round = 0; Round < Rounds; ++Round)
    Complete += receivesCompleteResponse(Round * UploadBytes / Rounds) ? 1 : 0;
  CHECK(Complete == 0);
}

TEST_CASE_METHOD(EarlyResponseToUploadTest,
                 "Early response that ends in order during the upload reaches "
                 "the caller") {
  EndsInOrderAfterPrefix = true;
  for (std::size_t Round = 0; Round < Rounds; ++Round)
    CHECK(receivesCompleteResponse(Round * UploadBytes / Rounds));
}

// Guards against a caller that receives a status of 000, or the body behind it
// as the response, or waits until its deadline for another head.
TEST_CASE_METHOD(EndlessResponseTest,
                 "Response with status 000 is answered with 502") {
  for (const std::string &Body :
       {std::string(), std::string("HTTP/1.1 200 OK\r\n"
                                   "Content-Length: 4\r\n\r\nabcd")}) {
    base::TimePoint Start = Time.now();
    auto Result = exchange("HTTP/1.1 000 \r\nContent-Length: " +
                               std::to_string(Body.size()) + "\r\n\r\n" + Body,
                           "");
    CHECK(Result->status() == 502);
    CHECK_FALSE(Result->has("abcd"));
    CHECK(Time.now() - Start < base::Millis(1000));
    checkClosed();
  }
}

// Guards against a head without end that fills the memory of the gate or holds
// its slot until the deadline.
TEST_CASE_METHOD(EndlessResponseTest, "Endless head is answered with 502") {
  struct Case {
    std::string Prefix;
    std::string Filler;
  };
  const std::vector<Case> Cases = {
      {"", std::string(1000, 'x')},
      {"", std::string(1000, '\0')},
      {"HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'x')},
      {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 200 OK\r\nX-Test-Mismatched: 1\r\n"
           "Content-Length: 0\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nX-Test-Mismatched: 1\r\n\r\n",
       std::string(1000, 'x')},
  };
  for (const Case &Each : Cases) {
    INFO(Each.Prefix << Each.Filler.substr(0, 60));
    BytesWritten = 0;
    auto Result = exchange(Each.Prefix, Each.Filler);
    CHECK(Result->status() == 502);
    CHECK(Result->has("X-Amaranth-Outcome: unknown"));
    checkClosed();
  }
}

// Guards against a caller that waits for the end of a body that it does not
// get: the head already says that the request was not run.
TEST_CASE_METHOD(EndlessResponseTest,
                 "Endless body of a refusal is answered with not-run") {
  auto Result = exchange("HTTP/1.1 503 Busy\r\nX-Test-Not-Executed: 1\r\n\r\n",
                         std::string(1000, 'x'));
  CHECK(Result->status() == 503);
  CHECK(Result->has("X-Amaranth-Outcome: not-run"));
  CHECK(Result->has("X-Amaranth-Reason: upstream-shed"));
  checkClosed();
}

TEST_CASE_METHOD(EndlessResponseTest,
                 "Stalled body of a refusal is answered with not-run") {
  Prefix = "HTTP/1.1 503 Busy\r\nX-Test-Not-Executed: 1\r\n"
           "Content-Length: 10\r\n\r\n";
  auto Result = post(Node, "/x", "b");
  runUntil([&] { return Connections == 1; });
  settle();
  constexpr int MaxSteps = 4;
  for (int Step = 0; Step < MaxSteps && !Result->Done; ++Step) {
    Time.advance(base::Millis(100));
    settle();
  }
  REQUIRE(Result->Done);
  CHECK(Result->has("X-Amaranth-Outcome: not-run"));
  checkClosed();
}

// Guards against surplus bytes that reach the next request.
TEST_CASE_METHOD(EndlessResponseTest,
                 "Endless bytes behind a response end its connection") {
  for (unsigned Round = 1; Round <= 2; ++Round) {
    auto Result = exchange("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd",
                           std::string(1000, 'x'));
    CHECK(Result->status() == 200);
    CHECK(Result->body() == "abcd");
    CHECK(Connections == Round);
  }
}

// Guards against memory that grows with what is neither head nor body.
TEST_CASE_METHOD(EndlessResponseTest,
                 "Endless chunk extension or trailer ends with a reset") {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nabcd\r\n";
  struct Case {
    std::string Prefix;
    std::string Filler;
  };
  const std::vector<Case> Cases = {{"4;x=", std::string(1000, 'x')},
                                   {"", std::string(1000, '0')},
                                   {"0\r\n", "X: y\r\n"},
                                   {"0\r\nX: ", std::string(1000, 'x')}};
  for (const Case &Each : Cases) {
    INFO(Each.Prefix << Each.Filler.substr(0, 60));
    BytesWritten = 0;
    auto Result = exchange(Head + Each.Prefix, Each.Filler);
    CHECK((Result->Reset || Result->status() == 502));
    checkClosed();
  }
}

// Guards against a response that ends within its head or body and reaches the
// caller as a complete success.
TEST_CASE_METHOD(EndlessResponseTest,
                 "Response that breaks off is no success at any byte") {
  const std::vector<std::string> Responses = {
      "HTTP/1.1 200 OK\r\nX-Kept: 1\r\nContent-Length: 4\r\n\r\nabcd",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nabcd\r\n0\r\n\r\n"};
  ClosesAfterPrefix = true;
  for (const std::string &Whole : Responses) {
    for (std::size_t Length = 0; Length < Whole.size(); ++Length) {
      INFO(Whole.substr(0, Length));
      auto Result = exchange(Whole.substr(0, Length), "");
      CHECK((Result->Reset || Result->status() == 502));
    }
    auto Result = exchange(Whole, "");
    CHECK(Result->status() == 200);
    CHECK(Result->has("abcd"));
  }
}

// Guards against an answer that looks complete, and against memory that grows
// with the response.
TEST_CASE_METHOD(EndlessResponseTest,
                 "Endless body ends with a reset at the deadline") {
  Prefix = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  Filler = "3e8\r\n" + std::string(1000, 'x') + "\r\n";
  PauseReading = true;
  auto Result = get(Node, "/x", "X-Request-Deadline-Ms: 500\r\n");
  runUntil([&] { return BytesWritten > 0; });
  std::size_t Before = 0;
  do {
    Before = BytesWritten;
    settle();
  } while (BytesWritten != Before);
  // Two flow-control windows and the kernel buffers of three connections.
  CHECK(Before < 24'000'000);
  Time.advance(base::Millis(600));
  runUntil([&] { return Closed == 1; });
  PauseReading = false;
  Release.notifyAll();
  runUntil([&] { return Result->Done; });
  CHECK(Result->Reset);
  CHECK(Node.UpstreamGate.load().InFlight == 0);
}

} // namespace amaranth::dataplane::testing
