#include "Simulation.h"
#include "amaranth/base/Invariant.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

namespace amaranth::follower::testing {

using protocol::MessageType;

namespace {

void addNodes(Simulation &Sim, int Count) {
  for (int I = 0; I < Count; ++I)
    Sim.addNode(fmt::format("n{:04}", I));
}

std::uint64_t bytesSent(const Simulation &Sim) {
  std::uint64_t Sum = 0;
  for (const auto &Process : Sim.Controls)
    for (const auto &Status : Process->Service->nodes())
      Sum += Status.BytesSent;
  return Sum;
}

} // namespace

// Guards against a control process that exhausts memory and CPU on snapshots
// when all nodes of a zone reconnect at the same time.
TEST_CASE("NodeService limits concurrent snapshots in a reconnect storm") {
  Simulation Sim(1);
  Sim.fill(260, 1000, 1800);
  auto &Process = *Sim.Controls[0];
  addNodes(Sim, 200);
  auto Took = Sim.runUntil([&] { return Sim.converged(); });
  std::cout << "200 new followers, 1800 endpoints: converged after "
            << Took.count() << " simulated ms, peak snapshots "
            << Process.Service->peakSnapshots() << ", retry-after "
            << Process.SentMessages[MessageType::RetryAfter] << "\n";
  CHECK(Process.Service->peakSnapshots() == 32);
  CHECK(Process.SentMessages[MessageType::Snapshot] == 200);
  CHECK(Process.SentMessages[MessageType::RetryAfter] > 0);
  Sim.run(base::Millis(10));
  CHECK(Process.Service->runningSnapshots() == 0);
  // All 200 nodes missed too many changes for a delta.
  Sim.closeConnections(Process, true);
  for (int I = 0; I < 600; ++I)
    Sim.updateEndpoint(I);
  Sim.run(base::Millis::seconds(10));
  Process.Down = false;
  Took = Sim.runUntil([&] { return Sim.converged(); });
  std::cout << "200 followers after an outage of 10 s and 600 changes: "
               "converged after "
            << Took.count() << " simulated ms\n";
  CHECK(Process.Service->peakSnapshots() == 32);
  CHECK(Took < base::Millis::seconds(18));
}

TEST_CASE(
    "NodeService bytes per node and change are independent of the node count") {
  for (int Count : {25, 50, 100, 200}) {
    Simulation Sim(1);
    // Without a leader, the endpoints of nodes that are not simulated do not
    // expire.
    Sim.Controls[0]->Log->Leader = false;
    Sim.fill(60, 200, 400);
    addNodes(Sim, Count);
    Sim.runUntil([&] { return Sim.converged(); });
    Sim.run(base::Millis::seconds(2));
    std::uint64_t Before = bytesSent(Sim);
    constexpr int Changes = 20;
    base::Millis Slowest;
    for (int I = 0; I < Changes; ++I) {
      Sim.updateEndpoint(I);
      Slowest =
          std::max(Slowest, Sim.runUntil([&] { return Sim.converged(); }));
      Sim.run(base::Millis(1000) - Slowest);
    }
    Sim.run(base::Millis::seconds(1));
    double PerChange =
        static_cast<double>(bytesSent(Sim) - Before) / Count / Changes;
    std::cout << Count << " nodes: " << PerChange
              << " bytes per node and change at 1 change/s, including "
                 "Currency messages; slowest convergence "
              << Slowest.count() << " simulated ms\n";
    CHECK(PerChange < 600);
    CHECK(Sim.Controls[0]->SentMessages[MessageType::Delta] ==
          static_cast<std::size_t>(Count) * Changes);
  }
}

// Injects random faults and checks that no invariant fails, that every node
// converges after the faults, and that nodes apply only committed content.
TEST_CASE("Follower random faults never break an invariant") {
  const char *SeedText = std::getenv("AMARANTH_SEED");
  std::uint64_t FirstSeed = SeedText ? std::strtoull(SeedText, nullptr, 10) : 1;
  std::uint64_t Checks = base::invariantChecks();
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + (SeedText ? 1 : 20);
       ++Seed) {
    INFO("repeat with AMARANTH_SEED=" << Seed << " follower_test \"Follower "
                                      << "random faults*\"");
    Simulation Sim(3, Seed);
    Sim.fill(3, 10, 30);
    addNodes(Sim, 8);
    std::map<std::uint64_t, std::uint64_t> Digests;
    std::map<std::size_t, std::uint64_t> AppliedStates;
    for (int Step = 0; Step < 300; ++Step) {
      auto &Process = *Sim.Controls[Sim.Random() % 3];
      switch (Sim.Random() % 12) {
      case 0:
        Sim.closeConnections(Process, Sim.Random() % 2 == 0);
        break;
      case 1:
        Process.Lagging = true;
        break;
      case 2:
        Sim.deliverLatest(Process);
        break;
      case 3:
        Process.Log->Staleness = base::Millis(Sim.Random() % 2 == 0 ? 0 : 9000);
        break;
      case 4:
        Process.Log->ReadsSucceed = !Process.Log->ReadsSucceed;
        break;
      case 5:
        Process.Tamper = [&](protocol::Frame &Message) {
          if ((Message.Type == MessageType::Delta ||
               Message.Type == MessageType::Snapshot) &&
              Sim.Random() % 4 == 0)
            Message.Payload[Sim.Random() % Message.Payload.size()] ^= 1;
        };
        break;
      case 6:
        Process.Down = false;
        Process.Tamper = nullptr;
        break;
      case 7:
        Sim.commit(true, [&](document::MeshSnapshot &Mesh) {
          Mesh.Routes.edit().begin()->second.Timeout =
              base::Millis(static_cast<std::int64_t>(Sim.Random() % 9));
        });
        break;
      case 8:
        Sim.Nodes[Sim.Random() % 8].NodeFollower->publish(
            Sim.endpoint(static_cast<int>(Sim.Random() % 4), "n0000"));
        break;
      default:
        Sim.updateEndpoint(static_cast<int>(Sim.Random() % 30));
      }
      Digests[Sim.Latest->State.value()] = Sim.Latest->digest();
      Sim.run(base::Millis(static_cast<std::int64_t>(Sim.Random() % 400)));
      Digests[Sim.Latest->State.value()] = Sim.Latest->digest();
      for (std::size_t I = 0; I < Sim.Nodes.size(); ++I) {
        auto Mesh = Sim.Nodes[I].NodeFollower->current();
        if (!Mesh)
          continue;
        REQUIRE(Mesh->State.value() >= AppliedStates[I]);
        AppliedStates[I] = Mesh->State.value();
        if (auto Known = Digests.find(AppliedStates[I]); Known != Digests.end())
          REQUIRE(Mesh->digest() == Known->second);
      }
    }
    for (auto &Process : Sim.Controls) {
      Process->Down = false;
      Process->Tamper = nullptr;
      Process->Log->ReadsSucceed = true;
      Process->Log->Staleness = {};
      Sim.deliverLatest(*Process);
    }
    Sim.runUntil([&] { return Sim.converged(); }, base::Millis::seconds(120));
    for (const auto &Node : Sim.Nodes)
      REQUIRE(*Node.NodeFollower->current() == *Sim.Latest);
  }
  CHECK(base::invariantChecks() > Checks);
}

} // namespace amaranth::follower::testing
