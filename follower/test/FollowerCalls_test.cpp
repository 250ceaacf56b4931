#include "Simulation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::follower::testing {

class FollowerCallsTest {
protected:
  FollowerCallsTest() : Sim(1) {
    Sim.fill(3, 10, 20);
    Node = &Sim.addNode("n1");
    Sim.runUntil([&] { return Sim.converged(); });
  }

  Simulation::Control &control() { return *Sim.Controls[0]; }

  /// Starts a call and appends its outcome to `Outcomes`.
  void start(control::Command Request = control::Claim{}) {
    asio::co_spawn(
        Sim.Context,
        [this, Request]() -> asio::awaitable<void> {
          std::string Outcome;
          try {
            auto Result = co_await Node->call(Request, base::Millis(1000));
            Outcome = Result.Code == control::ResultCode::Accepted ? "accepted"
                                                                   : "refused";
          } catch (const replication::NotLeader &) {
            Outcome = "not applied";
          } catch (const base::TimeoutError &) {
            Outcome = "unknown";
          }
          Outcomes.push_back(Outcome);
        },
        asio::detached);
  }
  std::string finish() {
    auto Took = Sim.runUntil([&] { return !Outcomes.empty(); });
    CHECK(Took <= base::Millis(1010));
    std::string Outcome = Outcomes.back();
    Outcomes.clear();
    return Outcome;
  }
  bool committed(const document::Endpoint &Entry,
                 document::EndpointState State) {
    auto Found = Sim.Latest->Endpoints.find(Entry.Id);
    return Found != Sim.Latest->Endpoints.end() && Found->second.State == State;
  }

  Simulation Sim;
  Follower *Node = nullptr;
  std::vector<std::string> Outcomes;
};

// Guards against a call that fails as "not applied" although its claim may have
// been committed: the node would then refuse the request as "not run" (P6, P7).
TEST_CASE_METHOD(FollowerCallsTest, "call outcome for each point of failure") {
  SECTION("reply received") {
    start();
    CHECK(finish() == "accepted");
  }
  SECTION("never sent") {
    Sim.closeConnections(control(), true);
    start();
    CHECK(finish() == "not applied");
    CHECK(control().Log->Proposals == 0);
  }
  SECTION("sent after a reconnect within the timeout") {
    Sim.closeConnections(control(), false);
    start();
    CHECK(finish() == "accepted");
  }
  SECTION("no leader") {
    control().Log->Behaviour = FakeLog::Mode::NotLeader;
    start();
    CHECK(finish() == "not applied");
  }
  SECTION("no majority") {
    control().Log->Behaviour = FakeLog::Mode::Hang;
    start();
    CHECK(finish() == "unknown");
  }
  SECTION("committed but no reply") {
    control().Log->Behaviour = FakeLog::Mode::CommitAndHang;
    start();
    CHECK(finish() == "unknown");
    CHECK(control().Log->Proposals == 1);
  }
  SECTION("connection closed before the request arrives") {
    start();
    Sim.run(base::Millis(0));
    Sim.closeConnections(control(), true);
    CHECK(finish() == "unknown");
  }
  SECTION("connection closed while the request is in progress") {
    start();
    Sim.run(base::Millis(2));
    CHECK(control().Log->Proposals == 1);
    Sim.closeConnections(control(), true);
    CHECK(finish() == "unknown");
  }
  SECTION("request lost without an error") {
    Sim.dropMessages(control());
    start();
    CHECK(finish() == "unknown");
  }
}

TEST_CASE_METHOD(FollowerCallsTest,
                 "call rejects commands that nodes may not send") {
  start(control::ApplySections{});
  CHECK(finish() == "refused");
  start(control::RolloutDecision{});
  CHECK(finish() == "refused");
  start(control::PutEndpoint{Sim.endpoint(1, "other")});
  CHECK(finish() == "refused");
  CHECK(control().Log->Proposals == 0);
}

