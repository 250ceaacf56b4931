#include "Simulation.h"
#include "amaranth/control/NodeService.h"
#include "amaranth/follower/Follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <chrono>

namespace asio = boost::asio;

namespace amaranth::follower::testing {

// Covers the handshake and the heartbeats, which in-memory channels do not
// have.
TEST_CASE("Follower over TCP receives updates and keeps its connection") {
  Simulation Sim(1);
  Sim.fill(60, 300, 600);
  protocol::Listener Server(
      Sim.Context.get_executor(), {"127.0.0.1", 0},
      {protocol::Role::Control, "1", base::AvailabilityZone("z")},
      {{protocol::Role::Node, "secret"}}, Sim.Time);
  auto &Service = *Sim.Controls[0]->Service;
  asio::co_spawn(Sim.Context,
                 Server.serve([&](std::shared_ptr<protocol::Channel> Link) {
                   return Service.serve(std::move(Link));
                 }),
                 asio::detached);
  protocol::TcpDialer Dial(
      {protocol::Role::Node, "n1", base::AvailabilityZone("z")},
      {{protocol::Role::Node, "secret"}}, Sim.Time);
  FollowerSettings Settings;
  Settings.Node = base::NodeId("n1");
  Settings.ControlProcesses = {{Server.local(), base::AvailabilityZone("z")}};
  prometheus::Registry Metrics;
  Follower Node(Settings, Sim.Context.get_executor(), Sim.Time, Dial, Metrics);
  Node.start();
  // Advance the simulated time slowly, because sockets take real time. The time
  // limit only ends a test that would otherwise hang.
  auto RunUntil = [&](const std::function<bool()> &Done) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!Done() && std::chrono::steady_clock::now() < End) {
      Sim.Time.advance(base::Millis(20));
      Sim.Context.restart();
      Sim.Context.run_for(std::chrono::milliseconds(2));
    }
    REQUIRE(Done());
  };
  RunUntil([&] { return Node.current() && *Node.current() == *Sim.Latest; });
  auto Later = Sim.Time.now() + base::Millis::seconds(8);
  RunUntil([&] { return Sim.Time.now() > Later; });
  Sim.updateEndpoint(3);
  Node.publish(Sim.endpoint(900, "n1"));
  RunUntil([&] {
    return *Node.current() == *Sim.Latest && Node.status().EndpointsCommitted;
  });
  CHECK(Node.status().Connections == 1);
  Node.stop();
  Server.stop();
  RunUntil([&] { return !Service.nodes().front().Connected; });
}

} // namespace amaranth::follower::testing
