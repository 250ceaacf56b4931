#include "amaranth/dataplane/ColdLimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace amaranth::dataplane {

namespace {

/// An upstream, its announcements and its gate, in steps of a millisecond.
/// Requests are granted as `SlotQueue` does and sent up to 200 ms later.
class ColdSimulation {
public:
  ColdSimulation(std::uint32_t Seed, double PerSecond)
      : Random(Seed), PerSecond(PerSecond) {
    Limit.setTerms(ColdLimit::Terms{Period, PerSecond});
  }

  void step() {
    Now = Now + base::Millis(1);
    upstreamEvents();
    deliver();
    applyRate();
    bool Burst = Now.count() / 700 % 2 == 0;
    for (std::size_t I = 0; I < (Burst ? 3U : 1U); ++I)
      if (Pacing.tryAcquire(Now))
        Granted.emplace(Now + base::Millis(draw(5) == 0 ? draw(200) : 0), 0);
    for (; !Granted.empty() && Granted.begin()->first <= Now;
         Granted.erase(Granted.begin())) {
      if (Limit.timeUntilSend(Now) > base::Millis(0))
        continue;
      Limit.recordSent(Now);
      Sent.push_back(Now);
      Unbounded += Limit.isCold(Now) ? 0 : 1;
      // The gate cannot know of a change before it is told.
      if (Now < ColdUntil && Now >= KnownFrom)
        checkWindow();
    }
  }
  /// Most requests in a second that ended while the upstream was cold.
  std::size_t Most = 0;
  /// Requests sent while the gate took the upstream for warm.
  std::size_t Unbounded = 0;

private:
  struct Message {
    std::uint64_t Process = 0;
    std::uint64_t Sequence = 0;
    base::Millis ColdFor;
    base::TimePoint Made;
  };

  std::int64_t draw(std::int64_t Count) {
    return std::uniform_int_distribution<std::int64_t>(0, Count - 1)(Random);
  }

  void turnCold(bool Unseen) {
    ColdUntil = std::max(ColdUntil, Now + Period);
    KnownFrom = Unseen ? base::TimePoint::max() : Now;
    if (!Unseen)
      Limit.recordEvent(Now);
  }

