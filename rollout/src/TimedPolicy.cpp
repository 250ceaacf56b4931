#include "amaranth/rollout/TimedPolicy.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace amaranth::rollout {

namespace {

/// A likelihood ratio of 10,000 rolls the new version back at any time. A ratio
/// of 60 prevents it from receiving all traffic.
const double RollBackLogRatio = std::log(1e4);
const double MaxFinishLogRatio = std::log(60);
/// Fewer bad results are no evidence against a version.
constexpr std::uint64_t MinBadRequests = 3;
/// Assumed rate of bad results while there are few requests of the old version.
constexpr double PriorRate = 0.01;
constexpr double PriorWeight = 50;
/// Rate of bad results assumed for a bad version.
constexpr double HighBadRate = 0.3;
/// Lower rate of errors, assumed as well. A version that fails when an upstream
/// is busy fails for few of its requests, even under full load.
constexpr double LowErrorRate = 0.05;
/// Requests count as slow if they take more than twice as long as this quantile
/// of the old version. Two buckets are a factor of 2.
constexpr double SlowQuantile = 0.9;
constexpr std::size_t SlowBucketOffset = 2;
/// Requests of the new version required before it receives all traffic.
constexpr std::uint64_t MinNewRequests = 20;
/// Slots that the new version needs to receive all traffic, as a fraction of
/// the old version's slots.
constexpr double MinNewSlotFraction = 0.6;

/// A step of the schedule: the share from a fraction of the duration on.
struct ScheduleStep {
  double Start;
  std::uint32_t Share;
};
constexpr std::array<ScheduleStep, 3> Schedule = {
    {{0.0, 40'000}, {0.60, 80'000}, {0.70, 250'000}}};
/// Fraction of the duration at which the new version receives all traffic for
/// `LoadProbePercent` of the duration. A version that fails under full load
/// only is found with few requests: the old one serves while their results come
/// in.
constexpr double LoadProbeStart = 0.70;
constexpr std::int64_t LoadProbePercent = 6;
constexpr std::uint32_t AllTraffic = 1'000'000;
/// Fraction of the duration from which the new version may receive all traffic.
constexpr double FinishStart = 0.84;
/// Fraction of the duration at which the rollout must finish or roll back.
constexpr double LatestFinish = 0.90;

std::uint64_t countAbove(const EvidenceCounts &Counts, std::size_t Bucket) {
  std::uint64_t Sum = 0;
  for (std::size_t I = Bucket + 1; I < LatencyBuckets; ++I)
    Sum += Counts.Latency[I];
  return Sum;
}

std::size_t quantileBucket(const EvidenceCounts &Counts, double Quantile) {
  auto Wanted = static_cast<std::uint64_t>(
      std::ceil(Quantile * static_cast<double>(Counts.Requests)));
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < LatencyBuckets; ++I) {
    Sum += Counts.Latency[I];
    if (Sum >= Wanted)
      return I;
  }
  return LatencyBuckets - 1;
}

double slownessLogRatio(const RouteWindow &Seen) {
  // Too few requests of the old version to estimate its latency quantile.
  constexpr std::uint64_t MinOld = 20;
  if (Seen.Old.Requests < MinOld)
    return 0;
  std::size_t Limit =
      std::min(quantileBucket(Seen.Old, SlowQuantile) + SlowBucketOffset,
               LatencyBuckets - 1);
  return degradationLogRatio(Seen.Old.Requests, countAbove(Seen.Old, Limit),
                             Seen.New.Requests, countAbove(Seen.New, Limit),
                             HighBadRate);
}

/// Fewer recent results of the old version give no estimate of its rates, as
/// when the new version receives all traffic.
constexpr std::uint64_t MinRecentOldRequests = 20;

/// A high rate is found with fewer requests, and a low one at all, so the
/// alternative that explains the results better counts.
double errorLogRatio(const EvidenceCounts &Old, const EvidenceCounts &New) {
  auto Ratio = [&](double MinBadRate) {
    return degradationLogRatio(Old.Requests, Old.Errors, New.Requests,
                               New.Errors, MinBadRate);
  };
  return std::max(Ratio(LowErrorRate), Ratio(HighBadRate));
}

struct Assessment {
  void keepStrongest(double Ratio, const std::string &Text) {
    if (Ratio <= Evidence)
      return;
    Evidence = Ratio;
    Reason = Text;
  }

  double Evidence = 0;
  std::string Reason;
};

using RouteResults = std::map<base::RouteName, RouteWindow>;

RouteWindow sumOf(const RouteResults &Routes) {
  RouteWindow All;
  for (const auto &[Route, Seen] : Routes) {
    All.Old += Seen.Old;
    All.New += Seen.New;
  }
  return All;
}

/// Assesses the results of one period. `Period` is named in the reasons.
void assessRoutes(const RouteResults &Routes, const char *Period,
                  Assessment &Result) {
  for (const auto &[Route, Seen] : Routes) {
    Result.keepStrongest(
        errorLogRatio(Seen.Old, Seen.New),
        fmt::format("errors on route {}: {} of {}, old {} of {}{}",
                    Route.value(), Seen.New.Errors, Seen.New.Requests,
                    Seen.Old.Errors, Seen.Old.Requests, Period));
    Result.keepStrongest(slownessLogRatio(Seen),
                         fmt::format("slow on route {}: {} requests, old {}{}",
                                     Route.value(), Seen.New.Requests,
                                     Seen.Old.Requests, Period));
  }
  RouteWindow All = sumOf(Routes);
  Result.keepStrongest(degradationLogRatio(All.Old.Requests, All.Old.Errors,
                                           All.New.Requests, All.New.Errors),
                       fmt::format("errors: {} of {}, old {} of {}{}",
                                   All.New.Errors, All.New.Requests,
                                   All.Old.Errors, All.Old.Requests, Period));
}

/// The recent results of the new version with those of the old one that they
/// compare with: recent ones, or all if there are few recent ones.
RouteResults recentResults(const TimedProgress &Now) {
  RouteResults Result = Now.RecentRoutes;
  for (auto &[Route, Seen] : Result) {
    auto All = Now.Routes.find(Route);
    if (Seen.Old.Requests < MinRecentOldRequests && All != Now.Routes.end())
      Seen.Old = All->second.Old;
  }
  return Result;
}

Assessment assess(const TimedProgress &Now) {
  Assessment Result;
  assessRoutes(Now.Routes, "", Result);
  assessRoutes(recentResults(Now), " since the last step", Result);
  return Result;
}

bool hasEnoughSlots(const TimedProgress &Now) {
  return static_cast<double>(Now.NewSlots) >=
         MinNewSlotFraction * static_cast<double>(Now.OldSlots);
}

std::uint32_t scheduledShare(const TimedProgress &Now,
                             const TimedPacing &Pacing,
                             double ElapsedFraction) {
  std::uint32_t Share = 0;
  for (const ScheduleStep &Entry : Schedule)
    if (ElapsedFraction >= Entry.Start)
      Share = Entry.Share;
  base::Millis ProbeTime =
      std::max(Pacing.MinLoadProbeTime, Now.Duration * LoadProbePercent / 100);
  bool ProbeRuns = Now.Share == AllTraffic && Now.SinceDecision < ProbeTime;
  bool ProbeIsDue = Now.Share < Share && ElapsedFraction >= LoadProbeStart &&
                    ElapsedFraction < FinishStart && hasEnoughSlots(Now);
  return ProbeRuns || ProbeIsDue ? AllTraffic : Share;
}

TimedAction makeAction(TimedAction::Kind Type, std::string Reason,
                       std::uint32_t Share = 0) {
  return {Type, Share, std::move(Reason)};
}

} // namespace

double degradationLogRatio(std::uint64_t OldRequests,
                           std::uint64_t OldBadRequests,
                           std::uint64_t NewRequests,
                           std::uint64_t NewBadRequests, double MinBadRate) {
  if (NewBadRequests < MinBadRequests)
    return 0;
  double Old = (static_cast<double>(OldBadRequests) + PriorRate * PriorWeight) /
               (static_cast<double>(OldRequests) + PriorWeight);
  Old = std::clamp(Old, PriorRate, 0.6);
  double Bad = std::min(0.95, std::max(MinBadRate, 2 * Old));
  auto Failed = static_cast<double>(NewBadRequests);
  auto Succeeded =
      static_cast<double>(NewRequests - std::min(NewBadRequests, NewRequests));
  return Failed * std::log(Bad / Old) +
         Succeeded * std::log((1 - Bad) / (1 - Old));
}

TimedAction decideTimed(const TimedProgress &Now, const TimedPacing &Pacing) {
  using Kind = TimedAction::Kind;
  Assessment Seen = assess(Now);
  std::uint64_t NewRequests = sumOf(Now.Routes).New.Requests;
  if (Seen.Evidence >= RollBackLogRatio)
    return makeAction(Kind::RollBack, Seen.Reason);
  if (Now.Finishing) {
    if (Now.SinceDecision < Pacing.FinishingTime)
      return {};
    if (Seen.Evidence >= MaxFinishLogRatio)
      return makeAction(Kind::RollBack, "in doubt at the end: " + Seen.Reason);
    return makeAction(
        Kind::Complete,
        fmt::format("{} requests, nothing against the version", NewRequests));
  }
  double ElapsedFraction =
      static_cast<double>(Now.Elapsed.count()) /
      static_cast<double>(std::max<std::int64_t>(1, Now.Duration.count()));
  bool TimeExpired = ElapsedFraction >= LatestFinish;
  if (Now.NewReadyFor < base::Millis(0))
    return TimeExpired ? makeAction(Kind::RollBack,
                                    "no upstream of the version is ready")
                       : TimedAction();
  if (ElapsedFraction >= FinishStart) {
    if (Seen.Evidence >= MaxFinishLogRatio)
      return makeAction(Kind::RollBack, "in doubt at the end: " + Seen.Reason);
    if (TimeExpired || (hasEnoughSlots(Now) && NewRequests >= MinNewRequests))
      return makeAction(Kind::Finish,
                        fmt::format("{} requests, {} new slots for {} old ones",
                                    NewRequests, Now.NewSlots, Now.OldSlots));
  }
  if (Now.NewReadyFor < Pacing.WarmUpTime)
    return {};
  std::uint32_t Share = scheduledShare(Now, Pacing, ElapsedFraction);
  if (Share == Now.Share)
    return {};
  return makeAction(Kind::Share, fmt::format("{} requests so far", NewRequests),
                    Share);
}

} // namespace amaranth::rollout
