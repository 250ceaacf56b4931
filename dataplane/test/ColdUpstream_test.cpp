#include "MeshFixture.h"
#include "RetryState.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace amaranth::dataplane::testing {

/// One node with an upstream of a service that has cold upstreams.
class ColdUpstreamTest : public MeshFixture {
protected:
  static constexpr double PerSecond = 8;

  ColdUpstreamTest()
      : Node(addNode("n")), Upstream(addUpstream(Node, "v1", 40)) {
    document::Service &Entry = Mesh.Services[base::ServiceName("s")];
    Entry.ColdPeriod = base::Millis(4000);
    Entry.ColdRequestsPerSecond = PerSecond;
    Snapshots.set(Mesh);
  }

  void announceCold(std::int64_t ColdFor, std::uint64_t Incarnation = 1) {
    Announcement Message;
    Message.Service = base::ServiceName("s");
    Message.Version = base::VersionName("v1");
    Message.Upstream = Upstream.Server.local();
    Message.Slots = 40;
    Message.ReportedState = Announcement::State::Ready;
    Message.Incarnation = Incarnation;
    Message.Sequence = NextSequence++;
    Message.ColdFor = base::Millis(ColdFor);
    REQUIRE(Node.UpstreamGate.announce(Message));
  }

  /// Sends requests that wait at most half a second, and counts those that the
  /// upstream got in the second that follows.
  std::size_t burst(std::size_t Count) {
    std::size_t Before = Upstream.Seen.size();
    Calls.clear();
    for (std::size_t I = 0; I < Count; ++I)
      Calls.push_back(get(Node, "/x", "X-Request-Deadline-Ms: 500\r\n"));
    for (int Step = 0; Step < 20; ++Step) {
      settle();
      Time.advance(base::Millis(50));
    }
    settle();
    return Upstream.Seen.size() - Before;
  }

  void evacuate(const std::string &Zone, bool Active) {
    if (Active)
      Mesh.EvacuatedZones.insert(base::AvailabilityZone(Zone));
    else
      Mesh.EvacuatedZones.erase(base::AvailabilityZone(Zone));
    Snapshots.set(Mesh);
  }

  std::vector<std::shared_ptr<CallerResult>> Calls;
  TestNode &Node;
  TestUpstream &Upstream;
};

// Guards against a cold upstream that crashes, and against callers that are
// told of it late or wrongly.
TEST_CASE_METHOD(ColdUpstreamTest,
                 "Cold upstream gets its rate and the rest is refused") {
  CHECK(burst(40) == 40);
  announceCold(4000);
  std::size_t Got = burst(40);
  CHECK(Got >= 3);
  CHECK(static_cast<double>(Got) <= PerSecond);
  auto Refused = std::count_if(Calls.begin(), Calls.end(), [](auto &Call) {
    return Call->has("upstream-cold") && Call->has("not-run") &&
           Call->has("Retry-After");
  });
  CHECK(static_cast<std::size_t>(Refused) >= 30);
  // Entry nodes that have sent nothing here learn of it too.
  CHECK(Control.Published.back().Slots == 1);
  announceCold(0);
  CHECK(Control.Published.back().Slots == 40);
  CHECK(burst(40) == 40);
}

// Guards against the second between a restart and the announcement of the new
// process, which is cold.
TEST_CASE_METHOD(ColdUpstreamTest, "Upstream that closed all connections is "
                                   "treated as cold") {
  CHECK(burst(10) == 10);
  auto Broken = get(Node, "/break");
  runUntil([&] { return Broken->Done; });
  // The process still has other connections, so it was not restarted.
  CHECK(burst(40) == 40);
  for (auto &Weak : Upstream.Connections)
    if (auto Link = Weak.lock())
      Link->abort();
  settle();
  CHECK(static_cast<double>(burst(40)) <= 1.5 * PerSecond + 8);
  announceCold(3000, 2);
  CHECK(static_cast<double>(burst(40)) <= PerSecond + 2);
}

