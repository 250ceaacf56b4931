#include "RequestGenerator.h"
#include "TwoSample.h"
#include "amaranth/rollout/SequentialTest.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>

namespace amaranth::rollout {

namespace {

using test::Behaviour;
using test::RequestGenerator;

/// Behaviour of the old and the new version in second `T`.
using BehaviourOverTime = std::function<std::pair<Behaviour, Behaviour>(int T)>;

/// Returns the number of seconds until rejection, or -1.
int secondsToReject(std::uint64_t Seed, double Alpha, double Share, int Seconds,
                    const BehaviourOverTime &BehavioursAt) {
  SequentialTest Test({.Alpha = Alpha, .HorizonWindows = double(Seconds)});
  RequestGenerator Source(Seed);
  for (int T = 0; T < Seconds; ++T) {
    auto [Old, New] = BehavioursAt(T);
    Test.add(Source.window({}, 20, Share, Old, New), {});
    if (Test.rejected())
      return T + 1;
  }
  return -1;
}

int rejections(double Alpha, double Share, int Runs,
               const BehaviourOverTime &BehavioursAt) {
  int Count = 0;
  for (int Seed = 0; Seed < Runs; ++Seed)
    Count += secondsToReject(Seed, Alpha, Share, 300, BehavioursAt) > 0 ? 1 : 0;
  return Count;
}

} // namespace

// Guards against an e-value whose expectation exceeds 1 somewhere on the null
// hypothesis, which would invalidate the bound on false rollbacks. Sums exactly
// over all outcomes, also for very unequal counts.
TEST_CASE("logEValue has an expected e-value of at most 1 under the null") {
  auto Binomial = [](int Count, int Ones, double Rate) {
    return std::exp(std::lgamma(Count + 1) - std::lgamma(Ones + 1) -
                    std::lgamma(Count - Ones + 1) + Ones * std::log(Rate) +
                    (Count - Ones) * std::log(1 - Rate));
  };
  for (auto [OldCount, NewCount] :
       {std::pair{1, 1}, {30, 1}, {1, 30}, {7, 7}, {50, 2}})
    for (double Tolerance : {0.01, 0.1})
      for (double OldRate : {0.001, 0.01, 0.1, 0.5, 0.85}) {
        double Sum = 0;
        for (int Old = 0; Old <= OldCount; ++Old)
          for (int New = 0; New <= NewCount; ++New)
            Sum += Binomial(OldCount, Old, OldRate) *
                   Binomial(NewCount, New, OldRate + Tolerance) *
                   std::exp(
                       detail::logEValue({double(Old), double(OldCount - Old)},
                                         {double(New), double(NewCount - New)},
                                         {0.01, 0.4}, Tolerance));
        INFO(OldCount << " old, " << NewCount << " new, rate " << OldRate);
        CHECK(Sum <= 1 + 1e-6);
      }
}

// Guards against false rollbacks at the threshold: the bound must hold for new
// = old + threshold, at every share, with an evaluation each second.
TEST_CASE("SequentialTest rejects at most alpha at the threshold") {
  double Share = GENERATE(0.01, 0.5);
  int Count = rejections(0.05, Share, 300, [](int) {
    return std::pair{Behaviour{0.02}, Behaviour{0.03, 30}};
  });
  INFO("rejections of 300 at alpha 0.05: " << Count);
  CHECK(Count <= 15);
}

// Guards against rollbacks when an availability zone or a shared dependency
// fails.
TEST_CASE(
    "SequentialTest rejects at most alpha in an outage of both versions") {
  double Share = GENERATE(0.01, 0.2);
  int Count = rejections(0.05, Share, 300, [](int T) {
    Behaviour Now = T > 60 && T < 120 ? Behaviour{0.7, 400} : Behaviour{};
    return std::pair{Now, Now};
  });
  INFO("rejections of 300 at alpha 0.05: " << Count);
  CHECK(Count <= 15);
}

// Guards against rejecting a deployment with fewer slots because of a slow
// shared dependency, with which it queues more than the old version. The null
// hypothesis does not cover this case, so the test uses the alpha of
// production.
TEST_CASE(
    "SequentialTest rarely rejects when a dependency slows both versions") {
  int Count = rejections(0.001, 0.2, 100, [](int T) {
    bool Outage = T > 100 && T < 150;
    return std::pair{Behaviour{0.01, Outage ? 120.0 : 20.0},
                     Behaviour{0.01, Outage ? 240.0 : 20.0}};
  });
  INFO("rejections of 100 at alpha 0.001: " << Count);
  CHECK(Count <= 2);
}

// Guards against slow detection of a total failure, in particular after a long
// period without faults.
TEST_CASE("SequentialTest rejects a late failure within seconds") {
  for (int Seed = 0; Seed < 20; ++Seed) {
    int Time = secondsToReject(Seed, 0.001, 0.5, 1000, [](int T) {
      return std::pair{Behaviour{}, Behaviour{T >= 900 ? 0.9 : 0.01}};
    });
    INFO("seed " << Seed << " rejected at " << Time);
    CHECK(Time > 900);
    CHECK(Time <= 910);
  }
}

TEST_CASE("SequentialTest rejects a slower version") {
  for (int Seed = 0; Seed < 20; ++Seed) {
    int Time = secondsToReject(Seed, 0.001, 0.2, 600, [](int) {
      return std::pair{Behaviour{0.01, 20}, Behaviour{0.01, 80}};
    });
    INFO("seed " << Seed << " rejected at " << Time);
    CHECK(Time > 0);
    CHECK(Time <= 60);
  }
}

// Guards against a fault on a minor route that is hidden by the other routes,
// and against a rejection that does not name the route.
TEST_CASE("SequentialTest rejects a failure on one route and names it") {
  SequentialTest Test({.HorizonWindows = 600});
  RequestGenerator Source(7);
  for (int T = 0; T < 600 && !Test.rejected(); ++T) {
    EvidenceWindow Window;
    Source.fill(Window, "/big", 40, 0.2, {}, {});
    Source.fill(Window, "/small", 2, 0.2, {}, {0.6});
    Test.add(Window, {});
  }
  CHECK(Test.rejection() == "more errors than the old version on route /small");
}

// Guards against rollbacks caused by slow first requests after a step.
TEST_CASE("SequentialTest ignores a cold start within the allowance") {
  SequentialTest Test({.HorizonWindows = 600});
  RequestGenerator Source(3);
  for (int T = 0; T < 20; ++T)
    Test.add(Source.window({}, 40, 0.2, {0.01, 20}, {0.03, 70}), {0.05, 4});
  INFO("evidence " << Test.logEvidence());
  CHECK(Test.logEvidence() < std::log(20.0));
}

} // namespace amaranth::rollout
