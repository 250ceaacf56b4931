#ifndef AMARANTH_DOCUMENT_MESHSNAPSHOT_H
#define AMARANTH_DOCUMENT_MESHSNAPSHOT_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/document/Customer.h"
#include "amaranth/document/SharedMap.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace amaranth::document {

/// Whether a request of a route may be executed more than once.
enum class RequestKind : std::uint8_t {
  /// Decided by the HTTP method and the idempotency key.
  ByMethod = 0,
  Idempotent = 1,
  NonIdempotent = 2,
  /// Idempotent, with large responses that are streamed.
  Download = 3,
};

/// A service in a traffic split, with its weight relative to the other parts.
struct WeightedService {
  base::ServiceName Service;
  std::uint32_t Weight = 0;

  bool operator==(const WeightedService &) const = default;
};

/// Requests to `Host` whose path begins with `PathPrefix` go to `Service`, or
/// to the services of `Split`. The longest matching prefix wins; a prefix
/// matches whole path segments. See `RouteIndex`.
struct Route {
  base::RouteName Name;
  std::string PathPrefix;
  /// Empty if `Split` is set.
  base::ServiceName Service;
  /// Time limit of a request, including its retries.
  base::Millis Timeout;
  /// Non-idempotent requests without an `Idempotency-Key` are refused.
  bool RequireIdempotencyKey = false;
  /// Empty matches any host that has no route of its own for the path.
  std::string Host;
  RequestKind Kind = RequestKind::ByMethod;
  /// Latency objective of a response; 0 if none is configured.
  base::Millis Objective;
  /// Priority class under load; 0 is served first.
  std::uint32_t Priority = 0;
  /// Maximum number of upstreams tried per request; 0 lets the node decide.
  std::uint32_t MaxAttempts = 0;
  std::vector<WeightedService> Split;
  /// Requests need no API key although the document names customers.
  bool Public = false;

  bool operator==(const Route &) const = default;
};

/// Limits on what a caller may send to a node; 0 lets the node decide.
struct CallerLimits {
  std::uint64_t MaxHeaderBytes = 0;
  std::uint64_t MaxBodyBytes = 0;
  /// Time limit for receiving a request head.
  base::Millis HeaderTimeout;
  /// How long an idle connection is kept open.
  base::Millis IdleTimeout;

  bool operator==(const CallerLimits &) const = default;
};

/// All traffic of a service, in millionths.
inline constexpr std::uint32_t FullShare = 1'000'000;

/// One version of a service and its share of the service's traffic.
struct VersionShare {
  base::VersionName Version;
  /// Millionths of the service's requests; the shares of a service sum up to
  /// `FullShare`.
  std::uint32_t Share = 0;
  /// Set if the version was rolled back; nodes send it no requests.
  bool Barred = false;

  bool operator==(const VersionShare &) const = default;
};

/// A running rollout, for the evidence that nodes collect about it.
struct ActiveRollout {
  base::VersionName From;
  base::VersionName To;
  /// Revision of the rollout's section; evidence refers to it.
  base::Revision Section;
  /// Increases with each decision about this rollout.
  std::uint64_t Epoch = 0;
  /// Guard thresholds from the section.
  double MaxErrorIncrease = 0.01;
  double MaxLatencyRatio = 1.5;

  bool operator==(const ActiveRollout &) const = default;
};

struct Service {
  base::ServiceName Name;
  /// Empty until an upstream of the service has announced its version.
  std::vector<VersionShare> Versions;
  /// At most one rollout runs per service; `Rollout` is valid only if
  /// `HasRollout` is set.
  bool HasRollout = false;
  ActiveRollout Rollout;
  /// Path of the upstreams' health check; empty if there is none.
  std::string HealthPath;
  /// Maximum number of connections to an upstream; 0 if unknown.
  std::uint32_t MaxConnections = 0;
  /// How long an upstream is cold after its start.
  base::Millis ColdPeriod;
  /// Requests a second that a cold upstream bears; 0 if it bears as many as a
  /// warm one.
  double ColdRequestsPerSecond = 0;

  bool operator==(const Service &) const = default;
};

/// Lifecycle state of an upstream, as reported by its node.
enum class EndpointState : std::uint8_t {
  Starting = 1,
  Ready = 2,
  Draining = 3,
  /// The lease expired. Used only if no other endpoint is left.
  Unreachable = 4,
};

/// One upstream and the node beside it.
struct Endpoint {
  base::EndpointId Id;
  base::NodeId Node;
  /// Where the node beside the upstream accepts inner connections.
  base::Address NodeAddress;
  base::ServiceName Service;
  base::VersionName Version;
  base::AvailabilityZone Zone;
  /// Number of requests that the upstream executes concurrently.
  std::uint32_t Slots = 0;
  EndpointState State = EndpointState::Starting;
  /// Start time of the node beside the upstream, and its update counter. An
  /// update with a lower pair never replaces one with a higher pair.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Wall time in ms at which the upstream became ready, for slow start.
  std::int64_t ReadySince = 0;
  /// Start of the upstream's process, as it announced it. Orders the processes
  /// that run behind one endpoint. Set in updates only, not in a snapshot.
  std::uint64_t UpstreamIncarnation = 0;
  /// The process has announced that it leaves, which is final. Set in updates
  /// only, not in a snapshot.
  bool UpstreamLeft = false;

  bool operator==(const Endpoint &) const = default;
};

/// A request that crashed upstreams or is suspected of it.
struct QuarantineEntry {
  /// Hash of service, method, target and body.
  std::uint64_t Fingerprint = 0;
  base::ServiceName Service;
  /// Convicted requests are refused until `Until`; suspects run in isolation.
  bool Convicted = false;
  base::WallTime Until;

  bool operator==(const QuarantineEntry &) const = default;
};

/// Everything that a node needs to route requests. It is immutable and
/// replaced as a whole.
struct MeshSnapshot {
  base::DocumentVersion Document;
  base::StateIndex State;
  SharedMap<base::RouteName, Route> Routes;
  SharedMap<base::ServiceName, Service> Services;
  SharedMap<base::EndpointId, Endpoint> Endpoints;
  SharedMap<std::uint64_t, QuarantineEntry> Quarantine;
  /// Empty if callers need no API key.
  SharedMap<base::CustomerName, Customer> Customers;
  /// Zones whose upstreams get no requests by order of an operator.
  std::set<base::AvailabilityZone> EvacuatedZones;
  CallerLimits Limits;

  bool operator==(const MeshSnapshot &) const = default;

  /// One message per fault: routes to missing services, shares that do not sum
  /// up, rolled-back versions with a share, and endpoints with another id than
  /// their key or without slots. Empty if the snapshot is consistent.
  std::vector<std::string> faults() const;
  /// The same for a snapshot derived from `Valid`, which has no faults. Does
  /// not check what both share.
  std::vector<std::string> faultsSince(const MeshSnapshot &Valid) const;

  /// Hash of the whole content except `State`; equal content gives an equal
  /// digest in every process. The part for the routes is kept, also in copies,
  /// until they change.
  std::uint64_t digest() const;

private:
  /// The state of the hash after the document version and the routes.
  struct RoutesDigest;
  /// Does not belong to the content.
  struct RoutesDigestCache {
    std::shared_ptr<const RoutesDigest> Value;
    bool operator==(const RoutesDigestCache & /*Other*/) const { return true; }
  };
  mutable RoutesDigestCache Cache;
};

} // namespace amaranth::document

#endif
