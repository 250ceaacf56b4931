#include "FakeLog.h"
#include "KeysFile.h"
#include "Seed.h"
#include "amaranth/control/OperatorServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

namespace amaranth::control {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Sends HTTP requests as text over a socket of the server's `io_context`.
class OperatorServerTest {
protected:
  OperatorServerTest()
      : File("[operator ana]\nkey = 0123456789abcdef\nteams = studio\n"),
        Log(Io.get_executor(), State),
        Server(Io.get_executor(), Time, Log, State, Nodes, Members,
               OperatorKeys::read(File.path()), Metrics, settings()) {
    asio::co_spawn(Io, Server.run(), asio::detached);
    Io.poll();
  }
  ~OperatorServerTest() {
    Server.stop();
    poll();
  }

  static OperatorServerSettings settings() {
    OperatorServerSettings Result;
    Result.Listen = {"127.0.0.1", 0};
    Result.MaxConnections = 3;
    Result.MaxBufferedBytes = MaxOperatorBodyBytes + 1000;
    return Result;
  }

  void poll() {
    for (unsigned Round = 0; Round < 200; ++Round)
      Io.poll();
  }

  tcp::socket open() {
    tcp::socket Peer(Io);
    Peer.connect({asio::ip::make_address("127.0.0.1"), Server.address().Port});
    Peer.non_blocking(true);
    poll();
    return Peer;
  }

