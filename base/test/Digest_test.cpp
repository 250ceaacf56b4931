#include "amaranth/base/Digest.h"

#include <catch2/catch.hpp>

namespace amaranth::base {

// RFC 4231, test case 2.
TEST_CASE("hmacSha256 known vector matches") {
  Bytes Mac =
      hmacSha256(asBytes("Jefe"), asBytes("what do ya want for nothing?"));
  REQUIRE(Mac.size() == 32);
  CHECK(Mac[0] == 0x5b);
  CHECK(Mac[31] == 0x43);
}

TEST_CASE("equalConstantTime differs on size and content") {
  CHECK(equalConstantTime(asBytes("abc"), asBytes("abc")));
  CHECK_FALSE(equalConstantTime(asBytes("abc"), asBytes("abd")));
  CHECK_FALSE(equalConstantTime(asBytes("abc"), asBytes("abcd")));
}

TEST_CASE("randomHexId two calls differ") {
  CHECK(randomHexId() != randomHexId());
  CHECK(randomHexId().size() == 32);
}

} // namespace amaranth::base
