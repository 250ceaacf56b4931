#ifndef AMARANTH_DATAPLANE_QUOTAMESSAGES_H
#define AMARANTH_DATAPLANE_QUOTAMESSAGES_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Millis.h"
#include "amaranth/dataplane/QuotaGroup.h"

#include <cstdint>
#include <vector>

namespace amaranth::dataplane {

/// Limits of a message between nodes.
inline constexpr std::size_t MaxQuotaItems = 4096;
inline constexpr std::uint32_t MaxQuotaTokens = 10'000;
inline constexpr std::size_t MaxQuotaNameBytes = 256;

/// Asks a node for tokens of a shard.
struct QuotaAsk {
  std::uint64_t Id = 0;
  QuotaShard Shard;
  std::uint32_t Tokens = 0;
  /// The asking node knows no better owner: the receiver should become it.
  bool Claim = false;
  /// Longest time for which a request of the asking node waits.
  base::Millis MaxWait;

  bool operator==(const QuotaAsk &) const = default;
};

/// Asks a node of a group for its vote, or gives it back.
struct QuotaVoteRequest {
  /// Increases with each request of a node.
  std::uint64_t Sequence = 0;
  QuotaShard Shard;
  bool Release = false;

  bool operator==(const QuotaVoteRequest &) const = default;
};

struct QuotaRequest {
  std::vector<QuotaAsk> Asks;
  std::vector<QuotaVoteRequest> Votes;

  bool empty() const { return Asks.empty() && Votes.empty(); }
  bool operator==(const QuotaRequest &) const = default;
};

/// Response to a `QuotaAsk`.
struct QuotaTokens {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
  /// The sender owns the shard. Otherwise the tokens are from its reserve.
  bool Owner = false;
  /// Time until a further token is expected to be free.
  base::Millis RetryAfter;
  /// Owner that the sender voted for; empty if unknown or the sender.
  base::NodeId OtherOwner;

  bool operator==(const QuotaTokens &) const = default;
};

/// Response to a `QuotaVoteRequest` that is no release.
struct QuotaVoteReply {
  std::uint64_t Sequence = 0;
  QuotaShard Shard;
  bool Granted = false;
  /// Another node that has asked for this vote lately; empty if there is none.
  base::NodeId Contender;

  bool operator==(const QuotaVoteReply &) const = default;
};

struct QuotaGrant {
  std::vector<QuotaTokens> Tokens;
  std::vector<QuotaVoteReply> Votes;

  bool empty() const { return Tokens.empty() && Votes.empty(); }
  bool operator==(const QuotaGrant &) const = default;
};

/// Wire encoding. The decoders throw `base::ProtocolError` on malformed
/// messages and on numbers outside their limits.
base::Bytes encode(const QuotaRequest &Value);
base::Bytes encode(const QuotaGrant &Value);
QuotaRequest decodeQuotaRequest(base::ByteView Payload);
QuotaGrant decodeQuotaGrant(base::ByteView Payload);

} // namespace amaranth::dataplane

#endif
