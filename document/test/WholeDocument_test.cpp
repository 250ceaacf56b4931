#include "amaranth/document/SnapshotCodec.h"
#include "amaranth/document/WholeDocument.h"

#include <catch2/catch.hpp>

namespace amaranth::document {

class WholeDocumentTest {
protected:
  static WholeDocument sample(std::uint64_t Label) {
    WholeDocument Value;
    Value.Label = base::DocumentLabel(Label);
    for (const char *Name : {"a", "b"}) {
      Service Entry;
      Entry.Name = base::ServiceName(Name);
      Value.Content.Services[Entry.Name] = Entry;
      Value.ServiceSources[Entry.Name] = Name;
    }
    addRoute(Value, "r1", "/x/", "a");
    addRoute(Value, "r2", "/y/", "b");
    Value.Source = "{}";
    return Value;
  }

  static void addRoute(WholeDocument &Into, const std::string &Name,
                       const std::string &Prefix, const std::string &Service) {
    Route Entry;
    Entry.Name = base::RouteName(Name);
    Entry.Host = "h";
    Entry.PathPrefix = Prefix;
    Entry.Service = base::ServiceName(Service);
    Entry.Timeout = base::Millis(800);
    Into.Content.Routes[Entry.Name] = Entry;
    Into.RouteSources[Entry.Name] = Prefix + Service;
  }
};

TEST_CASE_METHOD(
    WholeDocumentTest,
    "applyChange yields the document that the change was computed for") {
  WholeDocument Base = sample(1);
  WholeDocument Next = sample(4);
  Next.Content.Routes.erase(base::RouteName("r1"));
  Next.RouteSources.erase(base::RouteName("r1"));
  addRoute(Next, "r2", "/z/", "a");
  addRoute(Next, "r3", "/w/", "b");
  Next.Content.Limits.IdleTimeout = base::Millis(15'000);
  WholeDocumentChange Change = computeChange(Base, Next);
  CHECK(Change.Changes.Routes.size() == 2);
  WholeDocument Result = applyChange(Base, Change);
  CHECK(Result.Content == Next.Content);
  CHECK(Result.RouteSources == Next.RouteSources);
  CHECK(Result.digest() == Next.digest());
}

// A read must return an entry as it was sent, even if only its source changed.
TEST_CASE_METHOD(WholeDocumentTest,
                 "computeChange contains entries with only a changed source") {
  WholeDocument Next = sample(2);
  Next.RouteSources[base::RouteName("r1")] = "other form";
  WholeDocumentChange Change = computeChange(sample(1), Next);
  CHECK(Change.Changes.Routes.size() == 1);
  CHECK(applyChange(sample(1), Change).digest() == Next.digest());
}

TEST_CASE_METHOD(WholeDocumentTest,
                 "applyChange rejects another base and a corrupted change") {
  WholeDocumentChange Change = computeChange(sample(1), sample(2));
  CHECK_THROWS_AS(applyChange(sample(3), Change), DeltaMismatch);
  ++Change.Digest;
  CHECK_THROWS_AS(applyChange(sample(1), Change), DeltaMismatch);
  WholeDocument Next = sample(2);
  addRoute(Next, "r3", "/w/", "b");
  Change = computeChange(sample(1), Next);
  Change.RouteSources.clear();
  CHECK_THROWS_AS(applyChange(sample(1), Change), DeltaMismatch);
}

TEST_CASE_METHOD(WholeDocumentTest, "faults reports each invalid entry") {
  CHECK(sample(1).faults().empty());
  CHECK(sample(0).faults().size() == 1);
  WholeDocument Unknown = sample(1);
  addRoute(Unknown, "r3", "/w/", "missing");
  CHECK(Unknown.faults().size() == 1);
  WholeDocument Same = sample(1);
  addRoute(Same, "r3", "/x/", "b");
  CHECK(Same.faults().size() == 1);
  WholeDocument Far = sample(1);
  Far.Content.Routes.edit().begin()->second.Objective = base::Millis(60'800);
  CHECK(Far.faults().size() == 1);
  WholeDocument Weightless = sample(1);
  Weightless.Content.Routes.edit().begin()->second.Split = {
      {base::ServiceName("a"), 0}};
  CHECK(Weightless.faults().size() == 1);
}

// Guards against two routes of which one never gets a request. Documents that
// were accepted before this was checked must stay valid.
TEST_CASE_METHOD(WholeDocumentTest,
                 "submissionFaults finds hosts that differ only in case") {
  WholeDocument Value = sample(1);
  addRoute(Value, "r3", "/same/", "b");
  addRoute(Value, "r4", "/same/", "b");
  auto &Routes = Value.Content.Routes.edit();
  Routes.at(base::RouteName("r3")).Host = "studio.example";
  Routes.at(base::RouteName("r4")).Host = "Studio.example";
  CHECK(Value.faults().empty());
  CHECK(Value.submissionFaults().size() == 1);
  Routes.at(base::RouteName("r4")).Host = "office.example";
  CHECK(Value.submissionFaults().empty());
}

// Guards against accepting a configuration that refers to a service it does not
// have.
TEST_CASE_METHOD(WholeDocumentTest,
                 "submissionFaults finds an unknown service beside a split") {
  WholeDocument Value = sample(1);
  Route &Entry = Value.Content.Routes.edit().begin()->second;
  Entry.Split = {{base::ServiceName("a"), 90}, {base::ServiceName("b"), 10}};
  Entry.Service = base::ServiceName("missing");
  CHECK(Value.submissionFaults().size() == 1);
  Entry.Service = base::ServiceName();
  CHECK(Value.submissionFaults().empty());
}

TEST_CASE_METHOD(WholeDocumentTest,
                 "snapshot and delta carry hosts, weights and limits") {
  WholeDocument Value = sample(1);
  Route &Entry = Value.Content.Routes.edit().begin()->second;
  Entry.Kind = RequestKind::Download;
  Entry.Priority = 2;
  Entry.MaxAttempts = 3;
  Entry.Objective = base::Millis(300);
  Entry.Split = {{base::ServiceName("a"), 90}, {base::ServiceName("b"), 10}};
  Value.Content.Limits = {16'384, 1U << 20U, base::Millis(3000),
                          base::Millis(15'000)};
  std::uint64_t Digest = Value.Content.digest();
  CHECK(*decodeSnapshot(encodeSnapshot(Value.Content, Digest)) ==
        Value.Content);
  MeshSnapshot Before;
  MeshDelta Delta =
      decodeDelta(encodeDelta(computeDelta(Before, Value.Content)));
  CHECK(*applyDelta(Before, Delta) == Value.Content);
}

} // namespace amaranth::document
