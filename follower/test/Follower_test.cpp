#include "Simulation.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/document/SnapshotCodec.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace amaranth::follower::testing {

using protocol::MessageType;

class FollowerTest {
protected:
  FollowerTest() : Sim(2) {
    Sim.fill(3, 10, 20);
    Node = &Sim.addNode("n1");
    Sim.runUntil([&] { return Sim.converged(); });
  }
  ~FollowerTest() { CHECK(base::invariantChecks() > Before); }

  Simulation::Control &first() { return *Sim.Controls[0]; }
  Simulation::Control &second() { return *Sim.Controls[1]; }
  bool isConnectedTo(std::size_t Control) {
    return Node->status().ControlAddress == Simulation::address(Control);
  }
  void waitConverged() {
    Sim.runUntil([&] { return Sim.converged(); });
    CHECK(*Node->current() == *Sim.Latest);
  }

  std::uint64_t Before = base::invariantChecks();
  Simulation Sim;
  Follower *Node = nullptr;
};

TEST_CASE_METHOD(FollowerTest, "Follower receives a snapshot, then deltas") {
  CHECK(isConnectedTo(0));
  CHECK(first().SentMessages[MessageType::Snapshot] == 1);
  for (int I = 0; I < 5; ++I) {
    Sim.updateEndpoint(I);
    waitConverged();
  }
  CHECK(first().SentMessages[MessageType::Snapshot] == 1);
  CHECK(first().SentMessages[MessageType::Delta] == 5);
  CHECK(Node->status().RefusedUpdates == 0);
}

// Guards against a node that reverts to an older version after it reconnects to
// a lagging control process (P1).
TEST_CASE_METHOD(FollowerTest,
                 "Follower keeps its state at a lagging process") {
  second().Lagging = true;
  for (int I = 0; I < 5; ++I)
    Sim.updateEndpoint(I);
  waitConverged();
  auto Applied = Node->current();
  Sim.closeConnections(first(), true);
  Sim.runUntil([&] { return isConnectedTo(1); });
  Sim.run(base::Millis::seconds(3));
  CHECK(Node->current() == Applied);
  CHECK(second().SentMessages[MessageType::Snapshot] == 0);
  Sim.updateEndpoint(6);
  Sim.deliverLatest(second());
  waitConverged();
  CHECK(second().SentMessages[MessageType::Snapshot] == 0);
}

// Guards against a faulty control process that sends an older snapshot.
TEST_CASE_METHOD(FollowerTest, "Follower refuses an older snapshot") {
  std::vector<base::Bytes> Older;
  Older = document::encodePieces(*Sim.Latest, Sim.Latest->digest());
  Sim.updateEndpoint(1);
  waitConverged();
  auto Applied = Node->current();
  first().Tamper = [&](protocol::Frame &Message) {
    if (Message.Type == MessageType::Delta)
      Message = {MessageType::Snapshot, 0, Older[0]};
  };
  Sim.updateEndpoint(2);
  Sim.run(base::Millis(100));
  CHECK(Node->current() == Applied);
  CHECK_THAT(Node->status().LastRefusalReason, Catch::Contains("older"));
  first().Tamper = nullptr;
  waitConverged();
}

// Guards against an update that is partially applied (P3).
TEST_CASE_METHOD(FollowerTest, "Follower refuses all of a corrupted delta") {
  std::size_t Damaged = 0;
  first().Tamper = [&](protocol::Frame &Message) {
    if (Message.Type == MessageType::Delta)
      Message.Payload[(Damaged++ * 7) % Message.Payload.size()] ^= 0x5a;
  };
  for (int I = 0; I < 30; ++I) {
    std::uint64_t Refused = Node->status().RefusedUpdates;
    auto Applied = Node->current();
    Sim.updateEndpoint(I % 20);
    Sim.runUntil([&] {
      return Node->status().RefusedUpdates > Refused ||
             Node->current() != Applied;
    });
    if (Node->current() == Applied)
      CHECK(Node->current()->digest() == Applied->digest());
    waitConverged();
  }
  CHECK(Damaged == 30);
  auto Status = first().Service->nodes().front();
  CHECK(Status.Failures == Node->status().RefusedUpdates);
  CHECK(Status.Failures > 10);
}

