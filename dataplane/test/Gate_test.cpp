#include "MemoryChannel.h"
#include "MeshFixture.h"
#include "amaranth/dataplane/SlotQueue.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace amaranth::dataplane::testing {

class GateTest : public MeshFixture {
protected:
  GateTest() : Node(addNode("n")) {}

  template <typename Kind> std::vector<Kind> commands() const {
    std::vector<Kind> Found;
    for (const control::Command &Request : Control.Seen)
      if (const auto *Match = std::get_if<Kind>(&Request))
        Found.push_back(*Match);
    return Found;
  }

  void quarantine(std::uint64_t Fingerprint, bool Convicted) {
    Mesh.Quarantine[Fingerprint] = {Fingerprint, base::ServiceName("s"),
                                    Convicted,
                                    Time.wallNow() + base::Millis(600'000)};
    Snapshots.set(Mesh);
  }

  /// An announcement of a service that is not configured, with a late start.
  static Announcement oddAnnouncement() {
    Announcement Odd;
    Odd.Service = base::ServiceName("unknown");
    Odd.Version = base::VersionName("v1");
    Odd.Upstream = {"127.0.0.1", 1};
    Odd.Slots = 4;
    Odd.ReportedState = Announcement::State::Ready;
    Odd.Incarnation = 1'000'000;
    Odd.Sequence = 1;
    return Odd;
  }

  /// Waits until the crash report is committed, advances the clock by the
  /// propagation delay of 400 ms and waits for `Done`.
  void runUntilCrashAnswered(const std::function<bool()> &Done) {
    runUntil(
        [&] { return Done() || !commands<control::ReportCrash>().empty(); });
    settle();
    CHECK_FALSE(Done());
    Time.advance(base::Millis(400));
    runUntil(Done);
  }

  /// Crashes the upstream while a request to `/hold` runs. Returns the
  /// fingerprint of the request.
  std::uint64_t crashDuringHold(TestUpstream &Upstream) {
    auto Victim = post(Node, "/hold", "x");
    runUntil([&] { return !Upstream.Seen.empty(); });
    Upstream.crash();
    runUntilCrashAnswered([&] { return Victim->Done; });
    CHECK(Victim->has("X-Amaranth-Reason: upstream-crashed"));
    CHECK(Victim->has("X-Amaranth-Outcome: unknown"));
    runUntil([&] { return !commands<control::ReportCrash>().empty(); });
    auto Reports = commands<control::ReportCrash>();
    REQUIRE(Reports.size() == 1);
    REQUIRE(Reports[0].Fingerprints.size() == 1);
    return Reports[0].Fingerprints[0];
  }

  /// Crashes two upstreams under the same request. Returns the second call,
  /// which is not answered yet.
  std::shared_ptr<CallerResult> crashTwice() {
    TestUpstream &First = addUpstream(Node);
    crashDuringHold(First);
    TestUpstream &Second = addUpstream(Node);
    auto Culprit = post(Node, "/hold", "x");
    runUntil([&] { return Second.Seen.size() == 1; });
    Second.crash();
    runUntil(
        [&] { return Node.UpstreamGate.state() == UpstreamState::Crashed; });
    settle();
    return Culprit;
  }

  TestNode &Node;
};

TEST_CASE_METHOD(GateTest,
                 "Crash reports running requests and refuses new ones") {
  TestUpstream &Upstream = addUpstream(Node);
  crashDuringHold(Upstream);
  CHECK(Node.UpstreamGate.state() == UpstreamState::Crashed);
  auto Late = post(Node, "/echo", "x");
  runUntil([&] { return Late->Done; });
  CHECK(Late->has("X-Amaranth-Outcome: not-run"));
  CHECK(Control.Published.back().State == document::EndpointState::Unreachable);
}

// The response is delayed so that the caller cannot resend before the suspect
// is known, but not indefinitely while control is unavailable.
TEST_CASE_METHOD(GateTest, "Crash answer waits for the commit, at most 1 s") {
  TestUpstream &Upstream = addUpstream(Node);
  auto Victim = post(Node, "/hold", "x");
  runUntil([&] { return !Upstream.Seen.empty(); });
  Control.Down = true;
  Upstream.crash();
  runUntil([&] { return Node.UpstreamGate.state() == UpstreamState::Crashed; });
  Time.advance(base::Millis(900));
  settle();
  CHECK_FALSE(Victim->Done);
  Time.advance(base::Millis(101));
  runUntil([&] { return Victim->Done; });
  CHECK(Victim->has("X-Amaranth-Reason: upstream-crashed"));
}

// The response is delayed so that the caller cannot resend before all nodes
// refuse the request.
TEST_CASE_METHOD(GateTest,
                 "Second crash under a request convicts it before its "
                 "caller gets a response") {
  auto Culprit = crashTwice();
  CHECK_FALSE(Culprit->Done);
  auto Ends = commands<control::EndSuspectRun>();
  REQUIRE(Ends.size() == 1);
  CHECK(Ends[0].Crashed);
  CHECK(Ends[0].Fingerprint ==
        commands<control::ReportCrash>()[0].Fingerprints[0]);
  CHECK(commands<control::ReportCrash>().size() == 1);
  Time.advance(base::Millis(400));
  runUntil([&] { return Culprit->Done; });
  CHECK(Culprit->has("X-Amaranth-Reason: quarantined"));
  CHECK(Culprit->has("X-Amaranth-Outcome: unknown"));
  CHECK(Culprit->status() == 502);
}

TEST_CASE_METHOD(GateTest,
                 "Response to a convicted request waits at most 1 s for the "
                 "commit") {
  TestUpstream &First = addUpstream(Node);
  crashDuringHold(First);
  TestUpstream &Second = addUpstream(Node);
  auto Culprit = post(Node, "/hold", "x");
  runUntil([&] { return Second.Seen.size() == 1; });
  Control.Down = true;
  Second.crash();
  runUntil([&] { return Node.UpstreamGate.state() == UpstreamState::Crashed; });
  Time.advance(base::Millis(900));
  settle();
  CHECK_FALSE(Culprit->Done);
  Time.advance(base::Millis(101));
  runUntil([&] { return Culprit->Done; });
  // The node refuses the request itself, without the control processes.
  TestUpstream &Third = addUpstream(Node);
  auto Refused = post(Node, "/hold", "x");
  runUntil([&] { return Refused->Done; });
  CHECK(Refused->has("X-Amaranth-Reason: quarantined"));
  CHECK(Refused->has("X-Amaranth-Outcome: not-run"));
  CHECK(Third.Seen.empty());
}

// Guards against a second crash after which several suspects remain.
TEST_CASE_METHOD(GateTest, "Suspects run one at a time beside other requests") {
  TestUpstream &Upstream = addUpstream(Node, "v1", 4);
  // The same requests as below, whose fingerprints the crash reports.
  auto First = post(Node, "/hold/1", "x");
  auto Second = post(Node, "/hold/2", "x");
  runUntil([&] { return Upstream.Seen.size() == 2; });
  Upstream.crash();
  runUntilCrashAnswered([&] { return First->Done && Second->Done; });
  TestUpstream &Restarted = addUpstream(Node, "v1", 4);
  First = post(Node, "/hold/1", "x");
  Second = post(Node, "/hold/2", "x");
  auto Other = post(Node, "/hold/3", "x");
  runUntil([&] { return Restarted.Seen.size() == 2; });
  settle();
  CHECK(Restarted.Seen.size() == 2);
  CHECK(Restarted.Concurrency->MaxRunning == 2);
  Held = false;
  Release.notifyAll();
  runUntil([&] { return First->Done && Second->Done && Other->Done; });
  for (const auto &Result : {First, Second, Other})
    CHECK(Result->status() == 200);
  runUntil([&] { return commands<control::EndSuspectRun>().size() == 2; });
  for (const auto &End : commands<control::EndSuspectRun>())
    CHECK_FALSE(End.Crashed);
}

TEST_CASE_METHOD(GateTest, "Convicted request of the snapshot is refused with "
                           "the time that is left") {
  TestUpstream &Crashing = addUpstream(Node);
  std::uint64_t Fingerprint = crashDuringHold(Crashing);
  TestUpstream &Restarted = addUpstream(Node);
  quarantine(Fingerprint, true);
  auto Refused = post(Node, "/hold", "x");
  runUntil([&] { return Refused->Done; });
  CHECK(Refused->has("X-Amaranth-Reason: quarantined"));
  CHECK(Refused->has("X-Amaranth-Outcome: not-run"));
  CHECK(Refused->has("Retry-After: 600"));
  CHECK(Restarted.Seen.empty());
}

// A request stays a suspect after its caller disconnected. A request that was
// never sent to the upstream must not be reported.
TEST_CASE_METHOD(GateTest, "Crash after the caller left reports its request") {
  TestUpstream &Upstream = addUpstream(Node);
  auto Victim = post(Node, "/hold", "x");
  runUntil([&] { return Upstream.Seen.size() == 1; });
  Victim->Socket->close();
  runUntil([&] { return Node.UpstreamGate.load().InFlight == 0; });
  Upstream.crash();
  auto Innocent = post(Node, "/echo", "x");
  runUntil([&] { return Innocent->Done; });
  runUntil([&] { return !commands<control::ReportCrash>().empty(); });
  CHECK(Innocent->has("X-Amaranth-Outcome: not-run"));
  auto Reports = commands<control::ReportCrash>();
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Fingerprints.size() == 1);
}

// A single failed connection must not count as a crash.
TEST_CASE_METHOD(GateTest, "Broken connection alone is no crash") {
  addUpstream(Node);
  auto Result = post(Node, "/break", "x");
  runUntil([&] { return Result->Done; });
  CHECK(Node.UpstreamGate.state() == UpstreamState::Ready);
  CHECK(commands<control::ReportCrash>().empty());
}

TEST_CASE_METHOD(GateTest, "Full queue refuses as not run") {
  addUpstream(Node, "v1", 1);
  std::vector<std::shared_ptr<CallerResult>> Calls(4);
  for (auto &Call : Calls)
    Call = post(Node, "/hold", "x");
  auto Refused = [&] {
    return std::count_if(Calls.begin(), Calls.end(), [](const auto &Call) {
      return Call->has("X-Amaranth-Reason: queue-full");
    });
  };
  runUntil([&] { return Refused() == 1; });
  CHECK(Node.UpstreamGate.load().Queued == 2);
  Held = false;
  Release.notifyAll();
  runUntil([&] {
    return std::all_of(Calls.begin(), Calls.end(),
                       [](const auto &Call) { return Call->Done; });
  });
  CHECK(Upstreams[0]->Seen.size() == 3);
  CHECK(Upstreams[0]->Concurrency->MaxRunning == 1);
}

// Guards against a booking that is run by the payment service: a request that
// waits for a slot was sent to the next upstream that announced itself,
// whatever its service.
TEST_CASE_METHOD(GateTest,
                 "Waiting request is not sent to an upstream of another "
                 "service") {
  document::Service Other;
  Other.Name = base::ServiceName("other");
  Other.Versions = {{base::VersionName("v1"), document::FullShare, false}};
  Mesh.Services[Other.Name] = Other;
  Snapshots.set(Mesh);
  TestUpstream &First = addUpstream(Node, "v1", 1);
  auto Running = post(Node, "/hold", "x");
  runUntil([&] { return First.Seen.size() == 1; });
  auto Waiting = post(Node, "/echo", "x");
  runUntil([&] { return Node.UpstreamGate.load().Queued == 1; });
  // Known to no entry node, so that requests reach it through this gate only.
  TestUpstream Second(Context.get_executor(), Time);
  spawn(Second.Server.serve(
      [&Second](std::shared_ptr<HttpConnection> Link,
                HttpRequest Request) -> boost::asio::awaitable<void> {
        Second.Seen.push_back(Request.Method + " " + Request.Target);
        Headers None;
        co_await Link->respond(200, std::move(None), "");
      }));
  Announcement Replacement;
  Replacement.Service = Other.Name;
  Replacement.Version = base::VersionName("v1");
  Replacement.Upstream = Second.Server.local();
  Replacement.Slots = 4;
  Replacement.ReportedState = Announcement::State::Ready;
  Replacement.Incarnation = 2;
  Replacement.Sequence = 1;
  REQUIRE(Node.UpstreamGate.announce(Replacement));
  runUntil([&] { return Waiting->Done; });
  CHECK(Waiting->has("X-Amaranth-Outcome: not-run"));
  CHECK(Second.Seen.empty());
  Held = false;
  Release.notifyAll();
  runUntil([&] { return Running->Done; });
  Second.crash();
  settle();
}

TEST_CASE_METHOD(GateTest, "Silent upstream becomes absent and comes back") {
  TestUpstream &Upstream = addUpstream(Node);
  Time.advance(base::Millis(4999));
  settle();
  CHECK(Node.UpstreamGate.state() == UpstreamState::Ready);
  Time.advance(base::Millis(251));
  runUntil([&] { return Node.UpstreamGate.state() == UpstreamState::Absent; });
  announce(Node, Upstream, Announcement::State::Ready);
  CHECK(Node.UpstreamGate.state() == UpstreamState::Ready);
}

// A delayed announcement must not overwrite a newer one.
TEST_CASE_METHOD(GateTest, "Announcement out of order is ignored") {
  TestUpstream &Upstream = addUpstream(Node);
  Announcement Old;
  Old.Service = base::ServiceName("s");
  Old.Version = base::VersionName("v1");
  Old.Upstream = Upstream.Server.local();
  Old.Slots = 4;
  Old.ReportedState = Announcement::State::Stopped;
  Old.Incarnation = 1;
  Old.Sequence = 1;
  CHECK_FALSE(Node.UpstreamGate.announce(Old));
  Old.Incarnation = 0;
  Old.Sequence = 99;
  CHECK_FALSE(Node.UpstreamGate.announce(Old));
  CHECK(Node.UpstreamGate.state() == UpstreamState::Ready);
}

// Control keeps the published departure, so that a restarted node cannot bring
// the upstream back because of a delayed announcement.
TEST_CASE_METHOD(GateTest, "Departure is published with the incarnation of the "
                           "upstream") {
  TestUpstream &Upstream = addUpstream(Node, "v1", 4);
  CHECK_FALSE(Control.Published.back().UpstreamLeft);
  CHECK(Control.Published.back().UpstreamIncarnation == 1);
  SECTION("by announcement") {
    announce(Node, Upstream, Announcement::State::Draining);
  }
  SECTION("by deregistration") {
    Node.UpstreamGate.unregister("", std::nullopt);
  }
  CHECK(Control.Published.back().UpstreamLeft);
  CHECK(Control.Published.back().UpstreamIncarnation == 1);
  announce(Node, Upstream, Announcement::State::Ready, "v1", 4, 2);
  CHECK_FALSE(Control.Published.back().UpstreamLeft);
  CHECK(Control.Published.back().UpstreamIncarnation == 2);
}

// Guards against a deregistration that reaches a restarted node before any
// announcement: a delayed announcement would bring the upstream back.
TEST_CASE_METHOD(GateTest, "Departure before the first announcement counts") {
  TestUpstream &Upstream = addUpstream(Node);
  TestNode &Restarted = addNode("m");
  auto Incarnation =
      GENERATE(as<std::optional<std::uint64_t>>(), std::nullopt, 1);
  Restarted.UpstreamGate.unregister("", Incarnation);
  announce(Restarted, Upstream, Announcement::State::Ready);
  CHECK(Restarted.UpstreamGate.state() == UpstreamState::Stopped);
  announce(Restarted, Upstream, Announcement::State::Ready, "v1", 4, 2);
  CHECK(Restarted.UpstreamGate.state() == UpstreamState::Ready);
}

// Guards against an upstream that left, was silent and then seems to be back
// because of a delayed announcement.
TEST_CASE_METHOD(GateTest, "Upstream that has left stays out of use after a "
                           "timeout") {
  TestUpstream &Upstream = addUpstream(Node);
  announce(Node, Upstream, Announcement::State::Draining);
  settle();
  Time.advance(base::Millis(5250));
  runUntil([&] { return Node.UpstreamGate.state() == UpstreamState::Absent; });
  announce(Node, Upstream, Announcement::State::Ready);
  CHECK(Node.UpstreamGate.state() == UpstreamState::Absent);
}

// Guards against another writer that announces something that does not exist:
// it would take the place of the upstream, or keep it from being announced.
TEST_CASE_METHOD(GateTest, "Announcement of a service that is not configured "
                           "is ignored") {
  TestUpstream &Upstream = addUpstream(Node);
  CHECK_FALSE(Node.UpstreamGate.announce(oddAnnouncement()));
  announce(Node, Upstream, Announcement::State::Ready);
  auto Result = get(Node, "/echo");
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 200);
}

