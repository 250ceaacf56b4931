#include "amaranth/dataplane/VersionCircuitBreaker.h"

#include "amaranth/base/Invariant.h"
#include "amaranth/base/Log.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace amaranth::dataplane {

namespace {

/// Log-likelihood ratio at which the breaker opens: ln(1 / 0.0001). With the
/// rates below, four errors among few requests reach it.
const double ScoreLimit = std::log(1e4);
constexpr std::uint64_t MinErrors = 3;
/// Prior for the error rate of the old version: `PriorWeight` requests with
/// this error rate. Dominates until enough requests are observed.
constexpr double PriorErrorRate = 0.01;
constexpr double PriorWeight = 50;
/// The counts of the old version are halved above this number, so that its
/// error rate quickly reflects a fault of a shared dependency.
constexpr double MaxOldRequests = 1000;
/// Smallest increase of the error rate that the test looks for.
constexpr double MinErrorRateIncrease = 0.1;
/// Duration of the first open period, which doubles with each further one up
/// to `MaxDoublings` times.
constexpr base::Millis InitialOpenTime = base::Millis::seconds(10);
constexpr std::uint32_t MaxDoublings = 5;

} // namespace

void VersionCircuitBreaker::observe(const document::Service &Entry,
                                    const base::VersionName &Version,
                                    bool Error) {
  if (!Entry.HasRollout)
    return;
  Evidence &State = Services[Entry.Name];
  if (State.Section != Entry.Rollout.Section) {
    State = Evidence();
    State.Section = Entry.Rollout.Section;
  }
  if (Version == Entry.Rollout.From) {
    State.OldRequests += 1;
    State.OldErrors += Error ? 1 : 0;
    if (State.OldRequests > MaxOldRequests) {
      State.OldRequests /= 2;
      State.OldErrors /= 2;
    }
    return;
  }
  if (Version != Entry.Rollout.To || Time.now() < State.OpenUntil)
    return;
  double BaselineRate = (State.OldErrors + PriorErrorRate * PriorWeight) /
                        (State.OldRequests + PriorWeight);
  BaselineRate = std::clamp(BaselineRate, PriorErrorRate, 0.8);
  double AlternativeRate = std::min(
      0.95, BaselineRate + std::max({MinErrorRateIncrease, BaselineRate,
                                     Entry.Rollout.MaxErrorIncrease}));
  State.NewErrors += Error ? 1 : 0;
  State.Score += Error ? std::log(AlternativeRate / BaselineRate)
                       : std::log((1 - AlternativeRate) / (1 - BaselineRate));
  State.Score = std::max(0.0, State.Score);
  if (State.Score < ScoreLimit || State.NewErrors < MinErrors)
    return;
  std::uint32_t Doublings = std::min(State.TimesOpened, MaxDoublings);
  State.OpenUntil = Time.now() + InitialOpenTime * (1 << Doublings);
  ++State.TimesOpened;
  base::logger("dataplane")
      ->warn("circuit breaker opened for the new version service={} version={} "
             "errors={}",
             Entry.Name.value(), Version.value(), State.NewErrors);
  State.Score = 0;
  State.NewErrors = 0;
}

bool VersionCircuitBreaker::isOpen(const document::Service &Entry,
                                   const base::VersionName &Version) const {
  if (!Entry.HasRollout || Version != Entry.Rollout.To)
    return false;
  auto Found = Services.find(Entry.Name);
  return Found != Services.end() && Time.now() < Found->second.OpenUntil &&
         Found->second.Section == Entry.Rollout.Section;
}

void VersionCircuitBreaker::prune(const document::MeshSnapshot &Mesh) {
  std::erase_if(Services, [&](const auto &State) {
    auto Found = Mesh.Services.find(State.first);
    return Found == Mesh.Services.end() || !Found->second.HasRollout;
  });
}

const document::VersionShare *chooseVersion(
    const document::Service &Entry, const VersionCircuitBreaker &Breaker,
    const std::set<base::VersionName> &Excluded, std::mt19937_64 &Random) {
  std::vector<const document::VersionShare *> Candidates;
  std::uint64_t TotalShare = 0;
  bool NeedsFallback = !Excluded.empty();
  for (const document::VersionShare &Version : Entry.Versions) {
    bool IsOpen = Breaker.isOpen(Entry, Version.Version);
    NeedsFallback = NeedsFallback || IsOpen;
    if (Version.Barred || IsOpen || Excluded.contains(Version.Version))
      continue;
    Candidates.push_back(&Version);
    TotalShare += Version.Share;
  }
  // During a rollout only the old version serves as a fallback, so that the
  // new version never gets more than its share.
  if (Entry.HasRollout && NeedsFallback) {
    auto Old = std::ranges::find_if(Candidates, [&](const auto *Version) {
      return Version->Version == Entry.Rollout.From;
    });
    return Old == Candidates.end() ? nullptr : *Old;
  }
  if (TotalShare == 0)
    return nullptr;
  std::uniform_int_distribution<std::uint64_t> Distribution(0, TotalShare - 1);
  std::uint64_t Point = Distribution(Random);
  for (const document::VersionShare *Version : Candidates) {
    if (Point < Version->Share) {
      AMARANTH_INVARIANT(!Version->Barred, "barred version was chosen");
      return Version;
    }
    Point -= Version->Share;
  }
  return nullptr;
}

} // namespace amaranth::dataplane
