#ifndef AMARANTH_DATAPLANE_VERSIONCIRCUITBREAKER_H
#define AMARANTH_DATAPLANE_VERSIONCIRCUITBREAKER_H

#include "amaranth/base/Clock.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/rollout/Evidence.h"

#include <map>
#include <random>
#include <set>

namespace amaranth::dataplane {

/// Circuit breaker for the new version of a running rollout, based on the
/// results that this node observes.
///
/// Runs a cumulative-sum form of the sequential probability ratio test on the
/// errors of the new version, against the error rate of the old version. The
/// breaker only stops traffic of this node early; the control processes decide
/// about the rollout. It closes again after 10 s, twice as long each time it
/// opens: control ignores errors during a cold start, and would have no samples
/// to decide on if the breaker stayed open after the first errors.
class VersionCircuitBreaker {
public:
  /// `Time` must outlive the circuit breaker.
  explicit VersionCircuitBreaker(const base::Clock &Time) : Time(Time) {}

  /// Records the result of a request to `Version`. `Entry` is the current
  /// configuration of the service.
  void observe(const document::Service &Entry, const base::VersionName &Version,
               bool Error);
  /// Returns true if this node must not send requests to `Version`.
  bool isOpen(const document::Service &Entry,
              const base::VersionName &Version) const;
  /// Removes the state of services that have no rollout.
  void prune(const document::MeshSnapshot &Mesh);

private:
  struct Evidence {
    base::Revision Section;
    double OldRequests = 0;
    double OldErrors = 0;
    double Score = 0;
    std::uint64_t NewErrors = 0;
    base::TimePoint OpenUntil;
    std::uint32_t TimesOpened = 0;
  };

  const base::Clock &Time;
  std::map<base::ServiceName, Evidence> Services;
};

/// Selects a version at random, weighted by traffic share. Skips barred
/// versions, versions whose circuit breaker is open and those in `Excluded`.
/// Returns null if no version remains.
const document::VersionShare *chooseVersion(
    const document::Service &Entry, const VersionCircuitBreaker &Breaker,
    const std::set<base::VersionName> &Excluded, std::mt19937_64 &Random);

} // namespace amaranth::dataplane

#endif
