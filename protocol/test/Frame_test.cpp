#include "amaranth/protocol/Frame.h"
#include "channel_generated.h"

#include <catch2/catch.hpp>

#include <random>

namespace amaranth::protocol {

TEST_CASE("Frame header encoded and decoded is unchanged") {
  auto Header = encodeFrameHeader(MessageType::Delta, 0x0102030405060708, 513);
  auto Decoded = decodeFrameHeader(Header);
  CHECK(Decoded.Type == MessageType::Delta);
  CHECK(Decoded.Stream == 0x0102030405060708);
  CHECK(Decoded.PayloadBytes == 513);
}

// Guards against an allocation of the size that an attacker chose.
TEST_CASE("Frame header with an oversized payload is refused") {
  FrameHeader Header{};
  Header[3] = 0x7f;
  CHECK_THROWS_AS(decodeFrameHeader(Header), base::ProtocolError);
  CHECK_THROWS_AS(encodeFrameHeader(MessageType::Delta, 0, MaxPayloadBytes + 1),
                  base::ProtocolError);
}

// Guards against reads outside the buffer of a malformed message.
TEST_CASE("readTable random bytes never reads outside the payload") {
  std::mt19937 Random(20261204);
  std::uniform_int_distribution<int> Byte(0, 255);
  std::uniform_int_distribution<int> Size(0, 128);
  int Refused = 0;
  for (int Round = 0; Round < 20'000; ++Round) {
    base::Bytes Payload(static_cast<std::size_t>(Size(Random)));
    for (auto &Value : Payload)
      Value = static_cast<std::uint8_t>(Byte(Random));
    try {
      readTable<wire::Hello>(Payload);
    } catch (const base::ProtocolError &) {
      ++Refused;
    }
  }
  CHECK(Refused > 19'000);
}

} // namespace amaranth::protocol
