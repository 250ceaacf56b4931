#include "QuotaSimulation.h"
#include "amaranth/base/Error.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <numeric>

namespace amaranth::dataplane::testing {

namespace {

document::Customer customer(const std::string &Name, double PerSecond,
                            double Burst) {
  document::Customer Result;
  Result.Name = base::CustomerName(Name);
  Result.RequestsPerSecond = PerSecond;
  Result.Burst = Burst;
  return Result;
}

std::vector<std::size_t> firstNodes(std::size_t Count) {
  std::vector<std::size_t> Result(Count);
  std::iota(Result.begin(), Result.end(), 0);
  return Result;
}

/// One schedule of failures from a seed. Returns a description of a window
/// that exceeds the bound; empty if there is none.
std::string boundViolation(std::uint64_t Seed) {
  constexpr std::int64_t End = 14'000;
  constexpr double Rates[] = {3, 20, 20, 120, 120, 320};
  constexpr std::size_t NodeCount = 13;
  std::mt19937_64 Random(Seed);
  auto Pick = [&](std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(Random);
  };
  QuotaSimulation::Settings Options;
  Options.Nodes = NodeCount;
  Options.Seed = Seed;
  Options.MaxDelay = Pick(1, 4) == 1 ? 120 : 3;
  Options.Loss = Pick(0, 2) == 0 ? 0.1 : 0;
  Options.ClockError = 0.001;
  Options.MaxViewLag = Pick(0, 3000);
  QuotaSimulation Mesh(Options);
  double Rate = Rates[Pick(0, 5)];
  constexpr double Bursts[] = {0, 0.5, 1, 4};
  document::Customer Limit = customer("c", Rate, Bursts[Pick(0, 3)] * Rate);
  Mesh.setCustomers({Limit});
  constexpr std::size_t Spread[] = {1, 3, NodeCount};
  // Quiet at the start in some schedules, so that buckets are full.
  std::int64_t LoadFrom = Pick(0, 1) == 0 ? 0 : Pick(4000, 8000);
  auto Callers = firstNodes(Spread[Pick(0, 2)]);
  double PerSecond = Rate * static_cast<double>(Pick(3, 7));
  Mesh.at(LoadFrom, [&Mesh, Limit, PerSecond, Callers] {
    Mesh.load(Limit, PerSecond, Callers, End);
  });
  // An owner with a full bucket that is away until its successor has one too.
  for (std::int64_t I = LoadFrom > 0 ? Pick(0, 2) : 0; I > 0; --I) {
    std::int64_t Until = LoadFrom + Pick(-200, 400);
    bool Suspend = Pick(0, 1) == 0;
    Mesh.at(Pick(3000, LoadFrom - 400), [&Mesh, Until, Suspend] {
      for (std::size_t J = 0; J < NodeCount; ++J)
        if (Mesh.owned(J) > 0)
          Mesh.freeze(J, Until, Suspend);
    });
  }
  for (std::int64_t I = Pick(1, 10); I > 0; --I) {
    std::int64_t From = Pick(0, End - 1000);
    std::int64_t Until = From + Pick(50, 6000);
    auto Node = static_cast<std::size_t>(Pick(0, NodeCount - 1));
    auto Kind = Pick(0, 4);
    auto Size = Pick(1, NodeCount - 1);
    Mesh.at(From, [&Mesh, Node, Until, Kind, Size] {
      if (Kind <= 1)
        Mesh.freeze(Node, Until, Kind == 0);
      else if (Kind == 2)
        Mesh.restart(Node, Until);
      else if (Kind == 3)
        Mesh.controlDown(true);
      for (std::size_t J = 0; Kind == 4 && J < static_cast<std::size_t>(Size);
           ++J)
        Mesh.setPart((Node + J) % NodeCount, 1);
    });
    Mesh.at(Until, [&Mesh, Node, Kind, Size] {
      if (Kind == 3)
        Mesh.controlDown(false);
      for (std::size_t J = 0; Kind == 4 && J < static_cast<std::size_t>(Size);
           ++J)
        Mesh.setPart((Node + J) % NodeCount, 0);
    });
  }
  Mesh.run(End);
  if (Mesh.worstWindow(Limit) <=
      static_cast<std::uint64_t>(QuotaSimulation::bound(Limit)))
    return "";
  return "seed " + std::to_string(Seed) + ": " +
         std::to_string(Mesh.worstWindow(Limit)) + " requests in 5 s, limit " +
         std::to_string(Rate) + ", burst " + std::to_string(Limit.Burst) +
         ", bound " + std::to_string(QuotaSimulation::bound(Limit));
}

} // namespace

// Guards against two nodes that both grant as owners, and against tokens that
// outlive their owner: restarts, freezes, partitions, lagging views.
TEST_CASE("No window of five seconds exceeds the bound in any schedule",
          "[quota]") {
  constexpr std::uint64_t Seeds = 200;
  const char *Text = std::getenv("AMARANTH_SEED");
  std::uint64_t First = Text ? std::stoull(Text) : 1;
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    std::string Violation = boundViolation(Seed);
    INFO(Violation);
    INFO("repeat with AMARANTH_SEED=" << Seed);
    CHECK(Violation.empty());
  }
}