  /// Sends `Text` and reads until no more data arrives.
  std::string exchange(tcp::socket &Peer, std::string_view Text) {
    boost::system::error_code Code;
    while (!Text.empty() && Code != asio::error::connection_reset) {
      std::size_t Count = Peer.write_some(asio::buffer(Text), Code);
      Text.remove_prefix(Count);
      poll();
      if (Code && Code != asio::error::would_block)
        break;
    }
    std::string Answer;
    // Loopback may deliver with a delay on a busy machine, so a single empty
    // read does not mean the end of the response.
    for (unsigned EmptyReads = 0; EmptyReads < (Answer.empty() ? 30U : 3U);) {
      poll();
      char Buffer[4096];
      std::size_t Count = Peer.read_some(asio::buffer(Buffer), Code);
      Answer.append(Buffer, Count);
      if (Code && Code != asio::error::would_block)
        break;
      EmptyReads = Count == 0 ? EmptyReads + 1 : 0;
      if (Count == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    Closed = Code && Code != asio::error::would_block;
    return Answer;
  }

  std::string request(const std::string &Line, const std::string &Body = "",
                      const std::string &Key = "0123456789abcdef") {
    tcp::socket Peer = open();
    return exchange(Peer, Line +
                              " HTTP/1.1\r\nHost: x\r\nAuthorization: "
                              "Bearer " +
                              Key + "\r\nContent-Length: " +
                              std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  std::string apply(const std::string &Operation) {
    return request("POST /v1/apply",
                   R"({"operation":")" + Operation + R"(","changes":[
      {"section":"service s","body":"owner = studio\nversion = v1"},
      {"section":"version s/v1","expected":0,"body":"owner = studio"},
      {"section":"version s/v2","body":"owner = studio"},
      {"section":"rollout s","body":"owner = studio\nfrom = v1\nto = v2\nstart = 2027-01-15T08:00:00Z\ndeadline = 2027-02-15T08:00:00Z"}]})");
  }

  asio::io_context Io;
  base::ManualClock Time;
  KeysFile File;
  ControlState State;
  FakeLog Log;
  FakeStatusSource Nodes;
  FakeMembershipControl Members;
  prometheus::Registry Metrics;
  OperatorServer Server;
  bool Closed = false;
};

TEST_CASE_METHOD(OperatorServerTest,
                 "apply makes an accepted change readable") {
  std::string Answer = apply("op1");
  INFO(Answer);
  CHECK(contains(Answer, "200 OK"));
  CHECK(contains(Answer,
                 R"("result":"accepted","operation":"op1","document":1)"));
  CHECK(contains(request("GET /v1/document"),
                 R"("section":"version s/v1","owner":"studio","revision":1)"));
  CHECK(contains(request("GET /v1/versions"), R"("phase":"waiting")"));
  CHECK(contains(request("GET /v1/versions"),
                 R"("deadline":"2027-02-15T08:00:00Z")"));
  CHECK(contains(request("GET /v1/audit?limit=1"), R"("actor":"ana")"));
  CHECK(
      contains(request("GET /v1/status"), R"("self":"18446744073709551615")"));
  CHECK(contains(request("GET /v1/status"), R"("following":2,"applied":1)"));
}

TEST_CASE_METHOD(OperatorServerTest,
                 "apply reports each rejection with its own status") {
  apply("op1");
  CHECK(contains(apply("op2"), "409 Conflict"));
  auto Send = [&](const std::string &Change) {
    return request("POST /v1/apply", R"({"operation":"x)" +
                                         std::to_string(Change.size()) +
                                         R"(","changes":[)" + Change + "]}");
  };
  CHECK(contains(Send(R"({"section":"route r","body":"owner = archive"})"),
                 "403 Forbidden"));
  std::string Answer =
      Send(R"({"section":"route r","body":"owner = studio\npath = x"})");
  CHECK(contains(Answer, "422 "));
  CHECK(contains(Answer, "section:3: [route r] path: "));
}

TEST_CASE_METHOD(OperatorServerTest,
                 "requests without a valid key are rejected") {
  CHECK(contains(request("GET /v1/document", "", "0123456789abcdeX"), "401 "));
  tcp::socket Peer = open();
  CHECK(contains(exchange(Peer, "GET /v1/status HTTP/1.1\r\n\r\n"), "401 "));
  CHECK(contains(exchange(Peer, "GET /health HTTP/1.1\r\n\r\n"), "200 OK"));
  CHECK(
      contains(exchange(Peer, "GET /metrics HTTP/1.1\r\n\r\n"),
               "amaranth_operator_requests_total{path=\"/v1/document\",status="
               "\"401\"} 1"));
}

TEST_CASE_METHOD(OperatorServerTest,
                 "reads require an up-to-date state unless stale is allowed") {
  Log.Behaviour = FakeLog::Mode::NotLeader;
  std::string Answer = request("GET /v1/document");
  CHECK(contains(Answer, "503 "));
  CHECK(
      contains(Answer, "cannot prove that it is current: no leader is known"));
  CHECK(contains(request("GET /v1/document?stale=true"), R"("stale":true)"));
  Log.SinceCurrent = base::Millis(5001);
  CHECK(contains(request("GET /ready"), "503 "));
}

TEST_CASE_METHOD(OperatorServerTest, "apply reports an unknown outcome") {
  Log.Behaviour = FakeLog::Mode::AppliedThenTimeout;
  std::string Answer = apply("op1");
  CHECK(contains(Answer, "504 "));
  CHECK(contains(Answer, "same operation id"));
  CHECK(contains(Answer, R"("operation":"op1")"));
  Log.Behaviour = FakeLog::Mode::Normal;
  CHECK(contains(apply("op1"), R"("result":"accepted")"));
  Log.Behaviour = FakeLog::Mode::NotLeader;
  CHECK(contains(apply("op2"), "was not applied"));
}

TEST_CASE_METHOD(OperatorServerTest, "malformed requests get a 4xx response") {
  for (
      const char *Body :
      {"", "{", "[]", R"({"operation":1,"changes":[]})",
       R"({"operation":"a\nb","changes":[]})", R"({"operation":"x"})",
       R"({"operation":"x","changes":[1]})",
       R"({"operation":"x","changes":[],"more":1})",
       R"({"operation":"x","changes":[{"section":"a"}]})",
       R"({"operation":"x","changes":[{"section":"a","body":"","delete":true}]})",
       R"({"operation":"x","changes":[{"section":"a","body":"","expected":-1}]})"}) {
    INFO(Body);
    CHECK(contains(request("POST /v1/apply", Body), "400 Bad Request"));
  }
  std::string Deep(100'000, '[');
  CHECK(contains(request("POST /v1/apply", Deep), "400 Bad Request"));
  CHECK(contains(request("GET /v1/nothing"), "404 "));
  CHECK(contains(request("GET /v1/apply"), "405 "));
  CHECK(contains(request("GET /v1/audit?limit=0"), "400 "));
  CHECK(contains(request("GET /v1/status?x=1"), "400 "));
  CHECK(State.documentVersion() == base::DocumentVersion());
}

TEST_CASE_METHOD(OperatorServerTest, "oversized requests are rejected") {
  CHECK(contains(request("POST /v1/apply", std::string((1U << 20U) + 1, 'x')),
                 "413 "));
  CHECK(Closed);
  tcp::socket Peer = open();
  CHECK(contains(
      exchange(Peer, "GET / HTTP/1.1\r\nA: " + std::string(20'000, 'x')),
      "431 "));
}

// Guards against requests with large bodies that exceed the memory of the
// process together.
TEST_CASE_METHOD(OperatorServerTest,
                 "large requests above the limit of buffered bytes get 503") {
  auto Head = [](std::size_t Length) {
    return "POST /v1/apply HTTP/1.1\r\nHost: x\r\nContent-Length: " +
           std::to_string(Length) + "\r\n\r\n";
  };
  {
    tcp::socket First = open();
    CHECK(exchange(First, Head(MaxOperatorBodyBytes)).empty());
    tcp::socket Second = open();
    CHECK(contains(exchange(Second, Head(2000)), "503 Service Unavailable"));
    CHECK(Closed);
    tcp::socket Small = open();
    CHECK(exchange(Small, Head(500)).empty());
  }
  poll();
  CHECK(contains(apply("op1"), "200 OK"));
}

TEST_CASE_METHOD(OperatorServerTest, "slow and idle connections are closed") {
  tcp::socket Idle = open();
  tcp::socket Slow = open();
  exchange(Slow, "GET /health HTT");
  CHECK_FALSE(Closed);
  Time.advance(base::Millis::seconds(10));
  exchange(Slow, "");
  CHECK(Closed);
  exchange(Idle, "");
  CHECK_FALSE(Closed);
  Time.advance(base::Millis::seconds(30));
  exchange(Idle, "");
  CHECK(Closed);
}

// Guards against a planned shutdown that cuts off calls which the process has
// received but not read yet.
TEST_CASE_METHOD(OperatorServerTest,
                 "stop answers requests that have already arrived") {
  const std::string Call = "GET /v1/status HTTP/1.1\r\nHost: x\r\n"
                           "Authorization: Bearer 0123456789abcdef\r\n\r\n";
  tcp::socket Kept = open();
  CHECK(contains(exchange(Kept, Call), "200 OK"));
  tcp::socket Idle = open();
  tcp::socket Queued(Io);
  Queued.connect({asio::ip::make_address("127.0.0.1"), Server.address().Port});
  Queued.non_blocking(true);
  for (tcp::socket *Peer : {&Kept, &Queued})
    Peer->write_some(asio::buffer(Call));
  Server.stop();
  for (tcp::socket *Peer : {&Kept, &Queued}) {
    std::string Answer = exchange(*Peer, "");
    INFO(Answer);
    CHECK(contains(Answer, "200 OK"));
    CHECK(contains(Answer, "Connection: close"));
    CHECK(Closed);
  }
  CHECK(exchange(Idle, "").empty());
  CHECK(Closed);
}

TEST_CASE_METHOD(OperatorServerTest, "connections above the limit are closed") {
  tcp::socket A = open();
  tcp::socket B = open();
  tcp::socket C = open();
  tcp::socket D = open();
  exchange(D, "GET /health HTTP/1.1\r\n\r\n");
  CHECK(Closed);
  CHECK(contains(exchange(A, "GET /health HTTP/1.1\r\n\r\n"), "200 OK"));
}

// Guards against crashes of the control process caused by malformed input from
// the network. Each round sends a valid request with 1 to 4 random bytes.
TEST_CASE_METHOD(OperatorServerTest, "random bytes do not stop the server") {
  unsigned Seed = testing::seed();
  INFO(testing::reproductionHint(Seed));
  std::mt19937 Random(Seed);
  const std::string Good = "POST /v1/apply HTTP/1.1\r\nAuthorization: Bearer "
                           "0123456789abcdef\r\nContent-Length: 30\r\n\r\n"
                           "{\"operation\":\"x\",\"changes\":[]}";
  for (unsigned Round = 0; Round < 150; ++Round) {
    std::string Text = Good;
    for (unsigned Change = 0; Change < 1 + Round % 4; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    tcp::socket Peer = open();
    exchange(Peer, Text);
  }
  CHECK(contains(request("GET /health"), "200 OK"));
}

TEST_CASE_METHOD(OperatorServerTest,
                 "replace-voter reports each outcome with its own status") {
  const std::string Line = "POST /v1/replace-voter";
  const std::string Body = R"({"lost":"18446744073709551615",)"
                           R"("replacement":"7"})";
  CHECK(contains(request(Line, Body, "wrong"), " 401 "));
  for (const char *Bad : {"[]", "{}", R"({"lost":1,"replacement":"7"})",
                          R"({"lost":"0","replacement":"7"})",
                          R"({"lost":"x","replacement":"7"})",
                          R"({"lost":"1","replacement":"7","more":1})"})
    CHECK(contains(request(Line, Bad), " 400 "));
  CHECK(contains(request("GET /v1/replace-voter"), " 405 "));
  std::string Unknown = request(Line, R"({"lost":"5","replacement":"7"})");
  CHECK(contains(Unknown, " 409 "));
  CHECK(contains(Unknown, "replica 5 is not a voter"));
  Log.Behaviour = FakeLog::Mode::Timeout;
  CHECK(contains(request(Line, Body), " 503 "));
  Log.Behaviour = FakeLog::Mode::Normal;
  CHECK(Members.Replaced.empty());
  CHECK(contains(request(Line, Body), " 200 "));
  REQUIRE(Members.Replaced.size() == 1);
  CHECK(Members.Replaced[0].first == base::ReplicaId(~0ULL));
  CHECK(Members.Replaced[0].second == base::ReplicaId(7));
  Members.Fail = [] { throw MembershipRefused("lacks 900 entries"); };
  std::string Refusal = request(Line, Body);
  CHECK(contains(Refusal, " 409 "));
  CHECK(contains(Refusal, "lacks 900 entries"));
  Members.Fail = [] { throw replication::NotLeader("no leader"); };
  CHECK(contains(request(Line, Body), " 503 "));
  Members.Fail = [] { throw base::TimeoutError("no answer"); };
  CHECK(contains(request(Line, Body), " 504 "));
}

TEST_CASE_METHOD(OperatorServerTest,
                 "lift-quarantine ends the quarantine of a request") {
  const std::string Line = "POST /v1/lift-quarantine";
  CHECK(contains(request("GET /v1/lift-quarantine"), " 405 "));
  for (const char *Body :
       {"", "{}", R"({"fingerprint":171})", R"({"fingerprint":"ab"})",
        R"({"fingerprint":"00000000000000zz"})"})
    CHECK(contains(request(Line, Body), " 400 "));
  const std::string Body = R"({"fingerprint":"00000000000000ab"})";
  CHECK(contains(request(Line, Body), "00000000000000ab is not in quarantine"));
  asio::co_spawn(Io,
                 Log.propose(encodeCommand(EndSuspectRun{base::ServiceName("s"),
                                                         171, "", true}),
                             base::Millis(1000)),
                 asio::detached);
  poll();
  CHECK(contains(request(Line, Body), " 200 "));
  CHECK(contains(request("GET /v1/status"), R"("quarantine":[])"));
  CHECK(contains(request("GET /v1/audit"), R"("result":"lifted")"));
  CHECK(contains(request(Line, Body), " 409 "));
}

TEST_CASE_METHOD(OperatorServerTest, "evacuate takes a zone out and back") {
  const std::string Body = R"({"zone":"a"})";
  CHECK(contains(request("GET /v1/evacuate"), " 405 "));
  CHECK(contains(request("POST /v1/evacuate", "{}"), " 400 "));
  CHECK(
      contains(request("POST /v1/evacuate", R"({"zone":"no zone"})"), " 422 "));
  CHECK(contains(request("POST /v1/evacuate", Body), " 200 "));
  CHECK(contains(request("POST /v1/evacuate", Body), "ordered before"));
  CHECK(contains(request("GET /v1/status"), R"("evacuated":[{"zone":"a",)"));
  Log.Behaviour = FakeLog::Mode::Timeout;
  CHECK(contains(request("POST /v1/evacuate/finish", Body), " 503 "));
  Log.Behaviour = FakeLog::Mode::AppliedThenTimeout;
  CHECK(contains(request("POST /v1/evacuate/finish", Body), " 504 "));
  Log.Behaviour = FakeLog::Mode::Normal;
  CHECK(contains(request("POST /v1/evacuate/finish", Body), " 200 "));
  CHECK(contains(request("GET /v1/status"), R"("evacuated":[])"));
}

TEST_CASE_METHOD(OperatorServerTest,
                 "status lists running rollouts and the quarantine") {
  CHECK(
      contains(request("GET /v1/status"), R"("quarantine":[],"rollouts":[])"));
  apply("op1");
  base::ServiceName Name("s");
  std::uint64_t Index = 10;
  for (const Command &Each :
       {Command(ReportCrash{Name, base::EndpointId("e1"), {171}, 1}),
        Command(ReportCrash{Name, base::EndpointId("e1"), {172}, 2}),
        Command(EndSuspectRun{Name, 171, "", true})}) {
    base::Bytes Data = encodeCommand(Each);
    State.apply({base::LogIndex(Index++), base::Term(1),
                 base::WallTime(1'800'000'000'000), Data});
  }
  std::string Answer = request("GET /v1/status");
  INFO(Answer);
  CHECK(contains(Answer, R"("quarantine":[{"fingerprint":"00000000000000ab",)"
                         R"("service":"s","convicted":true,)"
                         R"("until":"2027-01-15T08:10:00Z"},)"
                         R"({"fingerprint":"00000000000000ac",)"
                         R"("service":"s","convicted":false,)"));
  CHECK(contains(Answer, R"("phase":"waiting")"));
  CHECK(
      contains(Answer, R"("deadline":"2027-02-15T08:00:00Z","service":"s"}])"));
}

} // namespace amaranth::control