TEST_CASE_METHOD(GateTest, "Announcement of an unknown service does not "
                           "outrank the upstream's") {
  // Before the node has a configuration, no service is known.
  Snapshots.clear();
  CHECK(Node.UpstreamGate.announce(oddAnnouncement()));
  Snapshots.set(Mesh);
  addUpstream(Node);
  auto Result = get(Node, "/echo");
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 200);
}

TEST_CASE_METHOD(GateTest, "Announcements over HTTP need the key") {
  auto Post = [&](const std::string &Key, const std::string &Body) {
    auto Result =
        send(Node.Announce.local(),
             "POST /v1/announce HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
             "Authorization: Bearer " +
                 Key + "\r\nContent-Length: " + std::to_string(Body.size()) +
                 "\r\n\r\n" + Body);
    runUntil([&] { return Result->Done; });
    return Result->status();
  };
  std::string Ready = R"({"service":"s","version":"v1","slots":4,)"
                      R"("address":"127.0.0.1:1","state":"ready",)"
                      R"("incarnation":1,"sequence":1})";
  CHECK(Post("wrong", Ready) == 401);
  CHECK(Node.UpstreamGate.state() == UpstreamState::Absent);
  CHECK(Post("key", Ready) == 204);
  CHECK(Node.UpstreamGate.state() == UpstreamState::Ready);
  CHECK(Post("key", Ready) == 409);
  CHECK(Post("key", "{}") == 400);
  CHECK(Post("key", "nothing") == 400);
  auto Metrics = send(Node.Announce.local(),
                      "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: "
                      "close\r\n\r\n");
  runUntil([&] { return Metrics->Done; });
  CHECK(Metrics->has("amaranth_gate_slots 4"));
}