// Guards against tokens that are lost on the way and against owners that are
// not found: both make the customer pay for less than it gets.
TEST_CASE("Demand above the limit uses at least 95 percent of it", "[quota]") {
  auto Rate = GENERATE(3.0, 20.0, 120.0, 600.0);
  auto Hot = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{71});
  CAPTURE(Rate, Hot);
  constexpr std::int64_t Warm = 3000;
  std::int64_t End = Warm + (Rate < 100 ? 30'000 : 6'000);
  QuotaSimulation Mesh({});
  auto Limit = customer("c", Rate, Rate / 2);
  Mesh.setCustomers({Limit});
  Mesh.load(Limit, Rate * 3, firstNodes(Hot), End);
  Mesh.run(Warm);
  auto Before = Mesh.result(Limit).AdmittedAt.size();
  Mesh.run(End);
  auto Admitted =
      static_cast<double>(Mesh.result(Limit).AdmittedAt.size() - Before);
  CHECK(Admitted >= 0.95 * Rate * static_cast<double>(End - Warm) / 1000);
  CHECK(static_cast<double>(Mesh.worstWindow(Limit)) <=
        QuotaSimulation::bound(Limit));
}

// Guards against refusals below the limit: tokens that one node holds while
// another needs them, shards that run empty while others are full.
TEST_CASE("No request is refused while demand is below 80 percent", "[quota]") {
  auto Rate = GENERATE(3.0, 20.0, 120.0, 600.0);
  auto BurstSeconds = GENERATE(0.05, 1.0);
  CAPTURE(Rate, BurstSeconds);
  constexpr std::int64_t Warm = 3000;
  std::int64_t End = Warm + (Rate < 100 ? 60'000 : 10'000);
  QuotaSimulation Mesh({});
  auto Limit = customer("c", Rate, Rate * BurstSeconds);
  Mesh.setCustomers({Limit});
  Mesh.run(Warm);
  Mesh.load(Limit, Rate * 0.8, firstNodes(71), End, 0.8);
  Mesh.run(End + 500);
  CHECK(Mesh.result(Limit).Refused == 0);
  CHECK(Mesh.result(Limit).AdmittedAt.size() == Mesh.result(Limit).Requests);
}

