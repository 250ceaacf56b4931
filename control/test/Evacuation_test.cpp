#include "FakeLog.h"
#include "StateFixture.h"
#include "amaranth/control/DocumentService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace amaranth::control {

class EvacuationTest : public StateFixture {
protected:
  EvacuationTest() {
    putEndpoint("a");
    Time += 60'000;
  }

  void putEndpoint(const std::string &Zone) {
    document::Endpoint Entry;
    Entry.Id = base::EndpointId("e-" + Zone);
    Entry.Node = base::NodeId(Zone);
    Entry.NodeAddress = {"10.0.0.1", 1};
    Entry.Service = base::ServiceName("s");
    Entry.Version = base::VersionName("v1");
    Entry.Zone = base::AvailabilityZone(Zone);
    Entry.Slots = 1;
    Entry.State = document::EndpointState::Ready;
    Entry.Incarnation = 1;
    REQUIRE(run(PutEndpoint{Entry}).Code == ResultCode::Accepted);
  }

  ResultCode order(bool Active, const std::string &Operator = "ana",
                   const std::string &Zone = "a",
                   std::optional<std::uint64_t> Seen = {}) {
    return run(SetEvacuation{base::OperatorName(Operator),
                             base::AvailabilityZone(Zone), Active,
                             base::LogIndex(Seen.value_or(Index)), false})
        .Code;
  }

  bool evacuated(const std::string &Zone = "a") const {
    return State.mesh()->EvacuatedZones.contains(base::AvailabilityZone(Zone));
  }
};

// Guards against an order that is lost when it is sent again or with the
// process that took it, and against one that comes back after it was undone.
TEST_CASE_METHOD(EvacuationTest, "Evacuation holds until it is taken back") {
  CHECK(order(true) == ResultCode::Accepted);
  CHECK(evacuated());
  auto Before = State.mesh();
  CHECK(order(true) == ResultCode::Accepted);
  CHECK(State.mesh() == Before);
  ControlState Restored;
  Restored.restore(State.snapshot());
  CHECK(Restored.mesh()->EvacuatedZones == Before->EvacuatedZones);
  CHECK(Restored.snapshot() == State.snapshot());
  CHECK(Restored.evacuations().at(0).Operator == base::OperatorName("ana"));
  CHECK(order(false) == ResultCode::Accepted);
  CHECK_FALSE(evacuated());
  // One operator who changes his mind at once.
  CHECK(order(true) == ResultCode::Accepted);
  CHECK(evacuated());
  CHECK(State.audit(1).at(0).Result == "evacuated");
  CHECK(State.audit(2).at(1).Result == "taken-back");
}

// Guards against a late copy of an order that undoes a later one: one that was
// under way at a lost leader, and a resend by an operator whose order was
// answered by another operator.
TEST_CASE_METHOD(EvacuationTest, "Late copy of an order has no effect") {
  std::uint64_t Seen = Index;
  CHECK(order(true, "ana", "a", Seen) == ResultCode::Accepted);
  CHECK(order(false) == ResultCode::Accepted);
  CHECK(order(true, "ana", "a", Seen) == ResultCode::Accepted);
  CHECK_FALSE(evacuated());
  Time += 60'000;
  CHECK(order(true) == ResultCode::Accepted);
  CHECK(order(false, "bo") == ResultCode::Accepted);
  Time += 29'000;
  CHECK(order(true) == ResultCode::Accepted);
  CHECK_FALSE(evacuated());
  Time += 2'000;
  CHECK(order(true) == ResultCode::Accepted);
  CHECK(evacuated());
}

TEST_CASE_METHOD(EvacuationTest, "Only zones that were named are evacuated") {
  CHECK(order(true, "ana", "z") == ResultCode::Invalid);
  CHECK(order(false, "ana", "z") == ResultCode::Invalid);
  CHECK(order(true, "ana", "no zone") == ResultCode::Invalid);
  CHECK(State.audit(1).at(0).Result == "refused");
  // All endpoints of the zone have left and are forgotten.
  run(ExpireEndpoints{{{base::EndpointId("e-a"), 9, 9}}});
  Time += 2 * 86'400'000LL;
  CHECK(order(true) == ResultCode::Accepted);
  // Its process knows the zone, although no endpoint has named it.
  CHECK(run(SetEvacuation{base::OperatorName("ana"),
                          base::AvailabilityZone("new"), true,
                          base::LogIndex(Index), true})
            .Code == ResultCode::Accepted);
  CHECK(evacuated("new"));
}

// Guards against an evacuation that is refused in the first seconds of a
// deployment.
TEST_CASE_METHOD(StateFixture, "Any zone is evacuated after the start") {
  SetEvacuation Request{base::OperatorName("ana"), base::AvailabilityZone("b"),
                        true, base::LogIndex(0), false};
  CHECK(run(Request).Code == ResultCode::Accepted);
  CHECK(State.mesh()->EvacuatedZones.size() == 1);
}

// Guards against an order that is answered as done, or as refused, when its
// outcome is open because the leader was lost.
TEST_CASE("Evacuation order without a certain outcome is sent again") {
  boost::asio::io_context Context;
  ControlState State;
  FakeLog Log(Context.get_executor(), State);
  FakeStatusSource Nodes;
  DocumentService Service(Log, State, Nodes, base::AvailabilityZone("own"), {});
  auto Order = [&](const std::string &Zone) {
    std::optional<ChangeResult> Result;
    boost::asio::co_spawn(Context,
                          Service.setEvacuation(base::OperatorName("ana"),
                                                base::AvailabilityZone(Zone),
                                                true),
                          [&](std::exception_ptr, ChangeResult Value) {
                            Result = std::move(Value);
                          });
    Context.restart();
    Context.run();
    REQUIRE(Result.has_value());
    return Result->Outcome;
  };
  Log.Behaviour = FakeLog::Mode::NotLeader;
  CHECK(Order("a") == ChangeOutcome::Unavailable);
  CHECK(State.evacuations().empty());
  Log.Behaviour = FakeLog::Mode::AppliedThenTimeout;
  CHECK(Order("a") == ChangeOutcome::Unknown);
  Log.Behaviour = FakeLog::Mode::Normal;
  CHECK(Order("a") == ChangeOutcome::Accepted);
  CHECK(Order("own") == ChangeOutcome::Accepted);
  CHECK(State.evacuations().size() == 2);
}

} // namespace amaranth::control
