#ifndef AMARANTH_DATAPLANE_QUOTAOWNER_H
#define AMARANTH_DATAPLANE_QUOTAOWNER_H

#include "amaranth/dataplane/QuotaBucket.h"
#include "amaranth/dataplane/QuotaMessages.h"

#include <map>
#include <utility>
#include <vector>

namespace amaranth::dataplane {

/// The vote of one node for the owner of one shard.
///
/// Load: nodes that are killed, frozen or cut off while others do not know it.
/// The vote is bound to one candidate until it expires, so that a majority of a
/// group has one owner at a time, whatever the snapshots of its nodes say.
class QuotaVote {
public:
  /// The owner counts a vote from the time at which it asked for it, the voter
  /// from the time at which it gave it. The difference covers clocks that run
  /// up to 10 % apart.
  static constexpr base::Millis OwnerLifetime = base::Millis(1000);
  static constexpr base::Millis VoterLifetime = base::Millis(1100);
  /// How long a candidate that did not get the vote is named.
  static constexpr base::Millis ContenderLifetime = base::Millis(800);

  struct Result {
    bool Granted = false;
    base::NodeId Contender;
  };

  /// A restarted voter does not know whom it voted for: it must not vote
  /// before the vote of its predecessor has expired.
  explicit QuotaVote(base::TimePoint AbstainUntil) : Until(AbstainUntil) {}

  Result request(const base::NodeId &Candidate, std::uint64_t Sequence,
                 base::TimePoint Now);
  /// Ignored if it was overtaken by a later request.
  void release(const base::NodeId &Candidate, std::uint64_t Sequence,
               base::TimePoint Now);
  /// Empty if the vote is free.
  base::NodeId holder(base::TimePoint Now) const;

private:
  base::NodeId Holder;
  std::uint64_t HolderSequence = 0;
  base::TimePoint Until;
  base::NodeId Contender;
  base::TimePoint ContendedAt;
};

/// Votes that a node has for one shard.
///
/// Load: groups that change while the snapshots of nodes lag by up to 18 s.
/// After a change, a majority of the previous group is needed as well.
class QuotaVotes {
public:
  static constexpr base::Millis PreviousGroupTime = base::Millis::seconds(20);

  void setGroup(std::vector<base::NodeId> NewGroup, base::TimePoint Now);
  void add(const base::NodeId &Voter, base::TimePoint AskedAt);
  void remove(const base::NodeId &Voter) { Expiry.erase(Voter); }
  void clear() { Expiry.clear(); }
  bool empty() const { return Expiry.empty(); }
  bool majority(base::TimePoint Now) const;
  /// The nodes whose votes count.
  std::vector<base::NodeId> voters(base::TimePoint Now) const;
  const std::vector<base::NodeId> &group() const { return Group; }

private:
  bool majorityOf(const std::vector<base::NodeId> &Nodes,
                  base::TimePoint Now) const;

  std::vector<base::NodeId> Group;
  std::vector<base::NodeId> Previous;
  base::TimePoint PreviousUntil;
  std::map<base::NodeId, base::TimePoint> Expiry;
};

/// One shard at a node of its group: the node's vote, its part of the reserve
/// and, while it has a majority of the votes, the bucket.
///
/// Load: 78 customers on 71 nodes, nodes killed, frozen or cut off. Another
/// node of the group takes over about 1.1 s after the owner was last heard of,
/// without help from control; until then the reserves grant.
class QuotaOwner {
public:
  /// Two attempts in the life of a vote. Half of the messages at 80 % load are
  /// renewals.
  static constexpr base::Millis RenewInterval = base::Millis(450);
  /// Time for the votes of one attempt to arrive.
  static constexpr base::Millis ClaimTimeout = base::Millis(100);
  /// How long a node tries to become the owner after it was asked to.
  static constexpr base::Millis ClaimTime = base::Millis(1500);
  /// Bounds of the random delay after an attempt that failed.
  static constexpr base::Millis MinRetryDelay = base::Millis(100);
  static constexpr base::Millis MaxRetryDelay = base::Millis(800);

  using Outgoing = std::vector<std::pair<base::NodeId, QuotaVoteRequest>>;

  QuotaOwner(QuotaShard Shard, base::NodeId Self, base::TimePoint AbstainUntil,
             base::TimePoint Now);

  void setLimit(const document::Customer &Limit, base::TimePoint Now);
  /// `Group` in order of preference; `Preferred` if this node is the first live
  /// one of it. A node that is not `Live` leaves: it gives way to any other
  /// candidate, so that a graceful shutdown costs no requests.
  void setGroup(std::vector<base::NodeId> Group, bool Preferred, bool Live,
                base::TimePoint Now);

  /// Grants from the bucket if this node owns the shard, else from its reserve.
  QuotaTokens grant(const QuotaAsk &Ask, base::TimePoint Now);
  QuotaVoteReply vote(const base::NodeId &Candidate,
                      const QuotaVoteRequest &Request, bool MayVote,
                      base::TimePoint Now);
  void onVote(const base::NodeId &Voter, const QuotaVoteReply &Reply,
              base::TimePoint Now);
  /// Asks for votes, renews them and gives them back as needed. `Sequence` is
  /// the last one used; `Random` is uniform in [0, 1).
  Outgoing advance(std::uint64_t &Sequence, double Random, base::TimePoint Now);
  /// After a pause in which others may have taken over.
  void forget(base::TimePoint Now);

  bool owns(base::TimePoint Now) { return update(Now); }
  double tokens(base::TimePoint Now) const { return Bucket.tokens(Now); }

private:
  bool update(base::TimePoint Now);
  bool precedes(const base::NodeId &Other) const;
  Outgoing release(std::uint64_t &Sequence, base::TimePoint Now);

  QuotaShard Shard;
  base::NodeId Self;
  QuotaVote Vote;
  QuotaVotes Votes;
  QuotaBucket Bucket;
  QuotaBucket Reserve;
  double PerSecond = 0;
  bool Preferred = false;
  bool Live = true;
  bool Owning = false;
  /// Sequence and time of the requests whose replies count.
  std::map<std::uint64_t, base::TimePoint> Rounds;
  base::TimePoint NextRound;
  /// Attempts that failed in sequence, for the delay of the next one.
  unsigned Failures = 0;
  base::TimePoint AttemptEnds = base::TimePoint::max();
  base::TimePoint ClaimUntil;
  base::TimePoint YieldUntil;
  /// Time up to which tokens are promised to requests that wait.
  base::TimePoint PromisedUntil;
};

} // namespace amaranth::dataplane

#endif
