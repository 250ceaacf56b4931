#include "amaranth/dataplane/QuotaMessages.h"

#include "amaranth/protocol/Frame.h"
#include "quota_generated.h"

namespace amaranth::dataplane {

namespace {

namespace wire = protocol::wire;

constexpr std::int64_t MaxWaitMs = 60'000;
/// `QuotaBucket::timeUntil` returns one hour at most.
constexpr std::int64_t MaxRetryAfterMs = 3'600'000;

void require(bool Condition, const char *Message) {
  if (!Condition)
    throw base::ProtocolError(Message);
}

base::Millis readTime(std::int64_t Value, std::int64_t Max) {
  require(Value >= 0 && Value <= Max, "quota message with an invalid time");
  return base::Millis(Value);
}

std::uint32_t readTokens(std::uint32_t Value, std::uint32_t Min) {
  require(Value >= Min && Value <= MaxQuotaTokens,
          "quota message with an invalid number of tokens");
  return Value;
}

template <typename Table> QuotaShard readShard(const Table &In) {
  require(In.customer()->size() > 0 &&
              In.customer()->size() <= MaxQuotaNameBytes,
          "quota message with an invalid customer");
  require(In.shard() < MaxQuotaShards, "quota message with an invalid shard");
  return {base::CustomerName(In.customer()->str()), In.shard()};
}

base::NodeId readNode(const flatbuffers::String *Name) {
  if (!Name)
    return {};
  require(Name->size() <= MaxQuotaNameBytes,
          "quota message with an invalid node");
  return base::NodeId(Name->str());
}

template <typename Vector> std::size_t sizeOf(const Vector *Items) {
  std::size_t Size = Items ? Items->size() : 0;
  require(Size <= MaxQuotaItems, "quota message with too many items");
  return Size;
}

flatbuffers::Offset<flatbuffers::String>
writeNode(flatbuffers::FlatBufferBuilder &Builder, const base::NodeId &Node) {
  if (Node.value().empty())
    return 0;
  return Builder.CreateString(Node.value());
}

} // namespace

base::Bytes encode(const QuotaRequest &Value) {
  flatbuffers::FlatBufferBuilder Builder;
  std::vector<flatbuffers::Offset<wire::QuotaAsk>> Asks;
  for (const QuotaAsk &Ask : Value.Asks)
    Asks.push_back(wire::CreateQuotaAsk(
        Builder, Ask.Id, Builder.CreateSharedString(Ask.Shard.Customer.value()),
        Ask.Shard.Index, Ask.Tokens, Ask.Claim, Ask.MaxWait.count()));
  std::vector<flatbuffers::Offset<wire::QuotaVoteRequest>> Votes;
  for (const QuotaVoteRequest &Vote : Value.Votes)
    Votes.push_back(wire::CreateQuotaVoteRequest(
        Builder, Vote.Sequence,
        Builder.CreateSharedString(Vote.Shard.Customer.value()),
        Vote.Shard.Index, Vote.Release));
  // Empty vectors are left out: most messages have one kind of item.
  auto AskItems = Asks.empty() ? 0 : Builder.CreateVector(Asks);
  auto VoteItems = Votes.empty() ? 0 : Builder.CreateVector(Votes);
  Builder.Finish(wire::CreateQuotaRequest(Builder, AskItems, VoteItems));
  return protocol::takeBuffer(Builder);
}

base::Bytes encode(const QuotaGrant &Value) {
  flatbuffers::FlatBufferBuilder Builder;
  std::vector<flatbuffers::Offset<wire::QuotaTokens>> Tokens;
  for (const QuotaTokens &Item : Value.Tokens) {
    auto Other = writeNode(Builder, Item.OtherOwner);
    Tokens.push_back(wire::CreateQuotaTokens(Builder, Item.Id, Item.Tokens,
                                             Item.Owner,
                                             Item.RetryAfter.count(), Other));
  }
  std::vector<flatbuffers::Offset<wire::QuotaVoteReply>> Votes;
  for (const QuotaVoteReply &Vote : Value.Votes) {
    auto Contender = writeNode(Builder, Vote.Contender);
    Votes.push_back(wire::CreateQuotaVoteReply(
        Builder, Vote.Sequence,
        Builder.CreateSharedString(Vote.Shard.Customer.value()),
        Vote.Shard.Index, Vote.Granted, Contender));
  }
  auto TokenItems = Tokens.empty() ? 0 : Builder.CreateVector(Tokens);
  auto VoteItems = Votes.empty() ? 0 : Builder.CreateVector(Votes);
  Builder.Finish(wire::CreateQuotaGrant(Builder, TokenItems, VoteItems));
  return protocol::takeBuffer(Builder);
}

QuotaRequest decodeQuotaRequest(base::ByteView Payload) {
  const auto &In = protocol::readTable<wire::QuotaRequest>(Payload);
  QuotaRequest Value;
  if (sizeOf(In.asks()) > 0)
    for (const wire::QuotaAsk *Ask : *In.asks())
      Value.Asks.push_back({Ask->id(), readShard(*Ask),
                            readTokens(Ask->tokens(), 1), Ask->claim(),
                            readTime(Ask->max_wait_ms(), MaxWaitMs)});
  if (sizeOf(In.votes()) > 0)
    for (const wire::QuotaVoteRequest *Vote : *In.votes())
      Value.Votes.push_back(
          {Vote->sequence(), readShard(*Vote), Vote->release()});
  return Value;
}

QuotaGrant decodeQuotaGrant(base::ByteView Payload) {
  const auto &In = protocol::readTable<wire::QuotaGrant>(Payload);
  QuotaGrant Value;
  if (sizeOf(In.tokens()) > 0)
    for (const wire::QuotaTokens *Item : *In.tokens())
      Value.Tokens.push_back({Item->id(), readTokens(Item->tokens(), 0),
                              Item->owner(),
                              readTime(Item->retry_after_ms(), MaxRetryAfterMs),
                              readNode(Item->other_owner())});
  if (sizeOf(In.votes()) > 0)
    for (const wire::QuotaVoteReply *Vote : *In.votes())
      Value.Votes.push_back({Vote->sequence(), readShard(*Vote),
                             Vote->granted(), readNode(Vote->contender())});
  return Value;
}

} // namespace amaranth::dataplane
