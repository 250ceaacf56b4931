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
  base::TimePoint Next = Time.now();
  while (true) {
    co_await tick();
    // Looks that were missed while a proposal took long are skipped.
    Next = std::max(Next + ControllerInterval, Time.now());
    co_await Time.sleepUntil(Next);
  }
}

bool RolloutController::keepsLeading() {
  if (!Store.isLeader()) {
    Followed.clear();
    LeadingTerm.reset();
    return false;
  }
  if (LeadingTerm != Store.term()) {
    Followed.clear();
    LeadingTerm = Store.term();
  }
  return true;
}

void RolloutController::forgetEnded(
    const std::vector<RunningRollout> &Running) {
  std::erase_if(Followed, [&Running](const auto &Item) {
    return std::none_of(Running.begin(), Running.end(),
                        [&Item](const RunningRollout &Rollout) {
                          return Rollout.Plan.Service == Item.first &&
                                 Rollout.Plan.Section == Item.second.Section;
                        });
  });
}

void RolloutController::collect(const RunningRollout &Rollout) {
  auto [Found, New] = Followed.try_emplace(Rollout.Plan.Service);
  Entry &Target = Found->second;
  if (New) {
    Target.Section = Rollout.Plan.Section;
    Target.Evidence = std::make_unique<RolloutEvidence>(Rollout.Plan);
    // Evidence from before this controller led may miss reports.
    Target.Next = Time.wallNow();
  }
  Target.Evidence->follow(Rollout.State);
  for (const EvidenceWindow &Window :
       Source.windowsSince(Rollout.Plan, Target.Next)) {
    Target.Evidence->add(Window);
    Target.Next = Window.Start + WindowLength;
  }
}

std::vector<Decision> RolloutController::dueDecisions() {
  std::vector<RunningRollout> Running = Store.running();
  forgetEnded(Running);
  std::vector<Decision> Due;
  for (const RunningRollout &Rollout : Running) {
    collect(Rollout);
    const Entry &Known = Followed.at(Rollout.Plan.Service);
    auto Next = decide(Time.wallNow(), Rollout.Plan, Rollout.State,
                       Known.Evidence->summary());
    if (Next)
      Due.push_back(std::move(*Next));
  }
  std::stable_partition(Due.begin(), Due.end(), [](const Decision &Value) {
    return Value.Next == Phase::RolledBack;
  });
  return Due;
}

boost::asio::awaitable<void> RolloutController::tick() {
  if (!keepsLeading())
    co_return;
  std::optional<base::Term> Begun = LeadingTerm;
  std::vector<Decision> Due = dueDecisions();
  for (Decision &Value : Due) {
    co_await propose(std::move(Value));
    // Decisions of an earlier term must not be proposed in a later one.
    if (!keepsLeading() || LeadingTerm != Begun)
      co_return;
  }
}

boost::asio::awaitable<void> RolloutController::propose(Decision Value) {
  std::string Service = Value.Service.value();
  auto Share = Value.Share;
  std::string Reason = Value.Reason;
  auto Log = base::logger("rollout");
  try {
    DecideResult Result = co_await Store.decide(std::move(Value));
    Log->info("decision service={} share={} accepted={} reason=\"{}\"", Service,
              Share, Result == DecideResult::Accepted, Reason);
  } catch (const base::Error &Fault) {
    // The next look reads the state again and decides on what it finds.
    Log->warn("decision not confirmed service={} cause=\"{}\"", Service,
              Fault.what());
  }
}

std::optional<EvidenceSummary>
RolloutController::evidence(const base::ServiceName &Service) const {
  auto Found = Followed.find(Service);
  if (Found == Followed.end())
    return std::nullopt;
  return Found->second.Evidence->summary();
}

} // namespace amaranth::rollout
