#include "MeshFixture.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace amaranth::dataplane::testing {

class EntryTest : public OneNodeFixture {};

TEST_CASE_METHOD(EntryTest,
                 "Path without a route is refused with 404 not-run") {
  Mesh.Routes.edit().begin()->second.PathPrefix = "/a";
  Snapshots.set(Mesh);
  auto Result = get(Node, "/b");
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 404);
  CHECK(Result->has("X-Amaranth-Outcome: not-run"));
  CHECK(Result->has("X-Amaranth-Reason: no-route"));
}

TEST_CASE_METHOD(
    EntryTest,
    "Route that requires an idempotency key refuses requests without one") {
  Mesh.Routes.edit().begin()->second.RequireIdempotencyKey = true;
  Snapshots.set(Mesh);
  auto Without = post(Node, "/x", "b");
  auto With = post(Node, "/x", "b", "Idempotency-Key: k\r\n");
  runUntil([&] { return Without->Done && With->Done; });
  CHECK(Without->status() == 400);
  CHECK(With->status() == 200);
  CHECK(Upstream.Seen.size() == 1);
}

TEST_CASE_METHOD(EntryTest, "Connection serves several requests") {
  auto Result = sendRaw("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                        "HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n"
                        "POST /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(Result->has("GET /a "));
  CHECK(Result->has("POST /c abcde"));
  // A HEAD response has the Content-Length of the body but no body.
  CHECK_FALSE(Result->has("HEAD /b "));
  CHECK(Upstream.Seen ==
        std::vector<std::string>{"GET /a", "HEAD /b", "POST /c"});
}

TEST_CASE_METHOD(EntryTest, "Hop-by-hop header fields are not forwarded") {
  sendRaw("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\n"
          "X-Hop: 1\r\nTE: trailers\r\nX-End: 2\r\n\r\n");
  REQUIRE(Upstream.SeenFields.size() == 1);
  const Headers &Fields = Upstream.SeenFields[0];
  CHECK_FALSE(findHeader(Fields, "X-Hop"));
  CHECK_FALSE(findHeader(Fields, "TE"));
  CHECK(findHeader(Fields, "X-End"));
}

TEST_CASE_METHOD(EntryTest,
                 "Expect: 100-continue is answered with 100 Continue") {
  auto Result = sendRaw("POST /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                        "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab");
  CHECK(Result->Text.starts_with("HTTP/1.1 100 Continue"));
  CHECK(Result->has("POST /c ab"));
}

TEST_CASE_METHOD(EntryTest, "Malformed and oversized heads are refused") {
  CHECK(sendRaw("nonsense\r\n\r\n")->status() == 400);
  std::string Large(70'000, 'x');
  CHECK(sendRaw("GET / HTTP/1.1\r\nHost: h\r\nX: " + Large + "\r\n\r\n")
            ->status() == 431);
  CHECK(sendRaw(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000000\r\n\r\n")
            ->status() == 413);
  CHECK(Upstream.Seen.empty());
}

// Guards against callers that occupy connections without sending a complete
// request.
TEST_CASE_METHOD(EntryTest, "Slow caller is disconnected") {
  auto Head = send(Node.Entry.local(), "GET / HT");
  auto Body = send(Node.Entry.local(),
                   "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab");
  settle();
  for (int I = 0; I < 31; ++I) {
    announce(Node, Upstream, Announcement::State::Ready);
    Time.advance(base::Millis(1000));
    settle();
  }
  runUntil([&] { return Head->Done && Body->Done; });
  CHECK(Head->Text.empty());
  CHECK(Upstream.Seen.empty());
}

TEST_CASE_METHOD(EntryTest,
                 "Evidence counts the responses of a running rollout") {
  document::Service &Entry = Mesh.Services.edit().begin()->second;
  Entry.HasRollout = true;
  Entry.Rollout.From = base::VersionName("v0");
  Entry.Rollout.To = base::VersionName("v1");
  Entry.Rollout.Section = base::Revision(3);
  Snapshots.set(Mesh);
  auto Good = get(Node, "/echo");
  runUntil([&] { return Good->Done; });
  auto Bad = get(Node, "/fail");
  runUntil([&] { return Bad->Done; });
  CHECK(Bad->status() == 500);
  Time.advance(base::Millis(1000));
  runUntil([&] { return !Control.Evidence.Counts.empty(); });
  const auto &Counts = Control.Evidence.Counts.begin()->second;
  CHECK(Counts.Requests == 2);
  CHECK(Counts.Errors == 1);
}

// Guards P4 (a bad version gets little traffic): a node stops sending to a
// failing version on its own, before control has decided.
TEST_CASE_METHOD(EntryTest,
                 "Failing new version is avoided after few requests") {
  TestNode &Other = addNode("old");
  addUpstream(Other, "v0");
  document::Service &Entry = Mesh.Services.edit().begin()->second;
  Entry.Versions = {{base::VersionName("v0"), 500'000, false},
                    {base::VersionName("v1"), 500'000, false}};
  Entry.HasRollout = true;
  Entry.Rollout.From = base::VersionName("v0");
  Entry.Rollout.To = base::VersionName("v1");
  Snapshots.set(Mesh);
  Upstream.Broken = true;
  for (int I = 0; I < 60; ++I) {
    auto Result = post(Node, "/echo", "x");
    runUntil([&] { return Result->Done; });
  }
  CHECK(Upstream.Seen.size() >= 3);
  CHECK(Upstream.Seen.size() <= 6);
}

// Guards against an overloaded node that forwards requests of callers which
// have disconnected: it reads the request and the end of the connection
// together.
TEST_CASE_METHOD(EntryTest,
                 "Request of a disconnected caller reaches no upstream") {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  // Opens the connection to the peer, so that it does not delay the request.
  auto First = get(Node, "/first");
  runUntil([&] { return First->Done; });
  tcp::socket Socket(Context);
  Socket.connect(
      {asio::ip::make_address(Node.Entry.local().Ip), Node.Entry.local().Port});
  std::string Text = "GET /left HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(Socket, asio::buffer(Text));
  Socket.close();
  settle();
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /first"});
}

// Guards against a late download that waits for the link of its gate behind all
// that are not late, until the entry node has shut down and cuts it off.
TEST_CASE_METHOD(EntryTest, "Request during a shutdown must end with it") {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  Mesh.Routes.edit().begin()->second.Kind = document::RequestKind::Download;
  Mesh.Routes.edit().begin()->second.Objective = base::Millis(100);
  Snapshots.set(Mesh);
  settle();
  tcp::socket Socket(Context);
  Socket.connect(
      {asio::ip::make_address(Node.Entry.local().Ip), Node.Entry.local().Port});
  std::string Text = "GET /late HTTP/1.1\r\nHost: h\r\n"
                     "X-Request-Deadline-Ms: 9000\r\n\r\n";
  asio::write(Socket, asio::buffer(Text));
  bool Drained = false;
  auto Drain = [](TestNode &Leaving, bool &Done) -> asio::awaitable<void> {
    Done = co_await Leaving.Entry.drain(base::Millis(3000));
  };
  spawn(Drain(Node, Drained));
  runUntil([&] { return !Upstream.SeenFields.empty(); });
  const std::string *Remaining =
      findHeader(Upstream.SeenFields[0], "X-Request-Deadline-Ms");
  REQUIRE(Remaining);
  CHECK(std::stoi(*Remaining) < 3000);
  for (int I = 0; I < 100 && !Drained; ++I) {
    settle();
    Time.advance(base::Millis(20));
  }
  CHECK(Drained);
}

// Guards against a request that waits at its gate behind others until its entry
// node has shut down.
TEST_CASE_METHOD(MeshFixture, "Request during a shutdown precedes others") {
  namespace asio = boost::asio;
  using asio::ip::tcp;
  document::Route Urgent = Mesh.Routes.begin()->second;
  Urgent.Name = base::RouteName("urgent");
  Urgent.PathPrefix = "/echo/urgent";
  Urgent.Priority = 1;
  Mesh.Routes.edit().begin()->second.Priority = 2;
  Mesh.Routes[Urgent.Name] = Urgent;
  Snapshots.set(Mesh);
  TestNode &Leaving = addNode("leaving");
  TestNode &Other = addNode("other");
  TestUpstream &Upstream = addUpstream(Other, "v1", 1);
  settle();
  auto Running = get(Other, "/hold");
  runUntil([&] { return Upstream.Seen.size() == 1; });
  auto Queued = get(Other, "/echo/urgent");
  runUntil([&] { return Other.UpstreamGate.load().Queued == 1; });
  tcp::socket Socket(Context);
  Socket.connect({asio::ip::make_address(Leaving.Entry.local().Ip),
                  Leaving.Entry.local().Port});
  std::string Text = "GET /echo/leaving HTTP/1.1\r\nHost: h\r\n\r\n";
  asio::write(Socket, asio::buffer(Text));
  auto Drain = [](TestNode &Node) -> asio::awaitable<void> {
    co_await Node.Entry.drain(base::Millis(3000));
  };
  spawn(Drain(Leaving));
  runUntil([&] { return Other.UpstreamGate.load().Queued == 2; });
  Held = false;
  Release.notifyAll();
  runUntil([&] { return Upstream.Seen.size() == 3; });
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /hold",
                                                  "GET /echo/leaving",
                                                  "GET /echo/urgent"});
}

} // namespace amaranth::dataplane::testing
