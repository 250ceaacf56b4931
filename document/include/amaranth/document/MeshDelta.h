#ifndef AMARANTH_DOCUMENT_MESHDELTA_H
#define AMARANTH_DOCUMENT_MESHDELTA_H

#include "amaranth/base/Error.h"
#include "amaranth/document/MeshSnapshot.h"

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace amaranth::document {

/// Thrown if a delta does not start at the snapshot to which it is applied, or
/// if its result differs from the sender's data.
class DeltaMismatch : public base::Error {
public:
  using base::Error::Error;
};

/// Keys of the entries that differ between two snapshots.
struct MeshKeys {
  std::set<base::RouteName> Routes;
  std::set<base::ServiceName> Services;
  std::set<base::EndpointId> Endpoints;
  std::set<std::uint64_t> Quarantine;
  std::set<base::CustomerName> Customers;

  std::size_t size() const;
  void merge(const MeshKeys &Other);
};

/// Changes that turn one snapshot into another. Its size depends on the number
/// of changed entries, because operators change one of up to 2,000 customers
/// as often as once each 60 ms.
struct MeshDelta {
  base::DocumentVersion FromDocument;
  base::StateIndex FromState;
  base::DocumentVersion ToDocument;
  base::StateIndex ToState;
  /// `MeshSnapshot::digest` of the result.
  std::uint64_t Digest = 0;
  std::vector<Route> Routes;
  std::vector<Service> Services;
  std::vector<Endpoint> Endpoints;
  std::vector<QuarantineEntry> Quarantine;
  CallerLimits Limits;
  std::vector<base::RouteName> RemovedRoutes;
  std::vector<base::ServiceName> RemovedServices;
  std::vector<base::EndpointId> RemovedEndpoints;
  std::vector<std::uint64_t> RemovedQuarantine;
  std::vector<Customer> Customers;
  std::vector<base::CustomerName> RemovedCustomers;
  /// All evacuated zones of the result. A few names at most, so they are not
  /// sent as a difference.
  std::set<base::AvailabilityZone> EvacuatedZones;
};

/// Returns the keys of all entries that were added, changed or removed.
MeshKeys changedKeys(const MeshSnapshot &From, const MeshSnapshot &To);

/// Returns a delta to `To` that replaces or removes the entries in `Keys`;
/// `Digest` is the digest of `To`. The caller sets the from-versions.
MeshDelta makeDelta(const MeshKeys &Keys, const MeshSnapshot &To,
                    std::uint64_t Digest);

/// Returns the delta that turns `From` into `To`.
MeshDelta computeDelta(const MeshSnapshot &From, const MeshSnapshot &To);

/// Applies a delta to a copy of `Base`. Throws `DeltaMismatch` if the delta
/// starts at other versions or if the digest of the result differs.
std::shared_ptr<const MeshSnapshot> applyDelta(const MeshSnapshot &Base,
                                               const MeshDelta &Delta);

/// Returns the part of a snapshot that refers to the given services. Customers
/// and evacuated zones belong to every part.
MeshSnapshot filterServices(const MeshSnapshot &Whole,
                            const std::set<base::ServiceName> &Services);

} // namespace amaranth::document

#endif
