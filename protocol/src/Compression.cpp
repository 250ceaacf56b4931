#include "amaranth/protocol/Compression.h"

#include "amaranth/protocol/Frame.h"

#include <fmt/format.h>

#include <zlib.h>

namespace amaranth::protocol {

namespace {

/// Favours speed: a control process compresses each update once, but nodes wait
/// for it.
constexpr int CompressionLevel = 3;

} // namespace

base::Bytes compress(base::ByteView Data) {
  base::Bytes Result(compressBound(Data.size()));
  uLongf Size = Result.size();
  int Status = compress2(Result.data(), &Size, Data.data(), Data.size(),
                         CompressionLevel);
  if (Status != Z_OK)
    throw base::Error(fmt::format("compression failed: {}", zError(Status)));
  Result.resize(Size);
  return Result;
}

base::Bytes decompress(base::ByteView Compressed, std::size_t Size) {
  if (Size > MaxPayloadBytes)
    throw base::ProtocolError(
        fmt::format("compressed message of {} bytes, the limit is {}", Size,
                    MaxPayloadBytes));
  // One byte more than expected, so that a longer content is noticed.
  base::Bytes Result(Size + 1);
  uLongf ActualSize = Result.size();
  uLong Consumed = Compressed.size();
  int Status =
      uncompress2(Result.data(), &ActualSize, Compressed.data(), &Consumed);
  if (Status != Z_OK || Consumed != Compressed.size() || ActualSize != Size)
    throw base::ProtocolError(
        fmt::format("malformed compressed message: {} of {} bytes: {}",
                    ActualSize, Size, zError(Status)));
  Result.resize(Size);
  return Result;
}

} // namespace amaranth::protocol
