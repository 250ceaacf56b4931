#ifndef AMARANTH_ROLLOUT_BENCH_TRAFFIC_H
#define AMARANTH_ROLLOUT_BENCH_TRAFFIC_H

#include "Scenario.h"
#include "amaranth/base/Millis.h"
#include "amaranth/rollout/EvidenceWindow.h"

#include <array>
#include <cstdint>
#include <random>
#include <vector>

namespace amaranth::rollout::bench {

/// Result of one simulated second.
struct SecondResult {
  EvidenceWindow Window;
  /// Requests of the service, and how many of them were failed or slowed down
  /// by the fault of the new version.
  std::uint64_t Requests = 0;
  std::uint64_t AffectedRequests = 0;
  /// The fault is active, whether or not it affected a request.
  bool FaultActive = false;
};

/// Seeded generator of the requests of one service with two deployed versions.
///
/// Model: each version has 3-6 upstreams in three zones, with 9-12 slots. The
/// service gets 5-50 requests/s (Poisson) on 2-5 routes, each with half the
/// traffic of the previous one, a base error rate of 0-2 % and log-normal
/// latency. Error rate and latency drift together for both versions
/// (autoregressive); the latency of each version also drifts on its own, with a
/// spread of 3 %. Queueing multiplies the latency by 1/(1 - utilisation). An
/// upstream's first requests are slow, and so are all requests of the new
/// version for a few seconds after its share was raised. A dead upstream fails
/// requests until the entry nodes have seen 9 failures or its lease has expired
/// after 8 s.
class Traffic {
public:
  Traffic(const Scenario &Config, int TotalSeconds, std::uint64_t Seed);

  /// Simulates the next second with the given share (0..1) of the new version.
  SecondResult next(double NewShare);

private:
  struct Upstream {
    int Zone = 0;
    double Served = 0;
    int Failures = 0;
    int DeadSince = -1;
  };
  struct Deployment {
    std::vector<Upstream> Upstreams;
    int Slots = 0;
    double Drift = 0;
    double BusySeconds = 0;
  };
  struct Route {
    double Weight = 0;
    double ErrorRate = 0;
    double Median = 0;
    double Sigma = 0;
  };
  /// Failure probability and latency factor of one second for both versions.
  struct SharedConditions {
    double Failure = 0;
    double Latency = 1;
  };

  double draw(double Low, double High);
  void drawDeployment(Deployment &Target);
  void drawFault();
  SharedConditions updateConditions();
  void updateLostZone();
  bool isFaultActive(double NewRate) const;
  Upstream *pickUpstream(Deployment &From, bool &Dead);
  void request(SecondResult &Result, bool New, const SharedConditions &Shared);

  Scenario Config;
  int Total;
  int Now = 0;
  double LastShare = 0;
  int LastIncrease = 0;
  std::mt19937_64 Random;
  std::array<Deployment, 2> Versions;
  std::vector<Route> Routes;
  double Rate = 0;
  double RateDrift = 0;
  double ErrorDrift = 0;
  double LatencyDrift = 0;
  int EventBegin = 0;
  int EventEnd = 0;
  double EventSeverity = 0;
  int LostZone = 0;
  int FaultBegin = 0;
  double FaultLoad = 0;
  std::size_t FaultRoute = 0;
};

} // namespace amaranth::rollout::bench

#endif
