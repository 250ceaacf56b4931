#include "amaranth/rollout/RolloutMachine.h"

#include "RolloutPolicy.h"
#include "amaranth/base/Invariant.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace amaranth::rollout {

namespace {

namespace front = boost::msm::front;
using detail::Move;

/// Enters the phase of the replicated state.
struct Resume {
  Phase Current;
};

/// One look at the inputs.
struct Look {
  detail::Verdict Wanted;
};

template <Phase Value> struct ResumesIn {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const Resume &Event, Machine &, Source &, Target &) const {
    return Event.Current == Value;
  }
};

template <Move Value> struct Wants {
  template <typename Machine, typename Source, typename Target>
  bool operator()(const Look &Event, Machine &, Source &, Target &) const {
    return Event.Wanted.Wanted == Value;
  }
};

template <Phase Value> struct Decide {
  template <typename Machine, typename Source, typename Target>
  void operator()(const Look &Event, Machine &Owner, Source &, Target &) const {
    Decision &Result = Owner.Result.emplace();
    Result.Next = Value;
    Result.Share = Event.Wanted.Share;
    Result.Step = Event.Wanted.Step;
    Result.Reason = Event.Wanted.Reason;
  }
};

/// The lifecycle of one rollout. What is not in the table cannot happen:
/// a final phase is never left, and only the watch phase leads to done.
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
  using DecideStep = Decide<Phase::Stepping>;
  using DecideWatch = Decide<Phase::Watching>;
  using DecideDone = Decide<Phase::Done>;
  using DecideBack = Decide<Phase::RolledBack>;

  // clang-format off
  using transition_table = boost::mpl::vector<
      Row<Unset, Resume, Waiting, None, ResumesIn<Phase::Waiting>>,
      Row<Unset, Resume, Stepping, None, ResumesIn<Phase::Stepping>>,
      Row<Unset, Resume, Watching, None, ResumesIn<Phase::Watching>>,
      Row<Unset, Resume, Done, None, ResumesIn<Phase::Done>>,
      Row<Unset, Resume, RolledBack, None, ResumesIn<Phase::RolledBack>>,
      Row<Waiting, Look, Stepping, DecideStep, Wants<Move::StepTo>>,
      Row<Waiting, Look, RolledBack, DecideBack, Wants<Move::RollBack>>,
      Row<Stepping, Look, Stepping, DecideStep, Wants<Move::StepTo>>,
      Row<Stepping, Look, Stepping, DecideStep, Wants<Move::Recheck>>,
      Row<Stepping, Look, Watching, DecideWatch, Wants<Move::Watch>>,
      Row<Stepping, Look, RolledBack, DecideBack, Wants<Move::RollBack>>,
      Row<Watching, Look, Stepping, DecideStep, Wants<Move::Recheck>>,
      Row<Watching, Look, Done, DecideDone, Wants<Move::Finish>>,
      Row<Watching, Look, RolledBack, DecideBack, Wants<Move::RollBack>>
    >;
  // clang-format on

  template <typename Machine, typename Event>
  void no_transition(const Event &, Machine &, int) {}
};

using Lifecycle = boost::msm::back::state_machine<LifecycleDef>;

void checkDecision(base::WallTime Now, const RolloutPlan &Plan,
                   const RolloutState &State,
                   const std::optional<Decision> &Result) {
  AMARANTH_INVARIANT(!Result || !isFinal(State.Current),
                     "decision about a rollout that has ended");
  AMARANTH_INVARIANT(Now < Plan.finalTime() || isFinal(State.Current) ||
                         (Result && isFinal(Result->Next)),
                     "rollout goes on past its final time");
  AMARANTH_INVARIANT(!Result || Result->Next != Phase::RolledBack ||
                         Result->Share == 0,
                     "rolled back version keeps a share");
}

} // namespace

std::optional<Decision> decide(base::WallTime Now, const RolloutPlan &Plan,
                               const RolloutState &State,
                               const EvidenceSummary &Evidence) {
  std::optional<Decision> Result;
  if (!isFinal(State.Current)) {
    Lifecycle Machine;
    Machine.start();
    Machine.process_event(Resume{State.Current});
    Machine.process_event(Look{detail::judge(Now, Plan, State, Evidence)});
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
