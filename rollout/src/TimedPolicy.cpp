#include "amaranth/rollout/TimedPolicy.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace amaranth::rollout {

namespace {

/// Evidence of 10,000 to 1 ends a rollout; 20 to 1 stops it from finishing.
const double RejectLimit = std::log(1e4);
const double DoubtLimit = std::log(20);
/// A single failure convicts nobody.
constexpr std::uint64_t MinBad = 3;
/// Assumed part of bad results while the old version was hardly seen.
constexpr double PriorRate = 0.01;
constexpr double PriorWeight = 50;
/// A bad version does badly on at least this part of its requests.
constexpr double BadRate = 0.3;
/// Requests above this part of the old version's are slow ones, if they also
/// take twice as long: two half octaves.
constexpr double SlowQuantile = 0.9;
constexpr std::size_t SlowBuckets = 2;
/// Requests of the new version wanted before it gets everything.
constexpr std::uint64_t WantedRequests = 20;
/// Part of the old version's slots that the new one must have to carry all.
constexpr double WantedSlots = 0.6;

/// A step of the schedule: from this part of the duration on, this share.
struct Step {
  double From;
  std::uint32_t Share;
};
constexpr std::array<Step, 3> Schedule = {
    {{0.0, 40'000}, {0.60, 80'000}, {0.76, 250'000}}};
/// From here on the new version gets everything.
constexpr double FinishFrom = 0.84;
/// The latest moment to finish or to go back.
constexpr double LastMoment = 0.90;

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

double slowEvidence(const RouteWindow &Seen) {
  // Without some requests of the old version there is nothing to compare.
  constexpr std::uint64_t MinOld = 20;
  if (Seen.Old.Requests < MinOld)
    return 0;
  std::size_t Limit = std::min(
      quantileBucket(Seen.Old, SlowQuantile) + SlowBuckets, LatencyBuckets - 1);
  return evidenceAgainst(Seen.Old.Requests, countAbove(Seen.Old, Limit),
                         Seen.New.Requests, countAbove(Seen.New, Limit));
}

struct Judgement {
  double Evidence = 0;
  std::string Reason;
  std::uint64_t NewRequests = 0;
};

Judgement judge(const TimedProgress &Now) {
  Judgement Result;
  RouteWindow All;
  auto Consider = [&Result](double Evidence, const std::string &Text) {
    if (Evidence <= Result.Evidence)
      return;
    Result.Evidence = Evidence;
    Result.Reason = Text;
  };
  for (const auto &[Route, Seen] : Now.Routes) {
    All.Old += Seen.Old;
    All.New += Seen.New;
    Consider(evidenceAgainst(Seen.Old.Requests, Seen.Old.Errors,
                             Seen.New.Requests, Seen.New.Errors),
             fmt::format("errors on route {}: {} of {}, old {} of {}",
                         Route.value(), Seen.New.Errors, Seen.New.Requests,
                         Seen.Old.Errors, Seen.Old.Requests));
    Consider(slowEvidence(Seen),
             fmt::format("slow on route {}: {} requests, old {}", Route.value(),
                         Seen.New.Requests, Seen.Old.Requests));
  }
  Consider(evidenceAgainst(All.Old.Requests, All.Old.Errors, All.New.Requests,
                           All.New.Errors),
           fmt::format("errors: {} of {}, old {} of {}", All.New.Errors,
                       All.New.Requests, All.Old.Errors, All.Old.Requests));
  Result.NewRequests = All.New.Requests;
  return Result;
}

std::uint32_t scheduledShare(double Part) {
  std::uint32_t Share = 0;
  for (const Step &Each : Schedule)
    if (Part >= Each.From)
      Share = Each.Share;
  return Share;
}

TimedChoice choice(TimedChoice::Kind What, std::string Reason,
                   std::uint32_t Share = 0) {
  return {What, Share, std::move(Reason)};
}

} // namespace

double evidenceAgainst(std::uint64_t OldRequests, std::uint64_t OldBad,
                       std::uint64_t NewRequests, std::uint64_t NewBad) {
  if (NewBad < MinBad)
    return 0;
  double Old = (static_cast<double>(OldBad) + PriorRate * PriorWeight) /
               (static_cast<double>(OldRequests) + PriorWeight);
  Old = std::clamp(Old, PriorRate, 0.6);
  double Bad = std::min(0.95, std::max(BadRate, 2 * Old));
  auto Failed = static_cast<double>(NewBad);
  auto Served =
      static_cast<double>(NewRequests - std::min(NewBad, NewRequests));
  return Failed * std::log(Bad / Old) +
         Served * std::log((1 - Bad) / (1 - Old));
}

TimedChoice decideTimed(const TimedProgress &Now, const TimedPace &Pace) {
  using Kind = TimedChoice::Kind;
  Judgement Seen = judge(Now);
  if (Seen.Evidence >= RejectLimit)
    return choice(Kind::RollBack, Seen.Reason);
  if (Now.Finishing) {
    if (Now.SinceDecision >= Pace.Finishing)
      return choice(Kind::Complete,
                    fmt::format("{} requests, nothing against the version",
                                Seen.NewRequests));
    return {};
  }
  double Part =
      static_cast<double>(Now.Elapsed.count()) /
      static_cast<double>(std::max<std::int64_t>(1, Now.Duration.count()));
  bool Last = Part >= LastMoment;
  if (Now.NewReadyFor < base::Millis(0))
    return Last ? choice(Kind::RollBack, "no upstream of the version is ready")
                : TimedChoice();
  if (Part >= FinishFrom) {
    if (Seen.Evidence >= DoubtLimit)
      return choice(Kind::RollBack, "in doubt at the end: " + Seen.Reason);
    bool Room = static_cast<double>(Now.NewSlots) >=
                WantedSlots * static_cast<double>(Now.OldSlots);
    if (Last || (Room && Seen.NewRequests >= WantedRequests))
      return choice(Kind::Finish,
                    fmt::format("{} requests, {} new slots for {} old ones",
                                Seen.NewRequests, Now.NewSlots, Now.OldSlots));
  }
  if (Now.NewReadyFor < Pace.WarmUp)
    return {};
  std::uint32_t Share = scheduledShare(Part);
  if (Share <= Now.Share)
    return {};
  return choice(Kind::Share,
                fmt::format("{} requests so far", Seen.NewRequests), Share);
}

} // namespace amaranth::rollout
