#include "Simulation.h"
#include "amaranth/control/ControlState.h"
#include "amaranth/document/RouteIndex.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

namespace asio = boost::asio;

namespace amaranth::follower::testing {

/// Runs a follower against `ControlState` instead of the simulated state.
class ControlStateFollowTest {
protected:
  ControlStateFollowTest() : Sim(1) {
    Sim.StateMachine = std::make_unique<control::ControlState>();
    control::ApplySections Request;
    Request.Operator = base::OperatorName("ana");
    Request.Teams = {base::TeamName("foto")};
    Request.Operation = base::OperationId("op-1");
    Request.Changes = {
        {"version galerie/v1", base::Revision(), "owner = foto\n"},
        {"service galerie", base::Revision(), "owner = foto\nversion = v1\n"},
        {"route galerie", base::Revision(),
         "owner = foto\npath = /g\nservice = galerie\ntimeout = 2s\n"}};
    auto Result = Sim.apply(control::Command(Request));
    INFO((Result.Messages.empty() ? "" : Result.Messages.front()));
    REQUIRE(Result.Code == control::ResultCode::Accepted);
    Node = &Sim.addNode("n1");
  }

  control::ResultCode call(control::Command Request) {
    std::optional<control::ResultCode> Code;
    asio::co_spawn(
        Sim.Context,
        [this, Request, &Code]() -> asio::awaitable<void> {
          auto Result = co_await Node->call(Request, base::Millis(1000));
          Code = Result.Code;
        },
        asio::detached);
    Sim.runUntil([&] { return Code.has_value(); });
    return *Code;
  }
  document::EndpointState state(const document::Endpoint &Entry) {
    return Node->current()->Endpoints.at(Entry.Id).State;
  }

  Simulation Sim;
  Follower *Node = nullptr;
};

TEST_CASE_METHOD(
    ControlStateFollowTest,
    "Follower receives the document and endpoints of ControlState") {
  document::Endpoint Own = Sim.endpoint(1, "n1");
  Own.Service = base::ServiceName("galerie");
  Node->publish(Own);
  Sim.runUntil([&] { return Node->status().EndpointsCommitted; });
  Sim.runUntil([&] { return Sim.converged(); });
  CHECK(document::RouteIndex(Node->current()).match("", "/g/1"));
  CHECK(state(Own) == document::EndpointState::Ready);
  CHECK(*Node->current() == *Sim.Latest);
  // The lease of the node expires while the control process is unreachable.
  Sim.closeConnections(*Sim.Controls[0], true);
  Sim.run(base::Millis::seconds(11));
  CHECK(Sim.Latest->Endpoints.at(Own.Id).State ==
        document::EndpointState::Unreachable);
  Sim.Controls[0]->Down = false;
  Sim.run(base::Millis::seconds(10));
  CHECK(state(Own) == document::EndpointState::Ready);
  Own.State = document::EndpointState::Draining;
  Node->publish(Own);
  Sim.run(base::Millis(100));
  CHECK(state(Own) == document::EndpointState::Draining);
}

TEST_CASE_METHOD(ControlStateFollowTest,
                 "Claim of a second attempt is rejected as taken") {
  control::Claim Request{base::ServiceName("galerie"), "key", 7, "attempt-1"};
  CHECK(call(Request) == control::ResultCode::Accepted);
  CHECK(call(Request) == control::ResultCode::Accepted);
  Request.Attempt = "attempt-2";
  CHECK(call(Request) == control::ResultCode::Taken);
}

} // namespace amaranth::follower::testing