TEST_CASE_METHOD(FollowerCallsTest,
                 "call above MaxCallsInFlight is not applied") {
  control().Log->Behaviour = FakeLog::Mode::Hang;
  for (int I = 0; I < 300; ++I)
    start();
  Sim.run(base::Millis(500));
  CHECK(Outcomes == std::vector<std::string>(44, "not applied"));
  Sim.run(base::Millis(600));
  CHECK(control().Log->Proposals == 256);
  CHECK(std::count(Outcomes.begin(), Outcomes.end(), "unknown") == 256);
}

TEST_CASE_METHOD(FollowerCallsTest, "publish resends until committed") {
  auto Entry = Sim.endpoint(100, "n1");
  control().Log->Behaviour = FakeLog::Mode::NotLeader;
  Node->publish(Entry);
  Sim.run(base::Millis::seconds(5));
  CHECK_FALSE(Node->status().EndpointsCommitted);
  control().Log->Behaviour = FakeLog::Mode::Commit;
  Sim.closeConnections(control(), false);
  Sim.runUntil([&] { return Node->status().EndpointsCommitted; });
  CHECK(committed(Entry, document::EndpointState::Ready));
  Sim.closeConnections(control(), false);
  Sim.run(base::Millis::seconds(10));
  CHECK(Sim.EndpointUpdates == 1);
}

// Guards against a node that changes the endpoint of another node.
TEST_CASE_METHOD(FollowerCallsTest, "publish for another node is refused") {
  Node->publish(Sim.endpoint(100, "n2"));
  Sim.run(base::Millis::seconds(5));
  CHECK_FALSE(Node->status().EndpointsCommitted);
  CHECK(control().Log->Proposals == 0);
}

TEST_CASE_METHOD(FollowerCallsTest,
                 "Leases of 300 nodes expire and are renewed after an outage") {
  std::vector<document::Endpoint> Entries;
  for (int I = 0; I < 300; ++I) {
    std::string Name = "m" + std::to_string(I);
    Entries.push_back(Sim.endpoint(1000 + I, Name));
    Sim.addNode(Name).publish(Entries.back());
  }
  auto All = [&](document::EndpointState State) {
    return [&, State] {
      return std::all_of(
          Entries.begin(), Entries.end(),
          [&](const auto &Entry) { return committed(Entry, State); });
    };
  };
  Sim.runUntil(All(document::EndpointState::Ready));
  Sim.run(base::Millis::seconds(20));
  CHECK(All(document::EndpointState::Ready)());
  std::size_t Proposals = control().Log->Proposals;
  Sim.closeConnections(control(), true);
  Sim.run(base::Millis::seconds(7));
  CHECK(All(document::EndpointState::Ready)());
  // The 300 endpoints fit into two commands. The 20 endpoints of nodes that
  // never connected expired before.
  auto Took = Sim.runUntil(All(document::EndpointState::Unreachable));
  CHECK(Took <= base::Millis::seconds(4));
  CHECK(control().Log->Proposals == Proposals + 2);
  control().Down = false;
  Sim.runUntil(All(document::EndpointState::Ready));
  Sim.runUntil([&] { return Sim.converged(); });
}

TEST_CASE("Evidence sent to another process is aggregated at the leader") {
  Simulation Sim(2);
  Sim.fill(3, 10, 20);
  Sim.Controls[0]->Down = true;
  Follower &Node = Sim.addNode("n1");
  Sim.runUntil([&] { return Sim.converged(); });
  rollout::EvidenceReport Report;
  rollout::EvidenceKey Key{base::ServiceName("service-0001"),
                           base::VersionName("v1"), base::RouteName()};
  // More keys than one message can hold.
  for (int I = 0; I < 2500; ++I) {
    Key.Route = base::RouteName("route-" + std::to_string(I));
    Report.Counts[Key].add(true, base::Millis(9));
  }
  for (int I = 0; I < 10; ++I) {
    Node.report(Report);
    Sim.run(base::Millis(300));
  }
  Sim.run(base::Millis::seconds(3));
  const auto &Leader = *Sim.Controls[0]->Service;
  auto Sums = Leader.evidence().countsSince(Key.Service, {});
  CHECK(Sums.size() == 2500);
  CHECK(Sums[Key].Errors == 10);
  CHECK(Leader.leases().lastHeard(base::NodeId("n1")));
}

} // namespace amaranth::follower::testing
