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

/// Requests whose path begins with `PathPrefix` go to `Service`. The longest
/// matching prefix wins; a prefix matches whole path segments.
struct Route {
  base::RouteName Name;
  std::string PathPrefix;
  base::ServiceName Service;
  /// Upper bound on the time of a request, retries included.
  base::Millis Timeout;
  /// Non-idempotent requests without an `Idempotency-Key` are refused.
  bool RequireIdempotencyKey = false;

  bool operator==(const Route &) const = default;
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
  std::vector<VersionShare> Versions;
  /// At most one rollout runs for a service; `HasRollout` tells whether
  /// `Rollout` has a meaning.
  bool HasRollout = false;
  ActiveRollout Rollout;

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

  bool operator==(const MeshSnapshot &) const = default;

  /// The route with the longest matching prefix, or null.
  const Route *match(const std::string &Path) const;

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
