#include "Simulation.h"
#include "amaranth/base/Invariant.h"

#include <catch2/catch.hpp>

namespace amaranth::follower::testing {

TEST_CASE("Follower fresh node gets the snapshot and then deltas") {
  Simulation Sim(1);
  Sim.fill(3, 10, 20);
  Follower &Node = Sim.addNode("n1");
  Sim.runUntil([&] { return Sim.converged(); });
  CHECK(*Node.current() == *Sim.Newest);
  auto Before = base::invariantChecks();
  Sim.commit(false, [](document::MeshSnapshot &Mesh) {
    Mesh.Endpoints.erase(Mesh.Endpoints.begin());
  });
  Sim.runUntil([&] { return Sim.converged(); });
  CHECK(*Node.current() == *Sim.Newest);
  CHECK(base::invariantChecks() > Before);
  CHECK(Node.status().Refused == 0);
}

} // namespace amaranth::follower::testing
