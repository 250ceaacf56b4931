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

/// Maximum number of claims; each takes about 200 bytes.
inline constexpr std::size_t MaxClaims = 1'000'000;
/// Maximum total size of all stored responses. The oldest responses are dropped
/// first; their claims are kept.
inline constexpr std::size_t MaxStoredResponseBytes = 128U << 20U;
/// How long a released attempt cannot claim again. Must exceed the time that a
/// proposal can be in flight.
inline constexpr base::Millis ReleasedAttemptRetention =
    base::Millis::seconds(600);

/// Claims on non-idempotent requests.
class ClaimTable {
public:
  CommandResult claim(const Claim &Request, base::WallTime Now);
  CommandResult finish(const FinishClaim &Request);
  CommandResult release(const ReleaseClaim &Request, base::WallTime Now);
  /// Removes claims and released attempts whose retention has expired.
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
    /// Increases with each claim, and thus defines the order of expiry.
    std::uint64_t Serial = 0;
  };
  using Key = std::string;
  using Table = std::unordered_map<Key, Record>;

  /// Returns 128 bits of a cryptographic hash, so that a caller cannot choose a
  /// key that collides with another caller's key.
  static Key hashKey(const base::ServiceName &Service, const std::string &Text);
  CommandResult answerExisting(const Record &Existing,
                               const Claim &Request) const;
  void insert(const Key &Id, Record Value);
  void storeResponse(Record &Target, const StoredResponse &Response);
  void dropResponse(Record &Target);
  void erase(Table::iterator It);
  void recordReleased(const std::string &Attempt, base::WallTime Now);

  Table Records;
  std::map<std::uint64_t, Key> KeysBySerial;
  /// Serials of the claims that hold a response.
  std::set<std::uint64_t> SerialsWithResponse;
  std::size_t StoredBytes = 0;
  std::uint64_t NextSerial = 0;
  std::deque<std::pair<std::string, base::WallTime>> ReleasesByTime;
  std::unordered_set<std::string> ReleasedAttempts;
};

} // namespace amaranth::control::detail

#endif
