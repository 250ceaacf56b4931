#include "RolloutPolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranth::rollout::detail {

namespace {

/// Shortest time at a share, also the least number of windows that a
/// controller must have seen itself at a share before it raises the share.
constexpr base::Millis MinDwell = base::Millis::seconds(10);
constexpr std::uint64_t MinWindows = 10;

/// Part of the time for a step that passes even with enough evidence. What a
/// bad version costs is mostly the number of its own requests needed to see
/// the fault, so waiting longer costs little and catches small faults.
constexpr std::int64_t DwellPercent = 70;

/// Wealth of 20 against the new version: not enough to reject, but no step
/// up and no success while it lasts.
const double SuspiciousLog = std::log(20.0);

/// Largest share while a version is checked again after an alarm.
constexpr std::uint32_t RecheckShare = 200'000;

/// The share before the last one: nearly the full load, with enough of the
/// old version left to compare with. Faults that show only under load went
/// unnoticed on the way from 50 % to 100 %.
constexpr std::uint32_t ControlledShare = 900'000;

/// Up to this share, evidence from all routes together lets a rollout of
/// high risk go on when its time for a step is over.
constexpr std::uint32_t SmallShare = 50'000;

/// Utilisation of the new version's slots above which its load may grow only
/// by `LoadFactor` at once. Below it, queueing hardly depends on the load.
constexpr double FreeUtilisation = 0.3;
constexpr double LoadFactor = 2.5;

/// The inputs and what follows from them.
struct Situation {
  base::WallTime Now;
  const RolloutPlan &Plan;
  const RolloutState &State;
  const EvidenceSummary &Evidence;

  bool suspicious() const { return Evidence.LogEvidence >= SuspiciousLog; }
  base::Millis dwell() const { return Now - State.LastChange; }

  /// Time for the current step: the rest up to the watch phase is divided
  /// equally among the steps left.
  base::Millis budget() const {
    auto Left = static_cast<std::int64_t>(Plan.Steps.size() - State.Step + 1);
    base::Millis Rest = Plan.steppingEnd() - State.LastChange;
    return std::max(Rest / Left, MinDwell);
  }

  /// Whether a route must have evidence of its own: during a check after an
  /// alarm the route of the alarm, otherwise those that get enough traffic
  /// for it. Others count in the pooled test only.
  bool judgedAlone(const base::RouteName &Name,
                   const EvidenceSummary::Route &Route) const {
    if (Evidence.Recheck)
      return Name == Evidence.RecheckRoute;
    double Expected =
        Route.Rate * static_cast<double>(Plan.watch().count()) / 1000;
    return Expected >= Plan.Guards.MinRequests;
  }

  double wanted(std::uint32_t Next) const {
    return std::ceil(static_cast<double>(Plan.Guards.MinRequests) * Next /
                     FullShare);
  }
  double seen(const EvidenceSummary::Route &Route) const {
    return static_cast<double>(Evidence.Recheck ? Route.NewInStep : Route.New);
  }

  /// Enough requests of the new version, whatever their routes, to give it
  /// the share `Next`.
  bool enoughTogether(std::uint32_t Next) const {
    double All = 0;
    for (const auto &[Name, Route] : Evidence.Routes)
      All += seen(Route);
    return All >= wanted(Next);
  }

