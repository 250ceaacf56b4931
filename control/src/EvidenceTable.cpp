#include "amaranth/control/EvidenceTable.h"

namespace amaranth::control {

namespace {

constexpr base::Millis WindowLength = base::Millis::seconds(1);

const document::ActiveRollout *
findActiveRollout(const document::MeshSnapshot &Mesh,
                  const base::ServiceName &Service) {
  auto Found = Mesh.Services.find(Service);
  if (Found == Mesh.Services.end() || !Found->second.HasRollout)
    return nullptr;
  return &Found->second.Rollout;
}

} // namespace

void EvidenceTable::reset() {
  Windows.clear();
  Totals.clear();
}

void EvidenceTable::add(const rollout::EvidenceReport &Report,
                        const document::MeshSnapshot &Mesh,
                        base::TimePoint Now) {
  base::TimePoint Start(Now.count() - Now.count() % WindowLength.count());
  if (Windows.empty() || Windows.back().Start < Start) {
    prune(Mesh, Now);
    Windows.push_back({Start, {}});
  }
  for (const auto &[Key, Entry] : Report.Counts) {
    Windows.back().Sums[Key] += Entry;
    if (const auto *Rollout = findActiveRollout(Mesh, Key.Service))
      Totals[{Key.Service, Rollout->Section}][Key] += Entry;
  }
}

EvidenceTable::Counts
EvidenceTable::countsSince(const base::ServiceName &Service,
                           base::TimePoint Since) const {
  Counts Sums;
  for (auto It = Windows.rbegin(); It != Windows.rend(); ++It) {
    if (It->Start < Since)
      break;
    for (const auto &[Key, Entry] : It->Sums)
      if (Key.Service == Service)
        Sums[Key] += Entry;
  }
  return Sums;
}

EvidenceTable::Counts
EvidenceTable::rolloutTotals(const base::ServiceName &Service,
                             base::Revision Section) const {
  auto Found = Totals.find({Service, Section});
  return Found == Totals.end() ? Counts() : Found->second;
}

void EvidenceTable::prune(const document::MeshSnapshot &Mesh,
                          base::TimePoint Now) {
  while (!Windows.empty() && Now - Windows.front().Start > Retention)
    Windows.pop_front();
  std::erase_if(Totals, [&](const auto &Entry) {
    const auto *Rollout = findActiveRollout(Mesh, Entry.first.first);
    return !Rollout || Rollout->Section != Entry.first.second;
  });
}

} // namespace amaranth::control
