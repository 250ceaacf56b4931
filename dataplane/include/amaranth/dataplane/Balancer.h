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
    base::Millis Ejection = base::Millis::seconds(5);
    base::Millis MaxEjection = base::Millis::seconds(60);
    /// Failures in a row that eject an endpoint.
    unsigned FailuresToEject = 5;
  };

  Balancer(Settings Options, base::Clock &Time, Metrics &Counters,
           std::uint64_t Seed)
      : Options(std::move(Options)), Time(Time), Counters(Counters),
        Random(Seed) {}

  /// What the choice for a request depends on besides the endpoints.
  struct Demand {
    /// An endpoint of the own zone is taken as long as its expected wait is at
    /// most this.
    base::Millis LocalWait;
    /// The response is large, hence waits for the link of its node.
    bool Large = false;
  };

  /// An endpoint of the version that is not in `Avoid`, or null. Draining and
  /// starting endpoints are never chosen; unreachable and ejected ones only
  /// when nothing else is left, which excludes no endpoint in `Avoid`.
  const document::Endpoint *choose(const document::MeshSnapshot &Mesh,
                                   const base::ServiceName &Service,
                                   const base::VersionName &Version,
                                   const std::set<base::EndpointId> &Avoid,
                                   const Demand &Request);

  void started(const base::EndpointId &Id);
  void finished(const base::EndpointId &Id);
  /// Load from a response or refusal.
  void reported(const base::EndpointId &Id, const UpstreamLoad &Work);
  void succeeded(const base::EndpointId &Id);
  /// A failed or broken response. `Certain` failures, such as a refused
  /// connection, eject at once.
  void failed(const document::MeshSnapshot &Mesh, const base::EndpointId &Id,
              bool Certain);
  bool ejected(const base::EndpointId &Id) const;
  /// Expected time of a request at the endpoint; 0 when unknown.
  base::Millis expectedService(const base::EndpointId &Id) const;
  /// Forgets endpoints that the snapshot does not have any more.
  void prune(const document::MeshSnapshot &Mesh);

private:
  struct State {
    std::uint32_t InFlight = 0;
    UpstreamLoad Reported;
    base::TimePoint ReportedAt;
    /// Part of the reported work that came from this node.
    std::uint32_t OwnAtReport = 0;
    unsigned FailuresInRow = 0;
    /// Moving average of the part of requests that the endpoint served.
    double Served = 1;
    unsigned Ejections = 0;
    base::TimePoint EjectedUntil{0};
  };
  using Candidates = std::vector<const document::Endpoint *>;

  /// Expected time of one more request, relative to the other candidates.
  double cost(const document::Endpoint &Entry, const Demand &Request) const;
  /// Requests at the endpoint, this node's and those of others.
  double work(const base::EndpointId &Id) const;
  double serviceMs(const base::EndpointId &Id) const;
  /// Time of a large response behind those that wait for the node's link, as
  /// far as the last report tells.
  double linkMs(const base::EndpointId &Id) const;
  double expectedWait(const document::Endpoint &Entry,
                      const Demand &Request) const;
  const document::Endpoint *pick(const Candidates &From, const Demand &Request);
  Candidates localOnes(const Candidates &From, const Demand &Request) const;
  void eject(const document::MeshSnapshot &Mesh,
             const document::Endpoint &Entry, State &Known);

  Settings Options;
  base::Clock &Time;
  Metrics &Counters;
  std::mt19937_64 Random;
  std::map<base::EndpointId, State> States;
};

} // namespace amaranth::dataplane

#endif
