#ifndef AMARANTH_DOCUMENT_CUSTOMER_H
#define AMARANTH_DOCUMENT_CUSTOMER_H

#include "amaranth/base/StrongId.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace amaranth::document {

/// SHA-256 of an API key. Nodes get digests only, so that a snapshot, a log or
/// a dump of a node contains no key. A lookup by digest need not take constant
/// time, because a caller cannot choose the digest of a key that it guesses.
using KeyDigest = std::array<std::uint8_t, 32>;

KeyDigest digestOfKey(std::string_view Key);

/// A customer whose requests carry an API key.
struct Customer {
  base::CustomerName Name;
  /// In ascending order. A customer without keys can send nothing.
  std::vector<KeyDigest> Keys;
  /// Rank under load, 0 first. Precedes the priority of the route.
  std::uint32_t Priority = 0;
  /// Limit of the customer's requests a second at all nodes together; 0 for no
  /// limit.
  double RequestsPerSecond = 0;
  /// Requests that the customer may send at once in addition.
  double Burst = 0;

  bool operator==(const Customer &) const = default;
};

} // namespace amaranth::document

#endif
