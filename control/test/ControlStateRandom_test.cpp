#include "Seed.h"
#include "StateFixture.h"
#include "amaranth/base/Error.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

namespace amaranth::control {

/// Generates random commands over a small set of names, so that they often
/// affect the same objects.
class ControlStateRandomTest : protected StateFixture {
protected:
  std::uint64_t randomBelow(std::uint64_t Count) { return Random() % Count; }

  std::string randomAttempt() { return "a" + std::to_string(randomBelow(4)); }
  /// Returns the attempt that holds the claim in most cases, else a random one.
  std::string pickClaimHolder(const std::string &Key) {
    auto It = ClaimHolders.find(Key);
    return It == ClaimHolders.end() || randomBelow(4) == 0 ? randomAttempt()
                                                           : It->second.first;
  }
  std::string randomKey() { return "k" + std::to_string(randomBelow(6)); }
  std::string randomVersion() {
    return "v" + std::to_string(1 + randomBelow(3));
  }

  std::uint64_t revisionOf(const std::string &Name) {
    if (randomBelow(8) == 0)
      return randomBelow(Index + 1);
    for (const StoredSection &Section : State.sections())
      if (Section.Name == Name)
        return Section.Rev.value();
    return 0;
  }

  SectionChange randomChange() {
    static const std::vector<std::string> Names = {
        "rollout plati", "version plati/v1", "version plati/v4",
        "service plati", "route pay"};
    const std::string &Name = Names[randomBelow(Names.size())];
    std::uint64_t Expected = revisionOf(Name);
    if (randomBelow(4) == 0)
      return removal(Name, Expected);
    std::string Note = std::to_string(randomBelow(3));
    if (Name == Names[0])
      return put(Name,
                 rolloutBody(randomVersion(), randomVersion()) +
                     "min-requests = 1" + Note + "\n",
                 Expected);
    if (Name == Names[3])
      return put(Name, "owner = studio\nversion = " + randomVersion(),
                 Expected);
    if (Name == Names[4])
      return put(Name,
                 "owner = studio\npath = /" + Note +
                     "\nservice = plati\ntimeout = 1s",
                 Expected);
    return put(Name, "owner = studio\nnote = " + Note, Expected);
  }

  Command randomApply() {
    ApplySections Request;
    Request.Operator = base::OperatorName("ana");
    Request.Teams = {
        base::TeamName(randomBelow(10) == 0 ? "archive" : "studio")};
    Request.Operation =
        base::OperationId("r" + std::to_string(randomBelow(2000)));
    for (std::uint64_t Count = 1 + randomBelow(2); Count > 0; --Count)
      Request.Changes.push_back(randomChange());
    return Request;
  }

  Command randomDecision() {
    RolloutDecision Decision;
    Decision.Service = Plati;
    Decision.Phase = static_cast<RolloutPhase>(1 + randomBelow(5));
    Decision.Share = static_cast<std::uint32_t>(randomBelow(1'100'000));
    for (const RolloutStatus &Status : State.rollouts()) {
      Decision.Section = Status.Section;
      Decision.ExpectedEpoch = Status.Epoch - (randomBelow(5) == 0 ? 1 : 0);
    }
    return Decision;
  }

  Command randomEndpoint() {
    document::Endpoint Entry;
    Entry.Id = base::EndpointId("e" + std::to_string(randomBelow(3)));
    Entry.Node = base::NodeId("n");
    Entry.NodeAddress = {"10.0.0.1", 80};
    Entry.Service =
        base::ServiceName(randomBelow(4) == 0 ? "unknown" : "plati");
    Entry.Version = base::VersionName(randomVersion());
    Entry.Slots = static_cast<std::uint32_t>(randomBelow(3));
    Entry.Sequence = randomBelow(50);
    Entry.State = static_cast<document::EndpointState>(1 + randomBelow(3));
    return PutEndpoint{Entry};
  }

  Command randomCommand() {
    switch (randomBelow(10)) {
    case 0:
    case 1:
      return randomApply();
    case 2:
      return randomDecision();
    case 3:
      return randomEndpoint();
    case 4:
      return ExpireEndpoints{
          {{base::EndpointId("e" + std::to_string(randomBelow(3))), 0,
            randomBelow(50)}}};
    case 5: {
      std::string Key = randomKey();
      return FinishClaim{Plati, Key, pickClaimHolder(Key),
                         StoredResponse{200, {}, randomAttempt()}};
    }
    case 6: {
      std::string Key = randomKey();
      return ReleaseClaim{Plati, Key, pickClaimHolder(Key)};
    }
    case 7:
      return ReportCrash{Plati,
                         base::EndpointId("e1"),
                         {randomBelow(4), randomBelow(4)},
                         randomBelow(10)};
    case 8:
      return randomBelow(2) == 0
                 ? Command(
                       BeginSuspectRun{Plati, randomBelow(4), randomAttempt()})
                 : Command(EndSuspectRun{Plati, randomBelow(4), randomAttempt(),
                                         randomBelow(2) == 0});
    default:
      // Uses a new attempt each time, because a released one cannot claim
      // again.
      return Claim{Plati, randomKey(), 1, "n" + std::to_string(Index)};
    }
  }

