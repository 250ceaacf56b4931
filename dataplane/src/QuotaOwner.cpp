#include "amaranth/dataplane/QuotaOwner.h"

#include <algorithm>

namespace amaranth::dataplane {

namespace {

/// How long an owner leaves a shard to a node that precedes it.
constexpr base::Millis YieldTime = base::Millis(500);

} // namespace

QuotaVote::Result QuotaVote::request(const base::NodeId &Candidate,
                                     std::uint64_t Sequence,
                                     base::TimePoint Now) {
  if (Now < Until && Candidate != Holder) {
    Contender = Candidate;
    ContendedAt = Now;
    return {false, {}};
  }
  if (Now < Until && Sequence < HolderSequence)
    return {false, {}};
  Holder = Candidate;
  HolderSequence = Sequence;
  Until = Now + VoterLifetime;
  bool Contended = !Contender.value().empty() && Contender != Candidate &&
                   Now - ContendedAt < ContenderLifetime;
  return {true, Contended ? Contender : base::NodeId()};
}

void QuotaVote::release(const base::NodeId &Candidate, std::uint64_t Sequence,
                        base::TimePoint Now) {
  if (Candidate != Holder || Sequence < HolderSequence)
    return;
  HolderSequence = Sequence;
  Until = std::min(Until, Now);
}

base::NodeId QuotaVote::holder(base::TimePoint Now) const {
  return Now < Until ? Holder : base::NodeId();
}

void QuotaVotes::setGroup(std::vector<base::NodeId> NewGroup,
                          base::TimePoint Now) {
  if (NewGroup == Group)
    return;
  Previous = std::exchange(Group, std::move(NewGroup));
  PreviousUntil = Now + PreviousGroupTime;
}

void QuotaVotes::add(const base::NodeId &Voter, base::TimePoint AskedAt) {
  auto &Until = Expiry[Voter];
  Until = std::max(Until, AskedAt + QuotaVote::OwnerLifetime);
}

bool QuotaVotes::majorityOf(const std::vector<base::NodeId> &Nodes,
                            base::TimePoint Now) const {
  auto Count = std::ranges::count_if(Nodes, [&](const base::NodeId &Node) {
    auto Found = Expiry.find(Node);
    return Found != Expiry.end() && Now < Found->second;
  });
  return static_cast<std::size_t>(Count) * 2 > Nodes.size();
}

bool QuotaVotes::majority(base::TimePoint Now) const {
  if (!Previous.empty() && Now < PreviousUntil && !majorityOf(Previous, Now))
    return false;
  return majorityOf(Group, Now);
}

std::vector<base::NodeId> QuotaVotes::voters(base::TimePoint Now) const {
  auto Result = Group;
  if (Now < PreviousUntil)
    for (const base::NodeId &Node : Previous)
      if (std::ranges::find(Result, Node) == Result.end())
        Result.push_back(Node);
  return Result;
}

QuotaOwner::QuotaOwner(QuotaShard Shard, base::NodeId Self,
                       base::TimePoint AbstainUntil, base::TimePoint Now)
    : Shard(std::move(Shard)), Self(std::move(Self)), Vote(AbstainUntil),
      Bucket({}, Now), Reserve({}, Now), NextRound(Now) {}

void QuotaOwner::setLimit(const document::Customer &Limit,
                          base::TimePoint Now) {
  QuotaRate Rate = quotaShardRate(Limit);
  PerSecond = Rate.PerSecond;
  Bucket.setLimit(Rate, Now);
  Reserve.setLimit(quotaReserveRate(Limit), Now);
}

void QuotaOwner::setGroup(std::vector<base::NodeId> Group, bool IsPreferred,
                          bool IsLive, base::TimePoint Now) {
  Preferred = IsPreferred;
  Live = IsLive;
  Votes.setGroup(std::move(Group), Now);
  update(Now);
}

bool QuotaOwner::update(base::TimePoint Now) {
  bool Owns = Votes.majority(Now);
  if (Owns != Owning)
    Bucket.clear(Now);
  if (Owning && !Owns)
    NextRound = Now;
  if (Owns)
    Failures = 0;
  Owning = Owns;
  return Owns;
}

bool QuotaOwner::precedes(const base::NodeId &Other) const {
  for (const base::NodeId &Node : Votes.group()) {
    if (Node == Self)
      return false;
    if (Node == Other)
      return true;
  }
  return false;
}

QuotaTokens QuotaOwner::grant(const QuotaAsk &Ask, base::TimePoint Now) {
  QuotaTokens Result;
  Result.Id = Ask.Id;
  Result.Owner = update(Now);
  if (!Result.Owner) {
    if (Ask.Claim)
      ClaimUntil = Now + ClaimTime;
    Result.Tokens = Reserve.take(Ask.Tokens, Now);
    base::NodeId Holder = Vote.holder(Now);
    if (Holder != Self)
      Result.OtherOwner = Holder;
    Result.RetryAfter =
        std::min(Reserve.timeUntil(1, Now), QuotaVote::VoterLifetime);
    return Result;
  }
  Result.Tokens = Bucket.take(Ask.Tokens, Now);
  base::TimePoint Free =
      std::max(Now + Bucket.timeUntil(1, Now), PromisedUntil);
  Result.RetryAfter = Free - Now;
  if (Result.Tokens < Ask.Tokens && Result.RetryAfter <= Ask.MaxWait) {
    double Spacing = 1000.0 / std::max(PerSecond, 0.001);
    PromisedUntil = Free + base::Millis(static_cast<std::int64_t>(Spacing) + 1);
  }
  Result.RetryAfter = std::clamp(Result.RetryAfter, base::Millis(1),
                                 base::Millis::seconds(3600));
  return Result;
}

QuotaVoteReply QuotaOwner::vote(const base::NodeId &Candidate,
                                const QuotaVoteRequest &Request, bool MayVote,
                                base::TimePoint Now) {
  QuotaVoteReply Reply{Request.Sequence, Shard, false, {}};
  if (Request.Release) {
    Vote.release(Candidate, Request.Sequence, Now);
    return Reply;
  }
  auto Known = Votes.voters(Now);
  if (!MayVote || std::ranges::find(Known, Candidate) == Known.end())
    return Reply;
  auto Result = Vote.request(Candidate, Request.Sequence, Now);
  Reply.Granted = Result.Granted;
  Reply.Contender = Result.Contender;
  return Reply;
}

void QuotaOwner::onVote(const base::NodeId &Voter, const QuotaVoteReply &Reply,
                        base::TimePoint Now) {
  update(Now);
  auto Round = Rounds.find(Reply.Sequence);
  if (Round == Rounds.end())
    return;
  if (Reply.Granted)
    Votes.add(Voter, Round->second);
  if (!Reply.Contender.value().empty() && (!Live || precedes(Reply.Contender)))
    YieldUntil = Now + YieldTime;
  update(Now);
}

QuotaOwner::Outgoing QuotaOwner::release(std::uint64_t &Sequence,
                                         base::TimePoint Now) {
  Outgoing Result;
  ++Sequence;
  // Replies that are on their way must not count any more.
  Rounds.clear();
  Votes.clear();
  AttemptEnds = base::TimePoint::max();
  update(Now);
  for (const base::NodeId &Node : Votes.voters(Now))
    Result.emplace_back(Node, QuotaVoteRequest{Sequence, Shard, true});
  return Result;
}

QuotaOwner::Outgoing QuotaOwner::advance(std::uint64_t &Sequence, double Random,
                                         base::TimePoint Now) {
  bool Owns = update(Now);
  const auto &Group = Votes.group();
  bool Member = std::ranges::find(Group, Self) != Group.end();
  bool Wanted =
      Member && Now >= YieldUntil && (Preferred || Owns || Now < ClaimUntil);
  if (!Wanted)
    return Rounds.empty() ? Outgoing() : release(Sequence, Now);
  if (!Owns && Now >= AttemptEnds) {
    // Votes of an attempt that failed are given back, so that two candidates
    // do not block each other.
    Outgoing Result = release(Sequence, Now);
    base::Millis Limit = MinRetryDelay * (std::int64_t{1} << Failures);
    if (Limit < MaxRetryDelay)
      ++Failures;
    NextRound = Now + base::Millis(static_cast<std::int64_t>(
                          Random * static_cast<double>(Limit.count())));
    return Result;
  }
  if (Now < NextRound)
    return {};
  Outgoing Result;
  ++Sequence;
  std::erase_if(Rounds, [&](const auto &Round) {
    return Now - Round.second >= QuotaVote::OwnerLifetime;
  });
  Rounds.emplace(Sequence, Now);
  for (const base::NodeId &Node : Votes.voters(Now))
    Result.emplace_back(Node, QuotaVoteRequest{Sequence, Shard, false});
  NextRound = Now + RenewInterval;
  if (!Owns)
    AttemptEnds = Now + ClaimTimeout;
  else
    AttemptEnds = base::TimePoint::max();
  return Result;
}

void QuotaOwner::forget(base::TimePoint Now) {
  Votes.clear();
  Rounds.clear();
  NextRound = Now;
  AttemptEnds = base::TimePoint::max();
  Bucket.clear(Now);
  update(Now);
}

} // namespace amaranth::dataplane
