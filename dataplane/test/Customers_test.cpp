#include "MeshFixture.h"
#include "amaranth/base/Log.h"
#include "amaranth/dataplane/ApiKey.h"
#include "amaranth/dataplane/CustomerIndex.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include <algorithm>
#include <functional>
#include <sstream>

namespace amaranth::dataplane::testing {

namespace {

std::string bearer(const std::string &Key) {
  return "Authorization: Bearer " + Key + "\r\n";
}

std::string pipelined(const std::string &Target, const std::string &Fields) {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

std::size_t count(const std::string &Text, const std::string &Part) {
  std::size_t Found = 0;
  for (std::size_t At = 0; (At = Text.find(Part, At)) != std::string::npos;
       At += Part.size())
    ++Found;
  return Found;
}

} // namespace

/// A node whose document names customers with one key each, and callers on
/// another VM.
class CustomersTest : public OneNodeFixture {
protected:
  CustomersTest() {
    CallerIp = "127.0.0.2";
    addCustomer("acme", "key-a");
    addCustomer("brevo", "key-b");
  }

  void addCustomer(const std::string &Name, const std::string &Key,
                   std::uint32_t Priority = 0, double RequestsPerSecond = 0) {
    base::CustomerName Id(Name);
    Mesh.Customers[Id] = {
        Id, {document::digestOfKey(Key)}, Priority, RequestsPerSecond, 0};
    Snapshots.set(Mesh);
  }

  void removeCustomer(const std::string &Name) {
    Mesh.Customers.erase(base::CustomerName(Name));
    Snapshots.set(Mesh);
  }

  void makePublic(const std::string &Path) {
    document::Route Open = Mesh.Routes.begin()->second;
    Open.Name = base::RouteName("open");
    Open.PathPrefix = Path;
    Open.Public = true;
    Mesh.Routes[Open.Name] = Open;
    Snapshots.set(Mesh);
  }

  std::shared_ptr<CallerResult> ask(const std::string &Target,
                                    const std::string &Fields) {
    auto Result = get(Node, Target, Fields);
    runUntil([&] { return Result->Done; });
    return Result;
  }

