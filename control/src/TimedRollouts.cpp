#include "amaranth/control/TimedRollouts.h"

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

TimedPhase phaseAfter(rollout::TimedAction::Kind Type) {
  using Kind = rollout::TimedAction::Kind;
  switch (Type) {
  case Kind::Finish:
    return TimedPhase::Finishing;
  case Kind::Complete:
    return TimedPhase::Complete;
  case Kind::RollBack:
    return TimedPhase::RolledBack;
  case Kind::Wait:
  case Kind::Share:
    break;
  }
  return TimedPhase::Active;
}

} // namespace

asio::awaitable<void> TimedRollouts::run() {
  for (;;) {
    co_await tick();
    co_await Time.sleepFor(TimedInterval);
  }
}

void TimedRollouts::observe(const std::vector<TimedRollout> &Rollouts) {
  std::erase_if(Orders, [&Rollouts](const auto &Item) {
    return std::none_of(
        Rollouts.begin(), Rollouts.end(), [&Item](const TimedRollout &Entry) {
          return Entry.Order == Item.first && isRunning(Entry.Phase);
        });
  });
  std::shared_ptr<const document::MeshSnapshot> Mesh;
  for (const TimedRollout &Entry : Rollouts) {
    if (!isRunning(Entry.Phase))
      continue;
    auto [Found, New] = Orders.try_emplace(Entry.Order);
    Known &Seen = Found->second;
    if (New)
      Seen.Applied = Time.now() - Entry.Elapsed;
    if (Seen.Epoch != Entry.Epoch) {
      Seen.Epoch = Entry.Epoch;
      Seen.EpochSeen = Time.now();
    }
    if (!Mesh)
      Mesh = State.mesh();
    if (readySlots(*Mesh, Entry.Service, Entry.To) == 0)
      Seen.NewReady.reset();
    else if (!Seen.NewReady)
      Seen.NewReady = Time.now();
  }
}

rollout::TimedProgress TimedRollouts::progress(const TimedRollout &Entry,
                                               const Known &Seen) const {
  auto Mesh = State.mesh();
  rollout::TimedProgress Now;
  Now.Elapsed = std::max(Time.now() - Seen.Applied,
                         Entry.Elapsed + (Time.now() - Seen.EpochSeen));
  Now.Duration = Entry.Duration;
  Now.Share = Entry.Share;
  Now.Finishing = Entry.Phase == TimedPhase::Finishing;
  Now.SinceDecision = Time.now() - Seen.EpochSeen;
  if (Seen.NewReady)
    Now.NewReadyFor = Time.now() - *Seen.NewReady;
  // A share above 0 proves that they had been ready before this process led.
  if (Seen.NewReady && Entry.Share > 0)
    Now.NewReadyFor = std::max(Now.NewReadyFor, Pace.WarmUpTime);
  Now.OldSlots = readySlots(*Mesh, Entry.Service, Entry.From);
  Now.NewSlots = readySlots(*Mesh, Entry.Service, Entry.To);
  base::Revision Section(Entry.Order.value());
  for (const auto &[Key, Counts] : Evidence.totals(Entry.Service, Section)) {
    if (Key.Version == Entry.From)
      Now.Routes[Key.Route].Old += Counts;
    else if (Key.Version == Entry.To)
      Now.Routes[Key.Route].New += Counts;
  }
  return Now;
}

asio::awaitable<void> TimedRollouts::tick() {
  std::vector<TimedRollout> Rollouts = State.timedRollouts();
  observe(Rollouts);
  if (!Log.isLeader())
    co_return;
  for (const TimedRollout &Entry : Rollouts) {
    auto Seen = Orders.find(Entry.Order);
    if (Seen == Orders.end())
      continue;
    rollout::TimedProgress Now = progress(Entry, Seen->second);
    rollout::TimedAction Action = rollout::decideTimed(Now, Pace);
    if (Action.Type != rollout::TimedAction::Kind::Wait)
      co_await propose(Entry, std::move(Action), Now.Elapsed);
  }
}

asio::awaitable<void> TimedRollouts::propose(TimedRollout Entry,
                                             rollout::TimedAction Action,
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
    // The next look decides again on what it finds then.
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
