#include "amaranth/dataplane/CrashQuarantine.h"

#include <algorithm>

namespace amaranth::dataplane {

void CrashQuarantine::RecentSet::insert(std::uint64_t Fingerprint,
                                        base::TimePoint Now) {
  base::TimePoint Until = Now + Lifetime;
  Expiry[Fingerprint] = Until;
  Order.emplace_back(Until, Fingerprint);
  while (Order.front().first <= Now || Order.size() > Limit) {
    auto Found = Expiry.find(Order.front().second);
    if (Found != Expiry.end() && Found->second <= Order.front().first)
      Expiry.erase(Found);
    Order.pop_front();
  }
}

std::optional<base::Millis>
CrashQuarantine::RecentSet::remaining(std::uint64_t Fingerprint,
                                      base::TimePoint Now) const {
  auto Found = Expiry.find(Fingerprint);
  if (Found == Expiry.end() || Found->second <= Now)
    return std::nullopt;
  return Found->second - Now;
}

std::optional<base::Millis>
CrashQuarantine::convictedFor(std::uint64_t Fingerprint) {
  if (auto Snapshot = Snapshots.current()) {
    auto Found = Snapshot->Quarantine.find(Fingerprint);
    if (Found != Snapshot->Quarantine.end() && Found->second.Convicted &&
        Found->second.Until > Time.wallNow()) {
      Convicted.erase(Fingerprint);
      return Found->second.Until - Time.wallNow();
    }
  }
  return Convicted.remaining(Fingerprint, Time.now());
}

bool CrashQuarantine::isSuspect(std::uint64_t Fingerprint) {
  if (wasAnswered(Fingerprint) || convictedFor(Fingerprint))
    return false;
  if (Suspects.remaining(Fingerprint, Time.now()))
    return true;
  auto Snapshot = Snapshots.current();
  return Snapshot && Snapshot->Quarantine.contains(Fingerprint);
}

void CrashQuarantine::addSuspect(std::uint64_t Fingerprint) {
  Suspects.insert(Fingerprint, Time.now());
}

void CrashQuarantine::recordCrash(std::uint64_t Fingerprint) {
  Answered.erase(Fingerprint);
  addSuspect(Fingerprint);
}

void CrashQuarantine::convict(std::uint64_t Fingerprint) {
  Convicted.insert(Fingerprint, Time.now());
}

void CrashQuarantine::recordAnswer(std::uint64_t Fingerprint) {
  Suspects.erase(Fingerprint);
  Answered.insert(Fingerprint, Time.now());
}

CrashAttribution
CrashQuarantine::attributeCrash(const std::vector<std::uint64_t> &Running) {
  CrashAttribution Result;
  for (std::uint64_t Fingerprint : Running) {
    if (convictedFor(Fingerprint)) {
      Result.Culprit = Fingerprint;
      return Result;
    }
    if (isSuspect(Fingerprint))
      Result.Suspects.push_back(Fingerprint);
  }
  if (Result.Suspects.size() == 1) {
    Result.Culprit = Result.Suspects.front();
    Result.Suspects.clear();
    convict(*Result.Culprit);
    return Result;
  }
  if (!Result.Suspects.empty())
    return Result;
  for (std::uint64_t Fingerprint : Running) {
    if (wasAnswered(Fingerprint)) {
      Answered.erase(Fingerprint);
      continue;
    }
    addSuspect(Fingerprint);
    Result.Suspects.push_back(Fingerprint);
  }
  return Result;
}

} // namespace amaranth::dataplane
