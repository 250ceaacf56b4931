#include "amaranth/document/Document.h"

namespace amaranth::document {

namespace {

/// Traffic share of `Version` if `Rollout.To` receives `NewShare`.
std::uint32_t shareOf(const base::VersionName &Version,
                      const RolloutSection &Rollout, std::uint32_t NewShare) {
  if (Version == Rollout.To)
    return NewShare;
  return Version == Rollout.From ? FullShare - NewShare : 0;
}

void applyRollout(Service &Entry, const RolloutSection &Rollout,
                  const RolloutTraffic &Traffic) {
  for (VersionShare &Version : Entry.Versions)
    Version.Share = shareOf(Version.Version, Rollout, Traffic.Share);
  Entry.HasRollout = Traffic.Running;
  if (Traffic.Running)
    Entry.Rollout = {Rollout.From,
                     Rollout.To,
                     Traffic.Section,
                     Traffic.Epoch,
                     Rollout.MaxErrorIncrease,
                     Rollout.MaxLatencyRatio};
}

} // namespace

void Document::fillMesh(MeshSnapshot &Mesh, const RolloutTrafficMap &Traffic,
                        const BarredVersions &Barred) const {
  for (const auto &[Name, Entry] : Routes)
    Mesh.Routes[Name] = Entry.Value;
  for (const auto &[Name, Entry] : Services) {
    Service &Target = Mesh.Services[Name];
    Target.Name = Name;
    Target.ColdPeriod = Entry.ColdPeriod;
    Target.ColdRequestsPerSecond = Entry.ColdRequestsPerSecond;
  }
  if (!CustomerValues.empty())
    Mesh.Customers = CustomerValues;
  for (const auto &[Key, Entry] : Versions) {
    bool Current = Services.at(Entry.Service).Version == Entry.Id;
    auto BarredEntry = Barred.find(Entry.Service);
    Mesh.Services[Entry.Service].Versions.push_back(
        {Entry.Id, Current ? FullShare : 0,
         BarredEntry != Barred.end() && BarredEntry->second == Entry.Id});
  }
  for (const auto &[Name, Rollout] : Rollouts) {
    auto It = Traffic.find(Name);
    applyRollout(Mesh.Services[Name], Rollout,
                 It == Traffic.end() ? RolloutTraffic() : It->second);
  }
}

} // namespace amaranth::document