// Guards against a configuration with dangling references (P2).
TEST_CASE_METHOD(FollowerTest, "Follower refuses routes to missing services") {
  auto Applied = Node->current();
  Sim.commit(true, [](document::MeshSnapshot &Mesh) { Mesh.Services.clear(); });
  Sim.run(base::Millis::seconds(5));
  CHECK(Node->current() == Applied);
  CHECK(Node->status().RefusedUpdates > 1);
  // Snapshots are resent with a backoff, not immediately.
  CHECK(Node->status().RefusedUpdates < 6);
  Sim.fill(3, 10, 20);
  waitConverged();
}

TEST_CASE_METHOD(FollowerTest, "Follower converges when updates overlap") {
  for (int I = 0; I < 400; ++I) {
    Sim.updateEndpoint(I % 20);
    Sim.run(base::Millis(static_cast<std::int64_t>(Sim.Random() % 7)));
  }
  waitConverged();
  CHECK(Node->status().RefusedUpdates == 0);
  // At most one update every 50 ms, over about 1,200 ms.
  CHECK(first().SentMessages[MessageType::Delta] < 40);
}

TEST_CASE_METHOD(FollowerTest,
                 "Follower switches from a silent control process") {
  Sim.dropMessages(first());
  Sim.updateEndpoint(1);
  auto Took = Sim.runUntil([&] { return Sim.converged(); });
  CHECK(isConnectedTo(1));
  WARN("switched from a silent process; converged after simulated ms "
       << Took.count());
}

// Guards against a node that abandons a running transfer because the messages
// behind it are late: each new connection begins the transfer from zero.
TEST_CASE_METHOD(FollowerTest,
                 "Follower keeps a connection during a long transfer") {
  Sim.closeConnections(second(), true);
  Sim.runUntil([&] { return isConnectedTo(0); });
  waitConverged();
  std::uint64_t Connections = Node->status().Connections;
  // 2,000 routes then take about 8 s, longer than the silence timeout.
  first().Links->BytesPerMs = 20;
  Sim.fill(3, 2000, 20);
  Sim.runUntil([&] { return Sim.converged(); }, base::Millis::seconds(12));
  CHECK(Node->status().Connections == Connections);
}

// Guards against a large configuration that is late on a link that requests
// have filled to nine tenths: 35 KB/s are left of 2.8 Mbit/s, and the users
// require it within 2 s.
TEST_CASE_METHOD(FollowerTest,
                 "Follower applies 1,640 new routes over a busy link in 2 s") {
  REQUIRE(isConnectedTo(0));
  std::size_t Compressed = first().CompressedMessages;
  first().Links->BytesPerMs = 35;
  Sim.commit(true, [&](document::MeshSnapshot &Mesh) {
    document::Route Entry = Mesh.Routes.begin()->second;
    for (int I = 0; I < 1640; ++I) {
      std::string Random = fmt::format("{:07x}", Sim.Random() & 0xfffffffU);
      Entry.Name = base::RouteName("r-" + Random);
      Entry.Host = Random.substr(3) + ".example";
      Entry.PathPrefix = "/" + Random.substr(1) + "/";
      Entry.Objective = base::Millis(800);
      Mesh.Routes.emplace(Entry.Name, Entry);
    }
  });
  auto Took = Sim.runUntil([&] { return Sim.converged(); });
  CHECK(Took <= base::Millis::seconds(2));
  CHECK(*Node->current() == *Sim.Latest);
  CHECK(first().CompressedMessages == Compressed + 1);
}

// Guards against a damaged update that is applied in part (P3).
TEST_CASE_METHOD(FollowerTest,
                 "Follower refuses all of a damaged compressed update") {
  std::size_t Damaged = 0;
  first().Tamper = [&](protocol::Frame &Message) {
    if (Message.Type == MessageType::CompressedUpdate && Damaged < 20)
      Message.Payload[(++Damaged * 97) % Message.Payload.size()] ^= 0x5a;
  };
  auto Applied = Node->current();
  Sim.fill(4, 300, 20);
  Sim.runUntil([&] { return Node->status().RefusedUpdates > 2; });
  CHECK(Node->current() == Applied);
  first().Tamper = nullptr;
  waitConverged();
}

