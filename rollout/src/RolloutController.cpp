#include "amaranth/rollout/RolloutController.h"

#include "amaranth/base/Error.h"
#include "amaranth/base/Log.h"
#include "amaranth/rollout/RolloutMachine.h"

#include <algorithm>
#include <string>

namespace amaranth::rollout {

RolloutController::RolloutController(base::Clock &Time, RolloutStore &Store,
                                     EvidenceSource &Source)
    : Time(Time), Store(Store), Source(Source) {}

boost::asio::awaitable<void> RolloutController::run() {
  base::TimePoint NextTick = Time.now();
  while (true) {
    co_await tick();
    // Skips evaluations that were missed during a slow proposal.
    NextTick = std::max(NextTick + ControllerInterval, Time.now());
    co_await Time.sleepUntil(NextTick);
  }
}

bool RolloutController::updateLeadership() {
  if (!Store.isLeader()) {
    Tracked.clear();
    LeadingTerm.reset();
    return false;
  }
  if (LeadingTerm != Store.term()) {
    Tracked.clear();
    LeadingTerm = Store.term();
  }
  return true;
}

void RolloutController::removeEnded(
    const std::vector<RunningRollout> &Running) {
  std::erase_if(Tracked, [&Running](const auto &Item) {
    return std::none_of(Running.begin(), Running.end(),
                        [&Item](const RunningRollout &Rollout) {
                          return Rollout.Plan.Service == Item.first &&
                                 Rollout.Plan.Section == Item.second.Section;
                        });
  });
}

void RolloutController::collectEvidence(const RunningRollout &Rollout) {
  auto [Found, Inserted] = Tracked.try_emplace(Rollout.Plan.Service);
  TrackedRollout &Target = Found->second;
  if (Inserted) {
    Target.Section = Rollout.Plan.Section;
    Target.Evidence = std::make_unique<RolloutEvidence>(Rollout.Plan);
    // Windows from before this process became leader may lack reports.
    Target.NextWindowStart = Time.wallNow();
  }
  Target.Evidence->setState(Rollout.State);
  for (const EvidenceWindow &Window :
       Source.windowsSince(Rollout.Plan, Target.NextWindowStart)) {
    Target.Evidence->add(Window);
    Target.NextWindowStart = Window.Start + WindowLength;
  }
}

std::vector<Decision> RolloutController::dueDecisions() {
  std::vector<RunningRollout> Running = Store.running();
  removeEnded(Running);
  std::vector<Decision> Due;
  for (const RunningRollout &Rollout : Running) {
    collectEvidence(Rollout);
    const TrackedRollout &Entry = Tracked.at(Rollout.Plan.Service);
    auto NextDecision = decide(Time.wallNow(), Rollout.Plan, Rollout.State,
                               Entry.Evidence->summary());
    if (NextDecision)
      Due.push_back(std::move(*NextDecision));
  }
  std::stable_partition(Due.begin(), Due.end(), [](const Decision &Value) {
    return Value.NextPhase == Phase::RolledBack;
  });
  return Due;
}

boost::asio::awaitable<void> RolloutController::tick() {
  if (!updateLeadership())
    co_return;
  std::optional<base::Term> StartTerm = LeadingTerm;
  std::vector<Decision> Due = dueDecisions();
  for (Decision &Value : Due) {
    co_await propose(std::move(Value));
    // Decisions made in an earlier term must not be proposed in a later one.
    if (!updateLeadership() || LeadingTerm != StartTerm)
      co_return;
  }
}

boost::asio::awaitable<void> RolloutController::propose(Decision Value) {
  std::string Service = Value.Service.value();
  auto Share = Value.Share;
  std::string Reason = Value.Reason;
  auto Log = base::logger("rollout");
  try {
    CommitResult Result = co_await Store.commitDecision(std::move(Value));
    Log->info("rollout decision proposed service={} share={} accepted={} "
              "reason=\"{}\"",
              Service, Share, Result == CommitResult::Accepted, Reason);
  } catch (const base::Error &Failure) {
    // The next evaluation reads the state again and decides anew.
    Log->warn("rollout decision not confirmed service={} cause=\"{}\"", Service,
              Failure.what());
  }
}

std::optional<EvidenceSummary>
RolloutController::evidence(const base::ServiceName &Service) const {
  auto Found = Tracked.find(Service);
  if (Found == Tracked.end())
    return std::nullopt;
  return Found->second.Evidence->summary();
}

} // namespace amaranth::rollout
