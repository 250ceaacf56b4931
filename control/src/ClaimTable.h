#ifndef AMARANTH_CONTROL_SRC_CLAIMTABLE_H
#define AMARANTH_CONTROL_SRC_CLAIMTABLE_H

#include "WireConversion.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace amaranth::control::detail {

/// Most claims kept at once; about 200 bytes each.
inline constexpr std::size_t MaxClaims = 1'000'000;
/// Bytes of all stored responses together; the oldest are dropped first and
/// their claims stay taken.
inline constexpr std::size_t MaxStoredTotal = 128U << 20U;
/// How long a released attempt stays unable to claim again. Longer than any
/// proposal stays in flight.
inline constexpr base::Millis ReleaseMemory = base::Millis::seconds(600);

/// Claims of non-idempotent requests.
class ClaimTable {
public:
  CommandResult claim(const Claim &Request, base::WallTime Now);
  CommandResult finish(const FinishClaim &Request);
  CommandResult release(const ReleaseClaim &Request, base::WallTime Now);
  /// Drops the claims whose retention ended.
  void expire(base::WallTime Now);

  std::size_t size() const { return Records.size(); }

  Offset<flatbuffers::Vector<Offset<wire::ClaimRecord>>>
  write(Builder &Out) const;
  Offset<flatbuffers::Vector<Offset<wire::ReleasedAttempt>>>
  writeReleased(Builder &Out) const;
  void read(const wire::ControlSnapshot &From);

private:
  struct Record {
    std::uint64_t RequestHash = 0;
    std::string Attempt;
    base::WallTime Time;
    bool Finished = false;
    std::optional<StoredResponse> Response;
    /// Order of creation, and therefore of expiry.
    std::uint64_t Serial = 0;
  };
  using Key = std::string;
  using Table = std::unordered_map<Key, Record>;

  /// 128 bits of a cryptographic hash: a caller must not be able to choose a
  /// key that collides with the key of another caller.
  static Key keyOf(const base::ServiceName &Service, const std::string &Text);
  CommandResult repeated(const Record &Known, const Claim &Request) const;
  void insert(const Key &Id, Record Value);
  void storeResponse(Record &Into, const StoredResponse &Response);
  void dropResponse(Record &From);
  void erase(Table::iterator It);
  void remember(const std::string &Attempt, base::WallTime Now);

  Table Records;
  std::map<std::uint64_t, Key> Order;
  /// Serials of the claims that hold a response.
  std::set<std::uint64_t> WithResponse;
  std::size_t StoredBytes = 0;
  std::uint64_t NextSerial = 0;
  std::deque<std::pair<std::string, base::WallTime>> ReleasedOrder;
  std::unordered_set<std::string> Released;
};

} // namespace amaranth::control::detail

#endif
