#include "MeshFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace amaranth::dataplane::testing {

/// Three nodes with an upstream each, and callers that resend.
class CrashIsolationTest : public MeshFixture {
protected:
  CrashIsolationTest() {
    for (const char *Name : {"a", "b", "c"})
      addUpstream(addNode(Name));
  }

  /// Waits until `Result` is complete without advancing the clock.
  void finish(const std::shared_ptr<CallerResult> &Result) {
    runUntil([&] { return Result->Done; });
  }

  /// Runs until `Result` is complete and lets time pass as needed.
  void finishInTime(const std::shared_ptr<CallerResult> &Result) {
    for (int Step = 0; Step < 200 && !Result->Done; ++Step) {
      settle();
      Time.advance(base::Millis(10));
    }
    REQUIRE(Result->Done);
  }

  std::size_t crashedUpstreams() const {
    return static_cast<std::size_t>(
        std::count_if(Upstreams.begin(), Upstreams.end(),
                      [](const auto &Each) { return Each->Crashed; }));
  }

  /// The upstream that runs a request to `Target`, or null.
  TestUpstream *runningAt(const std::string &Target) {
    for (auto &Each : Upstreams)
      if (std::find(Each->Seen.begin(), Each->Seen.end(), "GET " + Target) !=
          Each->Seen.end())
        return Each.get();
    return nullptr;
  }
};

// Guards against callers that lose their request, or wait for the report of
// the crash, because their request ran beside the one that crashed an upstream.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Idempotent request beside a crash is answered by another "
                 "upstream at once") {
  auto Innocent = get(*Nodes[0], "/hold/innocent");
  runUntil([&] { return runningAt("/hold/innocent") != nullptr; });
  TestUpstream *First = runningAt("/hold/innocent");
  Held = false;
  First->crash();
  finish(Innocent);
  CHECK(Innocent->status() == 200);
  CHECK(crashedUpstreams() == 1);
}

// Guards against a request that takes down the whole service because it is
// sent again at any node.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Request that crashed two upstreams reaches no third one") {
  auto First = get(*Nodes[0], "/crash/1");
  finishInTime(First);
  applyQuarantine();
  for (auto &Node : Nodes) {
    auto Again = get(*Node, "/crash/1");
    finishInTime(Again);
    CHECK(Again->status() == 503);
    applyQuarantine();
  }
  CHECK(crashedUpstreams() == 2);
  auto Other = get(*Nodes[0], "/echo");
  finishInTime(Other);
  CHECK(Other->status() == 200);
}

// Guards against a crash that makes suspects of requests whose upstream was
// crashed by a known suspect.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Request beside the second crash is neither suspected nor "
                 "refused") {
  auto Culprit = get(*Nodes[0], "/hold/culprit");
  runUntil([&] { return runningAt("/hold/culprit") != nullptr; });
  TestUpstream *First = runningAt("/hold/culprit");
  First->crash();
  auto Retried = [&]() -> TestUpstream * {
    for (auto &Each : Upstreams)
      if (Each.get() != First && !Each->Seen.empty())
        return Each.get();
    return nullptr;
  };
  runUntil([&] { return Retried() != nullptr; });
  TestUpstream *Second = Retried();
  // Callers of every node, so that some request runs beside the culprit.
  std::vector<std::shared_ptr<CallerResult>> Innocent;
  while (Second->Seen.size() < 2) {
    Innocent.push_back(get(*Nodes[Innocent.size() % 3],
                           "/hold/" + std::to_string(Innocent.size())));
    settle();
  }
  Second->crash();
  Held = false;
  Release.notifyAll();
  for (auto &Each : Innocent) {
    finish(Each);
    CHECK(Each->status() == 200);
  }
  finishInTime(Culprit);
  CHECK(Culprit->status() == 502);
  std::size_t Suspects = 0;
  for (const control::Command &Request : Control.Seen)
    if (const auto *Report = std::get_if<control::ReportCrash>(&Request))
      Suspects += Report->Fingerprints.size();
  CHECK(Suspects == 1);
}

