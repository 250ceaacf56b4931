#include "QuarantineTable.h"

#include "CommandResults.h"
#include "amaranth/base/Invariant.h"

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxIdBytes = 512;

bool isId(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxIdBytes;
}

} // namespace

CommandResult QuarantineTable::reportCrash(const ReportCrash &Request,
                                           base::WallTime Now, bool &Changed) {
  if (!isId(Request.Service.value()) ||
      Request.Fingerprints.size() > MaxCrashFingerprints)
    return makeResult(
        ResultCode::Invalid,
        "a crash report requires a service and at most 1024 requests");
  for (std::uint64_t Fingerprint : Request.Fingerprints) {
    if (!addSuspect(Fingerprint, Request.Service, Now))
      return makeResult(ResultCode::Busy, "the quarantine table is full");
    Changed = true;
  }
  return makeResult(ResultCode::Accepted);
}

bool QuarantineTable::addSuspect(std::uint64_t Fingerprint,
                                 const base::ServiceName &Service,
                                 base::WallTime Now) {
  auto It = Records.find(Fingerprint);
  if (It == Records.end()) {
    if (Records.size() >= MaxQuarantineEntries && !evictOldestSuspect())
      return false;
    Records[Fingerprint] = {
        {Fingerprint, Service, false, Now + ConvictionDuration}, ""};
    return true;
  }
  if (!It->second.Entry.Convicted)
    It->second.Entry.Until = Now + ConvictionDuration;
  return true;
}

CommandResult QuarantineTable::beginRun(const BeginSuspectRun &Request,
                                        base::WallTime Now, bool &Changed) {
  if (!isId(Request.Attempt))
    return makeResult(ResultCode::Invalid,
                      "a suspect run requires an attempt id of 1 to 512 bytes");
  auto It = Records.find(Request.Fingerprint);
  if (It == Records.end())
    return makeResult(ResultCode::Accepted, "the request is not a suspect");
  document::QuarantineEntry &Entry = It->second.Entry;
  if (Entry.Service != Request.Service)
    return makeResult(ResultCode::Invalid,
                      "the suspect belongs to another service");
  if (Entry.Convicted)
    return makeResult(ResultCode::Forbidden, "the request is convicted");
  auto [Active, Inserted] = Leases.try_emplace(Request.Service);
  if (!Inserted) {
    bool SameRun = Active->second.Fingerprint == Request.Fingerprint &&
                   Active->second.Attempt == Request.Attempt;
    return makeResult(SameRun ? ResultCode::Accepted : ResultCode::Busy);
  }
  Active->second = {Request.Fingerprint, Request.Attempt,
                    Now + SuspectLeaseDuration};
  It->second.LastAttempt = Request.Attempt;
  // The entry must outlive the run; otherwise a crash during the run could not
  // convict the request.
  Entry.Until = Now + ConvictionDuration;
  Changed = true;
  return makeResult(ResultCode::Accepted);
}

CommandResult QuarantineTable::endRun(const EndSuspectRun &Request,
                                      base::WallTime Now, bool &Changed,
                                      bool &Convicted) {
  auto Active = Leases.find(Request.Service);
  if (Active != Leases.end() &&
      Active->second.Fingerprint == Request.Fingerprint &&
      Active->second.Attempt == Request.Attempt)
    Leases.erase(Active);
  auto It = Records.find(Request.Fingerprint);
  if (It == Records.end() || It->second.Entry.Convicted)
    return makeResult(ResultCode::Accepted);
  if (It->second.LastAttempt.empty() ||
      It->second.LastAttempt != Request.Attempt)
    return makeResult(
        ResultCode::Conflict,
        "the attempt is not the last one allowed to run the suspect");
  Changed = true;
  if (!Request.Crashed) {
    Records.erase(It);
    return makeResult(ResultCode::Accepted);
  }
  Convicted = true;
  It->second.Entry.Convicted = true;
  It->second.Entry.Until = Now + ConvictionDuration;
  return makeResult(ResultCode::Accepted);
}

bool QuarantineTable::expire(base::WallTime Now) {
  std::erase_if(Leases,
                [Now](const auto &Item) { return Item.second.Until <= Now; });
  return std::erase_if(Records, [Now](const auto &Item) {
           return Item.second.Entry.Until <= Now;
         }) != 0;
}

bool QuarantineTable::evictOldestSuspect() {
  auto Oldest = Records.end();
  for (auto It = Records.begin(); It != Records.end(); ++It)
    if (!It->second.Entry.Convicted &&
        (Oldest == Records.end() ||
         It->second.Entry.Until < Oldest->second.Entry.Until))
      Oldest = It;
  if (Oldest == Records.end())
    return false;
  Records.erase(Oldest);
  return true;
}

Offset<flatbuffers::Vector<Offset<wire::QuarantineRecord>>>
QuarantineTable::write(Builder &Out) const {
  std::vector<Offset<wire::QuarantineRecord>> List;
  for (const auto &[Fingerprint, Value] : Records) {
    auto Service = writeString(Out, Value.Entry.Service);
    auto Attempt = Out.CreateString(Value.LastAttempt);
    List.push_back(wire::CreateQuarantineRecord(
        Out, Fingerprint, Service, Value.Entry.Convicted,
        Value.Entry.Until.count(), Attempt));
  }
  return Out.CreateVector(List);
}

Offset<flatbuffers::Vector<Offset<wire::SuspectLeaseRecord>>>
QuarantineTable::writeLeases(Builder &Out) const {
  std::vector<Offset<wire::SuspectLeaseRecord>> List;
  for (const auto &[Service, Value] : Leases) {
    auto Name = writeString(Out, Service);
    auto Attempt = Out.CreateString(Value.Attempt);
    List.push_back(wire::CreateSuspectLeaseRecord(
        Out, Name, Value.Fingerprint, Attempt, Value.Until.count()));
  }
  return Out.CreateVector(List);
}

void QuarantineTable::read(const wire::ControlSnapshot &From) {
  for (const wire::QuarantineRecord *Item : *From.quarantine())
    Records[Item->fingerprint()] = {
        {Item->fingerprint(), base::ServiceName(Item->service()->str()),
         Item->convicted(), base::WallTime(Item->until())},
        Item->last_attempt()->str()};
  for (const wire::SuspectLeaseRecord *Item : *From.leases())
    Leases[base::ServiceName(Item->service()->str())] = {
        Item->fingerprint(), Item->attempt()->str(),
        base::WallTime(Item->until())};
}

} // namespace amaranth::control::detail
