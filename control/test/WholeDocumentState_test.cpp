#include "FakeLog.h"
#include "StateFixture.h"
#include "amaranth/control/DocumentService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace amaranth::control {

namespace {

document::WholeDocument makeDocument(std::uint64_t Label,
                                     const std::string &Service = "a") {
  document::WholeDocument Value;
  Value.Label = base::DocumentLabel(Label);
  for (const char *Name : {"a", "b"}) {
    document::Service Entry;
    Entry.Name = base::ServiceName(Name);
    Value.Content.Services[Entry.Name] = Entry;
    Value.ServiceSources[Entry.Name] = Name;
  }
  document::Route Entry;
  Entry.Name = base::RouteName("r");
  Entry.PathPrefix = "/x/";
  Entry.Service = base::ServiceName(Service);
  Value.Content.Routes[Entry.Name] = Entry;
  Value.RouteSources[Entry.Name] = Service;
  Value.Source = "{}";
  return Value;
}

} // namespace

class WholeDocumentStateTest : public StateFixture {
protected:
  CommandResult replace(const document::WholeDocument &Next) {
    auto Change = document::computeChange(*State.wholeDocument(), Next);
    return run(ReplaceDocument{base::OperatorName("ana"), Change});
  }

  CommandResult putEndpoint(const std::string &Id, const std::string &Version) {
    document::Endpoint Entry;
    Entry.Id = base::EndpointId(Id);
    Entry.Node = base::NodeId(Id);
    Entry.NodeAddress = {"10.0.0.1", 1};
    Entry.Service = base::ServiceName("a");
    Entry.Version = base::VersionName(Version);
    Entry.Slots = 4;
    Entry.State = document::EndpointState::Ready;
    Entry.Incarnation = 1;
    return run(PutEndpoint{Entry});
  }

  std::uint32_t shareOf(const std::string &Version) {
    auto Mesh = State.mesh();
    for (const auto &Entry : Mesh->Services.at(base::ServiceName("a")).Versions)
      if (Entry.Version.value() == Version)
        return Entry.Share;
    return 0;
  }

