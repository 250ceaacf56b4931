#include "EntryRefusal.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/dataplane/Balancer.h"
#include "amaranth/dataplane/RetryBudget.h"
#include "amaranth/dataplane/UpstreamLifecycle.h"
#include "amaranth/dataplane/VersionCircuitBreaker.h"

#include <catch2/catch.hpp>

#include <random>

namespace amaranth::dataplane {

using document::EndpointState;

class BalancerTest {
protected:
  BalancerTest() : Balance(settings(), Time, Counters, Seed) {}

  static Balancer::Settings settings() {
    Balancer::Settings Options;
    Options.Zone = base::AvailabilityZone("a");
    return Options;
  }

  void add(const std::string &Id, const std::string &Zone,
           EndpointState State = EndpointState::Ready) {
    document::Endpoint Entry;
    Entry.Id = base::EndpointId(Id);
    Entry.Service = Service;
    Entry.Version = Version;
    Entry.Zone = base::AvailabilityZone(Zone);
    Entry.Slots = 10;
    Entry.State = State;
    Mesh.Endpoints[Entry.Id] = Entry;
  }

  std::string choose(const std::set<base::EndpointId> &Avoid = {}) {
    const auto *Found = Balance.choose(Mesh, Service, Version, Avoid, Request);
    return Found ? Found->Id.value() : "none";
  }

  std::map<std::string, int> chooseMany(int Count) {
    std::map<std::string, int> Result;
    for (int I = 0; I < Count; ++I)
      ++Result[choose()];
    return Result;
  }

