#include "MeshFixture.h"
#include "amaranth/dataplane/EgressShaper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace asio = boost::asio;

namespace amaranth::dataplane::testing {

/// Transfers that share one link, on a manual clock.
class EgressShaperTest {
protected:
  /// 12 Mbit/s.
  static constexpr std::uint64_t LinkBytesPerSecond = 1'500'000;

  struct Transfer {
    std::size_t Bytes = 0;
    std::int64_t Objective = 0;
    std::int64_t DoneAt = -1;
    std::shared_ptr<ExchangeStream> Sender;

    bool inTime() const { return DoneAt >= 0 && DoneAt <= Objective; }
  };

  std::shared_ptr<Transfer> start(std::size_t Bytes, std::int64_t ObjectiveMs) {
    auto Started = std::make_shared<Transfer>();
    Started->Bytes = Bytes;
    Started->Objective = Time.now().count() + ObjectiveMs;
    Started->Sender = std::make_shared<ExchangeStream>(
        Context.get_executor(), nullptr, 1, ExchangeStream::Role::Gate);
    asio::co_spawn(Context, run(Started), asio::detached);
    return Started;
  }

  asio::awaitable<void> run(std::shared_ptr<Transfer> Current) {
    base::TimePoint Objective(Current->Objective);
    SchedulingParams Work{0, Objective, Objective + base::Millis(10'000),
                          base::Millis(0), Shaper.nextSequence()};
    for (std::size_t Remaining = Current->Bytes; Remaining != 0;) {
      std::size_t Piece = std::min(Remaining, EgressShaper::PieceBytes);
      co_await Shaper.acquire(Current->Sender, Work, Piece, Remaining);
      if (Current->Sender->ended())
        co_return;
      Remaining -= Piece;
      Sent += Piece;
    }
    Current->DoneAt = Time.now().count();
  }

  void advance(std::int64_t Millis) {
    for (; Millis > 0; --Millis) {
      Context.restart();
      Context.poll();
      Time.advance(base::Millis(1));
    }
    Context.restart();
    Context.poll();
  }

  asio::io_context Context;
  base::ManualClock Time;
  EgressShaper Shaper{Context.get_executor(), LinkBytesPerSecond, Time};
  std::size_t Sent = 0;
};

// Sending faster than the link would fill its queue and delay every short
// message behind it.
TEST_CASE_METHOD(EgressShaperTest, "acquire never exceeds the link rate") {
  for (int I = 0; I < 10; ++I)
    start(90'000, 400);
  std::size_t Carried = 0;
  for (int Millis = 1; Millis <= 500; ++Millis) {
    advance(1);
    Carried += LinkBytesPerSecond / 1000;
    CAPTURE(Millis);
    REQUIRE(Sent <= Carried + 2 * EgressShaper::PieceBytes);
  }
  CHECK(Sent * 100 >= Carried * (EgressShaper::BodySharePercent - 5));
}

// Guards against a link that stays idle while bodies wait because the process
// gets the processor late: bodies then take much longer than expected.
TEST_CASE_METHOD(EgressShaperTest, "acquire makes up for late wake-ups") {
  // The link needs 250 ms.
  auto Body = start(300'000, 1'000);
  for (int Step = 0; Step < 6; ++Step) {
    Time.advance(base::Millis(50));
    advance(0);
  }
  CHECK(Body->DoneAt >= 0);
  CHECK(Sent <= 300'000);
}

TEST_CASE_METHOD(EgressShaperTest,
                 "acquire completes bodies one after another") {
  // One body of 90 kB takes 75 ms. Sent concurrently, both would take 150 ms.
  auto First = start(90'000, 120);
  auto Second = start(90'000, 240);
  advance(300);
  CHECK(First->inTime());
  CHECK(Second->inTime());
}

// Guards against equal bodies that share the link piece by piece, so that each
// of them is complete only when all are.
TEST_CASE_METHOD(EgressShaperTest,
                 "acquire completes equal bodies in order of arrival") {
  // Both are late: each of them needs 750 ms.
  auto First = start(900'000, 100);
  auto Second = start(900'000, 100);
  advance(1'000);
  CHECK(First->DoneAt >= 0);
  CHECK(Second->DoneAt == -1);
  advance(1'000);
  CHECK(Second->DoneAt >= 0);
}

TEST_CASE_METHOD(EgressShaperTest,
                 "acquire serves timely bodies before late ones") {
  auto Late = start(900'000, 100);
  auto Timely = start(90'000, 150);
  advance(1'000);
  CHECK(Timely->inTime());
  CHECK(Late->DoneAt > Timely->DoneAt);
}

TEST_CASE_METHOD(EgressShaperTest,
                 "acquire returns and frees the link when its sender ends") {
  auto Cancelled = start(900'000, 2'000);
  auto Other = start(90'000, 3'000);
  advance(10);
  Cancelled->Sender->end(
      {ExecutionOutcome::Unknown, RefusalReason::Cancelled, "left"});
  Cancelled->Sender->changed().notifyAll();
  advance(100);
  CHECK(Cancelled->DoneAt == -1);
  CHECK(Other->DoneAt >= 0);
  CHECK(Shaper.backlog(true) == base::Millis(0));
}

TEST_CASE_METHOD(EgressShaperTest, "recordSent delays shaped bodies") {
  Shaper.recordSent(150'000);
  auto Body = start(8'000, 1'000);
  advance(90);
  CHECK(Body->DoneAt == -1);
  advance(60);
  CHECK(Body->DoneAt >= 0);
}

TEST_CASE_METHOD(EgressShaperTest,
                 "backlog is the transmission time of waiting bodies") {
  start(90'000, 1'000);
  start(90'000, 1'000);
  advance(1);
  CHECK(Shaper.backlog(true).count() >= 130);
  CHECK(Shaper.backlog(true).count() <= 150);
}

TEST_CASE_METHOD(EgressShaperTest,
                 "acquire does not wait when shaping is disabled") {
  EgressShaper Unlimited(Context.get_executor(), 0, Time);
  bool Done = false;
  auto Sender = std::make_shared<ExchangeStream>(
      Context.get_executor(), nullptr, 1, ExchangeStream::Role::Gate);
  auto Task = [&]() -> asio::awaitable<void> {
    for (int I = 0; I < 1'000; ++I)
      co_await Unlimited.acquire(Sender, {}, 8'000, 8'000);
    Done = true;
  };
  asio::co_spawn(Context, Task(), asio::detached);
  Context.poll();
  CHECK(Done);
  CHECK(Unlimited.backlog(true) == base::Millis(0));
}

namespace {

/// Reference model: bodies that share a link evenly, as TCP connections do.
class FairShareLink {
public:
  void add(std::size_t Bytes, std::int64_t Objective) {
    Active.push_back({static_cast<double>(Bytes), Objective});
  }
  void advance(std::int64_t Now, double BytesPerMilli) {
    double Share = BytesPerMilli /
                   static_cast<double>(std::max<std::size_t>(1, Active.size()));
    for (Body &Each : Active) {
      Each.RemainingBytes -= Share;
      InTime += Each.RemainingBytes <= 0 && Now <= Each.Objective ? 1 : 0;
    }
    std::erase_if(Active,
                  [](const Body &Each) { return Each.RemainingBytes <= 0; });
  }

  std::size_t InTime = 0;

private:
  struct Body {
    double RemainingBytes;
    std::int64_t Objective;
  };
  std::vector<Body> Active;
};

} // namespace

// Simulates downloads at 0.9, 1.06, 1.2 and 1.5 times the bandwidth available
// to bodies. With an evenly shared link, nearly all of them would be late under
// overload.
TEST_CASE_METHOD(EgressShaperTest,
                 "Replay of downloads beats an evenly shared link") {
  constexpr std::int64_t ObjectiveMs = 400;
  constexpr std::int64_t LengthMs = 20'000;
  constexpr double MeanBytes = 90'000;
  constexpr double Spread = 0.6;
  double BytesPerMilli = static_cast<double>(LinkBytesPerSecond) / 1000 *
                         EgressShaper::BodySharePercent / 100;
  struct LoadPattern {
    double LoadFactor;
    std::size_t MinInTimePercent;
  };
  for (LoadPattern Load :
       {LoadPattern{0.9, 85}, {1.06, 80}, {1.2, 65}, {1.5, 55}}) {
    std::mt19937_64 Random(1);
    std::lognormal_distribution<double> Size(
        std::log(MeanBytes) - Spread * Spread / 2, Spread);
    std::poisson_distribution<int> Arrivals(Load.LoadFactor * BytesPerMilli /
                                            MeanBytes);
    FairShareLink FairShare;
    std::vector<std::shared_ptr<Transfer>> Transfers;
    for (std::int64_t Now = 0; Now < LengthMs; ++Now) {
      for (int I = Arrivals(Random); I > 0; --I) {
        auto Bytes = static_cast<std::size_t>(Size(Random));
        Transfers.push_back(start(Bytes, ObjectiveMs));
        FairShare.add(Bytes, Now + ObjectiveMs);
      }
      FairShare.advance(Now, BytesPerMilli);
      advance(1);
    }
    auto InTime = static_cast<std::size_t>(std::ranges::count_if(
        Transfers, [](const auto &Each) { return Each->inTime(); }));
    INFO("load factor " << Load.LoadFactor << ", " << Transfers.size()
                        << " bodies, in time " << InTime
                        << ", in time on an evenly shared link "
                        << FairShare.InTime);
    CHECK(InTime > FairShare.InTime);
    CHECK(InTime * 100 >= Transfers.size() * Load.MinInTimePercent);
    advance(30'000);
  }
}

/// An upstream with one slot on a node with a slow link.
class NarrowLinkTest : public MeshFixture {
protected:
  static constexpr std::uint64_t LinkBytesPerSecond = 100'000;

  NarrowLinkTest()
      : Left(addNode("left")),
        Right(addNode("right", "z", 0, LinkBytesPerSecond)),
        Upstream(addUpstream(Right, "v1", 1)) {}

  /// Advances the clock until `Result` is done.
  void finish(const CallerResult &Result) {
    runUntil([&] {
      Time.advance(base::Millis(5));
      return Result.Done;
    });
  }

  TestNode &Left;
  TestNode &Right;
  TestUpstream &Upstream;
};

// A slot must not stay occupied while the response waits for the link.
TEST_CASE_METHOD(NarrowLinkTest,
                 "A body that waits for the link releases its slot") {
  auto Large = get(Left, "/size/300000");
  runUntil([&] { return Upstream.BytesWritten == 300'000; });
  settle();
  auto Short = get(Left, "/small");
  finish(*Short);
  CHECK(Short->status() == 200);
  CHECK_FALSE(Large->Done);
  finish(*Large);
  CHECK(Large->body().size() == 300'000);
}

// A shutdown must not truncate responses whose slots are already released.
TEST_CASE_METHOD(NarrowLinkTest, "drain waits for bodies on the link") {
  auto Large = get(Left, "/size/300000");
  runUntil([&] { return Upstream.BytesWritten == 300'000; });
  settle();
  bool Drained = false;
  spawn([](TestNode &Node, bool &Done) -> asio::awaitable<void> {
    bool Completed = co_await Node.UpstreamGate.drain(base::Millis(60'000));
    Done = Completed;
  }(Right, Drained));
  settle();
  CHECK_FALSE(Drained);
  finish(*Large);
  CHECK(Large->body().size() == 300'000);
  runUntil([&] {
    Time.advance(base::Millis(5));
    return Drained;
  });
}

// Guards against a response that waits for the link of its gate until that node
// has shut down, although another upstream could have answered meanwhile.
TEST_CASE_METHOD(NarrowLinkTest,
                 "A body that the link cannot send before its node ends is "
                 "repeated elsewhere") {
  Mesh.Routes.edit().begin()->second.Kind = document::RequestKind::Download;
  Snapshots.set(Mesh);
  auto First = get(Left, "/size/300000");
  runUntil([&] { return Upstream.BytesWritten == 300'000; });
  auto Second = get(Left, "/size/300000");
  runUntil([&] { return Upstream.BytesWritten == 600'000; });
  settle();
  TestUpstream &Other = addUpstream(addNode("other"));
  // The link needs 4 s for each of them.
  spawn([](TestNode &Node) -> asio::awaitable<void> {
    co_await Node.UpstreamGate.drain(base::Millis(5'000));
  }(Right));
  settle();
  CHECK(Second->Done);
  CHECK(Second->body().size() == 300'000);
  CHECK(Other.Seen.size() == 1);
  finish(*First);
  CHECK(First->body().size() == 300'000);
}

// A download must not be admitted if the link cannot send it before its
// deadline of 10 s.
TEST_CASE_METHOD(NarrowLinkTest,
                 "A gate refuses responses its link cannot send in time") {
  for (int I = 0; I < 4; ++I)
    finish(*get(Left, "/size/20000"));
  // The slot is released after each request; the link stays busy for 6 s.
  auto First = get(Left, "/size/500000");
  runUntil([&] { return Upstream.BytesWritten == 580'000; });
  auto Second = get(Left, "/size/500000");
  runUntil([&] { return Upstream.BytesWritten == 1'080'000; });
  auto Refused = get(Left, "/size/20000");
  runUntil([&] { return Refused->Done; });
  CHECK(Refused->status() == 504);
  CHECK(Refused->has("deadline-unreachable"));
  CHECK_FALSE(First->Done);
}

// A route without measurements must not be treated as a download: its requests
// would be refused and therefore never measured.
TEST_CASE_METHOD(NarrowLinkTest,
                 "A gate admits a short request while its link is busy") {
  document::Route Calls{base::RouteName("calls"), "/echo",
                        base::ServiceName("s"), base::Millis(2'000), false};
  Mesh.Routes[Calls.Name] = Calls;
  Snapshots.set(Mesh);
  for (int I = 0; I < 4; ++I)
    finish(*get(Left, "/size/20000"));
  auto Large = get(Left, "/size/500000");
  runUntil([&] { return Upstream.BytesWritten == 580'000; });
  for (int I = 0; I < 6; ++I) {
    auto Short = get(Left, "/echo");
    runUntil([&] { return Short->Done; });
    CHECK(Short->status() == 200);
  }
  CHECK_FALSE(Large->Done);
}

// A caller must not wait beyond the timeout of the route for a response that
// the upstream has already completed.
TEST_CASE_METHOD(NarrowLinkTest, "A body that misses the deadline is aborted") {
  auto Large = get(Left, "/size/900000");
  runUntil([&] { return Upstream.BytesWritten == 900'000; });
  settle();
  // The link needs 11 s; the route allows 10 s.
  for (int I = 0; I < 2'020 && !Large->Done; ++I) {
    Time.advance(base::Millis(5));
    Context.restart();
    Context.poll();
  }
  runUntil([&] { return Large->Done; });
  CHECK((Large->Reset || Large->status() == 504));
  CHECK(Large->body().size() < 900'000);
}

TEST_CASE_METHOD(NarrowLinkTest, "A truncated upstream body is not complete") {
  auto Broken = get(Left, "/short");
  finish(*Broken);
  // The upstream sends 50,000 of the declared 100,000 bytes.
  CHECK((Broken->Reset || Broken->status() == 502));
}

} // namespace amaranth::dataplane::testing
