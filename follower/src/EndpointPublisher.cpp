#include "EndpointPublisher.h"

#include "amaranth/base/Log.h"

#include <algorithm>

namespace amaranth::follower::detail {

void EndpointPublisher::publish(document::Endpoint Entry) {
  Published &Slot = Entries[Entry.Id];
  if (Slot.Entry.Incarnation == Entry.Incarnation)
    Entry.Sequence = std::max(Entry.Sequence, Slot.Entry.Sequence + 1);
  Slot = Published{std::move(Entry)};
}

std::vector<document::Endpoint> EndpointPublisher::due(base::TimePoint Now,
                                                       bool Reconnected) {
  std::vector<document::Endpoint> Updates;
  for (auto &[Id, Slot] : Entries) {
    if (Slot.Committed || Slot.Refused)
      continue;
    if (Slot.Sent && !Reconnected && Now - Slot.SentAt < ResendDelay)
      continue;
    Slot.Sent = true;
    Slot.SentAt = Now;
    Updates.push_back(Slot.Entry);
  }
  return Updates;
}

void EndpointPublisher::answer(const control::EndpointResult &Result) {
  auto Found = Entries.find(Result.Id);
  if (Found == Entries.end())
    return;
  Published &Slot = Found->second;
  if (Slot.Entry.Incarnation != Result.Incarnation ||
      Slot.Entry.Sequence != Result.Sequence)
    return;
  Slot.Committed = Result.Committed;
  Slot.CommittedBefore = Result.Applied;
  Slot.Refused = !Result.Committed && !Result.Retry;
  if (Slot.Refused)
    base::logger("follower")
        ->error("endpoint refused endpoint={} incarnation={} sequence={} "
                "reason=\"{}\"",
                Result.Id.value(), Result.Incarnation, Result.Sequence,
                Result.Reason);
}

bool EndpointPublisher::isOvertaken(const Published &Slot,
                                    const document::MeshSnapshot &Mesh) {
  auto Found = Mesh.Endpoints.find(Slot.Entry.Id);
  if (Found == Mesh.Endpoints.end())
    return Slot.Committed && Mesh.State.value() >= Slot.CommittedBefore.value();
  const document::Endpoint &Known = Found->second;
  // An older process of this node must not override a newer one.
  if (Known.Incarnation > Slot.Entry.Incarnation)
    return false;
  if (Slot.Refused)
    return Known.Incarnation == Slot.Entry.Incarnation &&
           Known.Sequence >= Slot.Entry.Sequence;
  return Slot.Committed && Mesh.State.value() >= Slot.CommittedBefore.value() &&
         Known.State == document::EndpointState::Unreachable;
}

void EndpointPublisher::compare(const document::MeshSnapshot &Mesh) {
  for (auto &[Id, Slot] : Entries) {
    if (!isOvertaken(Slot, Mesh))
      continue;
    document::Endpoint Again = Slot.Entry;
    auto Known = Mesh.Endpoints.find(Id);
    if (Known != Mesh.Endpoints.end() &&
        Known->second.Incarnation == Again.Incarnation)
      Again.Sequence = std::max(Again.Sequence, Known->second.Sequence);
    ++Again.Sequence;
    Slot = Published{std::move(Again)};
  }
}

bool EndpointPublisher::allCommitted() const {
  return std::all_of(Entries.begin(), Entries.end(),
                     [](const auto &Entry) { return Entry.second.Committed; });
}

} // namespace amaranth::follower::detail
