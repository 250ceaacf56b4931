#include "Seed.h"
#include "amaranth/base/Error.h"
#include "amaranth/control/Commands.h"

#include <catch2/catch.hpp>

#include <random>

namespace amaranth::control {

class CommandsTest {
protected:
  CommandsTest() {
    document::Endpoint Entry;
    Entry.Id = base::EndpointId("e1");
    Entry.NodeAddress = {"10.0.0.1", 80};
    Entry.Slots = 9;
    Entry.State = document::EndpointState::Ready;
    StoredResponse Response{200, {{"a", "b"}}, std::string("x\0y", 3)};
    base::ServiceName Service("s");
    All = {ApplySections{base::OperatorName("o"),
                         {base::TeamName("t")},
                         base::OperationId("op"),
                         {{"route a", base::Revision(4), "owner = t\n"},
                          {"route b", base::Revision(5), std::nullopt}}},
           PutEndpoint{Entry},
           ExpireEndpoints{{{base::EndpointId("e1"), 3, 4}}},
           Claim{Service, "k", 7, "a"},
           FinishClaim{Service, "k", "a", Response},
           ReleaseClaim{Service, "k", "a"},
           RolloutDecision{Service, base::Revision(3), 2,
                           RolloutPhase::Stepping, 10, 1, "why"},
           ReportCrash{Service, base::EndpointId("e1"), {1, 2}, 3},
           BeginSuspectRun{Service, 1, "a"},
           EndSuspectRun{Service, 1, "a", true},
           LiftQuarantine{base::OperatorName("o"), 5},
           SetEvacuation{base::OperatorName("o"), base::AvailabilityZone("a"),
                         true, base::LogIndex(7), true}};
  }

  std::vector<Command> All;
};

TEST_CASE_METHOD(CommandsTest,
                 "Commands round-trip through the binary encoding") {
  for (const Command &Value : All) {
    base::Bytes Data = encodeCommand(Value);
    Command Read = decodeCommand(Data);
    CHECK(Read.index() == Value.index());
    CHECK(encodeCommand(Read) == Data);
  }
  auto Apply = std::get<ApplySections>(decodeCommand(encodeCommand(All[0])));
  CHECK(Apply.Changes.at(0).Body == "owner = t\n");
  CHECK_FALSE(Apply.Changes.at(1).Body.has_value());
}

TEST_CASE("CommandResult round-trips through the binary encoding") {
  CommandResult Value{ResultCode::Replay,
                      {"m"},
                      base::DocumentVersion(3),
                      {{"route a", base::Revision(2)}},
                      StoredResponse{201, {{"x", "y"}}, "body"}};
  base::Bytes Data = encodeResult(Value);
  CommandResult Read = decodeResult(Data);
  CHECK(Read.Stored->Body == "body");
  CHECK(encodeResult(Read) == Data);
}

// Guards against out-of-bounds reads: a replica must tolerate any bytes that a
// peer sends.
TEST_CASE_METHOD(CommandsTest,
                 "Commands malformed bytes are refused or decoded") {
  unsigned Seed = testing::seed();
  INFO(testing::reproductionHint(Seed));
  std::mt19937 Random(Seed);
  unsigned Refused = 0;
  for (unsigned Round = 0; Round < 3000; ++Round) {
    base::Bytes Data = encodeCommand(All[Round % All.size()]);
    for (unsigned Flip = 0; Flip < 1 + Round % 3; ++Flip)
      Data[Random() % Data.size()] = static_cast<std::uint8_t>(Random());
    if (Round % 4 == 0)
      Data.resize(Random() % Data.size());
    try {
      decodeCommand(Data);
      decodeResult(Data);
    } catch (const base::ProtocolError &) {
      ++Refused;
    }
  }
  CHECK(Refused > 500);
}

TEST_CASE("Commands unknown result code is refused") {
  CommandResult Value;
  Value.Code = static_cast<ResultCode>(99);
  CHECK_THROWS_AS(decodeResult(encodeResult(Value)), base::ProtocolError);
}

} // namespace amaranth::control