// Guards against a request that is never convicted, and takes down the service
// for as long as it is sent, because another caller's equal request is
// answered.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Request that crashes upstreams for one caller is convicted "
                 "although others are answered") {
  CallerService = "x";
  TestNode &Crashing = addNode("x");
  CallerService = "y";
  TestNode &Harmless = addNode("y");
  auto AnswerOthers = [&] {
    for (std::size_t I = 0; I < 6; ++I) {
      auto Other = get(Harmless, "/crash-for/x");
      finishInTime(Other);
      CHECK(Other->status() == 200);
    }
  };
  AnswerOthers();
  auto First = get(Crashing, "/crash-for/x");
  finishInTime(First);
  CHECK(First->status() == 502);
  applyQuarantine();
  auto Again = get(Crashing, "/crash-for/x");
  finishInTime(Again);
  CHECK(Again->status() == 503);
  CHECK(crashedUpstreams() == 2);
  // The other caller's request is not refused as convicted.
  AnswerOthers();
}

// Guards against a popular request that is refused for minutes because it is
// running whenever an upstream crashes.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Request that was answered before is not convicted") {
  Held = false;
  for (auto &Node : Nodes)
    finish(get(*Node, "/hold/popular"));
  for (auto &Upstream : Upstreams)
    Upstream->Seen.clear();
  Held = true;
  for (std::size_t Crash = 0; Crash < 2; ++Crash) {
    auto Popular = get(*Nodes[0], "/hold/popular");
    runUntil([&] { return runningAt("/hold/popular") != nullptr; });
    TestUpstream *Running = runningAt("/hold/popular");
    Running->Seen.clear();
    Running->crash();
    Held = false;
    Release.notifyAll();
    finishInTime(Popular);
    CHECK(Popular->status() == 200);
    for (auto &Upstream : Upstreams)
      Upstream->Seen.clear();
    Held = true;
    applyQuarantine();
  }
  CHECK(crashedUpstreams() == 2);
}

// Guards against a third lost upstream when a supervisor restarts the first one
// before the gate notices more than a broken connection.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Request whose connection broke is convicted by the next "
                 "crash") {
  auto Result = get(*Nodes[0], "/restart-then-crash");
  finishInTime(Result);
  CHECK(Result->status() == 502);
  CHECK(Result->has("X-Amaranth-Reason: quarantined"));
  CHECK(crashedUpstreams() == 1);
}

// Guards against a convicted request that reaches upstreams because control
// cannot commit the conviction.
TEST_CASE_METHOD(CrashIsolationTest,
                 "Entry node refuses a convicted request without control") {
  Control.Down = true;
  auto First = get(*Nodes[0], "/crash/1");
  finishInTime(First);
  CHECK(First->status() == 502);
  REQUIRE(crashedUpstreams() == 2);
  auto Again = get(*Nodes[0], "/crash/1");
  finish(Again);
  CHECK(Again->status() == 503);
  CHECK(Again->has("Retry-After: "));
  CHECK(crashedUpstreams() == 2);
}

class CrashQuarantineTest {
protected:
  CrashQuarantineTest() : Snapshots(Context.get_executor()) {}

  boost::asio::io_context Context;
  base::ManualClock Time;
  FakeSnapshots Snapshots;
  CrashQuarantine Quarantine{Time, Snapshots};
};

TEST_CASE_METHOD(CrashQuarantineTest,
                 "attributeCrash convicts the only suspect that was running") {
  CHECK(Quarantine.attributeCrash({1, 2, 3}).Suspects ==
        std::vector<std::uint64_t>{1, 2, 3});
  auto Second = Quarantine.attributeCrash({1, 2, 4});
  CHECK_FALSE(Second.Culprit);
  CHECK(Second.Suspects == std::vector<std::uint64_t>{1, 2});
  CHECK_FALSE(Quarantine.isSuspect(4));
  auto Third = Quarantine.attributeCrash({1, 5});
  CHECK(Third.Culprit == 1);
  CHECK(Third.Suspects.empty());
  CHECK(Quarantine.convictedFor(1));
  CHECK_FALSE(Quarantine.isSuspect(1));
  CHECK(Quarantine.isSuspect(2));
}

