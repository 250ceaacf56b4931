#include "EndpointPublisher.h"

#include "amaranth/base/Log.h"

#include <algorithm>

namespace amaranth::follower::detail {

void EndpointPublisher::publish(document::Endpoint Entry) {
  PublishedEndpoint &Published = Entries[Entry.Id];
  if (Published.Entry.Incarnation == Entry.Incarnation)
    Entry.Sequence = std::max(Entry.Sequence, Published.Entry.Sequence + 1);
  Published = PublishedEndpoint{std::move(Entry)};
}

std::vector<document::Endpoint>
EndpointPublisher::takeDueUpdates(base::TimePoint Now, bool Reconnected) {
  std::vector<document::Endpoint> Updates;
  for (auto &[Id, Published] : Entries) {
    if (Published.Committed || Published.Refused)
      continue;
    if (Published.Sent && !Reconnected && Now - Published.SentAt < ResendDelay)
      continue;
    Published.Sent = true;
    Published.SentAt = Now;
    Updates.push_back(Published.Entry);
  }
  return Updates;
}

void EndpointPublisher::handleResult(const control::EndpointResult &Result) {
  auto Found = Entries.find(Result.Id);
  if (Found == Entries.end())
    return;
  PublishedEndpoint &Published = Found->second;
  if (Published.Entry.Incarnation != Result.Incarnation ||
      Published.Entry.Sequence != Result.Sequence)
    return;
  Published.Committed = Result.Committed;
  Published.CommittedAtOrBefore = Result.Applied;
  Published.Refused = !Result.Committed && !Result.Retry;
  if (Published.Refused)
    base::logger("follower")
        ->error("endpoint update refused permanently endpoint={} "
                "incarnation={} sequence={} "
                "reason=\"{}\"",
                Result.Id.value(), Result.Incarnation, Result.Sequence,
                Result.Reason);
}

bool EndpointPublisher::needsRepublish(const PublishedEndpoint &Published,
                                       const document::MeshSnapshot &Mesh) {
  auto Found = Mesh.Endpoints.find(Published.Entry.Id);
  if (Found == Mesh.Endpoints.end())
    return Published.Committed &&
           Mesh.State.value() >= Published.CommittedAtOrBefore.value();
  const document::Endpoint &InSnapshot = Found->second;
  // An older incarnation must not override the state of a newer one.
  if (InSnapshot.Incarnation > Published.Entry.Incarnation)
    return false;
  if (Published.Refused)
    return InSnapshot.Incarnation == Published.Entry.Incarnation &&
           InSnapshot.Sequence >= Published.Entry.Sequence;
  return Published.Committed &&
         Mesh.State.value() >= Published.CommittedAtOrBefore.value() &&
         InSnapshot.State == document::EndpointState::Unreachable;
}

void EndpointPublisher::reconcile(const document::MeshSnapshot &Mesh) {
  for (auto &[Id, Published] : Entries) {
    if (!needsRepublish(Published, Mesh))
      continue;
    document::Endpoint Update = Published.Entry;
    auto InSnapshot = Mesh.Endpoints.find(Id);
    if (InSnapshot != Mesh.Endpoints.end() &&
        InSnapshot->second.Incarnation == Update.Incarnation)
      Update.Sequence = std::max(Update.Sequence, InSnapshot->second.Sequence);
    ++Update.Sequence;
    Published = PublishedEndpoint{std::move(Update)};
  }
}

bool EndpointPublisher::allCommitted() const {
  return std::all_of(Entries.begin(), Entries.end(),
                     [](const auto &Entry) { return Entry.second.Committed; });
}

} // namespace amaranth::follower::detail