TEST_CASE_METHOD(GateTest, "SlotQueue grants the earliest deadline first") {
  SlotQueue Queue(Time);
  auto [Here, There] =
      protocol::testing::makeChannelPair(Context.get_executor(), {}, {});
  std::vector<int> Order;
  auto Wait = [](GateTest &Test, SlotQueue &Queue,
                 std::shared_ptr<protocol::Channel> Link, int Delay,
                 std::vector<int> &Order) -> boost::asio::awaitable<void> {
    auto End = std::make_shared<ExchangeStream>(
        Test.Context.get_executor(), Link, 1, ExchangeStream::Role::Gate);
    base::TimePoint Deadline = Test.Time.now() + base::Millis(Delay);
    SchedulingParams Work;
    Work.Objective = Work.Deadline = Deadline;
    auto Got = co_await Queue.acquire(End, Work, Deadline, false);
    Order.push_back(Got == SlotQueue::Result::Granted ? Delay : -Delay);
  };
  for (int Delay : {300, 100, 200})
    spawn(Wait(*this, Queue, Here, Delay, Order));
  settle();
  Queue.setLimit(1);
  settle();
  Time.advance(base::Millis(250));
  settle();
  Queue.release(false);
  settle();
  CHECK(Order == std::vector<int>{100, -200, 300});
}

} // namespace amaranth::dataplane::testing
