#include "amaranth/dataplane/QuotaNode.h"

#include "amaranth/base/Error.h"

#include <algorithm>
#include <set>

namespace amaranth::dataplane {

namespace {

constexpr unsigned MaxHops = 4;
constexpr unsigned MaxLosses = 3;
constexpr base::Millis WaitingWake = base::Millis(4);
constexpr base::Millis IdleWake = base::Millis(50);
/// Without customers that have a limit, nothing is due.
constexpr base::Millis UnusedWake = base::Millis(500);

} // namespace

QuotaNode::QuotaNode(base::NodeId Self, std::uint64_t Seed,
                     std::uint64_t FirstSequence, base::TimePoint Now)
    : Self(std::move(Self)), Random(Seed), Sequence(FirstSequence),
      StartedAt(Now), ControlContact(Now) {}

void QuotaNode::setMembers(const std::vector<QuotaMember> &Listed,
                           base::TimePoint Now) {
  bool First = LastLive.empty();
  std::vector<QuotaMember> Current;
  std::set<base::NodeId> Names;
  for (const QuotaMember &Each : Listed) {
    Names.insert(Each.Node);
    auto [Seen, Added] = LastLive.try_emplace(Each.Node, Now);
    if (Each.Live)
      Seen->second = Now;
    else if (Added && First)
      // A node that starts does not know since when another one is lost. Most
      // of those that are listed were lost long ago.
      Seen->second = Now - LeaveTime;
    if (Now - Seen->second < LeaveTime)
      Current.push_back(Each);
  }
  std::erase_if(LastLive, [&](const auto &Entry) {
    return !Names.contains(Entry.first);
  });
  std::ranges::sort(Current, {}, &QuotaMember::Node);
  if (Current == Members)
    return;
  // Groups do not depend on which members are live. With thousands of shards,
  // working them out again at each change would block the node for 100 ms.
  bool SameGroups = std::ranges::equal(
      Current, Members, [](const QuotaMember &Left, const QuotaMember &Right) {
        return Left.Node == Right.Node && Left.Address == Right.Address &&
               Left.Zone == Right.Zone;
      });
  Members = std::move(Current);
  if (SameGroups) {
    rebuildOwners(Now);
    return;
  }
  Hashes.clear();
  Addresses.clear();
  for (const QuotaMember &Each : Members) {
    Hashes.push_back(quotaNodeHash(Each.Node));
    Addresses.emplace(Each.Node, Each.Address);
  }
  for (auto &[Name, Each] : Senders)
    rebuildRoutes(Each);
  rebuildOwners(Now);
}

void QuotaNode::setCustomers(const std::vector<document::Customer> &Listed,
                             base::TimePoint Now) {
  std::map<base::CustomerName, document::Customer> Current;
  for (const document::Customer &Each : Listed)
    if (Each.RequestsPerSecond > 0)
      Current.emplace(Each.Name, Each);
  if (Current == Customers)
    return;
  Customers = std::move(Current);
  for (auto &[Name, Limit] : Customers)
    sender(Limit);
  std::erase_if(Senders, [&](const auto &Entry) {
    return !Customers.contains(Entry.first) &&
           Entry.second.Asker.waiting() == 0;
  });
  rebuildOwners(Now);
}

QuotaNode::Sender &QuotaNode::sender(const document::Customer &Customer) {
  auto [Found, Added] = Senders.try_emplace(Customer.Name);
  Sender &Result = Found->second;
  bool Changed =
      Added || Result.Limit.RequestsPerSecond != Customer.RequestsPerSecond;
  Result.Limit = Customer;
  if (Changed)
    rebuildRoutes(Result);
  return Result;
}

void QuotaNode::rebuildRoutes(Sender &Of) {
  std::uint32_t Count = quotaShardCount(Of.Limit.RequestsPerSecond);
  Of.Asker.setShards(Count);
  Of.Routes.resize(Count);
  for (std::uint32_t I = 0; I < Count; ++I)
    Of.Routes[I].Group = quotaGroup({Of.Limit.Name, I}, Members, Hashes);
}

void QuotaNode::rebuildOwners(base::TimePoint Now) {
  std::set<QuotaShard> Wanted;
  for (const auto &[Name, Limit] : Customers) {
    const Sender &Of = sender(Limit);
    for (std::uint32_t I = 0; I < Of.Routes.size(); ++I) {
      const auto &Group = Of.Routes[I].Group;
      QuotaShard Shard{Name, I};
      std::vector<base::NodeId> Nodes;
      const QuotaMember *FirstLive = nullptr;
      bool Live = false;
      for (std::size_t Position : Group) {
        Nodes.push_back(Members[Position].Node);
        if (!FirstLive && Members[Position].Live)
          FirstLive = &Members[Position];
        if (Members[Position].Node == Self)
          Live = Members[Position].Live;
      }
      bool Member = std::ranges::find(Nodes, Self) != Nodes.end();
      auto Found = Owners.find(Shard);
      if (!Member && Found == Owners.end())
        continue;
      Wanted.insert(Shard);
      if (Found == Owners.end()) {
        auto Removed = RemovedAt.find(Shard);
        auto Forgot = Removed == RemovedAt.end() ? StartedAt : Removed->second;
        auto Owner = std::make_unique<QuotaOwner>(
            Shard, Self, Forgot + QuotaVote::VoterLifetime, Now);
        Found = Owners.emplace(Shard, std::move(Owner)).first;
      }
      Found->second->setLimit(Limit, Now);
      Found->second->setGroup(std::move(Nodes),
                              FirstLive && FirstLive->Node == Self, Live, Now);
    }
  }
  // A shard that this node no longer belongs to is kept, because its vote still
  // binds it; only those of customers that are gone are removed.
  std::erase_if(RemovedAt, [&](const auto &Entry) {
    return Now - Entry.second >= QuotaVote::VoterLifetime;
  });
  std::erase_if(Owners, [&](const auto &Entry) {
    if (Wanted.contains(Entry.first))
      return false;
    RemovedAt[Entry.first] = Now;
    return true;
  });
}

void QuotaNode::checkSuspension(QuotaTime Time) {
  if (!Suspension.check(Time.Now, Time.Boot))
    return;
  for (auto &[Shard, Owner] : Owners)
    Owner->forget(Time.Now);
  for (auto &[Name, Each] : Senders)
    Each.Asker.dropTokens();
  // Tokens of asks from before the pause have expired.
  for (auto &[Id, Ask] : SentAsks)
    Ask.SentAt = Ask.SentAt - QuotaAsker::TokenLifetime;
}

bool QuotaNode::suspected(const base::NodeId &Node, base::TimePoint Now) const {
  auto Found = Suspects.find(Node);
  return Found != Suspects.end() && Now < Found->second.Until;
}

bool QuotaNode::mayVote(base::TimePoint Now) const {
  return Now - ControlContact < IsolationTime;
}

std::uint64_t QuotaNode::request(const document::Customer &Customer,
                                 base::Millis MaxWait, QuotaTime Time) {
  checkSuspension(Time);
  std::uint64_t Id = NextId++;
  Sender &From = sender(Customer);
  From.Asker.add(Id, Time.Now + MaxWait, Time.Now);
  pump(From, Time.Now);
  return Id;
}

std::optional<std::pair<std::size_t, bool>>
QuotaNode::target(const Route &Path, base::TimePoint Now) const {
  std::vector<std::size_t> Order;
  for (bool Live : {true, false})
    for (std::size_t Position : Path.Group)
      if (Members[Position].Live == Live &&
          !suspected(Members[Position].Node, Now)) {
        if (Now < Path.HintUntil && Members[Position].Node == Path.Hint &&
            Path.Tried == 0)
          return std::pair(Position, false);
        Order.push_back(Position);
      }
  if (Order.empty()) {
    if (Path.Group.empty())
      return std::nullopt;
    return std::pair(Path.Group.front(), true);
  }
  std::size_t Index = Path.Tried % Order.size();
  return std::pair(Order[Index], Index == 0);
}

QuotaRequest &QuotaNode::messageTo(const base::NodeId &Node,
                                   const base::Address &Address) {
  Outgoing &Result = Outbox[Node];
  Result.To = Node;
  Result.Address = Address;
  return Result.Message;
}

void QuotaNode::ask(Sender &From, const QuotaAsker::Ask &Wanted,
                    base::TimePoint Now) {
  Route &Path = From.Routes[Wanted.Shard];
  auto To = target(Path, Now);
  if (!To) {
    From.Asker.onNoOwner(Wanted.Shard, QuotaAsker::MaxPause, Now);
    return;
  }
  const QuotaMember &Node = Members[To->first];
  QuotaAsk Message;
  Message.Id = NextId++;
  Message.Shard = {From.Limit.Name, Wanted.Shard};
  Message.Tokens = std::min(Wanted.Tokens, MaxQuotaTokens);
  Message.Claim = To->second;
  Message.MaxWait = Wanted.MaxWait;
  SentAsks[Message.Id] = {Message.Shard, Node.Node, Message.Tokens, Now};
  if (Node.Node == Self) {
    auto Owner = Owners.find(Message.Shard);
    QuotaTokens Answer{Message.Id, 0, false, QuotaAsker::MaxPause, {}};
    if (Owner != Owners.end())
      Answer = Owner->second->grant(Message, Now);
    onTokens(Self, Answer, Now);
    return;
  }
  bool First =
      !Path.Group.empty() && Members[Path.Group.front()].Node == Node.Node;
  ++(First || Node.Node == Path.Hint ? Totals.AsksOwner : Totals.AsksDeputy);
  messageTo(Node.Node, Node.Address).Asks.push_back(std::move(Message));
}

void QuotaNode::pump(Sender &From, base::TimePoint Now) {
  auto Decide = [&] {
    for (const QuotaAsker::Outcome &Each : From.Asker.decide(Now)) {
      ++(Each.Admitted ? Totals.Admitted : Totals.Refused);
      Decided.push_back({Each.Request, {Each.Admitted, Each.RetryAfter}});
    }
  };
  Decide();
  // A local answer may call for another ask at once; each shard pauses after
  // its group was asked, which ends the loop.
  while (auto Wanted = From.Asker.nextAsk(random(), Now))
    ask(From, *Wanted, Now);
  Decide();
}

void QuotaNode::onTokens(const base::NodeId &From, const QuotaTokens &Answer,
                         base::TimePoint Now) {
  auto Found = SentAsks.find(Answer.Id);
  if (Found == SentAsks.end() || Found->second.To != From)
    return;
  Sent Ask = Found->second;
  SentAsks.erase(Found);
  auto Of = Senders.find(Ask.Shard.Customer);
  if (Of == Senders.end())
    return;
  (Answer.Owner ? Totals.GrantedOwner : Totals.GrantedReserve) += Answer.Tokens;
  Of->second.Asker.addTokens(Answer.Tokens, Ask.SentAt);
  if (Ask.TimedOut || Ask.Shard.Index >= Of->second.Routes.size())
    return;
  Route &Path = Of->second.Routes[Ask.Shard.Index];
  QuotaAsker &Asker = Of->second.Asker;
  Asker.onAnswer(Ask.Shard.Index, Now);
  if (Answer.Owner) {
    Path = {std::move(Path.Group), From, Now + HintTime};
    if (Answer.Tokens < Ask.Tokens)
      Asker.onEmpty(Ask.Shard.Index, Answer.Tokens > 0, Answer.RetryAfter, Now);
    return;
  }
  if (Path.Hint == From)
    Path.HintUntil = Now;
  if (!Answer.OtherOwner.value().empty() && Answer.OtherOwner != From &&
      Path.Hops < MaxHops && !suspected(Answer.OtherOwner, Now)) {
    Path.Hint = Answer.OtherOwner;
    Path.HintUntil = Now + HintTime;
    Path.Tried = 0;
    ++Path.Hops;
  } else if (Answer.Tokens < Ask.Tokens && ++Path.Tried >= Path.Group.size()) {
    Path.Tried = 0;
    Path.Hops = 0;
    Asker.onNoOwner(Ask.Shard.Index, Answer.RetryAfter, Now);
  }
}

QuotaGrant QuotaNode::onRequest(const base::NodeId &From,
                                const QuotaRequest &Message, QuotaTime Time) {
  checkSuspension(Time);
  Suspects.erase(From);
  QuotaGrant Result;
  for (const QuotaAsk &Ask : Message.Asks) {
    auto Owner = Owners.find(Ask.Shard);
    if (Owner == Owners.end())
      Result.Tokens.push_back({Ask.Id, 0, false, QuotaAsker::MaxPause, {}});
    else
      Result.Tokens.push_back(Owner->second->grant(Ask, Time.Now));
  }
  for (const QuotaVoteRequest &Vote : Message.Votes) {
    auto Owner = Owners.find(Vote.Shard);
    if (Owner == Owners.end()) {
      if (!Vote.Release)
        Result.Votes.push_back({Vote.Sequence, Vote.Shard, false, {}});
      continue;
    }
    auto Reply = Owner->second->vote(From, Vote, mayVote(Time.Now), Time.Now);
    if (!Vote.Release)
      Result.Votes.push_back(std::move(Reply));
  }
  return Result;
}

void QuotaNode::onGrant(const base::NodeId &From, const QuotaGrant &Message,
                        QuotaTime Time) {
  std::set<base::CustomerName> Changed;
  for (const QuotaTokens &Answer : Message.Tokens) {
    auto Found = SentAsks.find(Answer.Id);
    if (Found == SentAsks.end() || Found->second.To != From)
      continue;
    if (Answer.Tokens > Found->second.Tokens)
      throw base::ProtocolError("more quota tokens granted than asked for");
    Changed.insert(Found->second.Shard.Customer);
  }
  checkSuspension(Time);
  Suspects.erase(From);
  for (const QuotaTokens &Answer : Message.Tokens)
    onTokens(From, Answer, Time.Now);
  for (const QuotaVoteReply &Reply : Message.Votes) {
    auto Owner = Owners.find(Reply.Shard);
    if (Owner != Owners.end())
      Owner->second->onVote(From, Reply, Time.Now);
  }
  for (const base::CustomerName &Name : Changed)
    if (auto Of = Senders.find(Name); Of != Senders.end())
      pump(Of->second, Time.Now);
}

void QuotaNode::checkTimeouts(base::TimePoint Now) {
  std::erase_if(SentAsks, [&](const auto &Entry) {
    return Entry.second.TimedOut &&
           Now - Entry.second.SentAt >= QuotaAsker::TokenLifetime;
  });
  std::set<base::NodeId> Lost;
  for (auto &[Id, Ask] : SentAsks) {
    if (Ask.TimedOut || Now - Ask.SentAt < AnswerTimeout)
      continue;
    Ask.TimedOut = true;
    ++Totals.Timeouts;
    Lost.insert(Ask.To);
    auto Of = Senders.find(Ask.Shard.Customer);
    if (Of == Senders.end() || Ask.Shard.Index >= Of->second.Routes.size())
      continue;
    Of->second.Routes[Ask.Shard.Index].Hops = 0;
    Of->second.Asker.onAnswer(Ask.Shard.Index, Now);
  }
  for (const base::NodeId &Node : Lost) {
    Suspicion &Entry = Suspects[Node];
    Entry.Until = Now + SuspectTime * (std::int64_t{1} << Entry.Losses);
    Entry.Losses = std::min(Entry.Losses + 1, MaxLosses);
  }
}

void QuotaNode::sendVotes(const QuotaOwner::Outgoing &Votes,
                          base::TimePoint Now) {
  for (const auto &[To, Vote] : Votes) {
    if (To == Self) {
      auto &Owner = *Owners.at(Vote.Shard);
      auto Reply = Owner.vote(Self, Vote, mayVote(Now), Now);
      if (!Vote.Release)
        Owner.onVote(Self, Reply, Now);
      continue;
    }
    auto Address = Addresses.find(To);
    if (Address != Addresses.end())
      messageTo(To, Address->second).Votes.push_back(Vote);
  }
}

void QuotaNode::advance(QuotaTime Time) {
  checkSuspension(Time);
  checkTimeouts(Time.Now);
  for (auto &[Shard, Owner] : Owners)
    sendVotes(Owner->advance(Sequence, random(), Time.Now), Time.Now);
  for (auto &[Name, Each] : Senders)
    if (Each.Asker.waiting() > 0)
      pump(Each, Time.Now);
}

base::TimePoint QuotaNode::wakeTime(base::TimePoint Now) const {
  if (std::ranges::any_of(Senders, [](const auto &Entry) {
        return Entry.second.Asker.waiting() > 0;
      }))
    return Now + WaitingWake;
  return Now + (Customers.empty() ? UnusedWake : IdleWake);
}

namespace {

/// Moves at most `MaxQuotaItems` from the end of `From`.
template <typename Item> std::vector<Item> takeItems(std::vector<Item> &From) {
  std::size_t Count = std::min(From.size(), MaxQuotaItems);
  auto First = From.end() - static_cast<std::ptrdiff_t>(Count);
  std::vector<Item> Taken(std::make_move_iterator(First),
                          std::make_move_iterator(From.end()));
  From.erase(First, From.end());
  return Taken;
}

} // namespace

std::vector<QuotaNode::Outgoing> QuotaNode::takeMessages() {
  std::vector<Outgoing> Result;
  for (auto &[To, Message] : std::exchange(Outbox, {})) {
    QuotaRequest Rest = std::move(Message.Message);
    while (!Rest.empty())
      Result.push_back(
          {Message.To, Message.Address,
           QuotaRequest{takeItems(Rest.Asks), takeItems(Rest.Votes)}});
  }
  return Result;
}

std::vector<QuotaNode::Decision> QuotaNode::takeDecisions() {
  return std::exchange(Decided, {});
}

QuotaCounts QuotaNode::counts(base::TimePoint Now) {
  QuotaCounts Result = Totals;
  for (auto &[Shard, Owner] : Owners)
    Result.Owned += Owner->owns(Now) ? 1 : 0;
  for (const auto &[Name, Each] : Senders)
    Result.Tokens += Each.Asker.tokens(Now);
  return Result;
}

QuotaNode::CustomerState QuotaNode::state(const base::CustomerName &Customer,
                                          base::TimePoint Now) const {
  auto Found = Senders.find(Customer);
  if (Found == Senders.end())
    return {};
  const QuotaAsker &Asker = Found->second.Asker;
  return {Asker.tokens(Now), Asker.tokenAge(Now), Asker.waiting()};
}

} // namespace amaranth::dataplane
