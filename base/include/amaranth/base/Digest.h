#ifndef AMARANTH_BASE_DIGEST_H
#define AMARANTH_BASE_DIGEST_H

#include "amaranth/base/Bytes.h"

#include <cstdint>
#include <memory>
#include <string>

namespace amaranth::base {

/// XXH3 64-bit hash. Detects corruption and differences; it is no protection
/// against an attacker.
std::uint64_t hash64(ByteView Data);

/// Computes `hash64` of data that is passed in pieces. A copy continues from
/// the same state.
class Hasher64 {
public:
  Hasher64();
  Hasher64(const Hasher64 &Other);
  Hasher64 &operator=(const Hasher64 &Other) = delete;
  ~Hasher64();

  void update(ByteView Data);
  std::uint64_t digest() const;

private:
  struct State;
  std::unique_ptr<State> Self;
};

/// 16 lower-case hexadecimal digits.
std::string hex64(std::uint64_t Value);

/// SHA-256 of `Data`; 32 bytes.
Bytes sha256(ByteView Data);

/// HMAC-SHA256 of `Data` under `Key`; 32 bytes.
Bytes hmacSha256(ByteView Key, ByteView Data);

/// Compares without a data-dependent early exit. Different sizes are unequal.
bool equalConstantTime(ByteView Left, ByteView Right);

/// Random bytes from the operating system's generator, for nonces and ids.
Bytes randomBytes(std::size_t Count);
std::uint64_t randomU64();

/// 32 random hexadecimal digits, for operation, attempt and request ids.
std::string randomHexId();

} // namespace amaranth::base

#endif
