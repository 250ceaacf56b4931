#include "amaranth/dataplane/UpstreamLifecycle.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace msm = boost::msm;

namespace amaranth::dataplane {

namespace {

struct StartingAnnounced {};
struct ReadyAnnounced {};
struct DrainingAnnounced {};
struct StopAnnounced {};
struct AnnouncementTimeout {};
struct Crash {};

struct Machine : msm::front::state_machine_def<Machine> {
  struct Absent : msm::front::state<> {};
  struct Starting : msm::front::state<> {};
  struct Ready : msm::front::state<> {};
  struct Draining : msm::front::state<> {};
  struct Crashed : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};
  using initial_state = Absent; // NOLINT(readability-identifier-naming)

  template <typename From, typename Event, typename To>
  using Row = msm::front::Row<From, Event, To>;

  // A draining upstream cannot become ready again without a restart, because
  // its announcement has already moved traffic away. The gate resets the state
  // machine when a new incarnation announces itself.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<Absent,   StartingAnnounced,   Starting>,
      Row<Absent,   ReadyAnnounced,      Ready>,
      Row<Absent,   DrainingAnnounced,   Draining>,
      Row<Absent,   StopAnnounced,       Stopped>,
      Row<Starting, ReadyAnnounced,      Ready>,
      Row<Starting, DrainingAnnounced,   Draining>,
      Row<Starting, StopAnnounced,       Stopped>,
      Row<Starting, AnnouncementTimeout, Absent>,
      Row<Starting, Crash,               Crashed>,
      Row<Ready,    DrainingAnnounced,   Draining>,
      Row<Ready,    StopAnnounced,       Stopped>,
      Row<Ready,    AnnouncementTimeout, Absent>,
      Row<Ready,    Crash,               Crashed>,
      Row<Draining, StopAnnounced,       Stopped>,
      Row<Draining, AnnouncementTimeout, Absent>,
      Row<Draining, Crash,               Crashed>,
      Row<Crashed,  StartingAnnounced,   Starting>,
      Row<Crashed,  ReadyAnnounced,      Ready>,
      Row<Crashed,  StopAnnounced,       Stopped>,
      Row<Crashed,  AnnouncementTimeout, Absent>> {};
  // clang-format on

  template <typename Fsm, typename Event>
  void no_transition(const Event &, Fsm &, int) {}
};

} // namespace

struct UpstreamLifecycle::Impl {
  msm::back::state_machine<Machine> Fsm;
};

UpstreamLifecycle::UpstreamLifecycle() : Self(std::make_unique<Impl>()) {
  Self->Fsm.start();
}

UpstreamLifecycle::~UpstreamLifecycle() = default;
UpstreamLifecycle::UpstreamLifecycle(UpstreamLifecycle &&) noexcept = default;
UpstreamLifecycle &
UpstreamLifecycle::operator=(UpstreamLifecycle &&) noexcept = default;

UpstreamState UpstreamLifecycle::state() const {
  // MSM numbers the states by their first use in the transition table: source
  // states first, then those that are only targets.
  constexpr UpstreamState InTableOrder[] = {
      UpstreamState::Absent,   UpstreamState::Starting, UpstreamState::Ready,
      UpstreamState::Draining, UpstreamState::Crashed,  UpstreamState::Stopped};
  return InTableOrder[Self->Fsm.current_state()[0]];
}

bool UpstreamLifecycle::apply(UpstreamEvent Event) {
  UpstreamState Before = state();
  switch (Event) {
  case UpstreamEvent::AnnouncedStarting:
    Self->Fsm.process_event(StartingAnnounced());
    break;
  case UpstreamEvent::AnnouncedReady:
    Self->Fsm.process_event(ReadyAnnounced());
    break;
  case UpstreamEvent::AnnouncedDraining:
    Self->Fsm.process_event(DrainingAnnounced());
    break;
  case UpstreamEvent::AnnouncedStopped:
    Self->Fsm.process_event(StopAnnounced());
    break;
  case UpstreamEvent::AnnouncementTimeout:
    Self->Fsm.process_event(AnnouncementTimeout());
    break;
  case UpstreamEvent::Crashed:
    Self->Fsm.process_event(Crash());
    break;
  }
  return state() != Before;
}

} // namespace amaranth::dataplane
