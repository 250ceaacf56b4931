#include "ServiceVersions.h"

#include "CommandResults.h"
#include "amaranth/base/Invariant.h"

namespace amaranth::control::detail {

namespace {

/// Errors and latency that the nodes' own guards accept, until the
/// controller has decided.
constexpr double MaxErrorIncrease = 0.05;
constexpr double MaxLatencyRatio = 2;

} // namespace

const char *phaseName(TimedPhase Phase) {
  switch (Phase) {
  case TimedPhase::Active:
    return "active";
  case TimedPhase::Finishing:
    return "finishing";
  case TimedPhase::Complete:
    return "complete";
  case TimedPhase::RolledBack:
    return "rolled-back";
  }
  return "unknown";
}

bool ServiceVersions::announced(const base::ServiceName &Service,
                                const base::VersionName &Version) {
  Record &Known = Records[Service];
  if (!Known.Carrying.value().empty())
    return false;
  Known.Carrying = Version;
  return true;
}

CommandResult ServiceVersions::start(const StartRollout &Request,
                                     base::LogIndex Index, base::WallTime Now,
                                     bool &Changed) {
  if (Request.To.value().empty() || Request.Duration <= base::Millis(0))
    return makeResult(ResultCode::Invalid,
                      "a rollout needs a version and a duration above 0");
  auto Known = Rollouts.find(Request.Service);
  if (Known != Rollouts.end()) {
    const TimedRollout &Last = Known->second;
    bool Same = Last.To == Request.To;
    if (Same && (Last.Phase != TimedPhase::RolledBack ||
                 Now - Last.Started < RolloutResendTime))
      return makeResult(ResultCode::Accepted, "ordered before");
    if (isRunning(Last.Phase))
      return makeResult(
          ResultCode::Conflict,
          fmt::format("a rollout to version {} is running", Last.To.value()));
  }
  Record &Carries = Records[Request.Service];
  TimedRollout Next;
  Next.Service = Request.Service;
  Next.Order = Index;
  Next.From = Carries.Carrying;
  Next.To = Request.To;
  Next.Duration = Request.Duration;
  Next.Started = Now;
  Carries.Barred.erase(Request.To);
  if (Next.From.value().empty() || Next.From == Next.To) {
    Carries.Carrying = Next.To;
    Next.Phase = TimedPhase::Complete;
    Next.Share = document::FullShare;
  }
  Rollouts.insert_or_assign(Request.Service, std::move(Next));
  Changed = true;
  return makeResult(ResultCode::Accepted);
}

CommandResult ServiceVersions::decide(const TimedDecision &Request) {
  auto Known = Rollouts.find(Request.Service);
  if (Known == Rollouts.end() || Known->second.Order != Request.Order)
    return makeResult(ResultCode::Conflict, "another rollout was ordered");
  TimedRollout &Entry = Known->second;
  if (Entry.Epoch != Request.ExpectedEpoch)
    return makeResult(ResultCode::Conflict,
                      fmt::format("the rollout is at epoch {}, the decision "
                                  "expects {}",
                                  Entry.Epoch, Request.ExpectedEpoch));
  if (!isRunning(Entry.Phase))
    return makeResult(ResultCode::Conflict,
                      fmt::format("the rollout has ended as "
                                  "{}",
                                  phaseName(Entry.Phase)));
  // Upstreams of the old version may be stopped only after all nodes were
  // told to leave them.
  if (Request.Share > document::FullShare || Request.Phase < Entry.Phase ||
      (Request.Phase == TimedPhase::Complete &&
       Entry.Phase != TimedPhase::Finishing))
    return makeResult(ResultCode::Invalid,
                      fmt::format("no decision {} with share {} while {}",
                                  phaseName(Request.Phase), Request.Share,
                                  phaseName(Entry.Phase)));
  Entry.Phase = Request.Phase;
  Entry.Share = Request.Share;
  if (Request.Phase == TimedPhase::Finishing ||
      Request.Phase == TimedPhase::Complete)
    Entry.Share = document::FullShare;
  if (Request.Phase == TimedPhase::RolledBack)
    Entry.Share = 0;
  ++Entry.Epoch;
  Entry.Elapsed = Request.Elapsed;
  Entry.Reason = Request.Reason;
  Record &Carries = Records[Request.Service];
  if (Entry.Phase == TimedPhase::Complete) {
    Carries.Carrying = Entry.To;
    Carries.Barred.insert(Entry.From);
  }
  if (Entry.Phase == TimedPhase::RolledBack)
    Carries.Barred.insert(Entry.To);
  return makeResult(ResultCode::Accepted);
}

void ServiceVersions::fill(document::Service &Entry) const {
  auto Found = Records.find(Entry.Name);
  if (Found == Records.end() || Found->second.Carrying.value().empty())
    return;
  const Record &Known = Found->second;
  auto Rollout = Rollouts.find(Entry.Name);
  bool Running = Rollout != Rollouts.end() && isRunning(Rollout->second.Phase);
  std::uint32_t Share = Running ? Rollout->second.Share : 0;
  Entry.Versions.push_back(
      {Known.Carrying, document::FullShare - Share, false});
  for (const base::VersionName &Version : Known.Barred)
    if (Version != Known.Carrying &&
        !(Running && Version == Rollout->second.To))
      Entry.Versions.push_back({Version, 0, true});
  if (!Running)
    return;
  const TimedRollout &Active = Rollout->second;
  Entry.Versions.push_back({Active.To, Share, false});
  Entry.HasRollout = true;
  Entry.Rollout = {
      Active.From,  Active.To,        base::Revision(Active.Order.value()),
      Active.Epoch, MaxErrorIncrease, MaxLatencyRatio};
}

Offset<flatbuffers::Vector<Offset<wire::ServiceVersionRecord>>>
ServiceVersions::write(Builder &Out) const {
  std::vector<Offset<wire::ServiceVersionRecord>> List;
  for (const auto &[Service, Known] : Records) {
    std::vector<std::string> Barred;
    for (const base::VersionName &Version : Known.Barred)
      Barred.push_back(Version.value());
    auto Name = writeString(Out, Service);
    auto Carrying = writeString(Out, Known.Carrying);
    auto BarredList = Out.CreateVectorOfStrings(Barred);
    List.push_back(
        wire::CreateServiceVersionRecord(Out, Name, Carrying, BarredList));
  }
  return Out.CreateVector(List);
}

Offset<flatbuffers::Vector<Offset<wire::TimedRolloutRecord>>>
ServiceVersions::writeRollouts(Builder &Out) const {
  std::vector<Offset<wire::TimedRolloutRecord>> List;
  for (const auto &[Service, Entry] : Rollouts) {
    auto Name = writeString(Out, Service);
    auto From = writeString(Out, Entry.From);
    auto To = writeString(Out, Entry.To);
    auto Reason = Out.CreateString(Entry.Reason);
    List.push_back(wire::CreateTimedRolloutRecord(
        Out, Name, Entry.Order.value(), From, To, Entry.Duration.count(),
        Entry.Started.count(), static_cast<std::uint8_t>(Entry.Phase),
        Entry.Share, Entry.Epoch, Entry.Elapsed.count(), Reason));
  }
  return Out.CreateVector(List);
}

void ServiceVersions::read(const wire::ControlSnapshot &From) {
  if (From.service_versions())
    for (const wire::ServiceVersionRecord *Item : *From.service_versions()) {
      Record &Known = Records[base::ServiceName(Item->service()->str())];
      Known.Carrying = base::VersionName(Item->version()->str());
      for (std::string &Version : readStrings(*Item->barred()))
        Known.Barred.insert(base::VersionName(std::move(Version)));
    }
  if (!From.timed_rollouts())
    return;
  for (const wire::TimedRolloutRecord *Item : *From.timed_rollouts()) {
    TimedRollout Entry;
    Entry.Service = base::ServiceName(Item->service()->str());
    Entry.Order = base::LogIndex(Item->order());
    Entry.From = base::VersionName(Item->from()->str());
    Entry.To = base::VersionName(Item->to()->str());
    Entry.Duration = base::Millis(Item->duration_ms());
    Entry.Started = base::WallTime(Item->started());
    Entry.Phase = readEnum(Item->phase(), TimedPhase::RolledBack,
                           "phase of a timed rollout");
    Entry.Share = Item->share();
    Entry.Epoch = Item->epoch();
    Entry.Elapsed = base::Millis(Item->elapsed_ms());
    Entry.Reason = Item->reason()->str();
    if (Entry.Share > document::FullShare)
      throw base::ProtocolError("malformed timed rollout in a snapshot");
    Rollouts.insert_or_assign(Entry.Service, std::move(Entry));
  }
}

} // namespace amaranth::control::detail
