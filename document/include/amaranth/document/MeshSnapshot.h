#ifndef AMARANTH_DOCUMENT_MESHSNAPSHOT_H
#define AMARANTH_DOCUMENT_MESHSNAPSHOT_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::document {

/// How often a request of a route may run.
enum class RequestKind : std::uint8_t {
  /// Decided by the HTTP method and the idempotency key.
  ByMethod = 0,
  Idempotent = 1,
  NonIdempotent = 2,
  /// Idempotent, with large responses that are streamed.
  Download = 3,
};

/// Part of a route's traffic, in proportion to the weights of all parts.
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
  /// Empty when `Split` is not.
  base::ServiceName Service;
  /// Upper bound on the time of a request, retries included.
  base::Millis Timeout;
  /// Non-idempotent requests without an `Idempotency-Key` are refused.
  bool RequireIdempotencyKey = false;
  /// Empty: any host that has no route of its own for the path.
  std::string Host;
  RequestKind Kind = RequestKind::ByMethod;
  /// Time within which a response is wanted; 0 when none was given.
  base::Millis Objective;
  /// Rank under load; 0 is served first.
  std::uint32_t Priority = 0;
  /// Upstreams that one request may be sent to; 0 leaves it to the node.
  std::uint32_t MaxAttempts = 0;
  std::vector<WeightedService> Split;

  bool operator==(const Route &) const = default;
};

/// What a caller may send to a node; 0 leaves a value to the node.
struct CallerLimits {
  std::uint64_t MaxHeaderBytes = 0;
  std::uint64_t MaxBodyBytes = 0;
  /// Time for a request head to arrive.
  base::Millis HeaderTimeout;
  /// Time for which an idle connection is kept.
  base::Millis IdleTimeout;

  bool operator==(const CallerLimits &) const = default;
};

/// Part of a service's traffic, in millionths.
inline constexpr std::uint32_t FullShare = 1'000'000;

/// Traffic of one version of a service.
struct VersionShare {
  base::VersionName Version;
  /// Millionths of the service's requests; the shares of a service sum up to
  /// `FullShare`.
  std::uint32_t Share = 0;
  /// A version that was rolled back; nodes send it nothing.
  bool Barred = false;

  bool operator==(const VersionShare &) const = default;
};

/// A rollout that runs at present, for the evidence that nodes collect.
struct ActiveRollout {
  base::VersionName From;
  base::VersionName To;
  /// Revision of the rollout's section; evidence names it.
  base::Revision Section;
  /// Grows with each decision about this rollout.
  std::uint64_t Epoch = 0;
  /// Guards, from the section.
  double MaxErrorIncrease = 0.01;
  double MaxLatencyRatio = 1.5;

  bool operator==(const ActiveRollout &) const = default;
};

struct Service {
  base::ServiceName Name;
  /// Empty until an upstream of the service has announced its version.
  std::vector<VersionShare> Versions;
  /// At most one rollout runs for a service; `HasRollout` tells whether
  /// `Rollout` has a meaning.
  bool HasRollout = false;
  ActiveRollout Rollout;
  /// Path of the upstreams' health check; empty when there is none.
  std::string HealthPath;
  /// Connections that an upstream takes; 0 when unknown.
  std::uint32_t MaxConnections = 0;

  bool operator==(const Service &) const = default;
};

/// Lifecycle of an upstream, as its node reports it.
enum class EndpointState : std::uint8_t {
  Starting = 1,
  Ready = 2,
  Draining = 3,
  /// The lease expired. Used only when no other endpoint is left.
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
  /// Requests that the upstream runs at the same time.
  std::uint32_t Slots = 0;
  EndpointState State = EndpointState::Starting;
  /// Start time of the node beside the upstream, then a counter of updates.
  /// A lower pair never replaces a higher one.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Wall time in ms at which the upstream became ready, for slow start.
  std::int64_t ReadySince = 0;

  bool operator==(const Endpoint &) const = default;
};

/// A request that crashed upstreams, or may have.
struct QuarantineEntry {
  /// Hash of service, method, target and body.
  std::uint64_t Fingerprint = 0;
  base::ServiceName Service;
  /// Convicted requests are refused until `Until`; suspects run alone.
  bool Convicted = false;
  base::WallTime Until;

  bool operator==(const QuarantineEntry &) const = default;
};

/// Everything that a node needs to route requests. Nodes share one immutable
/// value and replace it whole.
struct MeshSnapshot {
  base::DocumentVersion Document;
  base::StateIndex State;
  std::map<base::RouteName, Route> Routes;
  std::map<base::ServiceName, Service> Services;
  std::map<base::EndpointId, Endpoint> Endpoints;
  std::map<std::uint64_t, QuarantineEntry> Quarantine;
  CallerLimits Limits;

  bool operator==(const MeshSnapshot &) const = default;

  /// Empty when every reference resolves within this snapshot (routes to
  /// services, endpoints' services and versions of rollouts, shares that sum
  /// up); otherwise one message for each fault.
  std::vector<std::string> faults() const;

  /// Hash of the whole content except `State`; equal content gives an equal
  /// digest in every process.
  std::uint64_t digest() const;
};

} // namespace amaranth::document

#endif