  CommandResult startRollout(const std::string &To) {
    return run(StartRollout{base::OperatorName("ana"), base::ServiceName("a"),
                            base::VersionName(To), base::Millis(16'000)});
  }

  CommandResult decideTimed(TimedRolloutPhase Phase, std::uint32_t Share = 0) {
    TimedRollout Entry = State.timedRollouts().at(0);
    return run(TimedDecision{Entry.Service, Entry.Order, Entry.Epoch, Phase,
                             Share, base::Millis(1000), "test"});
  }
};

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "ReplaceDocument accepts one replacement for each base") {
  REQUIRE(replace(makeDocument(5)).Code == ResultCode::Accepted);
  auto First = document::computeChange(*State.wholeDocument(), makeDocument(7));
  auto Second =
      document::computeChange(*State.wholeDocument(), makeDocument(9, "b"));
  base::OperatorName Operator("ana");
  CHECK(run(ReplaceDocument{Operator, First}).Code == ResultCode::Accepted);
  CHECK(run(ReplaceDocument{Operator, Second}).Code == ResultCode::Conflict);
  CHECK(State.wholeDocument()->Label == base::DocumentLabel(7));
}

// Guards against refusing a retry after a lost acknowledgement: it may arrive
// after later changes.
TEST_CASE_METHOD(WholeDocumentStateTest,
                 "ReplaceDocument accepts a retry of any accepted change") {
  auto First = document::computeChange(*State.wholeDocument(), makeDocument(5));
  base::OperatorName Operator("ana");
  REQUIRE(run(ReplaceDocument{Operator, First}).Code == ResultCode::Accepted);
  REQUIRE(replace(makeDocument(8, "b")).Code == ResultCode::Accepted);
  CHECK(run(ReplaceDocument{Operator, First}).Code == ResultCode::Accepted);
  CHECK(State.wholeDocument()->Label == base::DocumentLabel(8));
  document::WholeDocumentChange Other = First;
  ++Other.Digest;
  CHECK(run(ReplaceDocument{Operator, Other}).Code == ResultCode::Conflict);
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "ReplaceDocument refuses an invalid document") {
  REQUIRE(replace(makeDocument(5)).Code == ResultCode::Accepted);
  CHECK(replace(makeDocument(7, "missing")).Code == ResultCode::Invalid);
  CHECK(replace(makeDocument(4)).Code == ResultCode::Invalid);
  CHECK(State.wholeDocument()->Label == base::DocumentLabel(5));
  CHECK(State.mesh()->Routes.size() == 1);
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "Sections and whole documents exclude each other") {
  REQUIRE(replace(makeDocument(5)).Code == ResultCode::Accepted);
  CHECK(apply(basicDocument()).Code == ResultCode::Forbidden);
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "A version without a rollout receives no traffic") {
  REQUIRE(replace(makeDocument(5)).Code == ResultCode::Accepted);
  CHECK(State.mesh()->Services.at(base::ServiceName("a")).Versions.empty());
  putEndpoint("n1", "v1");
  putEndpoint("n2", "v2");
  CHECK(shareOf("v1") == document::FullShare);
  CHECK(shareOf("v2") == 0);
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "Timed rollout completes only after the finishing phase") {
  REQUIRE(replace(makeDocument(5)).Code == ResultCode::Accepted);
  putEndpoint("n1", "v1");
  REQUIRE(startRollout("v2").Code == ResultCode::Accepted);
  CHECK(shareOf("v2") == 0);
  CHECK(startRollout("v3").Code == ResultCode::Conflict);
  CHECK(startRollout("v2").Code == ResultCode::Accepted);
  REQUIRE(decideTimed(TimedRolloutPhase::Active, 50'000).Code ==
          ResultCode::Accepted);
  CHECK(shareOf("v2") == 50'000);
  CHECK(decideTimed(TimedRolloutPhase::Complete).Code == ResultCode::Invalid);
  REQUIRE(decideTimed(TimedRolloutPhase::Finishing).Code ==
          ResultCode::Accepted);
  CHECK(shareOf("v1") == 0);
  REQUIRE(decideTimed(TimedRolloutPhase::Complete).Code ==
          ResultCode::Accepted);
  CHECK(shareOf("v2") == document::FullShare);
  CHECK(decideTimed(TimedRolloutPhase::RolledBack).Code ==
        ResultCode::Conflict);
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "Timed rollout that was rolled back bars its version") {
  REQUIRE(replace(makeDocument(5)).Code == ResultCode::Accepted);
  putEndpoint("n1", "v1");
  REQUIRE(startRollout("v2").Code == ResultCode::Accepted);
  REQUIRE(decideTimed(TimedRolloutPhase::Active, 100'000).Code ==
          ResultCode::Accepted);
  REQUIRE(decideTimed(TimedRolloutPhase::RolledBack).Code ==
          ResultCode::Accepted);
  CHECK(shareOf("v1") == document::FullShare);
  CHECK(shareOf("v2") == 0);
  // A retried command must not restart the rollout; a later command does.
  startRollout("v2");
  CHECK(State.timedRollouts().at(0).Phase == TimedRolloutPhase::RolledBack);
  Time += 60'000;
  startRollout("v2");
  CHECK(State.timedRollouts().at(0).Phase == TimedRolloutPhase::Active);
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "Snapshot keeps documents, labels, versions and rollouts") {
  REQUIRE(replace(makeDocument(5)).Code == ResultCode::Accepted);
  REQUIRE(replace(makeDocument(6, "b")).Code == ResultCode::Accepted);
  putEndpoint("n1", "v1");
  REQUIRE(startRollout("v2").Code == ResultCode::Accepted);
  REQUIRE(decideTimed(TimedRolloutPhase::Active, 50'000).Code ==
          ResultCode::Accepted);
  base::Bytes Saved = State.snapshot();
  ControlState Other;
  Other.restore(Saved);
  CHECK(Other.snapshot() == Saved);
  CHECK(*Other.mesh() == *State.mesh());
  CHECK(Other.acceptedDigest(base::DocumentLabel(5)).has_value());
  CHECK(Other.timedRollouts().at(0).Share == 50'000);
}

class DocumentServiceTest {
protected:
  template <typename Result>
  Result runToCompletion(boost::asio::awaitable<Result> Operation) {
    std::optional<Result> Answer;
    boost::asio::co_spawn(Context, std::move(Operation),
                          [&](std::exception_ptr Fault, Result Value) {
                            if (!Fault)
                              Answer = std::move(Value);
                          });
    Context.restart();
    Context.run();
    REQUIRE(Answer.has_value());
    return std::move(*Answer);
  }

  ChangeOutcome replace(std::uint64_t Label, std::uint64_t Base,
                        const std::string &Service = "a") {
    return runToCompletion(Documents.replace(base::OperatorName("ana"),
                                             makeDocument(Label, Service),
                                             base::DocumentLabel(Base)))
        .Outcome;
  }

  boost::asio::io_context Context;
  ControlState State;
  FakeLog Log{Context.get_executor(), State};
  DocumentService Documents{Log, State, {}};
};

TEST_CASE_METHOD(DocumentServiceTest, "replace distinguishes all outcomes") {
  CHECK(replace(5, 0) == ChangeOutcome::Accepted);
  CHECK(replace(5, 0) == ChangeOutcome::Accepted);
  CHECK(replace(5, 0, "b") == ChangeOutcome::Conflict);
  CHECK(replace(7, 0) == ChangeOutcome::Conflict);
  CHECK(replace(4, 5) == ChangeOutcome::Invalid);
  CHECK(replace(7, 5, "missing") == ChangeOutcome::Invalid);
  Log.Behaviour = FakeLog::Mode::NotLeader;
  CHECK(replace(7, 5) == ChangeOutcome::Unavailable);
  Log.Behaviour = FakeLog::Mode::AppliedThenTimeout;
  CHECK(replace(7, 5) == ChangeOutcome::Unknown);
  Log.Behaviour = FakeLog::Mode::Normal;
  CHECK(replace(7, 5) == ChangeOutcome::Accepted);
}

// Guards against a partitioned process that returns an outdated document.
TEST_CASE_METHOD(DocumentServiceTest,
                 "read returns nothing without proof of being current") {
  CHECK(replace(5, 0) == ChangeOutcome::Accepted);
  CHECK(runToCompletion(Documents.read())->Label == base::DocumentLabel(5));
  Log.Behaviour = FakeLog::Mode::Timeout;
  CHECK(runToCompletion(Documents.read()) == nullptr);
  CHECK_FALSE(
      runToCompletion(Documents.rollout(base::ServiceName("a"))).Current);
}

} // namespace amaranth::control