TEST_CASE_METHOD(CrashQuarantineTest,
                 "attributeCrash blames a convicted request") {
  Quarantine.convict(7);
  auto Cause = Quarantine.attributeCrash({1, 7});
  CHECK(Cause.Culprit == 7);
  CHECK_FALSE(Quarantine.isSuspect(1));
}

TEST_CASE_METHOD(CrashQuarantineTest,
                 "Conviction ends when an operator lifts it") {
  Quarantine.convict(7);
  CHECK(Quarantine.convictedFor(7));
  document::MeshSnapshot Mesh;
  Snapshots.set(Mesh);
  // The conviction is not committed yet.
  CHECK(Quarantine.convictedFor(7));
  Mesh.Quarantine[7] = {7, base::ServiceName("s"), true,
                        Time.wallNow() + base::Millis(600'000)};
  Snapshots.set(Mesh);
  CHECK(Quarantine.convictedFor(7) == base::Millis(600'000));
  Mesh.Quarantine.clear();
  Snapshots.set(Mesh);
  CHECK_FALSE(Quarantine.convictedFor(7));
}

TEST_CASE_METHOD(CrashQuarantineTest,
                 "Answered request is no suspect, whatever the snapshot says") {
  document::MeshSnapshot Mesh;
  Mesh.Quarantine[1] = {1, base::ServiceName("s"), false,
                        Time.wallNow() + base::Millis(600'000)};
  Snapshots.set(Mesh);
  CHECK(Quarantine.isSuspect(1));
  Quarantine.recordAnswer(1);
  CHECK_FALSE(Quarantine.isSuspect(1));
  CHECK(Quarantine.attributeCrash({1}).Suspects.empty());
  Time.advance(CrashQuarantine::AnsweredLifetime);
  CHECK(Quarantine.isSuspect(1));
}

// Guards against a request that is cleared for a minute by an answer from
// before it began to crash upstreams, or from another version of the service.
TEST_CASE_METHOD(CrashQuarantineTest,
                 "Answer excuses a request from one crash only") {
  Quarantine.recordAnswer(1);
  CHECK(Quarantine.attributeCrash({1, 2}).Suspects ==
        std::vector<std::uint64_t>{2});
  Quarantine.recordAnswer(2);
  CHECK(Quarantine.attributeCrash({1}).Suspects ==
        std::vector<std::uint64_t>{1});
  CHECK(Quarantine.attributeCrash({1}).Culprit == 1);
}

TEST_CASE_METHOD(CrashQuarantineTest,
                 "Crash after an answer makes the request a suspect again") {
  Quarantine.recordAnswer(1);
  Quarantine.addSuspect(1);
  CHECK_FALSE(Quarantine.isSuspect(1));
  Quarantine.recordCrash(1);
  CHECK(Quarantine.isSuspect(1));
  Quarantine.recordAnswer(1);
  CHECK_FALSE(Quarantine.isSuspect(1));
}

TEST_CASE_METHOD(CrashQuarantineTest,
                 "Own observations expire and are bounded") {
  Quarantine.addSuspect(1);
  Quarantine.convict(2);
  Time.advance(CrashQuarantine::EntryLifetime - base::Millis(1));
  CHECK(Quarantine.isSuspect(1));
  CHECK(Quarantine.convictedFor(2) == base::Millis(1));
  Time.advance(base::Millis(1));
  CHECK_FALSE(Quarantine.isSuspect(1));
  CHECK_FALSE(Quarantine.convictedFor(2));
  for (std::uint64_t I = 10; I < 10 + CrashQuarantine::MaxEntries; ++I)
    Quarantine.addSuspect(I);
  CHECK(Quarantine.isSuspect(10));
  Quarantine.addSuspect(3);
  CHECK_FALSE(Quarantine.isSuspect(10));
  CHECK(Quarantine.isSuspect(11));
  CHECK(Quarantine.isSuspect(3));
}

} // namespace amaranth::dataplane::testing
