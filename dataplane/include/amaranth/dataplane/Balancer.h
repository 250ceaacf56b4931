#ifndef AMARANTH_DATAPLANE_BALANCER_H
#define AMARANTH_DATAPLANE_BALANCER_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/scheduling/RouteCosts.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace amaranth::dataplane {

/// Selects an endpoint by zone, expected completion, slow start and the results
/// that this node has seen. Answers upstreams of different speed and requests
/// of very different cost, where queue lengths say little. Single-threaded.
///
/// The cost of an endpoint is the time until a request would be complete: the
/// outstanding work there, over its slots, plus the request's own expected
/// time. An endpoint that refuses or fails fast looks idle, so both have their
/// price: a shed request costs a retry, a failed one the result.
///
/// A selection looks at a few endpoints at random, however many there are. If
/// all nodes took the cheapest endpoint by the same reports, they would
/// overload it together.
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
    /// Route of the request, for its expected time.
    base::RouteName Route = base::RouteName();
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

  void requestStarted(const base::EndpointId &Id,
                      const base::RouteName &Route = base::RouteName());
  void requestFinished(const base::EndpointId &Id);
  /// Stores the load that a response or refusal of a request of the route
  /// reported.
  void recordLoad(const base::EndpointId &Id, const UpstreamLoad &NewLoad,
                  const base::RouteName &Route = base::RouteName());
  void recordSuccess(const base::EndpointId &Id);
  /// Records that the upstream refused a request without executing it.
  void recordShed(const base::EndpointId &Id);
  /// Records a failed or incomplete response. A `HardFault`, such as a refused
  /// connection, ejects the endpoint immediately.
  void recordFailure(const document::MeshSnapshot &Mesh,
                     const base::EndpointId &Id, bool HardFault);
  bool isEjected(const base::EndpointId &Id) const;
  /// Expected service time of a request of the route at the endpoint; 0 when
  /// unknown.
  base::Millis
  expectedServiceTime(const base::EndpointId &Id,
                      const base::RouteName &Route = base::RouteName()) const;
  /// Removes endpoints that the snapshot no longer contains.
  void prune(const document::MeshSnapshot &Mesh);

private:
  struct VersionIndex;
  /// Moving average of the requests with one result, which fades with time.
  class ResultRate {
  public:
    void record(bool Happened, base::TimePoint Now);
    double at(base::TimePoint Now) const;

  private:
    double Rate = 0;
    base::TimePoint RecordedAt{0};
  };
  struct EndpointStats {
    std::uint32_t InFlight = 0;
    UpstreamLoad Reported;
    /// Delay by the reported work, in milliseconds.
    double ReportedDelayMs = 0;
    /// Mean of the reported delays.
    double MeanDelayMs = 0;
    bool HasReport = false;
    base::TimePoint ReportedAt;
    /// Requests of this node that `Reported` includes.
    std::uint32_t InFlightAtReport = 0;
    /// Requests of this node since the report and their expected time.
    std::uint32_t SentSinceReport = 0;
    double SentWorkMs = 0;
    scheduling::RelativeSpeed Speed;
    /// The version of the endpoint; null if the snapshot does not contain it.
    VersionIndex *Index = nullptr;
    unsigned ConsecutiveFailures = 0;
    ResultRate Failures;
    ResultRate Sheds;
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
  /// The endpoints of one version in the order of their ids.
  struct VersionIndex {
    CandidateList All;
    CandidateList Ready;
    CandidateList ReadyLocal;
    /// Mean of the reported delays, in milliseconds.
    double MeanDelayMs = 0;
  };
  /// What one selection depends on beside the endpoints. The time is read once
  /// for all of them.
  struct Selection {
    const RequestTraits &Request;
    const std::set<base::EndpointId> &Excluded;
    const std::set<base::AvailabilityZone> &EvacuatedZones;
    base::TimePoint Now;
    base::WallTime WallNow;
    /// Logarithm of the usual time of the route.
    std::optional<double> RouteLog;
    /// Cost at a usual endpoint; 0 if unknown.
    double UsualCostMs = 0;
  };
  using VersionKey = std::pair<base::ServiceName, base::VersionName>;

  /// Rebuilds `IndexByVersion` if the endpoints have changed.
  void updateIndex(const document::MeshSnapshot &Mesh);
  /// Expected time until one more request is complete, with a price for
  /// failures.
  double cost(const Candidate &Option, const Selection &Pick) const;
  /// Requests at the endpoint, from this node and from all others.
  static double outstandingRequests(const EndpointStats &Stats,
                                    base::TimePoint Now);
  /// Requests that the endpoint can run at a time: its announced slots, or
  /// fewer if its upstream limits its requests.
  static double slotsOf(const Candidate &Option);
  static double serviceTimeMs(const EndpointStats &Stats);
  /// Time that the request itself is expected to take at the endpoint.
  static double ownTimeMs(const EndpointStats &Stats,
                          const std::optional<double> &RouteLog);
  /// Expected time for which the outstanding work of all nodes at the endpoint
  /// delays a new request.
  static double expectedDelayMs(const Candidate &Option, base::TimePoint Now);
  /// What is left of the wait in the last report. A cold upstream, or one that
  /// names a limit, makes requests wait although few are running.
  static double reportedWaitMs(const EndpointStats &Stats, base::TimePoint Now);
  /// Time that the request will be on its way, according to the last report.
  static double transitMs(const EndpointStats &Stats, base::TimePoint Now);
  /// Time that a large response waits for the node's link, estimated from the
  /// last report.
  static double linkBacklogMs(const EndpointStats &Stats, base::TimePoint Now);
  static double expectedWaitMs(const Candidate &Option, const Selection &Pick);
  /// Returns the cheapest of a few randomly chosen candidates.
  const document::Endpoint *pickLeastCost(CandidateList Candidates,
                                          const Selection &Pick);
  /// Whether the request may be sent to the endpoint at all.
  static bool isAllowed(const Candidate &Option, const Selection &Pick);
  static bool isUsable(const Candidate &Option, const Selection &Pick);
  /// Returns usable candidates among the first `Count`: all of a short list, a
  /// few random ones of a long list. Empty only if there are none.
  CandidateList sample(const CandidateList &From, std::size_t Count,
                       const Selection &Pick);
  /// Returns a few preferred endpoints with free slots for
  /// `RequestTraits::Concentrate`; empty if there are none.
  CandidateList concentrate(const CandidateList &Ready, const Selection &Pick);
  /// Returns a few endpoints of the local zone that are preferred to those of
  /// other zones; empty if there are none.
  CandidateList preferLocalZone(const CandidateList &ReadyLocal,
                                const Selection &Pick);
  /// Selects an ejected or unreachable endpoint.
  const document::Endpoint *chooseLastResort(const CandidateList &All,
                                             const Selection &Pick);
  void eject(const document::MeshSnapshot &Mesh,
             const document::Endpoint &Entry, EndpointStats &Stats);

  Settings Options;
  base::Clock &Time;
  Metrics &Counters;
  std::mt19937_64 Random;
  std::map<base::EndpointId, EndpointStats> StatsById;
  scheduling::RouteCosts Costs;
  /// The endpoints that `IndexByVersion` refers to.
  decltype(document::MeshSnapshot::Endpoints) Indexed;
  std::map<VersionKey, VersionIndex> IndexByVersion;
};

} // namespace amaranth::dataplane

#endif
