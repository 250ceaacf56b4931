#include "amaranth/rollout/RolloutMachine.h"

#include "RolloutPolicy.h"
#include "amaranth/base/Invariant.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranth::rollout {

namespace {

namespace front = boost::msm::front;
using detail::PolicyAction;

/// Event: enter the phase of the replicated state.
struct RestoreState {
  Phase CurrentPhase;
};

/// Event: apply the outcome of the policy.
struct Evaluation {
  detail::PolicyDecision Policy;
};

template <Phase Value> struct RestoresPhase {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const RestoreState &Event, Machine &, Source &,
                  Target &) const {
    return Event.CurrentPhase == Value;
  }
};

template <PolicyAction Value> struct RequestsAction {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const Evaluation &Event, Machine &, Source &,
                  Target &) const {
    return Event.Policy.Action == Value;
  }
};

template <Phase Value> struct EmitDecision {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Evaluation &Event, Machine &Lifecycle, Source &,
                  Target &) const {
    Decision &Result = Lifecycle.Result.emplace();
    Result.NextPhase = Value;
    Result.Share = Event.Policy.Share;
    Result.Step = Event.Policy.Step;
    Result.Reason = Event.Policy.Reason;
  }
};

/// The lifecycle of one rollout. Transitions that are not in the table are
/// impossible: a final phase is never left, and only the watch phase leads to
/// done.
struct LifecycleDef : front::state_machine_def<LifecycleDef> {
  struct Unset : front::state<> {};
  struct Waiting : front::state<> {};
  struct Stepping : front::state<> {};
  struct Watching : front::state<> {};
  struct Done : front::state<> {};
  struct RolledBack : front::state<> {};
  using initial_state = Unset;

  std::optional<Decision> Result;

  template <typename From, typename Event, typename To, typename Action,
            typename Guard>
  using Row = front::Row<From, Event, To, Action, Guard>;
  using None = front::none;
  using EmitStep = EmitDecision<Phase::Stepping>;
  using EmitWatch = EmitDecision<Phase::Watching>;
  using EmitDone = EmitDecision<Phase::Done>;
  using EmitRollBack = EmitDecision<Phase::RolledBack>;

  // clang-format off
  using transition_table = boost::mpl::vector<
      Row<Unset, RestoreState, Waiting, None, RestoresPhase<Phase::Waiting>>,
      Row<Unset, RestoreState, Stepping, None, RestoresPhase<Phase::Stepping>>,
      Row<Unset, RestoreState, Watching, None, RestoresPhase<Phase::Watching>>,
      Row<Unset, RestoreState, Done, None, RestoresPhase<Phase::Done>>,
      Row<Unset, RestoreState, RolledBack, None, RestoresPhase<Phase::RolledBack>>,
      Row<Waiting, Evaluation, Stepping, EmitStep, RequestsAction<PolicyAction::StepTo>>,
      Row<Waiting, Evaluation, RolledBack, EmitRollBack, RequestsAction<PolicyAction::RollBack>>,
      Row<Stepping, Evaluation, Stepping, EmitStep, RequestsAction<PolicyAction::StepTo>>,
      Row<Stepping, Evaluation, Stepping, EmitStep, RequestsAction<PolicyAction::Recheck>>,
      Row<Stepping, Evaluation, Watching, EmitWatch, RequestsAction<PolicyAction::Watch>>,
      Row<Stepping, Evaluation, RolledBack, EmitRollBack, RequestsAction<PolicyAction::RollBack>>,
      Row<Watching, Evaluation, Stepping, EmitStep, RequestsAction<PolicyAction::Recheck>>,
      Row<Watching, Evaluation, Done, EmitDone, RequestsAction<PolicyAction::Finish>>,
      Row<Watching, Evaluation, RolledBack, EmitRollBack, RequestsAction<PolicyAction::RollBack>>
    >;
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {}
};

using Lifecycle = boost::msm::back::state_machine<LifecycleDef>;

void checkDecision(base::WallTime Now, const RolloutPlan &Plan,
                   const RolloutState &State,
                   const std::optional<Decision> &Result) {
  AMARANTH_INVARIANT(!Result || !isFinal(State.CurrentPhase),
                     "decision made for a rollout that has ended");
  AMARANTH_INVARIANT(Now < Plan.finalDecisionTime() ||
                         isFinal(State.CurrentPhase) ||
                         (Result && isFinal(Result->NextPhase)),
                     "rollout still active after its final decision time");
  AMARANTH_INVARIANT(!Result || Result->NextPhase != Phase::RolledBack ||
                         Result->Share == 0,
                     "rolled back version keeps a share");
}

} // namespace

std::optional<Decision> decide(base::WallTime Now, const RolloutPlan &Plan,
                               const RolloutState &State,
                               const EvidenceSummary &Evidence) {
  std::optional<Decision> Result;
  if (!isFinal(State.CurrentPhase)) {
    Lifecycle Machine;
    Machine.start();
    Machine.process_event(RestoreState{State.CurrentPhase});
    Machine.process_event(
        Evaluation{detail::evaluatePolicy(Now, Plan, State, Evidence)});
    Result = std::move(Machine.Result);
  }
  if (Result) {
    Result->Service = Plan.Service;
    Result->Section = Plan.Section;
    Result->ExpectedEpoch = State.Epoch;
  }
  checkDecision(Now, Plan, State, Result);
  return Result;
}

} // namespace amaranth::rollout