  /// Checks that a claim is granted only after the previous one was released or
  /// expired.
  void checkClaims(const Command &Value, const CommandResult &Result) {
    if (const auto *Request = std::get_if<ReleaseClaim>(&Value))
      if (Result.Code == ResultCode::Accepted &&
          ClaimHolders[Request->IdempotencyKey].first == Request->Attempt)
        ClaimHolders.erase(Request->IdempotencyKey);
    const auto *Request = std::get_if<Claim>(&Value);
    if (!Request || Result.Code != ResultCode::Accepted)
      return;
    auto It = ClaimHolders.find(Request->IdempotencyKey);
    bool Free =
        It == ClaimHolders.end() || It->second.second + 86'400'000 <= Time;
    CHECK(Free);
    ClaimHolders[Request->IdempotencyKey] = {Request->Attempt, Time};
  }

  void checkFinalPhases() {
    for (const RolloutStatus &Status : State.rollouts()) {
      auto It = FinalPhases.find(Status.Section.value());
      if (It != FinalPhases.end())
        CHECK(It->second == Status.Phase);
      if (Status.Phase >= RolloutPhase::Done)
        FinalPhases[Status.Section.value()] = Status.Phase;
    }
  }

  std::mt19937_64 Random;
  std::map<std::string, std::pair<std::string, std::int64_t>> ClaimHolders;
  std::map<std::uint64_t, RolloutPhase> FinalPhases;
};

// Guards against replicas that diverge after the same entries, against a
// snapshot that loses state, and against violated guarantees on claims and
// final rollout phases.
TEST_CASE_METHOD(ControlStateRandomTest,
                 "ControlState random commands keep replicas equal") {
  unsigned Seed = testing::seed();
  INFO(testing::reproductionHint(Seed));
  Random.seed(Seed);
  ControlState Second;
  auto Replica = std::make_unique<ControlState>();
  std::map<ResultCode, unsigned> Codes;
  for (unsigned Round = 0; Round < 6000; ++Round) {
    Time += static_cast<std::int64_t>(randomBelow(20'000));
    if (randomBelow(500) == 0)
      Time += 86'400'000;
    Command Value = Round == 0
                        ? Command(ApplySections{base::OperatorName("ana"),
                                                {base::TeamName("studio")},
                                                base::OperationId("first"),
                                                basicDocument()})
                        : randomCommand();
    CommandResult Result = run(Value);
    ++Codes[Result.Code];
    checkClaims(Value, Result);
    checkFinalPhases();
    base::Bytes Expected = encodeResult(Result);
    REQUIRE(encodeResult(runOn(Second, Value, Index, Time)) == Expected);
    REQUIRE(encodeResult(runOn(*Replica, Value, Index, Time)) == Expected);
    if (randomBelow(20) != 0)
      continue;
    base::Bytes Snapshot = State.snapshot();
    REQUIRE(Replica->snapshot() == Snapshot);
    Replica = std::make_unique<ControlState>();
    Replica->restore(Snapshot);
    REQUIRE(Replica->snapshot() == Snapshot);
    REQUIRE(*Replica->mesh() == *State.mesh());
    REQUIRE(Replica->mesh()->digest() == Second.mesh()->digest());
  }
  // The test is meaningful only if the commands often succeed.
  CHECK(Codes[ResultCode::Accepted] > 1000);
  CHECK(Codes[ResultCode::Taken] > 10);
  CHECK(Codes[ResultCode::Replay] > 10);
  CHECK(Codes[ResultCode::Conflict] > 100);
  CHECK(FinalPhases.size() > 5);
}

// Guards against a damaged snapshot that crashes a joining replica.
TEST_CASE_METHOD(ControlStateRandomTest,
                 "restore damaged snapshot is refused or consistent") {
  unsigned Seed = testing::seed();
  INFO(testing::reproductionHint(Seed));
  Random.seed(Seed);
  apply(basicDocument());
  apply({put("rollout plati", rolloutBody("v1", "v2"))});
  decide(RolloutPhase::RolledBack);
  for (unsigned Round = 0; Round < 60; ++Round)
    run(randomCommand());
  const base::Bytes ValidSnapshot = State.snapshot();
  unsigned Refused = 0;
  for (unsigned Round = 0; Round < 2000; ++Round) {
    base::Bytes Data = ValidSnapshot;
    Data[randomBelow(Data.size())] = static_cast<std::uint8_t>(Random());
    if (Round % 10 == 0)
      Data.resize(randomBelow(Data.size()));
    ControlState Target;
    try {
      Target.restore(Data);
      CHECK(Target.mesh()->faults().empty());
    } catch (const base::ProtocolError &) {
      ++Refused;
      CHECK(Target.sections().empty());
    }
  }
  CHECK(Refused > 200);
}

} // namespace amaranth::control
