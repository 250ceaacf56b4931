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

/// What one second did besides its evidence.
struct SecondResult {
  EvidenceWindow Window;
  /// Requests of the service, and those of them that the fault of the new
  /// version failed or slowed down.
  std::uint64_t Requests = 0;
  std::uint64_t AffectedRequests = 0;
  /// The fault is active, whether or not a request met it.
  bool FaultActive = false;
};

/// Seeded generator of the requests of one service with two deployments.
///
/// Model: each version has 3-6 upstreams in three zones, with 9-12 slots.
/// The service gets 5-50 requests/s (Poisson) on 2-5 routes, each with half
/// the traffic of the one before, base error rate 0-2 % and log-normal
/// latency. Error rate and latency drift together for both versions
/// (autoregressive), and by 3 % for each alone. Queueing multiplies latency
/// with 1/(1 - utilisation). An upstream's first requests are slow, and all of
/// the new version's for some seconds after its share rose. A dead upstream
/// fails requests until the entry nodes have seen 9 failures or its lease ran
/// out after 8 s.
class Traffic {
public:
  Traffic(const Scenario &Config, int TotalSeconds, std::uint64_t Seed);

  /// The next second, with the share (0..1) of the new version in force.
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
  /// Probabilities and factors of the second.
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