  void upstreamEvents() {
    if (draw(9'000) == 0)
      turnCold(true);
    // The end of an evacuation, broken connections, absence, silence.
    if (draw(9'000) == 0)
      turnCold(false);
    if (draw(9'000) == 0) {
      ++Process;
      turnCold(false);
    }
    if (draw(4'000) == 0)
      Named = draw(2) == 0 ? std::optional<RequestRate>()
                           : RequestRate{1.0 + static_cast<double>(draw(80))};
    if (Now >= NextMessage) {
      base::Millis Left = std::max(base::Millis(0), ColdUntil - Now);
      base::Millis Delay = base::Millis(draw(4) == 0 ? draw(1000) : 1);
      OnTheWay.emplace(Now + Delay, Message{Process, ++Sequence, Left, Now});
      NextMessage = Now + base::Millis(1500);
    }
  }

  void deliver() {
    for (; !OnTheWay.empty() && OnTheWay.begin()->first <= Now;
         OnTheWay.erase(OnTheWay.begin())) {
      const Message &Next = OnTheWay.begin()->second;
      if (Next.Process < Announced || Next.Sequence <= LastSequence)
        continue;
      bool Restarted = Next.Process > Announced;
      bool SaysCold = Next.ColdFor > base::Millis(0);
      Announced = Next.Process;
      LastSequence = Next.Sequence;
      if (Restarted)
        Limit.reset(Now);
      Limit.recordMessage(
          Next.ColdFor,
          Restarted && SaysCold ? Now : Now - ColdLimit::MaxAnnouncementDelay,
          Now);
      if (SaysCold && KnownFrom == base::TimePoint::max())
        KnownFrom = Now;
    }
  }

  void applyRate() {
    auto Rate = Limit.lowerRate(Named, Now);
    if (Rate != Pacing.rate())
      Pacing.setRate(Rate, Now, Limit.timeUntilPaced(Now));
  }

  void checkWindow() {
    auto First = std::find_if(Sent.rbegin(), Sent.rend(), [&](auto At) {
      return At <= Now - base::Millis(1000);
    });
    auto Count = static_cast<std::size_t>(First - Sent.rbegin());
    Most = std::max(Most, Count);
    REQUIRE(static_cast<double>(Count) <= 1.5 * PerSecond + 8);
  }

  std::mt19937 Random;
  double PerSecond;
  const base::Millis Period = base::Millis(4000);
  ColdLimit Limit;
  RequestRateLimit Pacing;
  base::TimePoint Now{10'000};
  std::optional<RequestRate> Named;
  base::TimePoint ColdUntil{0};
  base::TimePoint KnownFrom{0};
  base::TimePoint NextMessage{0};
  std::uint64_t Process = 1;
  std::uint64_t Announced = 1;
  std::uint64_t Sequence = 0;
  std::uint64_t LastSequence = 0;
  std::multimap<base::TimePoint, Message> OnTheWay;
  std::multimap<base::TimePoint, int> Granted;
  std::vector<base::TimePoint> Sent;
};

} // namespace

// Guards against a cold upstream that crashes because requests sent while it
// was warm, late announcements or grants used late add up to more than it
// bears.
TEST_CASE("ColdLimit keeps its bound in every second") {
  auto Seed = GENERATE(range(1U, 13U));
  double PerSecond = GENERATE(0.5, 5.0, 20.0, 60.0);
  INFO("seed " << Seed << " rate " << PerSecond);
  ColdSimulation Run(Seed, PerSecond);
  for (int Step = 0; Step < 30'000; ++Step)
    Run.step();
  // The run has warm periods, and a cold upstream gets its rate.
  CHECK(Run.Unbounded > 0);
  CHECK(Run.Most >= static_cast<std::size_t>(PerSecond * 0.9));
}

// Guards against a late announcement that ends the cold period of the next
// process, and against a cold period that a warm upstream cannot end.
TEST_CASE("ColdLimit believes only messages made after the last event") {
  ColdLimit Limit;
  Limit.setTerms(ColdLimit::Terms{base::Millis(8000), 5});
  auto Announce = [&](std::int64_t ColdFor, std::int64_t At) {
    base::TimePoint Now(At);
    Limit.recordMessage(base::Millis(ColdFor),
                        Now - ColdLimit::MaxAnnouncementDelay, Now);
  };
  Announce(0, 10'000);
  CHECK_FALSE(Limit.isCold(base::TimePoint(10'000)));
  Limit.recordEvent(base::TimePoint(11'000));
  Announce(0, 11'400);
  CHECK(Limit.isCold(base::TimePoint(11'400)));
  Announce(0, 12'900);
  CHECK_FALSE(Limit.isCold(base::TimePoint(12'900)));
  Announce(3'000, 14'400);
  CHECK(Limit.isCold(base::TimePoint(17'399)));
  CHECK_FALSE(Limit.isCold(base::TimePoint(17'400)));
  // A health response to a request that was sent later counts at once.
  Limit.recordEvent(base::TimePoint(18'000));
  Limit.recordMessage(base::Millis(0), base::TimePoint(18'001),
                      base::TimePoint(18'020));
  CHECK_FALSE(Limit.isCold(base::TimePoint(18'020)));
  // Nothing is known of the service, so nothing may be sent.
  Limit.setTerms(std::nullopt);
  Limit.recordEvent(base::TimePoint(19'000));
  CHECK(Limit.timeUntilSend(base::TimePoint(30'000)) > base::Millis(0));
  Limit.setTerms(ColdLimit::Terms{base::Millis(8000), 0});
  CHECK(Limit.timeUntilSend(base::TimePoint(19'000)) == base::Millis(0));
}

} // namespace amaranth::dataplane