// Guards against a connection that stays open without use because the process
// that it was to replace caught up while it was dialed.
TEST_CASE_METHOD(FollowerTest,
                 "Follower closes a late connection that is not needed") {
  REQUIRE(isConnectedTo(0));
  second().Links->Latency = base::Millis(1000);
  first().Log->Staleness = base::Millis(6000);
  auto Connected = [&] {
    auto Nodes = second().Service->nodes();
    return !Nodes.empty() && Nodes.front().Connected;
  };
  Sim.runUntil(Connected);
  first().Log->Staleness = {};
  Sim.run(base::Millis::seconds(6));
  CHECK(isConnectedTo(0));
  CHECK_FALSE(Connected());
}

// Guards against a node that never reaches control over a link on which a
// handshake takes longer than the time after which it tries the next process.
TEST_CASE_METHOD(FollowerTest, "Follower connects over a slow link") {
  for (auto &Process : Sim.Controls)
    Process->Links->Latency = base::Millis(500);
  Sim.closeConnections(first(), false);
  Sim.closeConnections(second(), false);
  Sim.updateEndpoint(1);
  Sim.runUntil([&] { return Sim.converged(); }, base::Millis::seconds(8));
}

// Guards against an unreachable process that delays the attempt at the next
// one, and against a second connection that stays open.
TEST_CASE_METHOD(FollowerTest,
                 "Follower keeps the first of two dialed connections") {
  first().Links->Latency = base::Millis(500);
  Sim.closeConnections(second(), true);
  Sim.closeConnections(first(), false);
  Sim.run(base::Millis(20));
  second().Down = false;
  Sim.updateEndpoint(1);
  Sim.runUntil([&] { return Sim.converged(); }, base::Millis::seconds(5));
  CHECK(isConnectedTo(1));
  Sim.run(base::Millis::seconds(8));
  CHECK(isConnectedTo(1));
  for (const auto &Status : first().Service->nodes())
    CHECK_FALSE(Status.Connected);
}

// Guards against nodes that stay with a partitioned control process, whose
// connections work although it receives no commits.
TEST_CASE_METHOD(FollowerTest, "Follower switches from a stale process") {
  Sim.closeConnections(second(), true);
  first().Lagging = true;
  first().Log->Staleness = base::Millis(6000);
  Sim.updateEndpoint(1);
  Sim.run(base::Millis::seconds(10));
  CHECK(isConnectedTo(0));
  second().Down = false;
  Sim.runUntil([&] { return isConnectedTo(1); }, base::Millis::seconds(90));
  waitConverged();
}

// Guards against nodes that stay for many seconds with a control process that
// is cut off from the majority. Users require nodes to regain contact with the
// majority within 3 s.
TEST_CASE_METHOD(FollowerTest,
                 "Follower switches from a stale process within 3 s") {
  auto &Lost = isConnectedTo(0) ? first() : second();
  Lost.Lagging = true;
  Lost.Log->Staleness = base::Millis(6000);
  Sim.updateEndpoint(1);
  auto Took = Sim.runUntil([&] { return Sim.converged(); });
  CHECK(Took <= base::Millis::seconds(3));
  CHECK(isConnectedTo(&Lost == &first() ? 1 : 0));
}

TEST_CASE_METHOD(FollowerTest,
                 "Follower receives a snapshot after missing 600 changes") {
  auto MissChanges = [&](int Changes) {
    Sim.closeConnections(first(), true);
    Sim.closeConnections(second(), true);
    for (int I = 0; I < Changes; ++I) {
      Sim.updateEndpoint(I % 20);
      Sim.run(base::Millis(60));
    }
    std::size_t Snapshots = second().SentMessages[MessageType::Snapshot];
    second().Down = false;
    waitConverged();
    return second().SentMessages[MessageType::Snapshot] - Snapshots;
  };
  CHECK(MissChanges(100) == 0);
  CHECK(MissChanges(600) == 1);
  CHECK(Node->status().RefusedUpdates == 0);
}

