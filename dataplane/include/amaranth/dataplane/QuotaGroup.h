#ifndef AMARANTH_DATAPLANE_QUOTAGROUP_H
#define AMARANTH_DATAPLANE_QUOTAGROUP_H

#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/QuotaBucket.h"
#include "amaranth/document/Customer.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranth::dataplane {

/// A node that the snapshot lists.
struct QuotaMember {
  base::NodeId Node;
  base::Address Address;
  base::AvailabilityZone Zone;
  /// An endpoint of the node is starting or ready.
  bool Live = true;

  bool operator==(const QuotaMember &) const = default;
};

/// A part of a customer's limit that one node owns at a time.
struct QuotaShard {
  base::CustomerName Customer;
  std::uint32_t Index = 0;

  auto operator<=>(const QuotaShard &) const = default;
};

/// Nodes of a shard: an owner needs the votes of a majority of them, and each
/// has an equal part of the reserve. Two may fail at the same time.
inline constexpr std::size_t QuotaGroupSize = 5;
inline constexpr std::uint32_t MaxQuotaShards = 8;

/// Number of shards of a customer.
///
/// Load: the largest of 78 customers has 620 requests a second. One owner would
/// take a message for nearly each of them, and its loss would cost the whole
/// limit. A shard has at least 60 requests a second, because smaller buckets
/// run empty by chance.
std::uint32_t quotaShardCount(double RequestsPerSecond);

/// Bucket of the owner of one shard.
QuotaRate quotaShardRate(const document::Customer &Limit);
/// Bucket of each node of the group for grants without ownership. All reserves
/// of a customer together grant at most 20 % of the requests of a second, 10 %
/// of the burst and 13 requests in 5 s.
QuotaRate quotaReserveRate(const document::Customer &Limit);

/// Hash of a node for `quotaGroup`.
std::uint64_t quotaNodeHash(const base::NodeId &Node);

/// Chooses the nodes of a shard by rendezvous hashing, the preferred owner
/// first, and returns their positions in `Members`. Whether a member is live
/// has no influence, so that nodes that disagree about it agree on the group.
/// `Hashes` holds the hash of each member.
///
/// Load: the loss of an availability zone. The group is spread over the zones,
/// so that with three of them one holds at most two of the five nodes.
std::vector<std::size_t> quotaGroup(const QuotaShard &Shard,
                                    const std::vector<QuotaMember> &Members,
                                    const std::vector<std::uint64_t> &Hashes);

} // namespace amaranth::dataplane

#endif