  static constexpr std::uint64_t Seed = 7;
  base::ManualClock Time;
  prometheus::Registry Registry;
  Metrics Counters{Registry};
  Balancer Balance;
  document::MeshSnapshot Mesh;
  base::ServiceName Service{"s"};
  base::VersionName Version{"v"};
  Balancer::RequestTraits Request;
};

TEST_CASE_METHOD(BalancerTest,
                 "choose prefers the local zone up to its load limit") {
  add("near", "a");
  add("far", "b");
  for (int I = 0; I < 8; ++I)
    Balance.requestStarted(base::EndpointId("near"));
  CHECK(chooseMany(50)["near"] == 50);
  Balance.requestStarted(base::EndpointId("near"));
  CHECK(chooseMany(50)["far"] == 50);
}

TEST_CASE_METHOD(BalancerTest, "choose with AnyZone prefers no zone") {
  for (int I = 0; I < 4; ++I) {
    add("near" + std::to_string(I), "a");
    add("far" + std::to_string(I), "b");
  }
  Request.AnyZone = true;
  int Far = 0;
  for (const auto &[Id, Count] : chooseMany(400))
    Far += Id.starts_with("far") ? Count : 0;
  CHECK(Far > 100);
  CHECK(Far < 300);
}

// Guards against a new version that fails under load and is not found, because
// its requests are spread over all its upstreams.
TEST_CASE_METHOD(BalancerTest,
                 "choose with Concentrate prefers a third with free slots") {
  for (int I = 0; I < 6; ++I)
    add("e" + std::to_string(I), I % 2 == 0 ? "a" : "b");
  Request.Concentrate = true;
  auto Chosen = chooseMany(60);
  CHECK(Chosen["e0"] + Chosen["e1"] == 60);
  Balance.recordLoad(base::EndpointId("e0"), {8, 0, 10});
  CHECK(chooseMany(20)["e1"] == 20);
  Balance.recordLoad(base::EndpointId("e1"), {8, 0, 10});
  Chosen = chooseMany(60);
  CHECK(Chosen["e0"] + Chosen["e1"] < 60);
}

// Guards against downloads that queue at one node of the zone while the links
// of other nodes are idle: free slots do not imply a free link.
TEST_CASE_METHOD(BalancerTest,
                 "choose avoids a busy link for large responses") {
  add("busy", "a");
  add("near", "a");
  add("far", "b");
  UpstreamLoad Work;
  Work.LinkBacklog = base::Millis(900);
  Balance.recordLoad(base::EndpointId("busy"), Work);
  Request = {base::Millis(400), true};
  CHECK(chooseMany(50)["near"] == 50);
  Balance.recordLoad(base::EndpointId("near"), Work);
  CHECK(chooseMany(50)["far"] == 50);
  // The local zone is preferred while its backlog fits `MaxLocalWait`.
  Request.MaxLocalWait = base::Millis(1'000);
  CHECK(chooseMany(50)["far"] == 0);
  // The reported backlog decays at the rate at which the link drains it.
  Time.advance(base::Millis(800));
  Request.MaxLocalWait = base::Millis(400);
  CHECK(chooseMany(50)["far"] == 0);
  Request = {};
  CHECK(chooseMany(50)["far"] == 0);
}

TEST_CASE_METHOD(BalancerTest,
                 "choose never selects draining or starting endpoints") {
  auto Before = base::invariantChecks();
  add("drains", "a", EndpointState::Draining);
  add("starts", "a", EndpointState::Starting);
  CHECK(choose() == "none");
  add("lost", "a", EndpointState::Unreachable);
  CHECK(choose() == "lost");
  add("far", "b");
  CHECK(chooseMany(50)["far"] == 50);
  CHECK(base::invariantChecks() > Before);
}

TEST_CASE_METHOD(BalancerTest,
                 "choose selects the less loaded of two endpoints") {
  add("x", "a");
  add("y", "a");
  Balance.recordLoad(base::EndpointId("x"), {5, 3, 10});
  CHECK(chooseMany(50)["y"] == 50);
  // An outdated report must not keep traffic away forever.
  Time.advance(base::Millis(2000));
  CHECK(chooseMany(200)["x"] > 50);
}

TEST_CASE_METHOD(BalancerTest,
                 "choose sends less traffic to an endpoint in slow start") {
  add("warm", "a");
  add("cold", "a");
  Mesh.Endpoints[base::EndpointId("cold")].ReadySince = Time.wallNow().count();
  CHECK(chooseMany(50)["warm"] == 50);
}

// Guards against hops to cold upstreams that must refuse, while a warm one has
// a shorter queue.
TEST_CASE_METHOD(BalancerTest, "choose compares the wait for a cold upstream") {
  UpstreamLoad Cold{0, 0, 1, base::Millis(50), base::Millis(400)};
  for (const char *Id : {"c1", "c2", "c3"}) {
    add(Id, "a");
    Balance.recordLoad(base::EndpointId(Id), Cold);
  }
  add("w", "b");
  Request.AnyZone = true;
  Balance.recordLoad(base::EndpointId("w"),
                     {10, 20, 10, base::Millis(50), base::Millis(100)});
  CHECK(chooseMany(50)["w"] == 50);
  Balance.recordLoad(base::EndpointId("w"),
                     {10, 150, 10, base::Millis(50), base::Millis(800)});
  CHECK(chooseMany(50)["w"] == 0);
  // A request that may not wait has no use for a local cold one either.
  Request = {base::Millis(100)};
  Balance.recordLoad(base::EndpointId("w"), {1, 0, 10, base::Millis(50)});
  for (const char *Id : {"c1", "c2", "c3"})
    Balance.requestStarted(base::EndpointId(Id));
  CHECK(chooseMany(50)["w"] == 50);
}

// Guards against requests in an evacuated zone as a last resort.
TEST_CASE_METHOD(BalancerTest, "choose never selects an evacuated zone") {
  add("near", "a");
  add("lost", "a", EndpointState::Unreachable);
  add("far", "b");
  Mesh.EvacuatedZones = {base::AvailabilityZone("a")};
  CHECK(chooseMany(50)["far"] == 50);
  CHECK(choose({base::EndpointId("far")}) == "none");
  // The only endpoint left is not ejected, as it is all of the service.
  Balance.recordFailure(Mesh, base::EndpointId("far"), true);
  CHECK_FALSE(Balance.isEjected(base::EndpointId("far")));
  std::set<base::AvailabilityZone> Refused = {base::AvailabilityZone("b")};
  Request.AvoidedZones = &Refused;
  CHECK(choose() == "none");
}

TEST_CASE_METHOD(
    BalancerTest,
    "Ejection leaves at least half of the endpoints of a service") {
  std::mt19937 Random(Seed);
  INFO("seed " << Seed);
  for (int I = 0; I < 7; ++I)
    add("e" + std::to_string(I), "a");
  for (int Round = 0; Round < 200; ++Round) {
    base::EndpointId Id("e" + std::to_string(Random() % 7));
    Balance.recordFailure(Mesh, Id, Random() % 2 == 0);
    Time.advance(base::Millis(100));
    int Out = 0;
    for (const auto &[Known, Entry] : Mesh.Endpoints)
      Out += Balance.isEjected(Known) ? 1 : 0;
    REQUIRE(Out <= 3);
    REQUIRE(choose() != "none");
  }
}

TEST_CASE_METHOD(BalancerTest, "Ejection expires and its duration grows") {
  add("x", "a");
  add("y", "a");
  base::EndpointId Id("x");
  Balance.recordFailure(Mesh, Id, true);
  CHECK(chooseMany(20)["y"] == 20);
  Time.advance(base::Millis(5000));
  CHECK_FALSE(Balance.isEjected(Id));
  Balance.recordFailure(Mesh, Id, true);
  Time.advance(base::Millis(9999));
  CHECK(Balance.isEjected(Id));
}

class VersionCircuitBreakerTest {
protected:
  VersionCircuitBreakerTest() {
    Entry.Name = base::ServiceName("s");
    Entry.Versions = {{Old, 500'000, false}, {New, 500'000, false}};
    Entry.HasRollout = true;
    Entry.Rollout.From = Old;
    Entry.Rollout.To = New;
    Entry.Rollout.Section = base::Revision(1);
  }

  base::VersionName Old{"old"};
  base::VersionName New{"new"};
  document::Service Entry;
  base::ManualClock Time;
  VersionCircuitBreaker Guard{Time};
  std::mt19937_64 Random{5};
};

TEST_CASE_METHOD(VersionCircuitBreakerTest,
                 "Failing version is stopped after few errors") {
  for (int I = 0; I < 100; ++I)
    Guard.observe(Entry, Old, false);
  int Errors = 0;
  for (; !Guard.isOpen(Entry, New); ++Errors)
    Guard.observe(Entry, New, true);
  CHECK(Errors >= 3);
  CHECK(Errors <= 5);
  for (int I = 0; I < 50; ++I)
    REQUIRE(chooseVersion(Entry, Guard, {}, Random)->Version == Old);
  Entry.Rollout.Section = base::Revision(2);
  CHECK_FALSE(Guard.isOpen(Entry, New));
}

// Guards against a rollout that stalls until its deadline because the only
// entry node stopped using the version before control had enough samples.
TEST_CASE_METHOD(VersionCircuitBreakerTest,
                 "Stopped version is retried with increasing delays") {
  auto FailUntilStopped = [this] {
    while (!Guard.isOpen(Entry, New))
      Guard.observe(Entry, New, true);
  };
  FailUntilStopped();
  Time.advance(base::Millis(9'999));
  CHECK(Guard.isOpen(Entry, New));
  Time.advance(base::Millis(1));
  CHECK_FALSE(Guard.isOpen(Entry, New));
  FailUntilStopped();
  Time.advance(base::Millis(19'999));
  CHECK(Guard.isOpen(Entry, New));
  Time.advance(base::Millis(1));
  CHECK_FALSE(Guard.isOpen(Entry, New));
}

// Guards against stopping a version for errors that both versions have.
TEST_CASE_METHOD(VersionCircuitBreakerTest,
                 "Version with the error rate of the old one is not stopped") {
  int Stopped = 0;
  for (unsigned Seed = 0; Seed < 200; ++Seed) {
    VersionCircuitBreaker Fresh{Time};
    std::mt19937 Draw(Seed);
    for (int I = 0; I < 2000; ++I)
      Fresh.observe(Entry, I % 2 ? Old : New, Draw() % 100 < 2);
    Stopped += Fresh.isOpen(Entry, New) ? 1 : 0;
  }
  INFO("seeds 0..199");
  CHECK(Stopped <= 4);
}

// Guards against sending a version more than its share of the traffic when
// another version has no endpoints.
TEST_CASE_METHOD(VersionCircuitBreakerTest,
                 "New version does not receive the share of another version") {
  CHECK(chooseVersion(Entry, Guard, {Old}, Random) == nullptr);
  CHECK(chooseVersion(Entry, Guard, {New}, Random)->Version == Old);
  Entry.Versions = {{Old, document::FullShare, false}, {New, 0, true}};
  for (int I = 0; I < 50; ++I)
    REQUIRE(chooseVersion(Entry, Guard, {}, Random)->Version == Old);
}

TEST_CASE("RetryBudget allows 10 percent of the requests plus 30 in 10 s") {
  base::TimePoint Now(0);
  RetryBudget Budget(Now);
  int Granted = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.recordRequest(Now);
    Granted += Budget.tryAcquire(Now) ? 1 : 0;
  }
  // A third at once.
  CHECK(Granted == 39);
  for (int Second = 0; Second < 9; ++Second) {
    Now = Now + base::Millis(1000);
    while (Budget.tryAcquire(Now))
      ++Granted;
  }
  CHECK(Granted == 130);
  Granted = 0;
  for (int Second = 0; Second < 20; ++Second) {
    Now = Now + base::Millis(1000);
    while (Budget.tryAcquire(Now))
      ++Granted;
  }
  // Two windows with the fixed number only.
  CHECK(Granted >= 20);
  CHECK(Granted <= 60);
}

TEST_CASE("UpstreamLifecycle follows its transition table") {
  using Event = UpstreamEvent;
  using State = UpstreamState;
  UpstreamLifecycle Machine;
  CHECK(Machine.state() == State::Absent);
  CHECK(Machine.apply(Event::AnnouncedStarting));
  CHECK(Machine.state() == State::Starting);
  CHECK(Machine.apply(Event::AnnouncedReady));
  CHECK(Machine.state() == State::Ready);
  CHECK(Machine.apply(Event::Crashed));
  CHECK(Machine.state() == State::Crashed);
  CHECK(Machine.apply(Event::AnnouncedReady));
  CHECK(Machine.apply(Event::AnnouncedDraining));
  CHECK(Machine.state() == State::Draining);
  // A delayed announcement must not restore traffic.
  CHECK_FALSE(Machine.apply(Event::AnnouncedReady));
  CHECK(Machine.apply(Event::AnnouncedStopped));
  CHECK(Machine.state() == State::Stopped);
  CHECK_FALSE(Machine.apply(Event::AnnouncementTimeout));
}

// Guards against an upstream that sheds a part of its requests and is treated
// like one that fails them, or like one that answers.
TEST_CASE_METHOD(BalancerTest, "Shed requests cost less than failed ones") {
  for (const char *Id : {"answers", "sheds", "fails"})
    add(Id, "a");
  for (int I = 0; I < 3; ++I) {
    Balance.recordShed(base::EndpointId("sheds"));
    Balance.recordFailure(Mesh, base::EndpointId("fails"), false);
  }
  CHECK(chooseMany(20)["answers"] == 20);
  std::set<base::EndpointId> Excluded = {base::EndpointId("answers")};
  for (int I = 0; I < 20; ++I)
    CHECK(choose(Excluded) == "sheds");
  for (int I = 0; I < 20; ++I)
    Balance.recordShed(base::EndpointId("sheds"));
  CHECK_FALSE(Balance.isEjected(base::EndpointId("sheds")));
  CHECK(choose(Excluded) == "fails");
  // Neither is held against it for ever.
  Time.advance(base::Millis::seconds(120));
  CHECK(chooseMany(300)["sheds"] > 20);
}

// A version with 200 upstreams, of which a selection looks at a few. Guards
// against a request without an upstream while one is left.
TEST_CASE_METHOD(BalancerTest, "choose finds the last usable one of many") {
  std::set<base::EndpointId> Excluded;
  for (int I = 0; I < 200; ++I) {
    add("e" + std::to_string(I), I % 2 == 0 ? "a" : "b");
    Excluded.insert(base::EndpointId("e" + std::to_string(I)));
  }
  Excluded.erase(base::EndpointId("e77"));
  CHECK(choose(Excluded) == "e77");
  Excluded.insert(base::EndpointId("e77"));
  CHECK(choose(Excluded) == "none");
}

// Requests of 190 ms and 1,100 ms. Guards against placement that counts the
// requests that were sent since a report instead of their cost.
TEST_CASE_METHOD(BalancerTest, "Sent requests count by their expected cost") {
  add("x", "a");
  add("y", "a");
  base::RouteName Short("short");
  base::RouteName Long("long");
  for (const char *Id : {"x", "y"}) {
    UpstreamLoad Load{0, 0, 10};
    Load.RouteServiceTime = base::Millis(1'100);
    Balance.recordLoad(base::EndpointId(Id), Load, Long);
    Load.RouteServiceTime = base::Millis(190);
    Balance.recordLoad(base::EndpointId(Id), Load, Short);
  }
  Balance.requestStarted(base::EndpointId("x"), Long);
  Balance.requestStarted(base::EndpointId("x"), Long);
  for (int I = 0; I < 3; ++I)
    Balance.requestStarted(base::EndpointId("y"), Short);
  Request.Route = Short;
  CHECK(chooseMany(20)["y"] == 20);
  CHECK(Balance.expectedServiceTime(base::EndpointId("x"), Long) >
        base::Millis(900));
}

// Ten entry nodes that decide by the same reports. Guards against all of them
// choosing the upstream that was the least loaded 50 ms ago.
TEST_CASE_METHOD(BalancerTest, "Nodes with the same reports spread requests") {
  constexpr int Nodes = 10;
  constexpr int Upstreams = 8;
  constexpr int RequestsPerNode = 40;
  Request.Route = base::RouteName("r");
  for (int I = 0; I < Upstreams; ++I)
    add("e" + std::to_string(I), "a");
  std::map<std::string, int> Chosen;
  for (std::uint64_t Node = 0; Node < Nodes; ++Node) {
    Balancer Own(settings(), Time, Counters, Seed + Node);
    for (std::uint32_t I = 0; I < Upstreams; ++I) {
      UpstreamLoad Load{5, 0, 10, base::Millis(100)};
      Load.Work = base::Millis(250 + 10 * I);
      Load.RouteServiceTime = base::Millis(100);
      Own.recordLoad(base::EndpointId("e" + std::to_string(I)), Load,
                     Request.Route);
    }
    for (int I = 0; I < RequestsPerNode; ++I) {
      const auto *Found = Own.choose(Mesh, Service, Version, {}, Request);
      REQUIRE(Found);
      Own.requestStarted(Found->Id, Request.Route);
      ++Chosen[Found->Id.value()];
    }
  }
  for (const auto &[Id, Count] : Chosen) {
    INFO(Id);
    CHECK(Count <= 1.3 * Nodes * RequestsPerNode / Upstreams);
  }
}

// Guards against a limited upstream that looks idle and is asked first by every
// node.
TEST_CASE_METHOD(
    BalancerTest,
    "Balancer sends less to an upstream that limits its requests") {
  add("limited", "a");
  add("free", "a");
  for (const char *Id : {"limited", "free"}) {
    UpstreamLoad Load{0, 0, Id == std::string("limited") ? 1U : 10U};
    Load.ServiceTime = base::Millis(100);
    Balance.recordLoad(base::EndpointId(Id), Load);
  }
  CHECK(chooseMany(20) == std::map<std::string, int>{{"free", 20}});
}

TEST_CASE("Refusal of a request that crashed two upstreams is final") {
  Refusal Why{ExecutionOutcome::Unknown, RefusalReason::Quarantined, ""};
  CHECK(isFinal(Why));
  Why.Outcome = ExecutionOutcome::NotRun;
  CHECK(isFinal(Why));
}

TEST_CASE("Refusal of a request that ran during one crash is not final") {
  Refusal Why{ExecutionOutcome::Unknown, RefusalReason::UpstreamCrashed, ""};
  CHECK_FALSE(isFinal(Why));
  Why.Outcome = ExecutionOutcome::NotRun;
  CHECK_FALSE(isFinal(Why));
  CHECK(reasonText(RefusalReason::QueueFull) == "queue-full");
}

} // namespace amaranth::dataplane
