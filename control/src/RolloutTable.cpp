#include "RolloutTable.h"

#include "AuditLog.h"
#include "CommandResults.h"
#include "amaranth/base/Invariant.h"

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxReasonBytes = 512;

/// Share of the new version in a phase. Only `Stepping` uses the share of the
/// decision.
std::uint32_t shareInPhase(RolloutPhase Phase, std::uint32_t Step) {
  switch (Phase) {
  case RolloutPhase::Stepping:
    return Step;
  case RolloutPhase::Watching:
  case RolloutPhase::Done:
    return document::FullShare;
  case RolloutPhase::Waiting:
  case RolloutPhase::RolledBack:
    break;
  }
  return 0;
}

} // namespace

const char *phaseName(RolloutPhase Phase) {
  switch (Phase) {
  case RolloutPhase::Waiting:
    return "waiting";
  case RolloutPhase::Stepping:
    return "stepping";
  case RolloutPhase::Watching:
    return "watching";
  case RolloutPhase::Done:
    return "done";
  case RolloutPhase::RolledBack:
    return "rolled-back";
  }
  return "unknown";
}

CommandResult RolloutTable::decide(const RolloutDecision &Decision,
                                   base::WallTime Now) {
  auto It = Records.find(Decision.Service);
  if (It == Records.end() || It->second.Section != Decision.Section)
    return makeResult(ResultCode::Conflict,
                      "the rollout section has another revision");
  RolloutStatus &Status = It->second;
  if (Status.Epoch != Decision.ExpectedEpoch)
    return makeResult(ResultCode::Conflict,
                      fmt::format("the rollout is at epoch {}, the decision "
                                  "expects {}",
                                  Status.Epoch, Decision.ExpectedEpoch));
  if (isFinal(Status.Phase))
    return makeResult(
        ResultCode::Conflict,
        fmt::format("the rollout has ended as {}", phaseName(Status.Phase)));
  bool InvalidShare =
      Decision.Phase == RolloutPhase::Stepping &&
      (Decision.Share == 0 || Decision.Share > document::FullShare);
  // An alarm while watching lowers the share again to compare the versions.
  bool Recheck = Status.Phase == RolloutPhase::Watching &&
                 Decision.Phase == RolloutPhase::Stepping;
  if ((Decision.Phase < Status.Phase && !Recheck) || InvalidShare)
    return makeResult(ResultCode::Invalid,
                      fmt::format("no decision {} with share {} while {}",
                                  phaseName(Decision.Phase), Decision.Share,
                                  phaseName(Status.Phase)));
  AMARANTH_INVARIANT(!isFinal(Status.Phase), "a final decision was changed");
  Status.Phase = Decision.Phase;
  Status.Share = shareInPhase(Decision.Phase, Decision.Share);
  Status.Step = Decision.Step;
  Status.Reason = Decision.Reason;
  truncateUtf8(Status.Reason, MaxReasonBytes);
  ++Status.Epoch;
  Status.LastChange = Now;
  if (Status.Phase == RolloutPhase::RolledBack)
    Barred[Status.Service] = Status.To;
  CommandResult Result;
  Result.Code = ResultCode::Accepted;
  return Result;
}

void RolloutTable::restart(const document::RolloutSection &Section,
                           base::Revision Rev, base::WallTime Now) {
  RolloutStatus Status;
  Status.Service = Section.Service;
  Status.Section = Rev;
  Status.From = Section.From;
  Status.To = Section.To;
  Status.Epoch = 1;
  Status.Since = Now;
  Status.LastChange = Now;
  auto Existing = Records.find(Section.Service);
  AMARANTH_INVARIANT(Existing == Records.end() ||
                         Existing->second.Section < Rev,
                     "rollout reverted to an older revision");
  Records[Section.Service] = std::move(Status);
  Barred.erase(Section.Service);
}

void RolloutTable::remove(const base::ServiceName &Service) {
  Records.erase(Service);
}

void RolloutTable::pruneBarredVersions(const document::Document &Current) {
  std::erase_if(Barred, [&Current](const auto &Item) {
    return !Current.services().contains(Item.first);
  });
}

base::VersionName
RolloutTable::currentVersion(const base::ServiceName &Service,
                             const base::VersionName &Default) const {
  auto It = Records.find(Service);
  if (It == Records.end())
    return Default;
  return It->second.Phase == RolloutPhase::Done ? It->second.To
                                                : It->second.From;
}

document::RolloutTrafficMap RolloutTable::traffic() const {
  document::RolloutTrafficMap Result;
  for (const auto &[Service, Status] : Records)
    Result[Service] = {Status.Section, Status.Epoch, Status.Share,
                       !isFinal(Status.Phase)};
  return Result;
}

document::BarredVersions RolloutTable::barred() const { return Barred; }

Offset<flatbuffers::Vector<Offset<wire::RolloutRecord>>>
RolloutTable::write(Builder &Out) const {
  std::vector<Offset<wire::RolloutRecord>> List;
  for (const auto &[Name, Status] : Records) {
    auto Service = writeString(Out, Name);
    auto From = writeString(Out, Status.From);
    auto To = writeString(Out, Status.To);
    auto Reason = Out.CreateString(Status.Reason);
    List.push_back(wire::CreateRolloutRecord(
        Out, Service, Status.Section.value(), From, To,
        static_cast<std::uint8_t>(Status.Phase), Status.Share, Status.Step,
        Status.Epoch, Reason, Status.Since.count(), Status.LastChange.count()));
  }
  return Out.CreateVector(List);
}

Offset<flatbuffers::Vector<Offset<wire::BarredRecord>>>
RolloutTable::writeBarred(Builder &Out) const {
  std::vector<Offset<wire::BarredRecord>> List;
  for (const auto &[Name, Version] : Barred) {
    auto Service = writeString(Out, Name);
    auto VersionText = writeString(Out, Version);
    List.push_back(wire::CreateBarredRecord(Out, Service, VersionText));
  }
  return Out.CreateVector(List);
}

void RolloutTable::read(const wire::ControlSnapshot &From) {
  for (const wire::RolloutRecord *Item : *From.rollouts()) {
    RolloutStatus Status;
    Status.Service = base::ServiceName(Item->service()->str());
    Status.Section = base::Revision(Item->section());
    Status.From = base::VersionName(Item->from()->str());
    Status.To = base::VersionName(Item->to()->str());
    Status.Phase =
        readEnum(Item->phase(), RolloutPhase::RolledBack, "rollout phase");
    Status.Share = Item->share();
    Status.Step = Item->step();
    Status.Epoch = Item->epoch();
    Status.Reason = Item->reason()->str();
    Status.Since = base::WallTime(Item->since());
    Status.LastChange = base::WallTime(Item->last_change());
    if (Status.Share > document::FullShare)
      throw base::ProtocolError("malformed rollout in a snapshot");
    Records[Status.Service] = std::move(Status);
  }
  for (const wire::BarredRecord *Item : *From.barred())
    Barred[base::ServiceName(Item->service()->str())] =
        base::VersionName(Item->version()->str());
}

} // namespace amaranth::control::detail
