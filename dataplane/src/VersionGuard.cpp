#include "amaranth/dataplane/VersionGuard.h"

#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace amaranth::dataplane {

namespace {

/// Bound on the score, the logarithm of 1/0.0001. With the rates below it
/// takes four errors among few requests to reach it.
const double ScoreLimit = std::log(1e4);
constexpr std::uint64_t MinErrors = 3;
/// Assumed error rate while the old version was hardly seen.
constexpr double PriorRate = 0.01;
constexpr double PriorWeight = 50;
/// The old version's counts are halved above this, so that a fault of a
/// shared dependency shows in its rate soon.
constexpr double OldMemory = 1000;
/// The test tells a rate from at least this much more.
constexpr double MinIncrease = 0.1;
/// Length of the first stop, and how often it doubles.
constexpr base::Millis FirstStop = base::Millis::seconds(10);
constexpr std::uint32_t MaxDoublings = 5;

} // namespace

void VersionGuard::observe(const document::Service &Entry,
                           const base::VersionName &Version, bool Error) {
  if (!Entry.HasRollout)
    return;
  Evidence &Known = Services[Entry.Name];
  if (Known.Section != Entry.Rollout.Section) {
    Known = Evidence();
    Known.Section = Entry.Rollout.Section;
  }
  if (Version == Entry.Rollout.From) {
    Known.OldRequests += 1;
    Known.OldErrors += Error ? 1 : 0;
    if (Known.OldRequests > OldMemory) {
      Known.OldRequests /= 2;
      Known.OldErrors /= 2;
    }
    return;
  }
  if (Version != Entry.Rollout.To || Time.now() < Known.StoppedUntil)
    return;
  double Old = (Known.OldErrors + PriorRate * PriorWeight) /
               (Known.OldRequests + PriorWeight);
  Old = std::clamp(Old, PriorRate, 0.8);
  double Bad = std::min(
      0.95, Old + std::max({MinIncrease, Old, Entry.Rollout.MaxErrorIncrease}));
  Known.NewErrors += Error ? 1 : 0;
  Known.Score += Error ? std::log(Bad / Old) : std::log((1 - Bad) / (1 - Old));
  Known.Score = std::max(0.0, Known.Score);
  if (Known.Score < ScoreLimit || Known.NewErrors < MinErrors)
    return;
  std::uint32_t Doublings = std::min(Known.Stops, MaxDoublings);
  Known.StoppedUntil = Time.now() + FirstStop * (1 << Doublings);
  ++Known.Stops;
  base::logger("dataplane")
      ->warn("version stopped by own evidence service={} version={} errors={}",
             Entry.Name.value(), Version.value(), Known.NewErrors);
  Known.Score = 0;
  Known.NewErrors = 0;
}

bool VersionGuard::stopped(const document::Service &Entry,
                           const base::VersionName &Version) const {
  if (!Entry.HasRollout || Version != Entry.Rollout.To)
    return false;
  auto Found = Services.find(Entry.Name);
  return Found != Services.end() && Time.now() < Found->second.StoppedUntil &&
         Found->second.Section == Entry.Rollout.Section;
}

void VersionGuard::prune(const document::MeshSnapshot &Mesh) {
  std::erase_if(Services, [&](const auto &Known) {
    auto Found = Mesh.Services.find(Known.first);
    return Found == Mesh.Services.end() || !Found->second.HasRollout;
  });
}

const document::VersionShare *
chooseVersion(const document::Service &Entry, const VersionGuard &Guard,
              const std::set<base::VersionName> &Avoid,
              std::mt19937_64 &Random) {
  std::vector<const document::VersionShare *> Allowed;
  std::uint64_t Sum = 0;
  bool Replaces = !Avoid.empty();
  for (const document::VersionShare &Version : Entry.Versions) {
    bool Stopped = Guard.stopped(Entry, Version.Version);
    Replaces = Replaces || Stopped;
    if (Version.Barred || Stopped || Avoid.contains(Version.Version))
      continue;
    Allowed.push_back(&Version);
    Sum += Version.Share;
  }
  // During a rollout only the old version may take over requests of another
  // one: the new version never gets more than its share.
  if (Entry.HasRollout && Replaces) {
    auto Old = std::ranges::find_if(Allowed, [&](const auto *Version) {
      return Version->Version == Entry.Rollout.From;
    });
    return Old == Allowed.end() ? nullptr : *Old;
  }
  if (Sum == 0)
    return nullptr;
  std::uniform_int_distribution<std::uint64_t> Any(0, Sum - 1);
  std::uint64_t Draw = Any(Random);
  for (const document::VersionShare *Version : Allowed) {
    if (Draw < Version->Share) {
      AMARANTH_INVARIANT(!Version->Barred, "barred version was chosen");
      return Version;
    }
    Draw -= Version->Share;
  }
  return nullptr;
}

} // namespace amaranth::dataplane
