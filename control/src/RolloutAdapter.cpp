#include "amaranth/control/RolloutAdapter.h"

#include "amaranth/base/Log.h"
#include "amaranth/document/Document.h"

#include <optional>

namespace asio = boost::asio;

namespace amaranth::control {

namespace {

constexpr base::Millis DecisionTimeout = base::Millis(3000);

bool isFinal(RolloutPhase Phase) {
  return Phase == RolloutPhase::Done || Phase == RolloutPhase::RolledBack;
}

/// Parses the plan from the body of the section. Returns `nullopt` if the plan
/// is invalid.
std::optional<rollout::RolloutPlan> parsePlan(const RolloutStatus &Status) {
  std::vector<base::FileFault> Faults;
  document::SectionText Text{"rollout " + Status.Service.value(), Status.Body};
  document::RolloutSection Section =
      document::parseRollout(Text, "document", Faults);
  if (!Faults.empty())
    return std::nullopt;
  rollout::RolloutPlan Plan;
  Plan.Service = Status.Service;
  Plan.Section = Status.Section;
  Plan.From = Section.From;
  Plan.To = Section.To;
  Plan.Start = Section.Start;
  Plan.Deadline = Section.Deadline;
  Plan.Steps = Section.Steps;
  Plan.Thresholds = {Section.MaxErrorIncrease, Section.MaxLatencyRatio,
                     Section.MinRequests};
  Plan.RiskLevel =
      Section.HighRisk ? rollout::Risk::High : rollout::Risk::Normal;
  if (!rollout::validatePlan(Plan).empty())
    return std::nullopt;
  return Plan;
}

std::uint32_t readySlots(const document::MeshSnapshot &Mesh,
                         const rollout::RolloutPlan &Plan) {
  std::uint32_t Slots = 0;
  for (const auto &[Id, Endpoint] : Mesh.Endpoints)
    if (Endpoint.Service == Plan.Service && Endpoint.Version == Plan.To &&
        Endpoint.State == document::EndpointState::Ready)
      Slots += Endpoint.Slots;
  return Slots;
}

void addCounts(rollout::EvidenceWindow &Window,
               const rollout::RolloutPlan &Plan,
               const EvidenceTable::Counts &Counts) {
  for (const auto &[Key, Value] : Counts) {
    if (Key.Service != Plan.Service)
      continue;
    if (Key.Version == Plan.From)
      Window.Routes[Key.Route].Old += Value;
    else if (Key.Version == Plan.To)
      Window.Routes[Key.Route].New += Value;
  }
}

} // namespace

ReplicatedRolloutStore::ReplicatedRolloutStore(replication::ReplicatedLog &Log,
                                               const ControlState &State)
    : Log(Log), State(State) {}

bool ReplicatedRolloutStore::isLeader() const { return Log.isLeader(); }

base::Term ReplicatedRolloutStore::term() const { return Log.term(); }

std::vector<rollout::RunningRollout> ReplicatedRolloutStore::running() const {
  std::vector<rollout::RunningRollout> Result;
  for (const RolloutStatus &Status : State.rollouts()) {
    if (isFinal(Status.Phase))
      continue;
    auto Plan = parsePlan(Status);
    if (!Plan) {
      base::logger("rollout")->error(
          "invalid rollout plan service={} revision={}", Status.Service.value(),
          Status.Section.value());
      continue;
    }
    rollout::RolloutState Current;
    Current.CurrentPhase = static_cast<rollout::Phase>(Status.Phase);
    Current.Share = Status.Share;
    Current.Step = Status.Step;
    Current.Epoch = Status.Epoch;
    Current.LastChange = Status.LastChange;
    Result.push_back({std::move(*Plan), Current});
  }
  return Result;
}

asio::awaitable<rollout::CommitResult>
ReplicatedRolloutStore::commitDecision(rollout::Decision Value) {
  RolloutDecision Command;
  Command.Service = Value.Service;
  Command.Section = Value.Section;
  Command.ExpectedEpoch = Value.ExpectedEpoch;
  Command.Phase = static_cast<RolloutPhase>(Value.NextPhase);
  Command.Share = Value.Share;
  Command.Step = Value.Step;
  Command.Reason = Value.Reason;
  base::Bytes Answer =
      co_await Log.propose(encodeCommand(Command), DecisionTimeout);
  bool Accepted = decodeResult(Answer).Code == ResultCode::Accepted;
  co_return Accepted ? rollout::CommitResult::Accepted
                     : rollout::CommitResult::Refused;
}

ReportedEvidence::ReportedEvidence(const EvidenceTable &Table,
                                   const ControlState &State, base::Clock &Time)
    : Table(Table), State(State), Time(Time) {}

std::vector<rollout::EvidenceWindow>
ReportedEvidence::windowsSince(const rollout::RolloutPlan &Plan,
                               base::WallTime Since) {
  std::vector<rollout::EvidenceWindow> Result;
  base::TimePoint Now = Time.now();
  base::WallTime WallNow = Time.wallNow();
  std::uint32_t Slots = readySlots(*State.mesh(), Plan);
  for (const EvidenceTable::Window &Window : Table.windows()) {
    bool Complete = Window.Start + rollout::WindowLength <= Now;
    rollout::EvidenceWindow Entry;
    Entry.Start = WallNow - (Now - Window.Start);
    if (!Complete || Entry.Start < Since)
      continue;
    Entry.NewSlots = Slots;
    addCounts(Entry, Plan, Window.Sums);
    Result.push_back(std::move(Entry));
  }
  return Result;
}

} // namespace amaranth::control
