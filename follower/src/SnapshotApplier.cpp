#include "SnapshotApplier.h"

#include "amaranth/base/Invariant.h"

#include <fmt/format.h>

namespace amaranth::follower::detail {

bool SnapshotApplier::addPiece(base::ByteView Data) {
  std::shared_ptr<const document::MeshSnapshot> Next;
  try {
    Next = Pieces.add(Data);
  } catch (const base::ProtocolError &Failure) {
    throw UpdateRefused(Pieces.state(), Failure.what());
  }
  if (!Next)
    return false;
  std::uint64_t NextDigest = Next->digest();
  validateAndInstall(std::move(Next), NextDigest);
  return true;
}

void SnapshotApplier::applyDelta(base::ByteView Data) {
  base::StateIndex State;
  std::uint64_t NextDigest = 0;
  std::shared_ptr<const document::MeshSnapshot> Next;
  try {
    document::MeshDelta Delta = document::decodeDelta(Data);
    State = Delta.ToState;
    NextDigest = Delta.Digest;
    if (!Current)
      throw document::DeltaMismatch(
          "received a delta before the first snapshot");
    Next = document::applyDelta(*Current, Delta);
  } catch (const base::Error &Failure) {
    throw UpdateRefused(State, Failure.what());
  }
  validateAndInstall(std::move(Next), NextDigest);
}

void SnapshotApplier::validateAndInstall(
    std::shared_ptr<const document::MeshSnapshot> Next,
    std::uint64_t NextDigest) {
  std::vector<std::string> Faults =
      Current ? Next->faultsSince(*Current) : Next->faults();
  if (!Faults.empty())
    throw UpdateRefused(Next->State,
                        fmt::format("snapshot has {} faults; first fault: {}",
                                    Faults.size(), Faults.front()));
  if (Current &&
      (Next->Document < Current->Document || Next->State < Current->State))
    throw UpdateRefused(
        Next->State,
        fmt::format(
            "document {} state {} is older than document {} state {} in effect",
            Next->Document.value(), Next->State.value(),
            Current->Document.value(), Current->State.value()));
  AMARANTH_INVARIANT(!Current || (Next->Document >= Current->Document &&
                                  Next->State >= Current->State),
                     "a node must never return to an older version");
  AMARANTH_INVARIANT(Faults.empty(),
                     "a snapshot with faults must never be in force");
  Digest = NextDigest;
  Current = std::move(Next);
}

} // namespace amaranth::follower::detail
