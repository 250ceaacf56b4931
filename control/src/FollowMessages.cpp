#include "amaranth/control/FollowMessages.h"

#include "amaranth/protocol/Compression.h"
#include "follow_generated.h"

#include <fmt/format.h>

namespace amaranth::control {

namespace wire = protocol::wire;
using Builder = flatbuffers::FlatBufferBuilder;
using protocol::readTable;

namespace {

template <typename Root>
base::Bytes finishBuffer(Builder &Out, flatbuffers::Offset<Root> Table) {
  Out.Finish(Table);
  return protocol::takeBuffer(Out);
}

template <typename Container>
void checkCount(const Container &Entries, std::size_t Limit) {
  if (Entries.size() > Limit)
    throw base::ProtocolError(fmt::format(
        "message has {} entries; the limit is {}", Entries.size(), Limit));
}

using EvidenceOffsets = std::vector<flatbuffers::Offset<wire::EvidenceEntry>>;

EvidenceOffsets writeEvidence(Builder &Out,
                              const rollout::EvidenceReport &Value) {
  EvidenceOffsets Written;
  for (const auto &[Key, Counts] : Value.Counts) {
    std::vector<std::uint8_t> Buckets;
    std::vector<std::uint64_t> BucketCounts;
    for (std::size_t I = 0; I < rollout::LatencyBuckets; ++I) {
      if (Counts.Latency[I] == 0)
        continue;
      Buckets.push_back(static_cast<std::uint8_t>(I));
      BucketCounts.push_back(Counts.Latency[I]);
    }
    auto Service = Out.CreateSharedString(Key.Service.value());
    auto Version = Out.CreateSharedString(Key.Version.value());
    auto Route = Out.CreateSharedString(Key.Route.value());
    auto BucketVector = Out.CreateVector(Buckets);
    auto BucketCountVector = Out.CreateVector(BucketCounts);
    Written.push_back(wire::CreateEvidenceEntry(
        Out, Service, Version, Route, Counts.Requests, Counts.Errors,
        BucketVector, BucketCountVector));
  }
  return Written;
}

rollout::EvidenceCounts readCounts(const wire::EvidenceEntry &In) {
  rollout::EvidenceCounts Counts;
  Counts.Requests = In.requests();
  Counts.Errors = In.errors();
  if (In.buckets()->size() != In.counts()->size())
    throw base::ProtocolError("evidence histogram vectors differ in length");
  for (flatbuffers::uoffset_t I = 0; I < In.buckets()->size(); ++I) {
    std::size_t Bucket = In.buckets()->Get(I);
    if (Bucket >= rollout::LatencyBuckets)
      throw base::ProtocolError(
          "evidence histogram has an unknown latency bucket");
    Counts.Latency[Bucket] += In.counts()->Get(I);
  }
  return Counts;
}

template <typename Entries>
rollout::EvidenceReport readEvidence(const Entries &In) {
  checkCount(In, MaxEvidenceEntries);
  rollout::EvidenceReport Value;
  for (const wire::EvidenceEntry *Entry : In) {
    rollout::EvidenceKey Key{base::ServiceName(Entry->service()->str()),
                             base::VersionName(Entry->version()->str()),
                             base::RouteName(Entry->route()->str())};
    Value.Counts[Key] += readCounts(*Entry);
  }
  return Value;
}

template <typename Range>
std::vector<flatbuffers::Offset<flatbuffers::String>>
writeNames(Builder &Out, const Range &Names) {
  std::vector<flatbuffers::Offset<flatbuffers::String>> Written;
  Written.reserve(Names.size());
  for (const auto &Name : Names)
    Written.push_back(Out.CreateString(Name.value()));
  return Written;
}

base::Bytes toBytes(const flatbuffers::Vector<std::uint8_t> &In) {
  return {In.begin(), In.end()};
}

} // namespace

void mergeEvidence(rollout::EvidenceReport &Total,
                   const rollout::EvidenceReport &Report) {
  for (const auto &[Key, Counts] : Report.Counts)
    if (Total.Counts.size() < MaxCollectedEvidence ||
        Total.Counts.contains(Key))
      Total.Counts[Key] += Counts;
}

std::vector<rollout::EvidenceReport>
splitEvidence(const rollout::EvidenceReport &Report) {
  std::vector<rollout::EvidenceReport> Parts;
  for (const auto &[Key, Counts] : Report.Counts) {
    if (Parts.empty() || Parts.back().Counts.size() == MaxEvidenceEntries)
      Parts.emplace_back();
    Parts.back().Counts.emplace(Key, Counts);
  }
  return Parts;
}

base::Bytes encode(const Subscribe &Value) {
  Builder Out;
  auto Names = writeNames(Out, Value.Services);
  auto Services = Out.CreateVector(Names);
  return finishBuffer(
      Out, wire::CreateSubscribe(Out, Value.Document.value(),
                                 Value.State.value(), Value.Digest, Value.Fresh,
                                 Services, Value.AcceptsCompressed));
}

base::Bytes encode(const CompressedUpdate &Value) {
  Builder Out;
  auto Data = Out.CreateVector(protocol::compress(Value.Payload));
  return finishBuffer(Out, wire::CreateCompressedUpdate(
                               Out, static_cast<std::uint16_t>(Value.Type),
                               static_cast<std::uint32_t>(Value.Payload.size()),
                               Data));
}

CompressedUpdate decodeCompressedUpdate(base::ByteView Data) {
  const auto &In = readTable<wire::CompressedUpdate>(Data);
  CompressedUpdate Value;
  Value.Type = static_cast<protocol::MessageType>(In.type());
  if (Value.Type != protocol::MessageType::Snapshot &&
      Value.Type != protocol::MessageType::Delta)
    throw base::ProtocolError(
        fmt::format("compressed message of type {}", In.type()));
  Value.Payload =
      protocol::decompress({In.data()->data(), In.data()->size()}, In.size());
  return Value;
}

Subscribe decodeSubscribe(base::ByteView Data) {
  const auto &In = readTable<wire::Subscribe>(Data);
  Subscribe Value;
  Value.Document = base::DocumentVersion(In.document());
  Value.State = base::StateIndex(In.state());
  Value.Digest = In.digest();
  Value.Fresh = In.fresh();
  Value.AcceptsCompressed = In.accepts_compressed();
  if (!In.services())
    return Value;
  checkCount(*In.services(), MaxSubscribedServices);
  for (const auto *Name : *In.services())
    Value.Services.emplace(Name->str());
  return Value;
}

base::Bytes encode(const Acknowledge &Value) {
  Builder Out;
  return finishBuffer(Out, wire::CreateAcknowledge(Out, Value.Document.value(),
                                                   Value.State.value()));
}

Acknowledge decodeAcknowledge(base::ByteView Data) {
  const auto &In = readTable<wire::Acknowledge>(Data);
  return {base::DocumentVersion(In.document()), base::StateIndex(In.state())};
}

base::Bytes encode(const ApplyFailure &Value) {
  Builder Out;
  auto Reason = Out.CreateString(Value.Reason);
  return finishBuffer(
      Out, wire::CreateApplyFailure(Out, Value.State.value(), Reason));
}

ApplyFailure decodeApplyFailure(base::ByteView Data) {
  const auto &In = readTable<wire::ApplyFailure>(Data);
  return {base::StateIndex(In.state()), In.reason()->str()};
}

base::Bytes encode(const RetryAfter &Value) {
  Builder Out;
  return finishBuffer(Out, wire::CreateRetryAfter(Out, Value.Delay.count()));
}

RetryAfter decodeRetryAfter(base::ByteView Data) {
  return {base::Millis(readTable<wire::RetryAfter>(Data).delay_ms())};
}

base::Bytes encode(const Currency &Value) {
  Builder Out;
  flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>
      Controls;
  if (!Value.Controls.empty())
    Controls = Out.CreateVectorOfStrings(Value.Controls);
  return finishBuffer(Out, wire::CreateCurrency(Out, Value.Applied.value(),
                                                Value.SinceCurrent.count(),
                                                Controls));
}

Currency decodeCurrency(base::ByteView Data) {
  const auto &In = readTable<wire::Currency>(Data);
  Currency Value{base::LogIndex(In.applied_index()),
                 base::Millis(In.since_current_ms()),
                 {}};
  if (!In.controls())
    return Value;
  checkCount(*In.controls(), MaxControlAddresses);
  for (const auto *Address : *In.controls())
    Value.Controls.push_back(Address->str());
  return Value;
}

base::Bytes encode(const EndpointResult &Value) {
  Builder Out;
  auto Id = Out.CreateString(Value.Id.value());
  auto Reason = Out.CreateString(Value.Reason);
  return finishBuffer(Out, wire::CreateEndpointResult(
                               Out, Id, Value.Incarnation, Value.Sequence,
                               Value.Committed, Value.Retry,
                               Value.Applied.value(), Reason));
}

EndpointResult decodeEndpointResult(base::ByteView Data) {
  const auto &In = readTable<wire::EndpointResult>(Data);
  EndpointResult Value;
  Value.Id = base::EndpointId(In.id()->str());
  Value.Incarnation = In.incarnation();
  Value.Sequence = In.sequence();
  Value.Committed = In.committed();
  Value.Retry = In.retry();
  Value.Applied = base::LogIndex(In.applied_index());
  if (In.reason())
    Value.Reason = In.reason()->str();
  return Value;
}

base::Bytes encode(const CallRequest &Value) {
  Builder Out;
  auto Command = Out.CreateVector(Value.Command);
  return finishBuffer(
      Out, wire::CreateCallRequest(Out, Value.Timeout.count(), Command));
}

CallRequest decodeCallRequest(base::ByteView Data) {
  const auto &In = readTable<wire::CallRequest>(Data);
  return {base::Millis(In.timeout_ms()), toBytes(*In.command())};
}

base::Bytes encode(const CallReply &Value) {
  Builder Out;
  auto Result = Out.CreateVector(Value.Result);
  auto Reason = Out.CreateString(Value.Reason);
  auto Status = static_cast<wire::CallStatus>(Value.Status);
  return finishBuffer(Out, wire::CreateCallReply(Out, Status, Result, Reason));
}

CallReply decodeCallReply(base::ByteView Data) {
  const auto &In = readTable<wire::CallReply>(Data);
  if (In.status() < wire::CallStatus::Done ||
      In.status() > wire::CallStatus::Unknown)
    throw base::ProtocolError("call reply has an unknown status");
  CallReply Value;
  Value.Status = static_cast<CallStatus>(In.status());
  if (In.result())
    Value.Result = toBytes(*In.result());
  if (In.reason())
    Value.Reason = In.reason()->str();
  return Value;
}

base::Bytes encode(const rollout::EvidenceReport &Value) {
  Builder Out;
  auto Written = writeEvidence(Out, Value);
  auto Entries = Out.CreateVector(Written);
  return finishBuffer(Out, wire::CreateEvidenceReport(Out, Entries));
}

rollout::EvidenceReport decodeEvidenceReport(base::ByteView Data) {
  return readEvidence(*readTable<wire::EvidenceReport>(Data).entries());
}

base::Bytes encode(const LeaderReport &Value) {
  Builder Out;
  auto Names = writeNames(Out, Value.Nodes);
  auto Nodes = Out.CreateVector(Names);
  auto Written = writeEvidence(Out, Value.Evidence);
  auto Entries = Out.CreateVector(Written);
  return finishBuffer(Out, wire::CreateLeaderReport(Out, Nodes, Entries));
}

LeaderReport decodeLeaderReport(base::ByteView Data) {
  const auto &In = readTable<wire::LeaderReport>(Data);
  checkCount(*In.nodes(), MaxReportedNodes);
  LeaderReport Value;
  for (const auto *Name : *In.nodes())
    Value.Nodes.emplace_back(Name->str());
  Value.Evidence = readEvidence(*In.entries());
  return Value;
}

} // namespace amaranth::control
