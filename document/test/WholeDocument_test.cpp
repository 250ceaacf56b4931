#include "amaranth/document/Document.h"
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

  static void addCustomer(WholeDocument &Into, const std::string &Name,
                          const std::string &Key,
                          const std::string &Form = "") {
    Customer Entry;
    Entry.Name = base::CustomerName(Name);
    Entry.Keys = {digestOfKey(Key)};
    Into.Content.Customers[Entry.Name] = Entry;
    Into.CustomerSources.edit().insert_or_assign(
        Entry.Name, CustomerSource(Entry.Name, Form + Key));
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
                 "applyChange adds, changes and removes customers") {
  WholeDocument Base = sample(1);
  std::uint64_t WithoutCustomers = Base.digest();
  addCustomer(Base, "a", "key-1");
  addCustomer(Base, "b", "key-2");
  addCustomer(Base, "c", "key-3");
  CHECK(Base.digest() != WithoutCustomers);
  WholeDocument Next = sample(2);
  addCustomer(Next, "a", "key-4");
  addCustomer(Next, "b", "key-2", "other form");
  addCustomer(Next, "d", "key-3");
  WholeDocumentChange Change = computeChange(Base, Next);
  CHECK(Change.CustomerSources.size() == 3);
  WholeDocument Result = applyChange(Base, Change);
  CHECK(Result.Content == Next.Content);
  CHECK(Result.CustomerSources == Next.CustomerSources);
  Change.CustomerSources.pop_back();
  CHECK_THROWS_AS(applyChange(Base, Change), DeltaMismatch);
  // The keys of two customers are exchanged.
  addCustomer(Next, "a", "key-2");
  addCustomer(Next, "b", "key-4");
  CHECK(Next.digest() != Result.digest());
}

// Guards against a change that takes as much work as the whole text.
TEST_CASE_METHOD(WholeDocumentTest,
                 "change of one of 2,000 customers copies no other text") {
  auto Fill = [](WholeDocument Value) {
    for (int I = 0; I < 2000; ++I)
      addCustomer(Value, "c" + std::to_string(I), "key-" + std::to_string(I));
    return Value;
  };
  WholeDocument Base = Fill(sample(1));
  WholeDocument Next = Fill(sample(2));
  addCustomer(Next, "c7", "key-new");
  WholeDocumentChange Change = computeChange(Base, Next);
  CHECK(Change.Changes.Customers.size() == 1);
  CHECK(Change.CustomerSources.size() == 1);
  WholeDocument Result = applyChange(Base, Change);
  CHECK(Result.digest() == Next.digest());
  std::size_t Copied = 0;
  for (const auto &[Name, Entry] : Result.CustomerSources)
    Copied += &Entry.text() != &Base.CustomerSources.at(Name).text() ? 1 : 0;
  CHECK(Copied == 1);
}

TEST_CASE_METHOD(WholeDocumentTest, "faults reports each invalid customer") {
  WholeDocument Value = sample(1);
  addCustomer(Value, "a", "key-1");
  addCustomer(Value, "b", "key-2");
  CHECK(Value.submissionFaults().empty());
  WholeDocument Shared = Value;
  addCustomer(Shared, "b", "key-1");
  CHECK(Shared.faults() ==
        std::vector<std::string>{"customers a and b have the same key"});
  addCustomer(Shared, "no name", "key-4");
  Shared.Content.Customers.edit().begin()->second.Burst = -1;
  Shared.Content.Services.edit().begin()->second.ColdPeriod = base::Millis(-1);
  CHECK(Shared.faults().size() == 4);
  for (std::size_t I = 0; I <= MaxCustomers; ++I)
    addCustomer(Value, "c" + std::to_string(I), "many-" + std::to_string(I));
  CHECK(Value.faults().empty());
  CHECK(Value.submissionFaults().size() == 1);
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
