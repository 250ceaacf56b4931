#include "QuarantineTable.h"

#include "CommandResults.h"
#include "amaranth/base/Digest.h"

#include <set>

namespace amaranth::control::detail {

CommandResult QuarantineTable::reportCrash(const ReportCrash &Request,
                                           base::WallTime Now, Effect &Result) {
  if (Request.Service.value().empty() ||
      Request.Fingerprints.size() > MaxCrashFingerprints)
    return makeResult(
        ResultCode::Invalid,
        "a crash report requires a service and at most 1024 requests");
  std::vector<Record *> Known;
  std::set<std::uint64_t> Fingerprints(Request.Fingerprints.begin(),
                                       Request.Fingerprints.end());
  for (std::uint64_t Fingerprint : Fingerprints) {
    auto Found = Records.find(Fingerprint);
    if (Found == Records.end())
      continue;
    // A convicted request explains the crash; a known id is a resent report.
    if (Found->second.Entry.Convicted ||
        (Request.Crash != 0 && Found->second.LastCrash == Request.Crash))
      return makeResult(ResultCode::Accepted);
    Known.push_back(&Found->second);
  }
  if (Known.empty())
    for (std::uint64_t Fingerprint : Fingerprints) {
      Record *Added = findOrAdd(Fingerprint, Request.Service, Now);
      if (!Added)
        return makeResult(ResultCode::Busy, "the quarantine table is full");
      Known.push_back(Added);
    }
  bool Repeated = Known.front()->Crashes != 0;
  Result.Changed = !Known.empty();
  for (Record *Each : Known) {
    ++Each->Crashes;
    Each->Entry.Until = Now + ConvictionDuration;
  }
  bool OnlySuspect = Repeated && Known.size() == 1;
  for (Record *Each : Known) {
    if (OnlySuspect || Each->Crashes >= MaxSuspectCrashes)
      convict(*Each, Now, Result);
    Each->LastCrash = Request.Crash;
  }
  return makeResult(ResultCode::Accepted);
}

CommandResult QuarantineTable::endRun(const EndSuspectRun &Request,
                                      base::WallTime Now, Effect &Result) {
  if (Request.Service.value().empty())
    return makeResult(ResultCode::Invalid,
                      "the result of a run requires a service");
  auto Found = Records.find(Request.Fingerprint);
  if (!Request.Crashed) {
    if (Found == Records.end() || Found->second.Entry.Convicted)
      return makeResult(ResultCode::Accepted);
    Records.erase(Found);
    Result.Changed = true;
    return makeResult(ResultCode::Accepted);
  }
  // The report of the first crash may still be on its way.
  Record *Culprit = findOrAdd(Request.Fingerprint, Request.Service, Now);
  if (!Culprit)
    return makeResult(ResultCode::Busy, "the quarantine table is full");
  if (!Culprit->Entry.Convicted)
    convict(*Culprit, Now, Result);
  return makeResult(ResultCode::Accepted);
}

CommandResult QuarantineTable::lift(const LiftQuarantine &Request,
                                    Effect &Result) {
  if (Records.erase(Request.Fingerprint) == 0)
    return makeResult(ResultCode::Conflict,
                      "request " + base::hex64(Request.Fingerprint) +
                          " is not in quarantine");
  Result.Changed = true;
  return makeResult(ResultCode::Accepted);
}

void QuarantineTable::convict(Record &Culprit, base::WallTime Now,
                              Effect &Result) {
  Culprit.Entry.Convicted = true;
  Culprit.Entry.Until = Now + ConvictionDuration;
  Result.Convicted.push_back(Culprit.Entry.Fingerprint);
  Result.Changed = true;
  if (Culprit.LastCrash == 0)
    return;
  std::erase_if(Records, [&](const auto &Item) {
    const Record &Other = Item.second;
    return !Other.Entry.Convicted && Other.Crashes == 1 &&
           Other.LastCrash == Culprit.LastCrash;
  });
}

QuarantineTable::Record *
QuarantineTable::findOrAdd(std::uint64_t Fingerprint,
                           const base::ServiceName &Service,
                           base::WallTime Now) {
  auto Found = Records.find(Fingerprint);
  if (Found != Records.end())
    return &Found->second;
  if (Records.size() >= MaxQuarantineEntries && !evictOldestSuspect())
    return nullptr;
  Record &Added = Records[Fingerprint];
  Added.Entry = {Fingerprint, Service, false, Now + ConvictionDuration};
  return &Added;
}

bool QuarantineTable::expire(base::WallTime Now) {
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
    auto Attempt = Out.CreateString("");
    List.push_back(wire::CreateQuarantineRecord(
        Out, Fingerprint, Service, Value.Entry.Convicted,
        Value.Entry.Until.count(), Attempt, Value.Crashes, Value.LastCrash));
  }
  return Out.CreateVector(List);
}

void QuarantineTable::read(const wire::ControlSnapshot &From) {
  for (const wire::QuarantineRecord *Item : *From.quarantine())
    Records[Item->fingerprint()] = {
        {Item->fingerprint(), base::ServiceName(Item->service()->str()),
         Item->convicted(), base::WallTime(Item->until())},
        Item->crashes(),
        Item->last_crash()};
}

} // namespace amaranth::control::detail
