#ifndef AMARANTH_DATAPLANE_VERSIONCIRCUITBREAKER_H
#define AMARANTH_DATAPLANE_VERSIONCIRCUITBREAKER_H

#include "amaranth/base/Clock.h"
#include "amaranth/document/MeshSnapshot.h"
#include "amaranth/rollout/Evidence.h"

#include <map>
#include <random>
#include <set>

namespace amaranth::dataplane {

/// This node's own evidence about the new version of a running rollout.
///
/// A cumulative-sum form of the sequential probability ratio test on the new
/// version's errors, against the error rate of the old version. It may only
/// stop traffic early; the decision about the rollout is made by control. A
/// stop ends after 10 s, doubling each time: without new evidence control
/// could not decide, when the first errors fell into a cold start that it
/// leaves out.
class VersionCircuitBreaker {
public:
  /// `Time` must outlive the guard.
  explicit VersionCircuitBreaker(const base::Clock &Time) : Time(Time) {}

  /// Counts a response. `Entry` is the service's entry in force now.
  void observe(const document::Service &Entry, const base::VersionName &Version,
               bool Error);
  /// True when this node must not send to `Version`.
  bool isOpen(const document::Service &Entry,
              const base::VersionName &Version) const;
  /// Forgets services without a rollout.
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

/// Chooses the version of a request by the shares, leaving out barred and
/// stopped versions and those in `Excluded`; null when none is left.
const document::VersionShare *chooseVersion(
    const document::Service &Entry, const VersionCircuitBreaker &Breaker,
    const std::set<base::VersionName> &Excluded, std::mt19937_64 &Random);

} // namespace amaranth::dataplane

#endif
