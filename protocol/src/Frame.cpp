#include "amaranth/protocol/Frame.h"

#include <boost/endian/conversion.hpp>
#include <fmt/format.h>

namespace endian = boost::endian;

namespace amaranth::protocol {

namespace {

constexpr std::size_t TypeOffset = 4;
constexpr std::size_t ReservedOffset = 6;
constexpr std::size_t StreamOffset = 8;

void checkPayloadSize(std::size_t PayloadBytes) {
  if (PayloadBytes > MaxPayloadBytes)
    throw base::ProtocolError(fmt::format("frame of {} bytes, the limit is {}",
                                          PayloadBytes, MaxPayloadBytes));
}

} // namespace

FrameHeader encodeFrameHeader(MessageType Type, std::uint64_t Stream,
                              std::size_t PayloadBytes) {
  checkPayloadSize(PayloadBytes);
  FrameHeader Header{};
  endian::store_little_u32(Header.data(),
                           static_cast<std::uint32_t>(PayloadBytes));
  endian::store_little_u16(Header.data() + TypeOffset,
                           static_cast<std::uint16_t>(Type));
  endian::store_little_u64(Header.data() + StreamOffset, Stream);
  return Header;
}

DecodedHeader decodeFrameHeader(const FrameHeader &Header) {
  std::size_t PayloadBytes = endian::load_little_u32(Header.data());
  checkPayloadSize(PayloadBytes);
  if (endian::load_little_u16(Header.data() + ReservedOffset) != 0)
    throw base::ProtocolError("reserved bits set in a frame header");
  auto Type = MessageType(endian::load_little_u16(Header.data() + TypeOffset));
  return {Type, endian::load_little_u64(Header.data() + StreamOffset),
          PayloadBytes};
}

} // namespace amaranth::protocol
