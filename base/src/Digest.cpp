#include "amaranth/base/Digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#define XXH_INLINE_ALL
#include <cstring>
#include <stdexcept>
#include <xxhash.h>

namespace amaranth::base {

std::uint64_t hash64(ByteView Data) {
  return XXH3_64bits(Data.data(), Data.size());
}

struct Hasher64::State {
  XXH3_state_t *Handle = XXH3_createState();

  State() = default;
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() { XXH3_freeState(Handle); }
};

Hasher64::Hasher64() : Self(std::make_unique<State>()) {
  XXH3_64bits_reset(Self->Handle);
}

Hasher64::Hasher64(const Hasher64 &Other) : Self(std::make_unique<State>()) {
  XXH3_copyState(Self->Handle, Other.Self->Handle);
}

Hasher64::~Hasher64() = default;

void Hasher64::update(ByteView Data) {
  XXH3_64bits_update(Self->Handle, Data.data(), Data.size());
}

std::uint64_t Hasher64::digest() const {
  return XXH3_64bits_digest(Self->Handle);
}

std::string hex64(std::uint64_t Value) { return fmt::format("{:016x}", Value); }

Bytes sha256(ByteView Data) {
  Bytes Result(EVP_MAX_MD_SIZE);
  unsigned Size = 0;
  if (!EVP_Digest(Data.data(), Data.size(), Result.data(), &Size, EVP_sha256(),
                  nullptr))
    throw std::runtime_error("SHA-256 failed");
  Result.resize(Size);
  return Result;
}

Bytes hmacSha256(ByteView Key, ByteView Data) {
  Bytes Result(EVP_MAX_MD_SIZE);
  unsigned Size = 0;
  if (!HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), Data.data(),
            Data.size(), Result.data(), &Size))
    throw std::runtime_error("HMAC-SHA256 failed");
  Result.resize(Size);
  return Result;
}

bool equalConstantTime(ByteView Left, ByteView Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

Bytes randomBytes(std::size_t Count) {
  Bytes Result(Count);
  if (RAND_bytes(Result.data(), static_cast<int>(Count)) != 1)
    throw std::runtime_error("the system's random generator failed");
  return Result;
}

std::uint64_t randomU64() {
  std::uint64_t Value = 0;
  Bytes Raw = randomBytes(sizeof Value);
  std::memcpy(&Value, Raw.data(), sizeof Value);
  return Value;
}

std::string randomHexId() { return hex64(randomU64()) + hex64(randomU64()); }

} // namespace amaranth::base
