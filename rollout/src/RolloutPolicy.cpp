#include "RolloutPolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranth::rollout::detail {

namespace {

/// Minimum time at a share, and minimum number of windows that a controller
/// must have received itself at a share, before it raises the share.
constexpr base::Millis MinTimeAtShare = base::Millis::seconds(10);
constexpr std::uint64_t MinWindows = 10;

/// Minimum part of the time budget spent on a step, even with enough evidence.
/// The damage done by a bad version is mostly the number of its own requests
/// needed to detect the fault, so waiting longer costs little and detects small
/// faults.
constexpr std::int64_t MinStepTimePercent = 70;

/// Log wealth against the new version from which the share is not raised and
/// the rollout is not completed. A wealth of 20 is not enough to reject.
const double SuspicionLogWealth = std::log(20.0);

/// Largest share during the first recheck after an alarm.
constexpr std::uint32_t RecheckShare = 200'000;

/// Intermediate share before the full one: nearly the full load, with enough
/// traffic left on the old version for a comparison. A direct step from 50 % to
/// 100 % missed faults that appear only under load.
constexpr std::uint32_t ApproachShare = 900'000;

/// Up to this share, the pooled evidence of all routes is enough to proceed
/// once the time budget of a step is spent, also with high risk.
constexpr std::uint32_t MaxPooledEvidenceShare = 50'000;

/// Utilisation of the new version's slots above which one step may raise its
/// load at most by the factor `MaxLoadGrowth`. Below this utilisation, queueing
/// hardly depends on the load.
constexpr double FreeUtilisation = 0.3;
constexpr double MaxLoadGrowth = 2.5;

/// The inputs of the policy and values derived from them.
struct PolicyInput {
  base::WallTime Now;
  const RolloutPlan &Plan;
  const RolloutState &State;
  const EvidenceSummary &Evidence;

  bool isSuspicious() const {
    return Evidence.LogEvidence >= SuspicionLogWealth;
  }
  base::Millis timeAtShare() const { return Now - State.LastChange; }

  /// Time budget of the current step: the time left until the watch phase,
  /// divided equally among the remaining steps.
  base::Millis stepBudget() const {
    auto StepsLeft =
        static_cast<std::int64_t>(Plan.Steps.size() - State.Step + 1);
    base::Millis Remaining = Plan.latestWatchStart() - State.LastChange;
    return std::max(Remaining / StepsLeft, MinTimeAtShare);
  }

  /// Returns true if a route must have enough evidence of its own: during a
  /// recheck only the route of the alarm, otherwise every route with enough
  /// traffic. Other routes count only in the pooled test.
  bool needsOwnEvidence(const base::RouteName &Name,
                        const EvidenceSummary::Route &Route) const {
    if (Evidence.Recheck)
      return Name == Evidence.RecheckRoute;
    double Expected = Route.RequestRate *
                      static_cast<double>(Plan.watchDuration().count()) / 1000;
    return Expected >= Plan.Thresholds.MinRequests;
  }

  double requiredRequests(std::uint32_t NextShare) const {
    return std::ceil(static_cast<double>(Plan.Thresholds.MinRequests) *
                     NextShare / FullShare);
  }
  double observedRequests(const EvidenceSummary::Route &Route) const {
    return static_cast<double>(Evidence.Recheck ? Route.NewRequestsInStep
                                                : Route.NewRequests);
  }

  /// Returns true if the new version has enough requests, summed over all
  /// routes, to give it the share `NextShare`.
  bool hasEnoughPooledRequests(std::uint32_t NextShare) const {
    double Sum = 0;
    for (const auto &[Name, Route] : Evidence.Routes)
      Sum += observedRequests(Route);
    return Sum >= requiredRequests(NextShare);
  }

