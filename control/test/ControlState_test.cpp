#include "StateFixture.h"
#include "amaranth/base/Error.h"
#include "amaranth/base/Invariant.h"

#include <catch2/catch.hpp>

namespace amaranth::control {

class ControlStateTest : protected StateFixture {
protected:
  ControlStateTest() {
    INFO("basic document");
    auto Result = apply(basicDocument());
    REQUIRE(Result.Code == ResultCode::Accepted);
  }

  static document::Endpoint endpoint(std::uint64_t Sequence) {
    document::Endpoint Entry;
    Entry.Id = base::EndpointId("e1");
    Entry.Node = base::NodeId("n1");
    Entry.NodeAddress = {"10.0.0.1", 80};
    Entry.Service = base::ServiceName("plati");
    Entry.Version = base::VersionName("v1");
    Entry.Slots = 9;
    Entry.State = document::EndpointState::Ready;
    Entry.Incarnation = 5;
    Entry.Sequence = Sequence;
    return Entry;
  }

  Claim makeClaim(const std::string &Attempt, std::uint64_t Hash = 1) const {
    return {Plati, "key", Hash, Attempt};
  }

  document::EndpointState endpointState() {
    return State.mesh()->Endpoints.at(base::EndpointId("e1")).State;
  }
};

TEST_CASE_METHOD(ControlStateTest, "apply stale revision conflicts, nothing "
                                   "changes") {
  auto Result =
      apply({put("service plati", "owner = studio\nversion = v1\n", 1),
             put("version plati/v1", "owner = studio\nnote = x\n", 9)});
  CHECK(Result.Code == ResultCode::Conflict);
  CHECK(Result.Document == base::DocumentVersion(1));
  CHECK(Result.Messages.at(0) == "[version plati/v1] has revision 1, but "
                                 "revision 9 was expected");
  CHECK(State.audit(1).at(0).Result == "conflict");
  Result = apply({put("version plati/v1", "owner = studio\nnote = x", 1)});
  CHECK(Result.Code == ResultCode::Accepted);
  CHECK(Result.Revisions.at(0).second == base::Revision(3));
  CHECK(State.documentVersion() == base::DocumentVersion(3));
  CHECK(State.audit(1).at(0).OldRevision == base::Revision(1));
}

TEST_CASE_METHOD(ControlStateTest, "apply by another team is forbidden") {
  auto Refused = [&](SectionChange Change, const char *Operator = "bo") {
    return apply({std::move(Change)}, Operator).Code == ResultCode::Forbidden;
  };
  CHECK(Refused(put("route pay", "owner = archive\n", 1)));
  CHECK(Refused(removal("route pay", 1)));
  CHECK(Refused(put("version plati/x", "owner = archive\n")));
  CHECK(Refused(put("rollout plati", "owner = archive\n")));
  // Changing the owner requires membership in both teams, creating a section
  // requires membership in the new one.
  CHECK(Refused(put("version plati/v1", "owner = archive\n", 1), "ana"));
  CHECK(
      Refused(put("service other", "owner = archive\nversion = v1\n"), "ana"));
  CHECK(State.audit(1).at(0).Result == "forbidden");
  CHECK(State.documentVersion() == base::DocumentVersion(1));
}

TEST_CASE_METHOD(ControlStateTest,
                 "apply invalid document is refused with all messages") {
  auto Result = apply({put("route a", "owner = studio\npath = a\n"),
                       put("version plati/v4", "owner = studio\n"),
                       removal("version plati/v1", 1)});
  CHECK(Result.Code == ResultCode::Invalid);
  REQUIRE(Result.Messages.size() == 4);
  CHECK(Result.Messages.at(0).rfind("section:3: [route a] path: ", 0) == 0);
  CHECK(State.sections().size() == 5);
}

TEST_CASE_METHOD(ControlStateTest,
                 "apply same operation id gives the first result") {
  std::vector<SectionChange> Change = {
      put("version plati/v4", "owner = studio\n")};
  auto First = apply(Change, "ana", "x");
  auto Audits = State.audit(100).size();
  auto Again = apply(Change, "ana", "x");
  CHECK(Again.Code == ResultCode::Accepted);
  CHECK(Again.Document == First.Document);
  CHECK(State.audit(100).size() == Audits);
  // The same id from another operator, then for a different change.
  CHECK(apply(Change, "bo", "x").Code == ResultCode::Forbidden);
  CHECK(apply({removal("version plati/v4", 2)}, "ana", "x").Code ==
        ResultCode::Invalid);
  Time += 86'400'000;
  CHECK(apply(Change, "ana", "x").Code == ResultCode::Conflict);
}

TEST_CASE_METHOD(ControlStateTest, "claims are granted to one attempt") {
  CHECK(run(makeClaim("a")).Code == ResultCode::Accepted);
  CHECK(run(makeClaim("a")).Code == ResultCode::Accepted);
  CHECK(run(makeClaim("b")).Code == ResultCode::Taken);
  CHECK(run(makeClaim("b", 2)).Code == ResultCode::Conflict);
  CHECK(run(ReleaseClaim{Plati, "key", "b"}).Code == ResultCode::Accepted);
  CHECK(run(makeClaim("c")).Code == ResultCode::Taken);
  CHECK(run(FinishClaim{Plati, "key", "b", std::nullopt}).Code ==
        ResultCode::Conflict);
  StoredResponse Response{201, {{"x", "y"}}, "done"};
  CHECK(run(FinishClaim{Plati, "key", "a", Response}).Code ==
        ResultCode::Accepted);
  auto Replay = run(makeClaim("c"));
  CHECK(Replay.Code == ResultCode::Replay);
  CHECK(Replay.Stored->Body == "done");
  CHECK(run(ReleaseClaim{Plati, "key", "a"}).Code == ResultCode::Conflict);
  Time += 86'400'000;
  CHECK(run(makeClaim("d")).Code == ResultCode::Accepted);
}

TEST_CASE_METHOD(ControlStateTest, "claims release takes effect even if it "
                                   "precedes the claim") {
  run(makeClaim("a"));
  run(ReleaseClaim{Plati, "key", "a"});
  CHECK(State.claimCount() == 0);
  CHECK(run(makeClaim("a")).Code == ResultCode::Conflict);
  run(ReleaseClaim{Plati, "key", "b"});
  CHECK(run(makeClaim("b")).Code == ResultCode::Conflict);
  CHECK(run(makeClaim("c")).Code == ResultCode::Accepted);
}

TEST_CASE_METHOD(ControlStateTest, "claims oversized response is not stored") {
  run(makeClaim("a"));
  StoredResponse Response{200, {}, std::string(MaxStoredBodyBytes + 1, 'x')};
  run(FinishClaim{Plati, "key", "a", Response});
  CHECK(run(makeClaim("a")).Code == ResultCode::Taken);
}

TEST_CASE_METHOD(ControlStateTest, "mesh is shared until it changes") {
  auto Before = State.mesh();
  run(makeClaim("a"));
  CHECK(State.mesh() == Before);
  run(PutEndpoint{endpoint(1)});
  CHECK(State.mesh() != Before);
  CHECK(State.mesh()->State == base::StateIndex(Index));
}

TEST_CASE_METHOD(ControlStateTest, "endpoints lower sequence is ignored") {
  CHECK(run(PutEndpoint{endpoint(3)}).Code == ResultCode::Accepted);
  CHECK(run(PutEndpoint{endpoint(2)}).Code == ResultCode::Conflict);
  run(ExpireEndpoints{{{base::EndpointId("e1"), 5, 2}}});
  CHECK(endpointState() == document::EndpointState::Ready);
  run(ExpireEndpoints{{{base::EndpointId("e1"), 5, 3}}});
  CHECK(endpointState() == document::EndpointState::Unreachable);
  run(PutEndpoint{endpoint(4)});
  CHECK(endpointState() == document::EndpointState::Ready);
  auto InvalidEndpoint = endpoint(5);
  InvalidEndpoint.Slots = 0;
  CHECK(run(PutEndpoint{InvalidEndpoint}).Code == ResultCode::Invalid);
}

// Guards against a restarted node that takes a late announcement of an upstream
// for a new one.
TEST_CASE_METHOD(ControlStateTest,
                 "endpoints of an upstream that has left stay out of use") {
  document::Endpoint Leaving = endpoint(1);
  Leaving.State = document::EndpointState::Draining;
  Leaving.UpstreamIncarnation = 100;
  Leaving.UpstreamLeft = true;
  CHECK(run(PutEndpoint{Leaving}).Code == ResultCode::Accepted);
  document::Endpoint Late = endpoint(1);
  Late.Incarnation = 6;
  Late.UpstreamIncarnation = 100;
  CHECK(run(PutEndpoint{Late}).Code == ResultCode::Conflict);
  run(ExpireEndpoints{{{Leaving.Id, 5, 1}}});
  CHECK(run(PutEndpoint{Late}).Code == ResultCode::Conflict);
  // Unreachable endpoints are tried when no other one is left.
  CHECK(endpointState() == document::EndpointState::Draining);
  Late.UpstreamIncarnation = 101;
  CHECK(run(PutEndpoint{Late}).Code == ResultCode::Accepted);
  CHECK(endpointState() == document::EndpointState::Ready);
}

// Guards against a node that takes over the traffic of another node's upstream.
TEST_CASE_METHOD(ControlStateTest,
                 "endpoints are not taken over by another node") {
  document::Endpoint Original = endpoint(1);
  CHECK(run(PutEndpoint{Original}).Code == ResultCode::Accepted);
  document::Endpoint Takeover = endpoint(2);
  Takeover.Node = base::NodeId("n2");
  CHECK(run(PutEndpoint{Takeover}).Code == ResultCode::Forbidden);
  run(ExpireEndpoints{{{Original.Id, 5, 1}}});
  CHECK(run(PutEndpoint{Takeover}).Code == ResultCode::Accepted);
}

TEST_CASE_METHOD(ControlStateTest, "rollout final decision never changes") {
  REQUIRE(apply({put("rollout plati", rolloutBody("v1", "v2"))}).Code ==
          ResultCode::Accepted);
  RolloutStatus Old = State.rollouts().at(0);
  CHECK(decide(RolloutPhase::Stepping, 10'000).Code == ResultCode::Accepted);
  CHECK(share("v2") == 10'000);
  CHECK(run(RolloutDecision{Plati, Old.Section, Old.Epoch,
                            RolloutPhase::Stepping, 50'000, 2, ""})
            .Code == ResultCode::Conflict);
  CHECK(decide(RolloutPhase::Waiting).Code == ResultCode::Invalid);
  // An alarm while watching lowers the share again.
  CHECK(decide(RolloutPhase::Watching).Code == ResultCode::Accepted);
  CHECK(decide(RolloutPhase::Stepping, 200'000).Code == ResultCode::Accepted);
  CHECK(State.rollouts().at(0).Share == 200'000);
  CHECK(decide(RolloutPhase::RolledBack).Code == ResultCode::Accepted);
  CHECK(decide(RolloutPhase::Done).Code == ResultCode::Conflict);
  CHECK(share("v1") == document::FullShare);
  CHECK(State.mesh()->Services.at(Plati).Versions.at(1).Barred);
  CHECK(State.audit(9).at(1).Result == "rolled-back");
  CHECK(State.audit(9).at(1).Actor == "system");
}

TEST_CASE_METHOD(ControlStateTest, "rollout barred version stays barred until "
                                   "a new revision") {
  auto Applied = apply({put("rollout plati", rolloutBody("v1", "v2"))});
  decide(RolloutPhase::RolledBack);
  auto Revision = Applied.Revisions.at(0).second.value();
  // An unchanged body keeps its revision.
  apply({put("rollout plati", rolloutBody("v1", "v2"), Revision)});
  CHECK(State.rollouts().at(0).Phase == RolloutPhase::RolledBack);
  CHECK(apply({removal("rollout plati", Revision)}).Code ==
        ResultCode::Accepted);
  CHECK(State.mesh()->Services.at(Plati).Versions.at(1).Barred);
  CHECK(apply({put("rollout plati", rolloutBody("v1", "v2"))}).Code ==
        ResultCode::Accepted);
  CHECK_FALSE(State.mesh()->Services.at(Plati).Versions.at(1).Barred);
  CHECK(State.rollouts().at(0).Phase == RolloutPhase::Waiting);
}

// Guards against a document change that moves traffic without a rollout.
TEST_CASE_METHOD(ControlStateTest, "rollout is the only way to move traffic") {
  CHECK(
      apply({put("service plati", "owner = studio\nversion = v2\n", 1)}).Code ==
      ResultCode::Invalid);
  CHECK(apply({put("rollout plati", rolloutBody("v2", "v1"))}).Code ==
        ResultCode::Invalid);
  auto Applied = apply({put("rollout plati", rolloutBody("v1", "v2"))});
  auto Revision = Applied.Revisions.at(0).second.value();
  decide(RolloutPhase::Done);
  CHECK(share("v2") == document::FullShare);
  // Deleting the rollout must not return the traffic to the old version.
  CHECK(apply({removal("rollout plati", Revision)}).Code ==
        ResultCode::Invalid);
  CHECK(apply({put("rollout plati", rolloutBody("v1", "v3"), Revision)}).Code ==
        ResultCode::Invalid);
  CHECK(apply({removal("rollout plati", Revision),
               put("service plati", "owner = studio\nversion = v2\n", 1)})
            .Code == ResultCode::Accepted);
  CHECK(share("v2") == document::FullShare);
  Time += 86'400'000LL * 365;
  CHECK(apply({put("rollout plati", rolloutBody("v2", "v3"))}).Messages.at(0) ==
        "section: [rollout plati] deadline: the deadline has passed");
}

// Guards against innocent requests that are refused because they were running
// during a crash.
TEST_CASE_METHOD(ControlStateTest, "quarantine convicts the only suspect that "
                                   "was running during a second crash") {
  auto Quarantine = [&] { return State.mesh()->Quarantine; };
  run(ReportCrash{Plati, base::EndpointId("e1"), {7, 8, 9}, 100});
  run(ReportCrash{Plati, base::EndpointId("e1"), {7, 8, 9}, 100});
  REQUIRE(Quarantine().size() == 3);
  for (std::uint64_t Each : {7, 8, 9})
    CHECK_FALSE(Quarantine().at(Each).Convicted);
  // The second crash has the suspects 7 and 8; 20 is no suspect.
  run(ReportCrash{Plati, base::EndpointId("e2"), {7, 8, 20}, 101});
  CHECK_FALSE(Quarantine().contains(20));
  CHECK_FALSE(Quarantine().at(7).Convicted);
  CHECK(run(EndSuspectRun{Plati, 8, "", false}).Code == ResultCode::Accepted);
  CHECK_FALSE(Quarantine().contains(8));
  run(ReportCrash{Plati, base::EndpointId("e3"), {7, 21}, 102});
  CHECK(Quarantine().at(7).Convicted);
  CHECK(State.audit(1).at(0).Result == "convicted");
  CHECK(Quarantine().at(9).Convicted == false);
  // A convicted request explains further crashes and is not cleared.
  run(ReportCrash{Plati, base::EndpointId("e3"), {7, 30}, 103});
  CHECK(run(EndSuspectRun{Plati, 7, "", false}).Code == ResultCode::Accepted);
  CHECK(Quarantine().at(7).Convicted);
  CHECK_FALSE(Quarantine().contains(30));
  Time += 600'000;
  run(makeClaim("x"));
  CHECK(Quarantine().empty());
}

TEST_CASE_METHOD(ControlStateTest, "quarantine clears the suspects of a crash "
                                   "that a convicted request explains") {
  run(ReportCrash{Plati, base::EndpointId("e1"), {7, 8}, 100});
  run(ReportCrash{Plati, base::EndpointId("e1"), {9}, 101});
  CHECK(run(EndSuspectRun{Plati, 7, "", true}).Code == ResultCode::Accepted);
  CHECK(run(EndSuspectRun{Plati, 7, "", true}).Code == ResultCode::Accepted);
  auto Quarantine = State.mesh()->Quarantine;
  CHECK(Quarantine.at(7).Convicted);
  CHECK_FALSE(Quarantine.contains(8));
  CHECK_FALSE(Quarantine.at(9).Convicted);
  CHECK(State.audit(1).at(0).Result == "convicted");
}

TEST_CASE_METHOD(ControlStateTest,
                 "quarantine convicts all suspects of three crashes") {
  for (std::uint64_t Crash : {100, 101})
    run(ReportCrash{Plati, base::EndpointId("e1"), {7, 8}, Crash});
  CHECK_FALSE(State.mesh()->Quarantine.at(7).Convicted);
  run(ReportCrash{Plati, base::EndpointId("e1"), {7, 8}, 102});
  CHECK(State.mesh()->Quarantine.at(7).Convicted);
  CHECK(State.mesh()->Quarantine.at(8).Convicted);
}

// The report of the first crash may arrive after the conviction.
TEST_CASE_METHOD(ControlStateTest,
                 "quarantine convicts a request without a report") {
  run(EndSuspectRun{Plati, 7, "", true});
  run(ReportCrash{Plati, base::EndpointId("e1"), {7, 8}, 100});
  CHECK(State.mesh()->Quarantine.at(7).Convicted);
  CHECK_FALSE(State.mesh()->Quarantine.contains(8));
}

TEST_CASE_METHOD(ControlStateTest,
                 "sections of customers reach the mesh and the snapshot") {
  std::string Digest(64, 'a');
  std::string Body = "owner = studio\nkey-digests = " + Digest + "\n";
  REQUIRE(apply({put("customer a", Body)}).Code == ResultCode::Accepted);
  auto Refused = apply(
      {put("customer b", Body), put("customer c", "owner = studio\n"
                                                  "key-digests = secret")});
  CHECK(Refused.Code == ResultCode::Invalid);
  CHECK(Refused.Messages.size() == 2);
  for (const std::string &Message : Refused.Messages)
    CHECK(Message.find("secret") == std::string::npos);
  CHECK(State.mesh()->Customers.size() == 1);
  ControlState Other;
  Other.restore(State.snapshot());
  CHECK(*Other.mesh() == *State.mesh());
  CHECK(
      apply({removal("customer a", State.sections().at(0).Rev.value())}).Code ==
      ResultCode::Accepted);
  CHECK(State.mesh()->Customers.empty());
}

TEST_CASE_METHOD(ControlStateTest, "restore older snapshot is refused") {
  base::Bytes Old = State.snapshot();
  run(makeClaim("a"));
  CHECK_THROWS_AS(State.restore(Old), base::ProtocolError);
  CHECK(State.claimCount() == 1);
}

TEST_CASE_METHOD(ControlStateTest, "apply malformed command is answered") {
  base::Bytes InvalidBytes = {1, 2, 3};
  auto Result =
      decodeResult(State.apply({base::LogIndex(++Index), base::Term(1),
                                base::WallTime(Time), InvalidBytes}));
  CHECK(Result.Code == ResultCode::Malformed);
}

TEST_CASE_METHOD(ControlStateTest,
                 "operation results and audit entries are bounded") {
  auto Before = base::invariantChecks();
  for (unsigned I = 0; I < 10'001; ++I)
    apply({removal("route none", 1)}, "ana", "many" + std::to_string(I));
  CHECK(State.audit(1'000'000).size() == 10'006);
  // The first operation was evicted and is executed again; the second was not.
  apply({removal("route none", 1)}, "ana", "many1");
  CHECK(State.audit(1'000'000).size() == 10'006);
  apply({removal("route none", 1)}, "ana", "many0");
  CHECK(State.audit(1'000'000).size() == 10'007);
  CHECK(base::invariantChecks() > Before);
}

// Guards against an audit trail that exceeds the memory of the process, and the
// size of its snapshots, although it is within its number of entries.
TEST_CASE_METHOD(ControlStateTest,
                 "audit entries with long texts are bounded by bytes") {
  constexpr unsigned Changes = 40'000;
  constexpr std::size_t MaxBytes = 17U << 20U;
  const std::string Zone(160, 'z');
  for (unsigned I = 0; I < Changes; ++I)
    run(SetEvacuation{base::OperatorName(std::string(160, 'o')),
                      base::AvailabilityZone(Zone),
                      true,
                      {},
                      false});
  auto Entries = State.audit(Changes);
  std::size_t Bytes = 0;
  for (const AuditEntry &Entry : Entries)
    Bytes += sizeof Entry + Entry.Actor.size() + Entry.Section.size() +
             Entry.Reason.size();
  CHECK(Entries.size() < Changes);
  CHECK(Bytes > MaxBytes / 2);
  CHECK(Bytes < MaxBytes);
  CHECK(Entries.front().Index == base::LogIndex(Index));
  // A restored state keeps the same entries.
  ControlState Restored;
  Restored.restore(State.snapshot());
  CHECK(Restored.audit(Changes).size() == Entries.size());
}

} // namespace amaranth::control