// Guards against an owner that keeps granting what the limit was before.
TEST_CASE("A lowered limit holds at once", "[quota]") {
  QuotaSimulation::Settings Options;
  Options.MaxViewLag = 200;
  Options.Nodes = 20;
  QuotaSimulation Mesh(Options);
  auto High = customer("c", 300, 600);
  auto Low = customer("c", 30, 10);
  Mesh.setCustomers({High});
  // Quiet until then, so that the buckets hold the burst of the old limit.
  Mesh.at(6000, [&] { Mesh.setCustomers({Low}); });
  Mesh.at(6450, [&] { Mesh.load(High, 900, firstNodes(20), 15'000); });
  Mesh.run(15'000);
  CHECK(static_cast<double>(Mesh.worstWindow(Low, 6000 + 450)) <=
        QuotaSimulation::bound(Low));
}

// Guards against a limit that is lost with its owner until control has noticed
// it.
TEST_CASE("Another node takes over before control has noticed the loss",
          "[quota]") {
  auto Suspend = GENERATE(false, true);
  QuotaSimulation::Settings Options;
  Options.ControlLease = 60'000;
  QuotaSimulation Mesh(Options);
  auto Limit = customer("c", 90, 20);
  Mesh.setCustomers({Limit});
  std::vector<std::size_t> Callers = firstNodes(71);
  std::size_t Owner = 71;
  Mesh.run(4000);
  for (std::size_t I = 0; I < 71; ++I)
    if (Mesh.owned(I) > 0)
      Owner = I;
  REQUIRE(Owner < 71);
  std::erase(Callers, Owner);
  Mesh.load(Limit, 270, Callers, 12'000);
  Mesh.run(6000);
  Mesh.freeze(Owner, 30'000, Suspend);
  Mesh.run(8000);
  auto Before = Mesh.result(Limit).AdmittedAt.size();
  Mesh.run(12'000);
  // 4 s at the full rate, begun 2 s after the loss.
  CHECK(Mesh.result(Limit).AdmittedAt.size() - Before >= 0.95 * 4 * 90);
}

// Guards against a shutdown of an owner that costs its customers a second.
TEST_CASE("An owner that drains hands over without a refusal", "[quota]") {
  auto Seed = GENERATE(std::uint64_t{1}, std::uint64_t{2}, std::uint64_t{3});
  CAPTURE(Seed);
  QuotaSimulation::Settings Options;
  Options.Seed = Seed;
  Options.MaxViewLag = 300;
  QuotaSimulation Mesh(Options);
  auto Limit = customer("c", 50, 25);
  Mesh.setCustomers({Limit});
  Mesh.run(20'000);
  Mesh.load(Limit, 40, firstNodes(71), 30'000, 0.8);
  Mesh.run(22'000);
  std::size_t Owner = 0;
  while (Owner < 70 && Mesh.owned(Owner) == 0)
    ++Owner;
  Mesh.drain(Owner);
  Mesh.run(25'000);
  CHECK(Mesh.owned(Owner) == 0);
  Mesh.run(30'500);
  CHECK(Mesh.result(Limit).Refused == 0);
}

// Guards against a vote for two nodes: after a restart, for which the vote of
// the earlier process still counts, and when messages overtake each other.
TEST_CASE("A vote is bound until its owner no longer counts it", "[quota]") {
  const base::NodeId One("one");
  const base::NodeId Two("two");
  QuotaVote Restarted{base::TimePoint(1100)};
  CHECK_FALSE(Restarted.request(One, 1, base::TimePoint(1099)).Granted);
  CHECK(Restarted.request(One, 2, base::TimePoint(1100)).Granted);
  // The release was sent before the request that it arrives behind.
  Restarted.release(One, 1, base::TimePoint(1200));
  CHECK_FALSE(Restarted.request(Two, 7, base::TimePoint(1201)).Granted);
  CHECK(Restarted.request(One, 3, base::TimePoint(1300)).Contender == Two);
  Restarted.release(One, 4, base::TimePoint(1400));
  CHECK(Restarted.request(Two, 8, base::TimePoint(1400)).Granted);
}

// Guards against two owners by different groups while snapshots lag.
TEST_CASE("A changed group needs a majority of the previous one too",
          "[quota]") {
  std::vector<base::NodeId> Nodes;
  for (const char *Name : {"a", "b", "c", "d", "e", "f", "g"})
    Nodes.emplace_back(Name);
  QuotaVotes Votes;
  Votes.setGroup({Nodes.begin(), Nodes.begin() + 5}, base::TimePoint(0));
  Votes.setGroup({Nodes.begin() + 2, Nodes.end()}, base::TimePoint(100));
  for (std::size_t I = 4; I < 7; ++I)
    Votes.add(Nodes[I], base::TimePoint(200));
  CHECK_FALSE(Votes.majority(base::TimePoint(300)));
  Votes.add(Nodes[0], base::TimePoint(200));
  Votes.add(Nodes[1], base::TimePoint(200));
  CHECK(Votes.majority(base::TimePoint(300)));
  CHECK_FALSE(Votes.majority(base::TimePoint(1200)));
}

// Guards against a second full burst after a suspension: steady time stood
// still, so that the votes of the owner seem to be fresh.
TEST_CASE("An owner that was suspended starts with an empty bucket",
          "[quota]") {
  QuotaNode Alone(base::NodeId("n"), 1, 1, base::TimePoint(0));
  Alone.setMembers({{base::NodeId("n"), {}, {}, true}}, base::TimePoint(0));
  Alone.setCustomers({customer("c", 10, 50)}, base::TimePoint(0));
  std::int64_t Now = 0;
  for (; Now < 10'000; Now += 50)
    Alone.advance({base::TimePoint(Now), base::BootTime(Now)});
  QuotaRequest Ask;
  Ask.Asks = {{1, {base::CustomerName("c"), 0}, 20, false, base::Millis(0)}};
  auto Grant = [&](std::int64_t Boot) {
    return Alone
        .onRequest(base::NodeId("m"), Ask,
                   {base::TimePoint(Now), base::BootTime(Boot)})
        .Tokens.at(0);
  };
  QuotaTokens Before = Grant(Now);
  CHECK(Before.Owner);
  CHECK(Before.Tokens == 20);
  QuotaTokens After = Grant(Now + 3000);
  CHECK_FALSE(After.Owner);
  CHECK(After.Tokens <= 2);
}

TEST_CASE("A node that grants more than it was asked for violates the protocol",
          "[quota]") {
  QuotaNode Node(base::NodeId("n"), 1, 1, base::TimePoint(0));
  QuotaTime Start{base::TimePoint(0), base::BootTime(0)};
  Node.setMembers({{base::NodeId("m"), {}, {}, true}}, Start.Now);
  auto Limit = customer("c", 10, 5);
  Node.setCustomers({Limit}, Start.Now);
  Node.request(Limit, base::Millis(150), Start);
  auto Sent = Node.takeMessages();
  REQUIRE(Sent.size() == 1);
  QuotaGrant Grant;
  Grant.Tokens = {{Sent[0].Message.Asks.at(0).Id, 2, true, {}, {}}};
  CHECK_THROWS_AS(Node.onGrant(base::NodeId("m"), Grant, Start),
                  base::ProtocolError);
  // Neither that message nor one of another node changes anything.
  Grant.Tokens[0].Tokens = 1;
  Node.onGrant(base::NodeId("x"), Grant, Start);
  CHECK(Node.takeDecisions().empty());
  Node.onGrant(base::NodeId("m"), Grant, Start);
  CHECK(Node.takeDecisions().size() == 1);
}

// Guards against a message that its receiver rejects, which would end all
// exchanges on the connection.
TEST_CASE("Messages to one node are split at the largest accepted size",
          "[quota]") {
  QuotaNode Node(base::NodeId("n"), 1, 1, base::TimePoint(0));
  QuotaTime Start{base::TimePoint(0), base::BootTime(0)};
  Node.setMembers({{base::NodeId("m"), {}, {}, true}}, Start.Now);
  constexpr int Count = 5'000;
  std::vector<document::Customer> Many;
  Many.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Many.push_back(customer("c" + std::to_string(I), 10, 5));
  Node.setCustomers(Many, Start.Now);
  for (const document::Customer &Each : Many)
    Node.request(Each, base::Millis(150), Start);
  std::size_t Asks = 0;
  for (const QuotaNode::Outgoing &Each : Node.takeMessages()) {
    CHECK_NOTHROW(decodeQuotaRequest(encode(Each.Message)));
    Asks += Each.Message.Asks.size();
  }
  CHECK(Asks == Many.size());
}

// Guards against tokens that a frozen node uses long after they were granted.
TEST_CASE("A token expires 200 ms after it was asked for", "[quota]") {
  QuotaAsker Asker;
  Asker.setShards(1);
  Asker.add(1, base::TimePoint(150), base::TimePoint(0));
  auto Ask = Asker.nextAsk(0, base::TimePoint(0));
  REQUIRE(Ask);
  CHECK(Ask->Tokens == 1);
  Asker.addTokens(2, base::TimePoint(0));
  Asker.onAnswer(0, base::TimePoint(3));
  CHECK(Asker.decide(base::TimePoint(3)).size() == 1);
  Asker.add(2, base::TimePoint(350), base::TimePoint(200));
  CHECK(Asker.decide(base::TimePoint(200)).empty());
}

TEST_CASE("A suspended machine loses its tokens", "[quota]") {
  QuotaSuspension Check;
  CHECK_FALSE(Check.check(base::TimePoint(0), base::BootTime(500)));
  CHECK_FALSE(Check.check(base::TimePoint(50), base::BootTime(551)));
  // Suspended: only boot time went on. Stopped: both did.
  CHECK(Check.check(base::TimePoint(60), base::BootTime(3000)));
  CHECK_FALSE(Check.check(base::TimePoint(100), base::BootTime(3040)));
  CHECK(Check.check(base::TimePoint(1200), base::BootTime(4140)));
}

TEST_CASE("Hostile quota messages are protocol errors", "[quota]") {
  QuotaShard Shard{base::CustomerName("c"), 0};
  QuotaRequest Good;
  Good.Asks = {{7, Shard, 3, true, base::Millis(150)}};
  Good.Votes = {{9, Shard, false}};
  CHECK(decodeQuotaRequest(encode(Good)) == Good);
  QuotaGrant Grant;
  Grant.Tokens = {{7, 3, true, base::Millis(5), base::NodeId("n")}};
  Grant.Votes = {{9, Shard, true, base::NodeId("m")}};
  CHECK(decodeQuotaGrant(encode(Grant)) == Grant);

  auto Refused = [&](auto Change) {
    QuotaRequest Bad = Good;
    Change(Bad);
    CHECK_THROWS_AS(decodeQuotaRequest(encode(Bad)), base::ProtocolError);
  };
  Refused([](QuotaRequest &Bad) { Bad.Asks[0].Tokens = 0; });
  Refused([](QuotaRequest &Bad) { Bad.Asks[0].Tokens = ~0U; });
  Refused([](QuotaRequest &Bad) { Bad.Asks[0].MaxWait = base::Millis(-1); });
  Refused([](QuotaRequest &Bad) { Bad.Asks[0].Shard.Index = 8; });
  Refused([](QuotaRequest &Bad) { Bad.Asks[0].Shard.Customer = {}; });
  Refused([](QuotaRequest &Bad) {
    Bad.Votes[0].Shard.Customer = base::CustomerName(std::string(300, 'x'));
  });
  Refused([](QuotaRequest &Bad) { Bad.Asks.resize(5000, Bad.Asks[0]); });
  Grant.Tokens[0].RetryAfter = base::Millis(-5);
  CHECK_THROWS_AS(decodeQuotaGrant(encode(Grant)), base::ProtocolError);
  base::Bytes Noise(64, 0xff);
  CHECK_THROWS_AS(decodeQuotaRequest(Noise), base::ProtocolError);
}

} // namespace amaranth::dataplane::testing