  /// As above, and enough on each route that is judged alone.
  bool enough(std::uint32_t Next) const {
    return enoughTogether(Next) &&
           std::all_of(Evidence.Routes.begin(), Evidence.Routes.end(),
                       [this, Next](const auto &Item) {
                         const EvidenceSummary::Route &Route = Item.second;
                         return !judgedAlone(Item.first, Route) ||
                                (seen(Route) >= wanted(Next) &&
                                 Route.NewInStep > 0);
                       });
  }
};

/// The next share on the way to `Target`: limited when the new version would
/// come under a load much higher than it was seen at.
std::uint32_t shareTowards(std::uint32_t Target, const Situation &In) {
  const EvidenceSummary &Seen = In.Evidence;
  if (Target == FullShare && In.State.Share < ControlledShare)
    Target = ControlledShare;
  if (Seen.NewSlots == 0 || Seen.ServiceRate <= 0)
    return Target;
  double Rate = Seen.ServiceRate * Target / FullShare;
  if (Rate * Seen.MeanLatency <= FreeUtilisation * Seen.NewSlots)
    return Target;
  double Proven = LoadFactor * Seen.ProvenRate / Seen.ServiceRate * FullShare;
  double Least = 1.5 * In.State.Share;
  double Limited = std::min(std::max(Proven, Least), double(Target));
  return static_cast<std::uint32_t>(Limited);
}

Verdict rollBack(std::string Reason) {
  return {Move::RollBack, 0, 0, std::move(Reason)};
}

Verdict recheck(const Situation &In) {
  const std::vector<std::uint32_t> &Steps = In.Plan.Steps;
  std::uint32_t Step = 1;
  while (Step < Steps.size() && Steps[Step] <= RecheckShare)
    ++Step;
  // A plan may consist of the full step alone.
  std::uint32_t Share = std::min(Steps[Step - 1], RecheckShare);
  // An alarm that comes back after a good check at a small share: the fault
  // may need the load.
  if (In.Evidence.Rechecks > 0) {
    Step = static_cast<std::uint32_t>(Steps.size());
    Share = ControlledShare;
  }
  return {Move::Recheck, Share, Step, "checked again: " + In.Evidence.Alarm};
}

Verdict atFinalTime(const Situation &In) {
  if (In.State.Current != Phase::Watching)
    return rollBack("the deadline came before all steps were taken");
  if (In.suspicious() || !In.Evidence.Alarm.empty())
    return rollBack("undecided evidence against the new version at the "
                    "deadline");
  if (In.Plan.RiskLevel == Risk::High && !In.enough(FullShare))
    return rollBack("too little traffic to judge a rollout of high risk");
  return {Move::Finish, FullShare, In.State.Step,
          "nothing against the new version at the deadline"};
}

Verdict whileStepping(const Situation &In) {
  const RolloutState &State = In.State;
  if (In.dwell() < MinDwell || In.Evidence.StepWindows < MinWindows ||
      In.suspicious())
    return {};
  const std::vector<std::uint32_t> &Steps = In.Plan.Steps;
  if (State.Share >= FullShare)
    return {Move::Watch, FullShare, State.Step, "all steps taken"};
  bool Approaching = State.Share < Steps[State.Step - 1];
  std::uint32_t Step = State.Step + (Approaching ? 0 : 1);
  std::uint32_t Share = shareTowards(Steps[Step - 1], In);
  if (In.enough(Share) && In.dwell() >= In.budget() * DwellPercent / 100)
    return {Move::StepTo, Share, Step, "enough requests without a fault"};
  bool TimeOver = In.dwell() >= In.budget() && !In.Evidence.Recheck;
  if (TimeOver && Share <= SmallShare && In.enoughTogether(Share))
    return {Move::StepTo, Share, Step,
            "enough requests on all routes together"};
  bool TimeLeft = In.Plan.finalTime() - In.Now >= In.Plan.watch() / 3;
  if (In.Plan.RiskLevel == Risk::Normal && TimeLeft && TimeOver)
    return {Move::StepTo, Share, Step,
            "little traffic, nothing against the new version"};
  return {};
}

Verdict whileWatching(const Situation &In) {
  if (In.dwell() < In.Plan.watch() || In.Evidence.StepWindows < MinWindows ||
      In.suspicious())
    return {};
  if (In.Plan.RiskLevel == Risk::High && !In.enough(FullShare))
    return {};
  return {Move::Finish, FullShare, In.State.Step, "watched without a fault"};
}

} // namespace

Verdict judge(base::WallTime Now, const RolloutPlan &Plan,
              const RolloutState &State, const EvidenceSummary &Evidence) {
  Situation In{Now, Plan, State, Evidence};
  if (State.Current == Phase::Waiting) {
    if (Now >= Plan.finalTime())
      return rollBack("the deadline came before the first step");
    if (Now < Plan.Start)
      return {};
    return {Move::StepTo, Plan.Steps.front(), 1, "start"};
  }
  if (!Evidence.Against.empty())
    return rollBack(Evidence.Against);
  if (Now >= Plan.finalTime())
    return atFinalTime(In);
  if (!Evidence.Alarm.empty() && State.Share >= FullShare)
    return recheck(In);
  if (State.Current == Phase::Stepping)
    return whileStepping(In);
  return whileWatching(In);
}

} // namespace amaranth::rollout::detail
