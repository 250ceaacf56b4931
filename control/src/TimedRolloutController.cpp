#include "amaranth/control/TimedRolloutController.h"

#include "amaranth/base/Log.h"

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::control {

namespace {

constexpr base::Millis DecisionTimeout = base::Millis::seconds(2);

std::uint32_t readySlots(const document::MeshSnapshot &Mesh,
                         const base::ServiceName &Service,
                         const base::VersionName &Version) {
  std::uint32_t Slots = 0;
  for (const auto &[Id, Entry] : Mesh.Endpoints)
    if (Entry.Service == Service && Entry.Version == Version &&
        Entry.State == document::EndpointState::Ready)
      Slots += Entry.Slots;
  return Slots;
}

TimedRolloutPhase phaseAfter(rollout::TimedAction::Kind Type) {
  using Kind = rollout::TimedAction::Kind;
  switch (Type) {
  case Kind::Finish:
    return TimedRolloutPhase::Finishing;
  case Kind::Complete:
    return TimedRolloutPhase::Complete;
  case Kind::RollBack:
    return TimedRolloutPhase::RolledBack;
  case Kind::Wait:
  case Kind::Share:
    break;
  }
  return TimedRolloutPhase::Active;
}

} // namespace

asio::awaitable<void> TimedRolloutController::run() {
  for (;;) {
    co_await tick();
    co_await Time.sleepFor(TimedRolloutPollInterval);
  }
}

void TimedRolloutController::observe(
    const std::vector<TimedRollout> &Rollouts) {
  std::erase_if(Observations, [&Rollouts](const auto &Item) {
    return std::none_of(
        Rollouts.begin(), Rollouts.end(), [&Item](const TimedRollout &Entry) {
          return Entry.Order == Item.first && isRunning(Entry.Phase);
        });
  });
  std::shared_ptr<const document::MeshSnapshot> Mesh;
  for (const TimedRollout &Entry : Rollouts) {
    if (!isRunning(Entry.Phase))
      continue;
    auto [Found, Inserted] = Observations.try_emplace(Entry.Order);
    Observation &Observed = Found->second;
    if (Inserted)
      Observed.Applied = Time.now() - Entry.Elapsed;
    if (Observed.Epoch != Entry.Epoch) {
      Observed.Epoch = Entry.Epoch;
      Observed.EpochObserved = Time.now();
      Observed.AtEpoch = Evidence.rolloutTotals(
          Entry.Service, base::Revision(Entry.Order.value()));
    }
    if (!Mesh)
      Mesh = State.mesh();
    if (readySlots(*Mesh, Entry.Service, Entry.To) == 0)
      Observed.NewVersionReady.reset();
    else if (!Observed.NewVersionReady)
      Observed.NewVersionReady = Time.now();
  }
}

rollout::TimedProgress
TimedRolloutController::progress(const TimedRollout &Entry,
                                 const Observation &Observed) const {
  auto Mesh = State.mesh();
  rollout::TimedProgress Now;
  Now.Elapsed = std::max(Time.now() - Observed.Applied,
                         Entry.Elapsed + (Time.now() - Observed.EpochObserved));
  Now.Duration = Entry.Duration;
  Now.Share = Entry.Share;
  Now.Finishing = Entry.Phase == TimedRolloutPhase::Finishing;
  Now.SinceDecision = Time.now() - Observed.EpochObserved;
  if (Observed.NewVersionReady)
    Now.NewReadyFor = Time.now() - *Observed.NewVersionReady;
  // A share above 0 implies that the new version was ready before, possibly
  // under another leader, so the warm-up is not repeated.
  if (Observed.NewVersionReady && Entry.Share > 0)
    Now.NewReadyFor = std::max(Now.NewReadyFor, Pace.WarmUpTime);
  Now.OldSlots = readySlots(*Mesh, Entry.Service, Entry.From);
  Now.NewSlots = readySlots(*Mesh, Entry.Service, Entry.To);
  base::Revision Section(Entry.Order.value());
  for (const auto &[Key, Counts] :
       Evidence.rolloutTotals(Entry.Service, Section)) {
    auto Before = Observed.AtEpoch.find(Key);
    rollout::EvidenceCounts Recent = Before == Observed.AtEpoch.end()
                                         ? Counts
                                         : Counts.since(Before->second);
    if (Key.Version == Entry.From) {
      Now.Routes[Key.Route].Old += Counts;
      Now.RecentRoutes[Key.Route].Old += Recent;
    } else if (Key.Version == Entry.To) {
      Now.Routes[Key.Route].New += Counts;
      Now.RecentRoutes[Key.Route].New += Recent;
    }
  }
  return Now;
}

asio::awaitable<void> TimedRolloutController::tick() {
  std::vector<TimedRollout> Rollouts = State.timedRollouts();
  observe(Rollouts);
  if (!Log.isLeader())
    co_return;
  for (const TimedRollout &Entry : Rollouts) {
    auto Observed = Observations.find(Entry.Order);
    if (Observed == Observations.end())
      continue;
    rollout::TimedProgress Now = progress(Entry, Observed->second);
    rollout::TimedAction Action = rollout::decideTimed(Now, Pace);
    if (Action.Type != rollout::TimedAction::Kind::Wait)
      co_await propose(Entry, std::move(Action), Now.Elapsed);
  }
}

asio::awaitable<void>
TimedRolloutController::propose(TimedRollout Entry, rollout::TimedAction Action,
                                base::Millis Elapsed) {
  TimedDecision Decision{
      Entry.Service, Entry.Order, Entry.Epoch,  phaseAfter(Action.Type),
      Action.Share,  Elapsed,     Action.Reason};
  Command Proposal(Decision);
  std::string Outcome;
  try {
    base::Bytes Encoded = encodeCommand(Proposal);
    base::Bytes Answer =
        co_await Log.propose(std::move(Encoded), DecisionTimeout);
    CommandResult Result = decodeResult(Answer);
    Outcome = Result.Code == ResultCode::Accepted ? "accepted"
              : Result.Messages.empty()           ? "refused"
                                        : "refused: " + Result.Messages.front();
  } catch (const base::Error &Failure) {
    // The next evaluation decides again on the state at that time.
    Outcome = Failure.what();
  }
  base::logger("rollout")->info(
      "timed decision service={} order={} to={} phase={} share={} "
      "elapsed_ms={} duration_ms={} reason=\"{}\" outcome=\"{}\"",
      Entry.Service.value(), Entry.Order.value(), Entry.To.value(),
      static_cast<int>(Decision.Phase), Decision.Share, Elapsed.count(),
      Entry.Duration.count(), Decision.Reason, Outcome);
}

} // namespace amaranth::control
