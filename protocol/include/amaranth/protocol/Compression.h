#ifndef AMARANTH_PROTOCOL_COMPRESSION_H
#define AMARANTH_PROTOCOL_COMPRESSION_H

#include "amaranth/base/Bytes.h"

#include <cstddef>

namespace amaranth::protocol {

/// Compresses `Data` into the zlib format (RFC 1950), which ends with a
/// checksum.
base::Bytes compress(base::ByteView Data);

/// Decompresses a result of `compress` whose content has `Size` bytes. Throws
/// `base::ProtocolError` if the data is malformed or has another size, or if
/// `Size` exceeds `MaxPayloadBytes`.
base::Bytes decompress(base::ByteView Compressed, std::size_t Size);

} // namespace amaranth::protocol

#endif
