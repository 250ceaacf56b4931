#ifndef AMARANTH_FOLLOWER_SRC_SNAPSHOTAPPLIER_H
#define AMARANTH_FOLLOWER_SRC_SNAPSHOTAPPLIER_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Error.h"
#include "amaranth/document/SnapshotCodec.h"

#include <memory>

namespace amaranth::follower::detail {

/// Thrown for an update that was not applied.
class UpdateRefused : public base::Error {
public:
  UpdateRefused(base::StateIndex State, const std::string &Reason)
      : Error(Reason), State(State) {}

  /// Target state of the update, as far as it could be decoded.
  base::StateIndex State;
};

/// Holds the snapshot in effect and replaces it only by validated ones.
class SnapshotApplier {
public:
  const std::shared_ptr<const document::MeshSnapshot> &current() const {
    return Current;
  }
  /// Digest of the snapshot in effect, or 0 if there is none.
  std::uint64_t digest() const { return Digest; }

  /// Adds one piece of a snapshot. Returns true if the piece completed the
  /// snapshot, which is then in effect. Throws `UpdateRefused`.
  bool addPiece(base::ByteView Data);

  /// Applies a delta to the snapshot in effect. Throws `UpdateRefused`.
  void applyDelta(base::ByteView Data);

  /// Discards the pieces of an incomplete snapshot.
  void reset() { Pieces.reset(); }

private:
  /// Puts `Next`, whose digest is `NextDigest`, into effect. Throws
  /// `UpdateRefused` if it is inconsistent or older than the current snapshot.
  void validateAndInstall(std::shared_ptr<const document::MeshSnapshot> Next,
                          std::uint64_t NextDigest);

  std::shared_ptr<const document::MeshSnapshot> Current;
  std::uint64_t Digest = 0;
  document::SnapshotAssembler Pieces;
};

} // namespace amaranth::follower::detail

#endif
