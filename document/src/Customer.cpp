#include "amaranth/document/Customer.h"

#include "amaranth/base/Digest.h"

#include <algorithm>

namespace amaranth::document {

KeyDigest digestOfKey(std::string_view Key) {
  base::Bytes Hash = base::sha256(base::asBytes(Key));
  KeyDigest Digest{};
  std::ranges::copy_n(Hash.begin(), Digest.size(), Digest.begin());
  return Digest;
}

} // namespace amaranth::document