// Guards against a restart that is not noticed because no request was sent for
// some seconds before it.
TEST_CASE_METHOD(ColdUpstreamTest, "Idle upstream that closed all connections "
                                   "is treated as cold") {
  CHECK(burst(10) == 10);
  announceCold(0);
  Time.advance(base::Millis(3500));
  announceCold(0);
  for (auto &Weak : Upstream.Connections)
    if (auto Link = Weak.lock())
      Link->abort();
  settle();
  CHECK(static_cast<double>(burst(40)) <= 1.5 * PerSecond + 8);
}

// Guards against an upstream that counts as cold all the time because it
// closes idle connections.
TEST_CASE_METHOD(ColdUpstreamTest, "Upstream that closes idle connections is "
                                   "taken for cold once") {
  for (std::size_t Limited : {1, 0}) {
    CHECK(burst(10) == 10);
    for (auto &Weak : Upstream.Connections)
      if (auto Link = Weak.lock())
        Link->abort();
    settle();
    CHECK((burst(40) < 40) == (Limited == 1));
    announceCold(0);
    Time.advance(base::Millis(1500));
    announceCold(0);
  }
}

// Guards against a zone that comes back cold under full load: the last
// announcement was sent during the evacuation and says "warm".
TEST_CASE_METHOD(ColdUpstreamTest, "Zone taken back is cold until a later "
                                   "announcement") {
  evacuate("z", true);
  CHECK(burst(5) == 0);
  CHECK(Calls[0]->has("no-endpoint"));
  CHECK(Calls[0]->has("Retry-After"));
  evacuate("z", false);
  announceCold(0);
  CHECK(static_cast<double>(burst(40)) <= PerSecond);
  announceCold(0);
  CHECK(burst(40) == 40);
}

// Guards against requests that wait in an evacuated zone or fail with it, and
// against running ones that are cut off.
TEST_CASE_METHOD(ColdUpstreamTest, "Waiting requests leave an evacuated zone") {
  TestNode &Far = addNode("far", "y");
  std::vector<std::shared_ptr<CallerResult>> Running(42);
  for (auto &Call : Running)
    Call = get(Node, "/hold");
  runUntil([&] { return Upstream.Seen.size() == 40; });
  CHECK(Node.UpstreamGate.load().Queued == 2);
  TestUpstream &Other = addUpstream(Far);
  evacuate("z", true);
  Time.advance(base::Millis(100));
  runUntil([&] { return Other.Seen.size() == 2; });
  auto Late = get(Node, "/x");
  runUntil([&] { return Late->Done; });
  CHECK(Late->status() == 200);
  Held = false;
  Release.notifyAll();
  for (auto &Call : Running)
    runUntil([&] { return Call->Done; });
  CHECK(std::all_of(Running.begin(), Running.end(),
                    [](auto &Call) { return Call->status() == 200; }));
  CHECK(Upstream.Seen.size() == 40);
  CHECK(Other.Seen.size() == 3);
}

// Guards against requests that are refused by one gate of the zone after
// another, because the entry node has an older snapshot.
TEST_CASE_METHOD(ColdUpstreamTest, "Entry node with an older snapshot asks one "
                                   "gate of an evacuated zone") {
  FakeSnapshots Newer(Context.get_executor());
  document::MeshSnapshot Next = Mesh;
  Next.EvacuatedZones.insert(base::AvailabilityZone("z"));
  Newer.set(Next);
  TestNode &Entry = addNode("entry", "z");
  // Started during the evacuation.
  NodeSnapshots = &Newer;
  for (unsigned I = 0; I < RetryState::MaxTotalAttempts; ++I)
    addUpstream(addNode("z" + std::to_string(I), "z"));
  NodeSnapshots = &Snapshots;
  TestUpstream &Far = addUpstream(addNode("far", "y"));
  Mesh.Endpoints.erase(base::EndpointId("n"));
  Snapshots.set(Mesh);
  auto Call = get(Entry, "/x");
  runUntil([&] { return Call->Done; });
  CHECK(Call->status() == 200);
  CHECK(Far.Seen.size() == 1);
}

} // namespace amaranth::dataplane::testing
