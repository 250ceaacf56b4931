#ifndef AMARANTH_DOCUMENT_SNAPSHOTCODEC_H
#define AMARANTH_DOCUMENT_SNAPSHOTCODEC_H

#include "amaranth/base/Bytes.h"
#include "amaranth/document/MeshDelta.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace amaranth::document {

/// Largest accepted size of an encoded snapshot in bytes.
inline constexpr std::size_t MaxSnapshotBytes = 32U << 20U;
/// Largest accepted number of entries of one kind in a snapshot or delta.
inline constexpr std::size_t MaxSnapshotEntries = 100'000;
/// Maximum payload of one piece of a snapshot; below the frame limit of 1 MiB.
inline constexpr std::size_t SnapshotPieceBytes = 512U << 10U;

/// Binary encodings. The decoders verify structure, sizes and digests, and
/// throw `base::ProtocolError` if they are invalid.
base::Bytes encodeSnapshot(const MeshSnapshot &Value, std::uint64_t Digest);
std::shared_ptr<const MeshSnapshot> decodeSnapshot(base::ByteView Data);
base::Bytes encodeDelta(const MeshDelta &Value);
MeshDelta decodeDelta(base::ByteView Data);
/// An `EndpointUpdate` message.
base::Bytes encodeEndpoint(const Endpoint &Value);
Endpoint decodeEndpoint(base::ByteView Data);

/// Encodes a snapshot as messages that each fit into a frame.
std::vector<base::Bytes> encodePieces(const MeshSnapshot &Value,
                                      std::uint64_t Digest);

/// Assembles one snapshot at a time from its pieces. They must arrive in
/// order; the first piece of another snapshot discards the earlier pieces.
class SnapshotAssembler {
public:
  /// Returns the snapshot if `Data` is its last piece, otherwise null. If a
  /// piece is invalid, discards all pieces and throws `base::ProtocolError`.
  std::shared_ptr<const MeshSnapshot> add(base::ByteView Data);

  /// State index of the snapshot that was started last, for reports.
  base::StateIndex state() const { return State; }
  void reset();

private:
  std::shared_ptr<const MeshSnapshot> addPiece(base::ByteView Data);

  base::StateIndex State;
  std::uint32_t NextIndex = 0;
  std::uint32_t PieceCount = 0;
  std::uint32_t TotalBytes = 0;
  base::Bytes Buffer;
};

} // namespace amaranth::document

#endif
