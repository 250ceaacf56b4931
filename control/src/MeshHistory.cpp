#include "amaranth/control/MeshHistory.h"

#include "amaranth/base/Invariant.h"
#include "amaranth/document/SnapshotCodec.h"

namespace amaranth::control {

namespace {

/// A larger delta costs nearly as much as a snapshot and may exceed the maximum
/// frame size.
constexpr std::size_t MaxDeltaBytes = 512U << 10U;
/// Bounds the memory when all nodes have different states, as after an outage.
constexpr std::size_t MaxCachedDeltas = 64;
/// Bounds the memory for distinct subscriptions.
constexpr std::size_t MaxCachedViews = 64;

} // namespace

bool MeshHistory::add(std::shared_ptr<const document::MeshSnapshot> Newest) {
  if (!Newest || Newest == Current)
    return false;
  if (Current && Newest->State <= Current->State)
    return false;
  if (Current) {
    AMARANTH_INVARIANT(Newest->Document >= Current->Document,
                       "document version of the control state decreased");
    Transitions.push_back(
        {Current->State, document::changedKeys(*Current, *Newest)});
    KeyCount += Transitions.back().Changed.size();
  }
  Current = std::move(Newest);
  while (!Transitions.empty() &&
         (Current->State.value() - Transitions.front().From.value() >
              MaxEntriesBehind ||
          KeyCount > MaxKeys)) {
    KeyCount -= Transitions.front().Changed.size();
    Transitions.pop_front();
  }
  clearCache();
  return true;
}

void MeshHistory::clearCache() {
  Views.clear();
  Deltas.clear();
  CachedBytes = 0;
}

void MeshHistory::reserveCache(std::size_t Bytes) {
  if (CachedBytes + Bytes > MaxCachedBytes)
    clearCache();
  CachedBytes += Bytes;
}

MeshHistory::View &MeshHistory::viewOf(const ServiceFilter &Services) {
  if (auto Found = Views.find(Services); Found != Views.end())
    return Found->second;
  if (Views.size() >= MaxCachedViews)
    clearCache();
  View NewView;
  NewView.Mesh = Current;
  if (!Services.empty())
    NewView.Mesh = std::make_shared<const document::MeshSnapshot>(
        document::filterServices(*Current, Services));
  NewView.Digest = NewView.Mesh->digest();
  return Views.emplace(Services, std::move(NewView)).first->second;
}

std::uint64_t MeshHistory::digest(const ServiceFilter &Services) {
  return viewOf(Services).Digest;
}

std::optional<document::MeshKeys>
MeshHistory::changedSince(base::StateIndex State) const {
  // Processes may take snapshots at different indexes of the same log, so
  // `State` may lie inside a transition; the one that covers it begins at or
  // before it. The node detects a mismatching base by the digest in the delta.
  if (State == Current->State)
    return document::MeshKeys();
  if (Transitions.empty() || State < Transitions.front().From)
    return std::nullopt;
  document::MeshKeys Keys;
  for (auto It = Transitions.rbegin(); It != Transitions.rend(); ++It) {
    Keys.merge(It->Changed);
    if (It->From <= State)
      break;
  }
  return Keys;
}

MeshHistory::EncodedMessage
MeshHistory::deltaFrom(base::DocumentVersion Document, base::StateIndex State,
                       const ServiceFilter &Services) {
  if (!Current || State > Current->State)
    return nullptr;
  DeltaKey Key{Document.value(), State.value(), Services};
  if (auto Found = Deltas.find(Key); Found != Deltas.end())
    return Found->second;
  auto Changed = changedSince(State);
  if (!Changed)
    return nullptr;
  const View &Target = viewOf(Services);
  document::MeshDelta Delta =
      document::makeDelta(*Changed, *Target.Mesh, Target.Digest);
  Delta.FromDocument = Document;
  Delta.FromState = State;
  base::Bytes Bytes = document::encodeDelta(Delta);
  ++EncodedDeltas;
  EncodedMessage Message;
  if (Bytes.size() <= MaxDeltaBytes)
    Message = std::make_shared<const EncodedUpdate>(
        protocol::MessageType::Delta, std::move(Bytes));
  if (Deltas.size() >= MaxCachedDeltas)
    clearCache();
  if (Message)
    reserveCache(Message->frame(false).Payload.size());
  Deltas.emplace(std::move(Key), Message);
  return Message;
}

std::shared_ptr<const std::vector<EncodedUpdate>>
MeshHistory::pieces(const ServiceFilter &Services) {
  const View &Target = viewOf(Services);
  if (Target.Pieces)
    return Target.Pieces;
  auto Pieces = std::make_shared<std::vector<EncodedUpdate>>();
  std::size_t Bytes = 0;
  for (base::Bytes &Piece :
       document::encodePieces(*Target.Mesh, Target.Digest)) {
    Bytes += Piece.size();
    Pieces->emplace_back(protocol::MessageType::Snapshot, std::move(Piece));
  }
  reserveCache(Bytes);
  viewOf(Services).Pieces = Pieces;
  return Pieces;
}

} // namespace amaranth::control
