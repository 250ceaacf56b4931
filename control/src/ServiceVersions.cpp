#include "ServiceVersions.h"

#include "CommandResults.h"
#include "amaranth/base/Invariant.h"

namespace amaranth::control::detail {

namespace {

/// Limits for the nodes' local version guards, which apply until the controller
/// has decided.
constexpr double MaxErrorIncrease = 0.05;
constexpr double MaxLatencyRatio = 2;

} // namespace

const char *phaseName(TimedRolloutPhase Phase) {
  switch (Phase) {
  case TimedRolloutPhase::Active:
    return "active";
  case TimedRolloutPhase::Finishing:
    return "finishing";
  case TimedRolloutPhase::Complete:
    return "complete";
  case TimedRolloutPhase::RolledBack:
    return "rolled-back";
  }
  return "unknown";
}

bool ServiceVersions::recordAnnouncement(const base::ServiceName &Service,
                                         const base::VersionName &Version) {
  Record &Existing = Records[Service];
  if (!Existing.CurrentVersion.value().empty())
    return false;
  Existing.CurrentVersion = Version;
  return true;
}

CommandResult ServiceVersions::start(const StartRollout &Request,
                                     base::LogIndex Index, base::WallTime Now,
                                     bool &Changed) {
  if (Request.To.value().empty() || Request.Duration <= base::Millis(0))
    return makeResult(ResultCode::Invalid,
                      "a rollout needs a version and a duration above 0");
  auto Existing = Rollouts.find(Request.Service);
  if (Existing != Rollouts.end()) {
    const TimedRollout &Last = Existing->second;
    bool Same = Last.To == Request.To;
    if (Same && (Last.Phase != TimedRolloutPhase::RolledBack ||
                 Now - Last.Started < RolloutResendWindow))
      return makeResult(ResultCode::Accepted, "ordered before");
    if (isRunning(Last.Phase))
      return makeResult(
          ResultCode::Conflict,
          fmt::format("a rollout to version {} is running", Last.To.value()));
  }
  Record &Versions = Records[Request.Service];
  TimedRollout Next;
  Next.Service = Request.Service;
  Next.Order = Index;
  Next.From = Versions.CurrentVersion;
  Next.To = Request.To;
  Next.Duration = Request.Duration;
  Next.Started = Now;
  Versions.Barred.erase(Request.To);
  if (Next.From.value().empty() || Next.From == Next.To) {
    Versions.CurrentVersion = Next.To;
    Next.Phase = TimedRolloutPhase::Complete;
    Next.Share = document::FullShare;
  }
  Rollouts.insert_or_assign(Request.Service, std::move(Next));
  Changed = true;
  return makeResult(ResultCode::Accepted);
}

CommandResult ServiceVersions::decide(const TimedDecision &Request) {
  auto Existing = Rollouts.find(Request.Service);
  if (Existing == Rollouts.end() || Existing->second.Order != Request.Order)
    return makeResult(ResultCode::Conflict, "another rollout was ordered");
  TimedRollout &Entry = Existing->second;
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
  // `Finishing` must precede `Complete`: upstreams of the old version may be
  // stopped only after all nodes were told to stop using them.
  if (Request.Share > document::FullShare || Request.Phase < Entry.Phase ||
      (Request.Phase == TimedRolloutPhase::Complete &&
       Entry.Phase != TimedRolloutPhase::Finishing))
    return makeResult(ResultCode::Invalid,
                      fmt::format("no decision {} with share {} while {}",
                                  phaseName(Request.Phase), Request.Share,
                                  phaseName(Entry.Phase)));
  Entry.Phase = Request.Phase;
  Entry.Share = Request.Share;
  if (Request.Phase == TimedRolloutPhase::Finishing ||
      Request.Phase == TimedRolloutPhase::Complete)
    Entry.Share = document::FullShare;
  if (Request.Phase == TimedRolloutPhase::RolledBack)
    Entry.Share = 0;
  ++Entry.Epoch;
  Entry.Elapsed = Request.Elapsed;
  Entry.Reason = Request.Reason;
  Record &Versions = Records[Request.Service];
  if (Entry.Phase == TimedRolloutPhase::Complete) {
    Versions.CurrentVersion = Entry.To;
    Versions.Barred.insert(Entry.From);
  }
  if (Entry.Phase == TimedRolloutPhase::RolledBack)
    Versions.Barred.insert(Entry.To);
  return makeResult(ResultCode::Accepted);
}

void ServiceVersions::fillService(document::Service &Entry) const {
  auto Found = Records.find(Entry.Name);
  if (Found == Records.end() || Found->second.CurrentVersion.value().empty())
    return;
  const Record &Existing = Found->second;
  auto Rollout = Rollouts.find(Entry.Name);
  bool Running = Rollout != Rollouts.end() && isRunning(Rollout->second.Phase);
  std::uint32_t Share = Running ? Rollout->second.Share : 0;
  Entry.Versions.push_back(
      {Existing.CurrentVersion, document::FullShare - Share, false});
  for (const base::VersionName &Version : Existing.Barred)
    if (Version != Existing.CurrentVersion &&
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
  for (const auto &[Service, Existing] : Records) {
    std::vector<std::string> Barred;
    for (const base::VersionName &Version : Existing.Barred)
      Barred.push_back(Version.value());
    auto Name = writeString(Out, Service);
    auto CurrentVersion = writeString(Out, Existing.CurrentVersion);
    auto BarredList = Out.CreateVectorOfStrings(Barred);
    List.push_back(wire::CreateServiceVersionRecord(Out, Name, CurrentVersion,
                                                    BarredList));
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
      Record &Existing = Records[base::ServiceName(Item->service()->str())];
      Existing.CurrentVersion = base::VersionName(Item->version()->str());
      for (std::string &Version : readStrings(*Item->barred()))
        Existing.Barred.insert(base::VersionName(std::move(Version)));
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
    Entry.Phase = readEnum(Item->phase(), TimedRolloutPhase::RolledBack,
                           "timed rollout phase");
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
