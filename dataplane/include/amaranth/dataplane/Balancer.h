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

/// Selects an endpoint by zone, expected response time, slow start and the
/// results that this node has seen. Single-threaded.
///
/// The cost of an endpoint is its expected response time, queueing included,
/// because queue lengths do not compare between upstreams of different speed.
/// An endpoint that refuses or fails fast looks idle, so its cost is divided by
/// its success rate.
class Balancer {
public:
  struct Settings {
    base::AvailabilityZone Zone;
    /// Load of the local zone's endpoints above which other zones are used too,
    /// unless the request may wait for a local endpoint.
    double ZoneLoadLimit = 0.8;
    /// Time after which an endpoint that became ready gets its full share.
    base::Millis SlowStart = base::Millis::seconds(10);
    /// Duration of the first ejection; each further one within a minute doubles
    /// it.
    base::Millis BaseEjectionTime = base::Millis::seconds(5);
    base::Millis MaxEjectionTime = base::Millis::seconds(60);
    unsigned ConsecutiveFailuresToEject = 5;
  };

  Balancer(Settings Options, base::Clock &Time, Metrics &Counters,
           std::uint64_t Seed)
      : Options(std::move(Options)), Time(Time), Counters(Counters),
        Random(Seed) {}

  /// Properties of a request that influence the selection.
  struct RequestTraits {
    /// Endpoints of the local zone are preferred while their expected wait is
    /// at most this.
    base::Millis MaxLocalWait;
    /// The response is large and therefore queues for the link of its node.
    bool LargeResponse = false;
    /// No zone is preferred, because the local one has turned out to be full.
    bool AnyZone = false;
    /// A third of the endpoints, the same for all nodes, is preferred while it
    /// has free slots. So the few requests of a new version show how it behaves
    /// under the load that it will have.
    bool Concentrate = false;
    /// Zones whose gates have said that they are evacuated, which this node's
    /// snapshot does not name yet; may be null.
    const std::set<base::AvailabilityZone> *AvoidedZones = nullptr;
  };

  /// Returns an endpoint of the version that is not in `Excluded`, or null.
  /// Draining and starting endpoints are never returned. Ejected and
  /// unreachable endpoints are returned only when no other one outside
  /// `Excluded` is left, those of an evacuated zone never.
  const document::Endpoint *choose(const document::MeshSnapshot &Mesh,
                                   const base::ServiceName &Service,
                                   const base::VersionName &Version,
                                   const std::set<base::EndpointId> &Excluded,
                                   const RequestTraits &Request);

  void requestStarted(const base::EndpointId &Id);
  void requestFinished(const base::EndpointId &Id);
  /// Stores the load that a response or refusal reported.
  void recordLoad(const base::EndpointId &Id, const UpstreamLoad &NewLoad);
  void recordSuccess(const base::EndpointId &Id);
  /// Records a failed or incomplete response. A `HardFault`, such as a refused
  /// connection, ejects the endpoint immediately.
  void recordFailure(const document::MeshSnapshot &Mesh,
                     const base::EndpointId &Id, bool HardFault);
  bool isEjected(const base::EndpointId &Id) const;
  /// Expected service time of a request at the endpoint; 0 when unknown.
  base::Millis expectedServiceTime(const base::EndpointId &Id) const;
  /// Removes endpoints that the snapshot no longer contains.
  void prune(const document::MeshSnapshot &Mesh);

private:
  struct EndpointStats {
    std::uint32_t InFlight = 0;
    UpstreamLoad Reported;
    base::TimePoint ReportedAt;
    /// Requests of this node that `Reported` includes.
    std::uint32_t InFlightAtReport = 0;
    unsigned ConsecutiveFailures = 0;
    /// Exponential moving average of successful requests.
    double SuccessRate = 1;
    unsigned EjectionCount = 0;
    base::TimePoint EjectedUntil{0};
  };
  /// An endpoint with what this node knows of it.
  struct Candidate {
    const document::Endpoint *Entry = nullptr;
    EndpointStats *Stats = nullptr;
    bool Local = false;
  };
  using CandidateList = std::vector<Candidate>;
  /// What one selection depends on beside the endpoints. The time is read once
  /// for all of them.
  struct Selection {
    const RequestTraits &Request;
    base::TimePoint Now;
    base::WallTime WallNow;
  };
  using VersionKey = std::pair<base::ServiceName, base::VersionName>;

  /// Rebuilds `CandidatesByVersion` if the endpoints have changed.
  void updateIndex(const document::MeshSnapshot &Mesh);
  /// Expected time of one more request, comparable between candidates only.
  double cost(const Candidate &Option, const Selection &Pick) const;
  /// Requests at the endpoint, from this node and from all others.
  static double outstandingRequests(const EndpointStats &Stats,
                                    base::TimePoint Now);
  /// Requests that the endpoint can run at a time: its announced slots, or
  /// fewer if its upstream limits its requests.
  static double slotsOf(const Candidate &Option);
  static double serviceTimeMs(const EndpointStats &Stats);
  /// What is left of the wait in the last report. A cold upstream, or one that
  /// names a limit, makes requests wait although few are running.
  static double reportedWaitMs(const EndpointStats &Stats, base::TimePoint Now);
  /// Time that a large response waits for the node's link, estimated from the
  /// last report.
  static double linkBacklogMs(const EndpointStats &Stats, base::TimePoint Now);
  static double expectedWaitMs(const Candidate &Option, const Selection &Pick);
  const document::Endpoint *pickLeastCost(CandidateList Candidates,
                                          const Selection &Pick);
  /// Returns the preferred endpoints with free slots for
  /// `RequestTraits::Concentrate`; empty if there are none.
  static CandidateList concentrate(const CandidateList &Candidates,
                                   const Selection &Pick);
  CandidateList preferLocalZone(CandidateList Candidates,
                                const Selection &Pick) const;
  void eject(const document::MeshSnapshot &Mesh,
             const document::Endpoint &Entry, EndpointStats &Stats);

  Settings Options;
  base::Clock &Time;
  Metrics &Counters;
  std::mt19937_64 Random;
  std::map<base::EndpointId, EndpointStats> StatsById;
  /// The endpoints that `CandidatesByVersion` refers to.
  decltype(document::MeshSnapshot::Endpoints) Indexed;
  std::map<VersionKey, CandidateList> CandidatesByVersion;
};

} // namespace amaranth::dataplane

#endif
