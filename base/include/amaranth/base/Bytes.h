#ifndef AMARANTH_BASE_BYTES_H
#define AMARANTH_BASE_BYTES_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::base {

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;

inline ByteView asBytes(std::string_view Text) {
  return {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()};
}

inline std::string_view asText(ByteView Data) {
  return {reinterpret_cast<const char *>(Data.data()), Data.size()};
}

} // namespace amaranth::base

#endif
