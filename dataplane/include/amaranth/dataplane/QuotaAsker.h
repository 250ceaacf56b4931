#ifndef AMARANTH_DATAPLANE_QUOTAASKER_H
#define AMARANTH_DATAPLANE_QUOTAASKER_H

#include "amaranth/base/Millis.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace amaranth::dataplane {

/// Requests a second of one customer at this node, over about the last 200 ms.
class QuotaDemand {
public:
  static constexpr base::Millis Window = base::Millis(200);

  void count(base::TimePoint Now);
  double perSecond(base::TimePoint Now) const;

private:
  double Recent = 0;
  base::TimePoint UpdatedAt;
};

/// The requests of one customer at this node that need a token, and the tokens
/// that it has.
///
/// Load: a customer that is hot on one node (7 x 620 requests a second), and
/// one with 3 requests a second spread over 71 nodes. The first asks for
/// tokens in advance, so that a message serves many requests; the second asks
/// for one token when it has a request, because a token that expires unused is
/// lost to the other nodes.
class QuotaAsker {
public:
  /// Life of a token, from when it was asked for. 0.2 s of the rate are a part
  /// of the 10 % that the bound allows beyond the limit.
  static constexpr base::Millis TokenLifetime = base::Millis(200);
  /// Demand for which tokens are asked for in advance.
  static constexpr base::Millis AdvanceTime = base::Millis(100);
  /// Fewer tokens are not asked for in advance: a chance pair of requests of
  /// a small customer would waste a token.
  static constexpr double MinAdvance = 3;
  /// Another shard is asked when the last one has not answered for this time.
  static constexpr base::Millis SlowAnswer = base::Millis(10);
  /// An empty shard is not asked again before its owner expects a token, at
  /// most for this time.
  static constexpr base::Millis MaxPause = base::Millis(100);
  /// After so many shards in sequence without any token, the others are taken
  /// as empty too until one of these expects a token. At 1,800 nodes, a
  /// customer at six times its limit caused 9 messages for each request while
  /// all six of its shards were asked.
  static constexpr unsigned MaxEmptyShards = 2;
  /// Pause after no owner was found.
  static constexpr base::Millis NoOwnerPause = base::Millis(40);
  /// Requests that wait; further ones are refused.
  static constexpr std::size_t MaxWaiting = 5000;

  struct Ask {
    std::uint32_t Shard = 0;
    std::uint32_t Tokens = 0;
    base::Millis MaxWait;
  };
  struct Outcome {
    std::uint64_t Request = 0;
    bool Admitted = false;
    base::Millis RetryAfter;
  };

  /// Shards that are no longer there are not asked any more.
  void setShards(std::uint32_t Count);
  void add(std::uint64_t Request, base::TimePoint Deadline,
           base::TimePoint Now);
  /// The next ask to send, if any; it counts as sent. `Random` is uniform in
  /// [0, 1).
  std::optional<Ask> nextAsk(double Random, base::TimePoint Now);
  /// Tokens that were asked for at `SentAt`.
  void addTokens(std::uint32_t Count, base::TimePoint SentAt);
  /// The ask of a shard was answered in full or given up: it may be asked again
  /// at once.
  void onAnswer(std::uint32_t Shard, base::TimePoint Now);
  /// The owner of a shard has no token left and expects one after `RetryAfter`.
  /// `Granted` tells whether it granted a part of what was asked for.
  void onEmpty(std::uint32_t Shard, bool Granted, base::Millis RetryAfter,
               base::TimePoint Now);
  /// No owner was found and all reserves are empty. An owner may be found any
  /// time, so requests wait on.
  void onNoOwner(std::uint32_t Shard, base::Millis RetryAfter,
                 base::TimePoint Now);
  /// Requests that are decided.
  std::vector<Outcome> decide(base::TimePoint Now);
  void dropTokens() { Tokens.clear(); }

  std::size_t waiting() const { return Waiting.size(); }
  std::uint32_t tokens(base::TimePoint Now) const;
  /// Time since the newest unexpired token was asked for; 0 without one.
  base::Millis tokenAge(base::TimePoint Now) const;

private:
  struct Lease {
    std::uint32_t Count = 0;
    base::TimePoint SentAt;
  };
  struct Waiter {
    std::uint64_t Request = 0;
    base::TimePoint Deadline;
  };
  struct Shard {
    std::uint32_t Asked = 0;
    base::TimePoint AskedAt;
    base::TimePoint PausedUntil;
    /// When waiting for a token is worth it.
    base::TimePoint UsefulAt;
    /// When a token is expected.
    base::TimePoint ExpectedAt;
  };

  void dropExpired(base::TimePoint Now);
  bool mayAsk(const Shard &Part, base::TimePoint Now) const {
    return Part.Asked == 0 && Part.PausedUntil <= Now && AllEmptyUntil <= Now;
  }

  QuotaDemand Demand;
  std::deque<Lease> Tokens;
  std::deque<Waiter> Waiting;
  std::vector<Shard> Shards;
  /// Shards in sequence that had no token at all.
  unsigned EmptyShards = 0;
  base::TimePoint AllEmptyUntil;
};

} // namespace amaranth::dataplane

#endif
