#ifndef AMARANTH_DATAPLANE_BALANCER_H
#define AMARANTH_DATAPLANE_BALANCER_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/document/MeshSnapshot.h"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace amaranth::dataplane {

/// Chooses endpoints by zone, expected time, slow start and this node's
/// experience with them. Single-threaded.
///
/// A queue length says little where upstreams differ in speed: the expected
/// time is what a request is expected to take there, waiting included. An
/// endpoint that refuses or fails fast looks idle, so its time counts in
/// inverse proportion to the part of requests that it serves.
class Balancer {
public:
  struct Settings {
    base::AvailabilityZone Zone;
    /// Load of the zone's endpoints above which other zones are used too,
    /// unless a request may wait for one of the zone.
    double ZoneLoadLimit = 0.8;
    /// Time from ready until an endpoint gets its full part.
    base::Millis SlowStart = base::Millis::seconds(10);
    /// First ejection; each further one within a minute doubles it.
    base::Millis BaseEjectionTime = base::Millis::seconds(5);
    base::Millis MaxEjectionTime = base::Millis::seconds(60);
    /// Failures in a row that eject an endpoint.
    unsigned ConsecutiveFailuresToEject = 5;
  };

  Balancer(Settings Options, base::Clock &Time, Metrics &Counters,
           std::uint64_t Seed)
      : Options(std::move(Options)), Time(Time), Counters(Counters),
        Random(Seed) {}

  /// What the choice for a request depends on besides the endpoints.
  struct RequestTraits {
    /// An endpoint of the own zone is taken as long as its expected wait is at
    /// most this.
    base::Millis MaxLocalWait;
    /// The response is large, hence waits for the link of its node.
    bool LargeResponse = false;
  };

  /// An endpoint of the version that is not in `Excluded`, or null. Draining
  /// and starting endpoints are never chosen; unreachable and ejected ones only
  /// when nothing else is left, which excludes no endpoint in `Excluded`.
  const document::Endpoint *choose(const document::MeshSnapshot &Mesh,
                                   const base::ServiceName &Service,
                                   const base::VersionName &Version,
                                   const std::set<base::EndpointId> &Excluded,
                                   const RequestTraits &Request);

  void requestStarted(const base::EndpointId &Id);
  void requestFinished(const base::EndpointId &Id);
  /// Load from a response or refusal.
  void recordLoad(const base::EndpointId &Id, const Load &NewLoad);
  void recordSuccess(const base::EndpointId &Id);
  /// A failed or broken response. `HardFault` failures, such as a refused
  /// connection, eject at once.
  void recordFailure(const document::MeshSnapshot &Mesh,
                     const base::EndpointId &Id, bool HardFault);
  bool isEjected(const base::EndpointId &Id) const;
  /// Expected time of a request at the endpoint; 0 when unknown.
  base::Millis expectedServiceTime(const base::EndpointId &Id) const;
  /// Forgets endpoints that the snapshot does not have any more.
  void prune(const document::MeshSnapshot &Mesh);

private:
  struct EndpointStats {
    std::uint32_t InFlight = 0;
    Load Reported;
    base::TimePoint ReportedAt;
    /// Part of the reported work that came from this node.
    std::uint32_t InFlightAtReport = 0;
    unsigned ConsecutiveFailures = 0;
    /// Moving average of the part of requests that the endpoint served.
    double SuccessRate = 1;
    unsigned EjectionCount = 0;
    base::TimePoint EjectedUntil{0};
  };
  using EndpointList = std::vector<const document::Endpoint *>;

  /// Expected time of one more request, relative to the other candidates.
  double cost(const document::Endpoint &Entry,
              const RequestTraits &Request) const;
  /// Requests at the endpoint, this node's and those of others.
  double outstandingRequests(const base::EndpointId &Id) const;
  double serviceTimeMs(const base::EndpointId &Id) const;
  /// Time of a large response behind those that wait for the node's link, as
  /// far as the last report tells.
  double linkBacklogMs(const base::EndpointId &Id) const;
  double expectedWaitMs(const document::Endpoint &Entry,
                        const RequestTraits &Request) const;
  const document::Endpoint *pickLeastCost(const EndpointList &Candidates,
                                          const RequestTraits &Request);
  EndpointList preferLocalZone(const EndpointList &Candidates,
                               const RequestTraits &Request) const;
  void eject(const document::MeshSnapshot &Mesh,
             const document::Endpoint &Entry, EndpointStats &Stats);

  Settings Options;
  base::Clock &Time;
  Metrics &Counters;
  std::mt19937_64 Random;
  std::map<base::EndpointId, EndpointStats> StatsById;
};

} // namespace amaranth::dataplane

#endif
