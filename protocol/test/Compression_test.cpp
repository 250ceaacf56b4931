#include "amaranth/protocol/Compression.h"
#include "amaranth/protocol/Frame.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <string>

namespace amaranth::protocol {

class CompressionTest {
protected:
  base::Bytes randomBytes(std::size_t Size, unsigned Values) {
    std::uniform_int_distribution<unsigned> Value(0, Values - 1);
    base::Bytes Result(Size);
    for (std::uint8_t &Each : Result)
      Each = static_cast<std::uint8_t>(Value(Random));
    return Result;
  }

  std::mt19937 Random{7};
};

TEST_CASE_METHOD(CompressionTest, "Decompressed data equals the original") {
  for (std::size_t Size :
       {std::size_t{0}, std::size_t{1}, std::size_t{70'000}, MaxPayloadBytes})
    for (unsigned Values : {1U, 12U, 256U}) {
      base::Bytes Data = randomBytes(Size, Values);
      CHECK(decompress(compress(Data), Size) == Data);
    }
}

// Guards against a stream whose end is not read: the decompressor may return
// between the last byte and the end of the stream.
TEST_CASE_METHOD(CompressionTest, "Decompressed text of any size is complete") {
  std::string Text;
  for (unsigned I = 0; Text.size() < 6000; ++I)
    Text += fmt::format("r-{:x}/part{:04}/v1;", Random() & 0xffffffU, I % 40);
  for (std::size_t Size = 1; Size <= Text.size(); ++Size) {
    base::ByteView Data = base::asBytes(Text).first(Size);
    base::Bytes Result = decompress(compress(Data), Size);
    REQUIRE(std::equal(Result.begin(), Result.end(), Data.begin(), Data.end()));
  }
}

// Guards against a sender that makes the receiver allocate without limit.
TEST_CASE_METHOD(CompressionTest, "Data above the frame limit is refused") {
  base::Bytes Zeros(MaxPayloadBytes + 1, 0);
  CHECK_THROWS_AS(decompress(compress(Zeros), Zeros.size()),
                  base::ProtocolError);
}

TEST_CASE_METHOD(CompressionTest, "Data of another size is refused") {
  base::Bytes Data = randomBytes(5000, 12);
  base::Bytes Compressed = compress(Data);
  CHECK_THROWS_AS(decompress(Compressed, Data.size() - 1), base::ProtocolError);
  CHECK_THROWS_AS(decompress(Compressed, Data.size() + 1), base::ProtocolError);
}

// Guards against a damaged update that is read beyond its end or accepted.
TEST_CASE_METHOD(CompressionTest, "Damaged data is refused or differs") {
  base::Bytes Data = randomBytes(3000, 12);
  base::Bytes Compressed = compress(Data);
  for (std::size_t Length = 0; Length < Compressed.size(); Length += 7)
    CHECK_THROWS_AS(
        decompress(base::ByteView(Compressed).first(Length), Data.size()),
        base::ProtocolError);
  base::Bytes Longer = Compressed;
  Longer.push_back(0);
  CHECK_THROWS_AS(decompress(Longer, Data.size()), base::ProtocolError);
  for (std::size_t I = 0; I < Compressed.size(); I += 3) {
    base::Bytes Damaged = Compressed;
    Damaged[I] ^= 0x5a;
    bool SameResult = false;
    try {
      SameResult = decompress(Damaged, Data.size()) == Data;
    } catch (const base::ProtocolError &) {
      // Most damage is noticed here, and the rest by the digest of the update.
    }
    CHECK_FALSE(SameResult);
  }
}

} // namespace amaranth::protocol