// Guards against a restarted node whose first version is older than one it
// applied before the restart (P1).
TEST_CASE_METHOD(FollowerTest,
                 "Follower without a snapshot waits for a confirmed read") {
  first().Log->ReadsSucceed = false;
  second().Log->ReadsSucceed = false;
  second().Lagging = true;
  Sim.updateEndpoint(1);
  Follower &Fresh = Sim.addNode("n2");
  Sim.run(base::Millis::seconds(20));
  CHECK_FALSE(Fresh.current());
  first().Log->ReadsSucceed = true;
  Sim.runUntil([&] { return Fresh.current() != nullptr; });
  CHECK(Fresh.current()->State == Sim.Latest->State);
}

TEST_CASE_METHOD(FollowerTest,
                 "Follower receives only the services it subscribed to") {
  base::ServiceName Zero("service-0000");
  base::ServiceName One("service-0001");
  Follower &Part = Sim.addNode("n2", {Zero});
  Sim.runUntil([&] { return Sim.converged(); });
  CHECK(*Part.current() == document::filterServices(*Sim.Latest, {Zero}));
  Sim.commit(false, [&](document::MeshSnapshot &Mesh) {
    Mesh.Endpoints.edit().begin()->second.Service = One;
  });
  Sim.runUntil([&] { return Sim.converged(); });
  CHECK(*Part.current() == document::filterServices(*Sim.Latest, {Zero}));
  CHECK(Part.status().RefusedUpdates == 0);
  document::Endpoint Own = Sim.endpoint(500, "n2");
  Own.Service = One;
  Part.publish(Own);
  Sim.runUntil([&] { return Part.current()->Endpoints.contains(Own.Id); });
  CHECK(*Part.current() == document::filterServices(*Sim.Latest, {Zero, One}));
}

// Guards against a connection that outlives its follower and keeps renewing the
// lease of the node.
TEST_CASE_METHOD(FollowerTest, "Follower stopped during a dial disconnects") {
  Follower &Brief = Sim.addNode("n2");
  Sim.run(base::Millis(1));
  Brief.stop();
  Sim.run(base::Millis::seconds(5));
  CHECK(Brief.status().Connections == 0);
  for (const auto &Status : first().Service->nodes())
    CHECK(Status.Connected == (Status.Node.value() == "n1"));
}

TEST_CASE_METHOD(FollowerTest, "NodeService reports status and convergence") {
  Sim.commit(true, [](document::MeshSnapshot &Mesh) {
    Mesh.Routes.edit().begin()->second.Timeout = base::Millis(7);
  });
  waitConverged();
  Sim.run(base::Millis::seconds(2));
  auto Status = first().Service->nodes().front();
  CHECK(Status.Node.value() == "n1");
  CHECK(Status.Connected);
  CHECK(Status.State == Sim.Latest->State);
  CHECK(Status.EntriesBehind == 0);
  CHECK(Status.BytesSent > 1000);
  auto Last = first().Service->convergence().back();
  CHECK(Last.Document == Sim.Latest->Document);
  REQUIRE(Last.Duration);
  CHECK(*Last.Duration <= base::Millis(10));
  std::map<std::string, double> Values;
  for (const auto &Family : first().Metrics->Collect())
    for (const auto &Metric : Family.metric)
      Values[Family.name] = Metric.counter.value + Metric.gauge.value +
                            static_cast<double>(Metric.histogram.sample_count);
  CHECK(Values["amaranth_control_nodes"] == 1);
  CHECK(Values["amaranth_control_snapshots_total"] == 1);
  CHECK(Values["amaranth_control_deltas_total"] == 1);
  CHECK(Values["amaranth_control_bytes_total"] ==
        static_cast<double>(Status.BytesSent));
  CHECK(Values["amaranth_control_convergence_ms"] >= 1);
}

} // namespace amaranth::follower::testing
