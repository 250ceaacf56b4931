#include "FakeLog.h"
#include "StateFixture.h"
#include "amaranth/base/Digest.h"
#include "amaranth/control/DocumentService.h"
#include "amaranth/document/SnapshotCodec.h"

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

void addCustomer(document::WholeDocument &Into, const std::string &Name,
                 const std::string &Key) {
  document::Customer Entry;
  Entry.Name = base::CustomerName(Name);
  Entry.Keys = {document::digestOfKey(Key)};
  Into.Content.Customers[Entry.Name] = Entry;
  Into.CustomerSources.edit().insert_or_assign(
      Entry.Name, document::CustomerSource(Entry.Name, "text " + Key));
}

bool contains(const base::Bytes &Data, std::string_view Text) {
  return std::string_view(reinterpret_cast<const char *>(Data.data()),
                          Data.size())
             .find(Text) != std::string_view::npos;
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

// Guards against a control process that cannot read the log or the snapshots
// on its disk after an update.
TEST_CASE_METHOD(WholeDocumentStateTest,
                 "Encodings without customers are those of earlier versions") {
  auto Change =
      document::computeChange(*State.wholeDocument(), makeDocument(5));
  // Written by the version before customers were added.
  CHECK(base::hex64(Change.Digest) == "a75b7ab0db0ae906");
  base::Bytes Data =
      encodeCommand(ReplaceDocument{base::OperatorName("ana"), Change});
  CHECK(base::hex64(base::hash64(Data)) == "5bc416c2c38904e2");
  REQUIRE(decodeResult(State.apply({base::LogIndex(1), base::Term(1),
                                    base::WallTime(StartTime), Data}))
              .Code == ResultCode::Accepted);
  base::Bytes Saved = State.snapshot();
  CHECK(base::hex64(base::hash64(Saved)) == "78333e23f1159631");
  ControlState Other;
  Other.restore(Saved);
  CHECK(*Other.mesh() == *State.mesh());
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "ReplaceDocument carries one of 2,000 customers") {
  document::WholeDocument Next = makeDocument(5);
  for (int I = 0; I < 2000; ++I)
    addCustomer(Next, "c" + std::to_string(I), "secret-" + std::to_string(I));
  REQUIRE(replace(Next).Code == ResultCode::Accepted);
  Next.Label = base::DocumentLabel(6);
  addCustomer(Next, "c7", "secret-new");
  ReplaceDocument Change{base::OperatorName("ana"),
                         document::computeChange(*State.wholeDocument(), Next)};
  CHECK(encodeCommand(Change).size() < 1024);
  REQUIRE(run(Change).Code == ResultCode::Accepted);
  CHECK(State.wholeDocument()->CustomerSources == Next.CustomerSources);
  CHECK(State.mesh()->Customers == Next.Content.Customers);
  base::Bytes Saved = State.snapshot();
  ControlState Other;
  Other.restore(Saved);
  CHECK(Other.snapshot() == Saved);
  CHECK(Other.wholeDocument()->CustomerSources == Next.CustomerSources);
  CHECK(*Other.mesh() == *State.mesh());
}

TEST_CASE_METHOD(WholeDocumentStateTest,
                 "Keys of customers stay in the document") {
  document::WholeDocument Next = makeDocument(5);
  addCustomer(Next, "a", "secret-1");
  REQUIRE(replace(Next).Code == ResultCode::Accepted);
  Next.Label = base::DocumentLabel(6);
  addCustomer(Next, "b", "secret-1");
  CommandResult Refused = replace(Next);
  CHECK(Refused.Code == ResultCode::Invalid);
  CHECK(Refused.Messages ==
        std::vector<std::string>{"customers a and b have the same key"});
  for (const AuditEntry &Entry : State.audit(10))
    CHECK(Entry.Reason.find("secret") == std::string::npos);
  // The document has the text, so the search below would find it.
  CHECK(contains(State.snapshot(), "secret-1"));
  auto Mesh = State.mesh();
  CHECK_FALSE(
      contains(document::encodeSnapshot(*Mesh, Mesh->digest()), "secret"));
  base::Bytes Delta = document::encodeDelta(document::computeDelta({}, *Mesh));
  CHECK_FALSE(contains(Delta, "secret"));
  CHECK(document::decodeDelta(Delta).Customers.size() == 1);
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