  /// The field of the last request that the upstream received.
  std::string seen(const std::string &Name) const {
    REQUIRE_FALSE(Upstream.SeenFields.empty());
    const std::string *Value = findHeader(Upstream.SeenFields.back(), Name);
    return Value ? *Value : "none";
  }
};

// Credentials that are no key must not pass for a request without one.
TEST_CASE("apiKeyOf reads one bearer key and nothing else") {
  CHECK(apiKeyOf({}).empty());
  CHECK(apiKeyOf({{"authorization", "bEARER  k-1 "}}) == "k-1");
  std::vector<Headers> Malformed = {
      {{"Authorization", "Basic k"}},
      {{"Authorization", "Bearer"}},
      {{"Authorization", "Bearer "}},
      {{"Authorization", "Bearer a b"}},
      {{"Authorization", "Bearerk"}},
      {{"Authorization", ""}},
      {{"Authorization", "Bearer k"}, {"authorization", "Bearer k"}}};
  for (const Headers &Fields : Malformed)
    CHECK_FALSE((apiKeyOf(Fields).empty() || isApiKey(apiKeyOf(Fields))));
}

TEST_CASE_METHOD(CustomersTest,
                 "Requests without a valid key are refused with 401 not-run") {
  std::vector<std::string> Faults = {"",
                                     bearer("other"),
                                     bearer(""),
                                     "Authorization: Basic key-a\r\n",
                                     bearer("key-a") + bearer("key-a"),
                                     bearer("key-a") + bearer("key-b"),
                                     bearer("k\xc3\xa9y\xff"),
                                     bearer(std::string(60'000, 'k'))};
  for (const std::string &Fields : Faults) {
    auto Result = ask("/a", Fields);
    CHECK(Result->status() == 401);
    CHECK(Result->has("X-Amaranth-Outcome: not-run"));
    CHECK(Result->has("X-Amaranth-Reason: unauthenticated"));
    CHECK(Result->has("WWW-Authenticate: Bearer"));
    CHECK_FALSE(Result->has("Retry-After"));
  }
  CHECK(ask("/a", bearer(std::string(70'000, 'k')))->status() == 431);
  CHECK(Upstream.Seen.empty());
  Mesh.Routes.edit().begin()->second.PathPrefix = "/a";
  Snapshots.set(Mesh);
  CHECK(ask("/b", "")->status() == 404);
}

TEST_CASE_METHOD(CustomersTest,
                 "Upstream gets the customer's name and never the key") {
  std::string Forged =
      "X-Amaranth-Customer: acme\r\nx-amaranth-customer: x\r\n";
  CHECK(ask("/a", "Authorization: bearer key-b\r\n" + Forged)->status() == 200);
  CHECK(seen("Authorization") == "none");
  CHECK(findHeaders(Upstream.SeenFields.back(), "X-Amaranth-Customer") ==
        std::vector<std::string>{"brevo"});
  // A route without keys, and a call of the upstream beside the node.
  makePublic("/open");
  for (const std::string &Key :
       {bearer("other"), bearer("key-a"), std::string()}) {
    CHECK(ask("/open", Key + Forged)->status() == 200);
    CHECK(seen("X-Amaranth-Customer") == "none");
    CHECK(seen("Authorization") == "none");
  }
  CallerIp.clear();
  CHECK(ask("/a", Forged)->status() == 200);
  CHECK(seen("X-Amaranth-Customer") == "none");
  CHECK(ask("/a", bearer("other"))->status() == 401);
  CHECK(ask("/a", bearer("key-a"))->status() == 200);
  CHECK(seen("X-Amaranth-Customer") == "acme");
}

TEST_CASE_METHOD(CustomersTest,
                 "Without customers the caller's fields are passed on") {
  removeCustomer("acme");
  removeCustomer("brevo");
  CHECK(ask("/a", bearer("x") + "X-Amaranth-Customer: y\r\n")->status() == 200);
  CHECK(seen("Authorization") == "Bearer x");
  CHECK(seen("X-Amaranth-Customer") == "y");
}

// Guards against a key that stays valid on a connection that is open when the
// key is taken away.
TEST_CASE_METHOD(CustomersTest,
                 "Key that was taken away is refused on open connections") {
  auto Result =
      send(Node.Entry.local(),
           pipelined("/hold", bearer("key-a")) +
               pipelined("/second", bearer("key-a")) +
               pipelined("/third", bearer("key-b") + "Connection: close"
                                                     "\r\n"));
  runUntil([&] { return !Upstream.Seen.empty(); });
  removeCustomer("acme");
  Held = false;
  Release.notifyAll();
  runUntil([&] { return Result->Done; });
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /hold", "GET /third"});
  CHECK(count(Result->Text, "HTTP/1.1 200") == 2);
  CHECK(count(Result->Text, "HTTP/1.1 401") == 1);
}

// The request is repeatable and another endpoint is ready, so that only the key
// can stop the repeat.
TEST_CASE_METHOD(CustomersTest, "Key that was taken away stops repeats") {
  addUpstream(addNode("m"));
  auto Result = get(Node, "/hold", bearer("key-a"));
  auto Seen = [&] {
    return Upstreams[0]->Seen.size() + Upstreams[1]->Seen.size();
  };
  runUntil([&] { return Seen() == 1; });
  removeCustomer("acme");
  for (auto &Each : Upstreams)
    for (auto &Link : Each->Connections)
      if (auto Open = Link.lock())
        Open->abort();
  runUntil([&] { return Result->Done; });
  CHECK(Seen() == 1);
  // The first attempt may have run.
  CHECK(Result->status() == 502);
  CHECK(Result->has("X-Amaranth-Reason: unauthenticated"));
}

// Guards against lost refusals: a connection that is closed with an unread body
// is reset, and takes the requests behind it with it.
TEST_CASE_METHOD(CustomersTest, "Refusal with 401 keeps the connection") {
  auto Result =
      send(Node.Entry.local(),
           "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
           "3\r\n\r\nabc" +
               pipelined("/b", bearer("key-a") + "Connection: close\r\n"));
  runUntil([&] { return Result->Done; });
  CHECK(Result->status() == 401);
  CHECK(Upstream.Seen == std::vector<std::string>{"GET /b"});
}

// A stored response must not go to another customer.
TEST_CASE_METHOD(CustomersTest,
                 "Idempotency key of one customer replays nothing to another") {
  std::string Key = "Idempotency-Key: 1\r\n";
  auto First = post(Node, "/pay", "x", Key + bearer("key-a"));
  runUntil([&] { return First->Done; });
  auto Other = post(Node, "/pay", "x", Key + bearer("key-b"));
  auto Same = post(Node, "/pay", "x", Key + bearer("key-a"));
  runUntil([&] { return Other->Done && Same->Done; });
  CHECK(First->status() == 200);
  CHECK(Other->status() == 409);
  CHECK(Same->status() == 200);
  CHECK(Upstream.Seen.size() == 1);
}

// The limiter counts the request of a caller, not our repeats of it, and no
// request that is refused for another reason.
TEST_CASE_METHOD(CustomersTest, "Limit of a customer is asked once a request") {
  addCustomer("acme", "key-a", 0, 5);
  makePublic("/open");
  Mesh.Routes[base::RouteName("keyed")] = Mesh.Routes.begin()->second;
  document::Route &Keyed = Mesh.Routes[base::RouteName("keyed")];
  Keyed.Name = base::RouteName("keyed");
  Keyed.PathPrefix = "/keyed";
  Keyed.RequireIdempotencyKey = true;
  Snapshots.set(Mesh);
  ask("/a", "");
  ask("/open", bearer("key-a"));
  ask("/a", bearer("key-b"));
  post(Node, "/keyed", "", bearer("key-a"));
  sendRaw("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000000\r\n" +
          bearer("key-a") + "\r\n");
  CHECK(Node.Quotas.Asked.empty());
  addUpstream(addNode("m"));
  // Breaks at each upstream, so that it is repeated.
  ask("/break", bearer("key-a"));
  CHECK(Upstreams[0]->Seen.size() + Upstreams[1]->Seen.size() > 3);
  CHECK(Node.Quotas.Asked == std::vector<std::string>{"acme"});
}

TEST_CASE_METHOD(CustomersTest, "Requests above a limit are refused with 429") {
  addCustomer("acme", "key-a", 0, 5);
  Node.Quotas.Next = {false, base::Millis(40'000)};
  auto Result = ask("/a", bearer("key-a"));
  CHECK(Result->status() == 429);
  CHECK(Result->has("X-Amaranth-Outcome: not-run"));
  CHECK(Result->has("X-Amaranth-Reason: quota-exceeded"));
  CHECK(Result->has("Retry-After: 40\r\n"));
  CHECK(Result->has("customer acme has used up its limit of 5 requests"));
  CHECK(Upstream.Seen.empty());
  CHECK(ask("/a", bearer("key-b"))->status() == 200);
}

// Guards against metrics that grow with each replacement of the customers.
TEST_CASE("Metrics bounds the number of customers") {
  prometheus::Registry Registry;
  Metrics Counters(Registry);
  for (std::size_t I = 0; I < 2 * Metrics::MaxCustomers; ++I)
    Counters.countCustomerRequest(base::CustomerName(std::to_string(I)),
                                  "answered");
  std::size_t Series = 0;
  for (const auto &Family : Registry.Collect())
    if (Family.name == "amaranth_customer_requests_total")
      Series = Family.metric.size();
  CHECK(Series == Metrics::MaxCustomers + 1);
}

TEST_CASE_METHOD(CustomersTest,
                 "Rank orders by customer, then by route, calls first") {
  addCustomer("acme", "key-a", 0);
  addCustomer("brevo", "key-b", 1);
  addCustomer("calm", "key-c", 1000);
  CustomerIndex Index(Mesh.Customers);
  auto Rank = [&](const char *Key, std::uint32_t Route) {
    return Index.rank(Index.identify(Key, false, true), Route);
  };
  std::vector<std::uint32_t> Ranks = {
      Rank("", 0),      Rank("", 1000),      Rank("key-a", 0),
      Rank("key-a", 1), Rank("key-a", 1000), Rank("key-b", 0),
      Rank("key-b", 1), Rank("key-c", 0),    Rank("key-c", 1000)};
  CHECK(std::ranges::adjacent_find(Ranks, std::greater_equal<>()) ==
        Ranks.end());
  CHECK(Rank("", 7) == 7);
  CHECK(Index.rank(Index.identify("", true, false), 7) == Rank("key-c", 7));
  CustomerIndex None({});
  CHECK(None.rank(None.identify("", false, false), 5000) == 5000);
}

TEST_CASE_METHOD(CustomersTest,
                 "Customer without recent service precedes a long queue") {
  std::vector<std::shared_ptr<CallerResult>> Results;
  Results.reserve(11);
  for (int I = 0; I < 4; ++I)
    Results.push_back(get(Node, "/hold", bearer("key-a")));
  runUntil([&] { return Upstream.Seen.size() == 4; });
  for (int I = 0; I < 6; ++I)
    Results.push_back(get(Node, "/queued", bearer("key-a")));
  settle();
  Results.push_back(get(Node, "/other", bearer("key-b")));
  settle();
  Held = false;
  Release.notifyAll();
  for (const auto &Each : Results)
    runUntil([&] { return Each->Done; });
  REQUIRE(Upstream.Seen.size() == 11);
  // The four slots become free at about the same time.
  auto Place = std::ranges::find(Upstream.Seen, "GET /other");
  CHECK(Place - Upstream.Seen.begin() < 8);
}

TEST_CASE_METHOD(CustomersTest, "API keys are not logged") {
  std::ostringstream Lines;
  auto Sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(Lines);
  std::vector<std::string> Components = {base::RequestLog, "gate", "dataplane"};
  for (const std::string &Name : Components)
    base::logger(Name)->sinks().push_back(Sink);
  std::string Refused = ask("/a", bearer("secret-1"))->Text;
  Refused += ask("/a", bearer("secret-2") + bearer("key-a"))->Text;
  ask("/a", bearer("key-a"));
  for (const std::string &Name : Components)
    base::logger(Name)->sinks().pop_back();
  CHECK(count(Lines.str(), "unauthenticated") == 2);
  CHECK(count(Lines.str(), "customer=acme") > 0);
  CHECK((Lines.str() + Refused).find("secret") == std::string::npos);
  CHECK((Lines.str() + Refused).find("key-a") == std::string::npos);
}

} // namespace amaranth::dataplane::testing
