#include "amaranth/dataplane/QuotaGroup.h"

#include "amaranth/base/Digest.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace amaranth::dataplane {

namespace {

constexpr double MinShardRate = 60;
/// The bound allows 0.5 s of the rate, 10 % of the burst and 20 requests beyond
/// the limit in 5 s. Leases take 0.2 s of the rate, the least burst 0.05 s or 5
/// requests, the reserves 0.2 s, 10 % of the burst and 13 requests.
constexpr double MinBurstSeconds = 0.05;
constexpr double MinBurst = 5;
constexpr double ReserveCapacitySeconds = 0.1;
constexpr double ReserveCapacityBurst = 0.05;
constexpr double ReserveCapacityRequests = 10;
constexpr double ReserveRateShare = 0.019;
constexpr double ReserveRateBurst = 0.009;
constexpr double ReserveRateRequests = 0.5;
/// Candidates by score from which the group is chosen.
constexpr std::size_t MaxCandidates = 64;

/// Finalizer of MurmurHash3; spreads the bits of two combined hashes.
std::uint64_t mix(std::uint64_t Value) {
  Value ^= Value >> 33U;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33U;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33U);
}

} // namespace

std::uint32_t quotaShardCount(double RequestsPerSecond) {
  double Count = std::floor(RequestsPerSecond / MinShardRate);
  return static_cast<std::uint32_t>(
      std::clamp(Count, 1.0, static_cast<double>(MaxQuotaShards)));
}

QuotaRate quotaShardRate(const document::Customer &Limit) {
  double Shards = quotaShardCount(Limit.RequestsPerSecond);
  double Burst = std::max(
      {Limit.Burst, MinBurst, Limit.RequestsPerSecond * MinBurstSeconds});
  return {Limit.RequestsPerSecond / Shards, Burst / Shards};
}

QuotaRate quotaReserveRate(const document::Customer &Limit) {
  double Parts = quotaShardCount(Limit.RequestsPerSecond) *
                 static_cast<double>(QuotaGroupSize);
  double Rate = ReserveRateShare * Limit.RequestsPerSecond +
                ReserveRateBurst * Limit.Burst + ReserveRateRequests;
  double Capacity = ReserveCapacitySeconds * Limit.RequestsPerSecond +
                    ReserveCapacityBurst * Limit.Burst +
                    ReserveCapacityRequests;
  return {Rate / Parts, Capacity / Parts};
}

std::uint64_t quotaNodeHash(const base::NodeId &Node) {
  return base::hash64(base::asBytes(Node.value()));
}

std::vector<std::size_t> quotaGroup(const QuotaShard &Shard,
                                    const std::vector<QuotaMember> &Members,
                                    const std::vector<std::uint64_t> &Hashes) {
  std::uint64_t Key = mix(base::hash64(base::asBytes(Shard.Customer.value())) +
                          Shard.Index + 1);
  std::vector<std::pair<std::uint64_t, std::size_t>> Scores;
  Scores.reserve(Members.size());
  std::set<base::AvailabilityZone> Zones;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    Scores.emplace_back(mix(Hashes[I] ^ Key), I);
    Zones.insert(Members[I].Zone);
  }
  auto Count = std::min(Scores.size(), MaxCandidates);
  std::partial_sort(Scores.begin(),
                    Scores.begin() + static_cast<std::ptrdiff_t>(Count),
                    Scores.end(), std::greater<>());
  std::size_t PerZone =
      Zones.empty() ? 0 : (QuotaGroupSize + Zones.size() - 1) / Zones.size();
  std::vector<std::size_t> Group;
  std::map<base::AvailabilityZone, std::size_t> InZone;
  for (std::size_t I = 0; I < Count && Group.size() < QuotaGroupSize; ++I)
    if (InZone[Members[Scores[I].second].Zone]++ < PerZone)
      Group.push_back(Scores[I].second);
  for (std::size_t I = 0; I < Count && Group.size() < QuotaGroupSize; ++I)
    if (std::ranges::find(Group, Scores[I].second) == Group.end())
      Group.push_back(Scores[I].second);
  return Group;
}

} // namespace amaranth::dataplane