  /// As above, and also enough on each route that needs its own evidence.
  bool hasEnoughRequests(std::uint32_t NextShare) const {
    return hasEnoughPooledRequests(NextShare) &&
           std::all_of(Evidence.Routes.begin(), Evidence.Routes.end(),
                       [this, NextShare](const auto &Item) {
                         const EvidenceSummary::Route &Route = Item.second;
                         return !needsOwnEvidence(Item.first, Route) ||
                                (observedRequests(Route) >=
                                     requiredRequests(NextShare) &&
                                 Route.NewRequestsInStep > 0);
                       });
  }
};

/// Returns the next share towards `Target`, limited if the new version would
/// receive a much higher load than it has sustained so far.
std::uint32_t limitedShare(std::uint32_t Target, const PolicyInput &Input) {
  const EvidenceSummary &Evidence = Input.Evidence;
  if (Target == FullShare && Input.State.Share < ApproachShare)
    Target = ApproachShare;
  if (Evidence.NewSlots == 0 || Evidence.ServiceRate <= 0)
    return Target;
  double Rate = Evidence.ServiceRate * Target / FullShare;
  if (Rate * Evidence.MeanLatency <= FreeUtilisation * Evidence.NewSlots)
    return Target;
  double Sustained = MaxLoadGrowth * Evidence.MaxSustainedRate /
                     Evidence.ServiceRate * FullShare;
  double Minimum = 1.5 * Input.State.Share;
  double Limited = std::min(std::max(Sustained, Minimum), double(Target));
  return static_cast<std::uint32_t>(Limited);
}

PolicyDecision rollBack(std::string Reason) {
  return {PolicyAction::RollBack, 0, 0, std::move(Reason)};
}

PolicyDecision startRecheck(const PolicyInput &Input) {
  const std::vector<std::uint32_t> &Steps = Input.Plan.Steps;
  std::uint32_t Step = 1;
  while (Step < Steps.size() && Steps[Step] <= RecheckShare)
    ++Step;
  // The first step may exceed the recheck share, for example if the plan has a
  // single step.
  std::uint32_t Share = std::min(Steps[Step - 1], RecheckShare);
  // The alarm was raised again after a recheck at a small share found nothing.
  // The fault may appear only under load.
  if (Input.Evidence.RecheckCount > 0) {
    Step = static_cast<std::uint32_t>(Steps.size());
    Share = ApproachShare;
  }
  return {PolicyAction::Recheck, Share, Step,
          "checked again: " + Input.Evidence.Alarm};
}

PolicyDecision evaluateAtFinalTime(const PolicyInput &Input) {
  if (Input.State.CurrentPhase != Phase::Watching)
    return rollBack("the deadline came before all steps were taken");
  if (Input.isSuspicious() || !Input.Evidence.Alarm.empty())
    return rollBack("undecided evidence against the new version at the "
                    "deadline");
  if (Input.Plan.RiskLevel == Risk::High && !Input.hasEnoughRequests(FullShare))
    return rollBack("too little traffic to judge a rollout of high risk");
  return {PolicyAction::Finish, FullShare, Input.State.Step,
          "nothing against the new version at the deadline"};
}

PolicyDecision evaluateStepping(const PolicyInput &Input) {
  const RolloutState &State = Input.State;
  if (Input.timeAtShare() < MinTimeAtShare ||
      Input.Evidence.StepWindows < MinWindows || Input.isSuspicious())
    return {};
  const std::vector<std::uint32_t> &Steps = Input.Plan.Steps;
  if (State.Share >= FullShare)
    return {PolicyAction::Watch, FullShare, State.Step, "all steps taken"};
  bool Approaching = State.Share < Steps[State.Step - 1];
  std::uint32_t Step = State.Step + (Approaching ? 0 : 1);
  std::uint32_t Share = limitedShare(Steps[Step - 1], Input);
  if (Input.hasEnoughRequests(Share) &&
      Input.timeAtShare() >= Input.stepBudget() * MinStepTimePercent / 100)
    return {PolicyAction::StepTo, Share, Step,
            "enough requests without a fault"};
  bool BudgetSpent =
      Input.timeAtShare() >= Input.stepBudget() && !Input.Evidence.Recheck;
  if (BudgetSpent && Share <= MaxPooledEvidenceShare &&
      Input.hasEnoughPooledRequests(Share))
    return {PolicyAction::StepTo, Share, Step,
            "enough requests on all routes together"};
  bool TimeLeft = Input.Plan.finalDecisionTime() - Input.Now >=
                  Input.Plan.watchDuration() / 3;
  if (Input.Plan.RiskLevel == Risk::Normal && TimeLeft && BudgetSpent)
    return {PolicyAction::StepTo, Share, Step,
            "little traffic, nothing against the new version"};
  return {};
}

PolicyDecision evaluateWatching(const PolicyInput &Input) {
  if (Input.timeAtShare() < Input.Plan.watchDuration() ||
      Input.Evidence.StepWindows < MinWindows || Input.isSuspicious())
    return {};
  if (Input.Plan.RiskLevel == Risk::High && !Input.hasEnoughRequests(FullShare))
    return {};
  return {PolicyAction::Finish, FullShare, Input.State.Step,
          "watched without a fault"};
}

} // namespace

PolicyDecision evaluatePolicy(base::WallTime Now, const RolloutPlan &Plan,
                              const RolloutState &State,
                              const EvidenceSummary &Evidence) {
  PolicyInput Input{Now, Plan, State, Evidence};
  if (State.CurrentPhase == Phase::Waiting) {
    if (Now >= Plan.finalDecisionTime())
      return rollBack("the deadline came before the first step");
    if (Now < Plan.Start)
      return {};
    return {PolicyAction::StepTo, Plan.Steps.front(), 1, "start"};
  }
  if (!Evidence.Rejection.empty())
    return rollBack(Evidence.Rejection);
  if (Now >= Plan.finalDecisionTime())
    return evaluateAtFinalTime(Input);
  if (!Evidence.Alarm.empty() && State.Share >= FullShare)
    return startRecheck(Input);
  if (State.CurrentPhase == Phase::Stepping)
    return evaluateStepping(Input);
  return evaluateWatching(Input);
}

} // namespace amaranth::rollout::detail
