#include "amaranth/document/MeshDelta.h"

#include <fmt/format.h>

#include <algorithm>

namespace amaranth::document {

namespace {

template <typename Key, typename Value>
void collectChangedKeys(const SharedMap<Key, Value> &From,
                        const SharedMap<Key, Value> &To, std::set<Key> &Into) {
  if (From.sharesWith(To))
    return;
  auto Old = From.begin();
  auto New = To.begin();
  while (Old != From.end() || New != To.end()) {
    if (New == To.end() || (Old != From.end() && Old->first < New->first)) {
      Into.insert(Old++->first);
      continue;
    }
    if (Old == From.end() || New->first < Old->first) {
      Into.insert(New++->first);
      continue;
    }
    if (Old->second != New->second)
      Into.insert(New->first);
    ++Old;
    ++New;
  }
}

template <typename Key, typename Value>
void splitKeys(const std::set<Key> &Keys, const SharedMap<Key, Value> &Current,
               std::vector<Value> &Present, std::vector<Key> &Removed) {
  for (const Key &Name : Keys) {
    auto Found = Current.find(Name);
    if (Found == Current.end())
      Removed.push_back(Name);
    else
      Present.push_back(Found->second);
  }
}

template <typename Key, typename Value, typename KeyOf>
void replaceEntries(SharedMap<Key, Value> &Into,
                    const std::vector<Value> &Present,
                    const std::vector<Key> &Removed, KeyOf EntryKey) {
  if (Present.empty() && Removed.empty())
    return;
  auto &Entries = Into.edit();
  for (const Key &RemovedKey : Removed)
    Entries.erase(RemovedKey);
  for (const Value &Entry : Present)
    Entries.insert_or_assign(EntryKey(Entry), Entry);
}

const auto NameOf = [](const auto &Entry) { return Entry.Name; };
const auto IdOf = [](const Endpoint &Entry) { return Entry.Id; };
const auto FingerprintOf = [](const QuarantineEntry &Entry) {
  return Entry.Fingerprint;
};

} // namespace

std::size_t MeshKeys::size() const {
  return Routes.size() + Services.size() + Endpoints.size() +
         Quarantine.size() + Customers.size();
}

void MeshKeys::merge(const MeshKeys &Other) {
  Routes.insert(Other.Routes.begin(), Other.Routes.end());
  Services.insert(Other.Services.begin(), Other.Services.end());
  Endpoints.insert(Other.Endpoints.begin(), Other.Endpoints.end());
  Quarantine.insert(Other.Quarantine.begin(), Other.Quarantine.end());
  Customers.insert(Other.Customers.begin(), Other.Customers.end());
}

MeshKeys changedKeys(const MeshSnapshot &From, const MeshSnapshot &To) {
  MeshKeys Keys;
  collectChangedKeys(From.Routes, To.Routes, Keys.Routes);
  collectChangedKeys(From.Services, To.Services, Keys.Services);
  collectChangedKeys(From.Endpoints, To.Endpoints, Keys.Endpoints);
  collectChangedKeys(From.Quarantine, To.Quarantine, Keys.Quarantine);
  collectChangedKeys(From.Customers, To.Customers, Keys.Customers);
  return Keys;
}

MeshDelta makeDelta(const MeshKeys &Keys, const MeshSnapshot &To,
                    std::uint64_t Digest) {
  MeshDelta Delta;
  Delta.ToDocument = To.Document;
  Delta.ToState = To.State;
  Delta.Digest = Digest;
  Delta.Limits = To.Limits;
  Delta.EvacuatedZones = To.EvacuatedZones;
  splitKeys(Keys.Routes, To.Routes, Delta.Routes, Delta.RemovedRoutes);
  splitKeys(Keys.Services, To.Services, Delta.Services, Delta.RemovedServices);
  splitKeys(Keys.Endpoints, To.Endpoints, Delta.Endpoints,
            Delta.RemovedEndpoints);
  splitKeys(Keys.Quarantine, To.Quarantine, Delta.Quarantine,
            Delta.RemovedQuarantine);
  splitKeys(Keys.Customers, To.Customers, Delta.Customers,
            Delta.RemovedCustomers);
  return Delta;
}

MeshDelta computeDelta(const MeshSnapshot &From, const MeshSnapshot &To) {
  MeshDelta Delta = makeDelta(changedKeys(From, To), To, To.digest());
  Delta.FromDocument = From.Document;
  Delta.FromState = From.State;
  return Delta;
}

std::shared_ptr<const MeshSnapshot> applyDelta(const MeshSnapshot &Base,
                                               const MeshDelta &Delta) {
  if (Delta.FromDocument != Base.Document || Delta.FromState != Base.State)
    throw DeltaMismatch(fmt::format("delta starts at document {} state {}, but "
                                    "the snapshot is at {} and {}",
                                    Delta.FromDocument.value(),
                                    Delta.FromState.value(),
                                    Base.Document.value(), Base.State.value()));
  auto Result = std::make_shared<MeshSnapshot>(Base);
  Result->Document = Delta.ToDocument;
  Result->State = Delta.ToState;
  Result->Limits = Delta.Limits;
  Result->EvacuatedZones = Delta.EvacuatedZones;
  replaceEntries(Result->Routes, Delta.Routes, Delta.RemovedRoutes, NameOf);
  replaceEntries(Result->Services, Delta.Services, Delta.RemovedServices,
                 NameOf);
  replaceEntries(Result->Endpoints, Delta.Endpoints, Delta.RemovedEndpoints,
                 IdOf);
  replaceEntries(Result->Quarantine, Delta.Quarantine, Delta.RemovedQuarantine,
                 FingerprintOf);
  replaceEntries(Result->Customers, Delta.Customers, Delta.RemovedCustomers,
                 NameOf);
  if (Result->digest() != Delta.Digest)
    throw DeltaMismatch(
        fmt::format("digest mismatch after applying the delta to state {}",
                    Delta.ToState.value()));
  return Result;
}

MeshSnapshot filterServices(const MeshSnapshot &Whole,
                            const std::set<base::ServiceName> &Services) {
  MeshSnapshot Part;
  Part.Document = Whole.Document;
  Part.State = Whole.State;
  Part.Limits = Whole.Limits;
  Part.Customers = Whole.Customers;
  Part.EvacuatedZones = Whole.EvacuatedZones;
  auto IsWanted = [&Services](const Route &Entry) {
    return Entry.Split.empty()
               ? Services.contains(Entry.Service)
               : std::all_of(Entry.Split.begin(), Entry.Split.end(),
                             [&Services](const WeightedService &Part) {
                               return Services.contains(Part.Service);
                             });
  };
  for (const auto &[Name, Entry] : Whole.Routes)
    if (IsWanted(Entry))
      Part.Routes.emplace(Name, Entry);
  for (const auto &[Name, Entry] : Whole.Services)
    if (Services.contains(Name))
      Part.Services.emplace(Name, Entry);
  for (const auto &[Id, Entry] : Whole.Endpoints)
    if (Services.contains(Entry.Service))
      Part.Endpoints.emplace(Id, Entry);
  for (const auto &[Fingerprint, Entry] : Whole.Quarantine)
    if (Services.contains(Entry.Service))
      Part.Quarantine.emplace(Fingerprint, Entry);
  return Part;
}

} // namespace amaranth::document
