#ifndef AMARANTH_FOLLOWER_SRC_SNAPSHOTAPPLIER_H
#define AMARANTH_FOLLOWER_SRC_SNAPSHOTAPPLIER_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Error.h"
#include "amaranth/document/SnapshotCodec.h"

#include <memory>

namespace amaranth::follower::detail {

/// An update was not applied.
class UpdateRefused : public base::Error {
public:
  UpdateRefused(base::StateIndex State, const std::string &Reason)
      : Error(Reason), State(State) {}

  /// What the update would have led to, as far as it could be read.
  base::StateIndex State;
};

/// Holds the snapshot in force and replaces it by checked ones only.
class SnapshotApplier {
public:
  const std::shared_ptr<const document::MeshSnapshot> &current() const {
    return Current;
  }
  /// Digest of the snapshot in force; 0 without one.
  std::uint64_t digest() const { return Digest; }

  /// Takes one piece; true when it completed a snapshot that is now in force.
  /// Throws `UpdateRefused`.
  bool takePiece(base::ByteView Data);

  /// Throws `UpdateRefused`.
  void takeDelta(base::ByteView Data);

  /// Forgets the pieces of an unfinished snapshot.
  void reset() { Pieces.reset(); }

private:
  /// `NextDigest` is the digest of `Next`.
  void replace(std::shared_ptr<const document::MeshSnapshot> Next,
               std::uint64_t NextDigest);

  std::shared_ptr<const document::MeshSnapshot> Current;
  std::uint64_t Digest = 0;
  document::SnapshotAssembler Pieces;
};

} // namespace amaranth::follower::detail

#endif
