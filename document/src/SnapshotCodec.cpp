#include "amaranth/document/SnapshotCodec.h"

#include "amaranth/base/Digest.h"
#include "amaranth/protocol/Frame.h"
#include "follow_generated.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace amaranth::document {

namespace wire = protocol::wire;
using Builder = flatbuffers::FlatBufferBuilder;

namespace {

constexpr std::size_t KeyDigestBytes = std::tuple_size_v<KeyDigest>;

template <typename Entries>
using Offsets = std::vector<flatbuffers::Offset<Entries>>;

flatbuffers::Offset<wire::Route> write(Builder &Out, const Route &Value) {
  auto Name = Out.CreateString(Value.Name.value());
  auto Prefix = Out.CreateString(Value.PathPrefix);
  auto Target = Out.CreateSharedString(Value.Service.value());
  auto Host = Out.CreateSharedString(Value.Host);
  Offsets<wire::WeightedService> Parts;
  for (const WeightedService &Part : Value.Split)
    Parts.push_back(wire::CreateWeightedService(
        Out, Out.CreateSharedString(Part.Service.value()), Part.Weight));
  auto Split = Out.CreateVector(Parts);
  return wire::CreateRoute(Out, Name, Prefix, Target, Value.Timeout.count(),
                           Value.RequireIdempotencyKey, Host,
                           static_cast<std::uint8_t>(Value.Kind),
                           Value.Objective.count(), Value.Priority,
                           Value.MaxAttempts, Split, Value.Public);
}

flatbuffers::Offset<wire::CallerLimits> write(Builder &Out,
                                              const CallerLimits &Value) {
  return wire::CreateCallerLimits(Out, Value.MaxHeaderBytes, Value.MaxBodyBytes,
                                  Value.HeaderTimeout.count(),
                                  Value.IdleTimeout.count());
}

flatbuffers::Offset<wire::Service> write(Builder &Out, const Service &Value) {
  Offsets<wire::VersionShare> Versions;
  for (const VersionShare &Entry : Value.Versions)
    Versions.push_back(wire::CreateVersionShare(
        Out, Out.CreateSharedString(Entry.Version.value()), Entry.Share,
        Entry.Barred));
  flatbuffers::Offset<wire::ActiveRollout> Rollout;
  if (Value.HasRollout) {
    const ActiveRollout &Active = Value.Rollout;
    auto From = Out.CreateSharedString(Active.From.value());
    auto To = Out.CreateSharedString(Active.To.value());
    Rollout = wire::CreateActiveRollout(Out, From, To, Active.Section.value(),
                                        Active.Epoch, Active.MaxErrorIncrease,
                                        Active.MaxLatencyRatio);
  }
  auto Name = Out.CreateSharedString(Value.Name.value());
  auto Health = Out.CreateSharedString(Value.HealthPath);
  return wire::CreateService(Out, Name, Out.CreateVector(Versions), Rollout,
                             Health, Value.MaxConnections,
                             Value.ColdPeriod.count(),
                             Value.ColdRequestsPerSecond);
}

flatbuffers::Offset<wire::Endpoint> write(Builder &Out, const Endpoint &Value) {
  auto Id = Out.CreateString(Value.Id.value());
  auto Node = Out.CreateString(Value.Node.value());
  auto Ip = Out.CreateSharedString(Value.NodeAddress.Ip);
  auto Target = Out.CreateSharedString(Value.Service.value());
  auto Version = Out.CreateSharedString(Value.Version.value());
  auto Zone = Out.CreateSharedString(Value.Zone.value());
  return wire::CreateEndpoint(
      Out, Id, Node, Ip, Value.NodeAddress.Port, Target, Version, Zone,
      Value.Slots, static_cast<std::uint8_t>(Value.State), Value.Incarnation,
      Value.Sequence, Value.ReadySince, Value.UpstreamIncarnation,
      Value.UpstreamLeft);
}

flatbuffers::Offset<wire::QuarantineEntry> write(Builder &Out,
                                                 const QuarantineEntry &Value) {
  auto Target = Out.CreateSharedString(Value.Service.value());
  return wire::CreateQuarantineEntry(Out, Value.Fingerprint, Target,
                                     Value.Convicted, Value.Until.count());
}

flatbuffers::Offset<wire::Customer> write(Builder &Out, const Customer &Value) {
  auto Name = Out.CreateString(Value.Name.value());
  flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> Keys;
  if (!Value.Keys.empty()) {
    std::uint8_t *Next = nullptr;
    Keys = Out.CreateUninitializedVector(Value.Keys.size() * KeyDigestBytes,
                                         &Next);
    for (const KeyDigest &Key : Value.Keys)
      Next = std::copy(Key.begin(), Key.end(), Next);
  }
  return wire::CreateCustomer(Out, Name, Keys, Value.Priority,
                              Value.RequestsPerSecond, Value.Burst);
}

std::string textOf(const flatbuffers::String *Text) {
  return Text ? Text->str() : std::string();
}

Route read(const wire::Route &In) {
  if (In.kind() > static_cast<std::uint8_t>(RequestKind::Download))
    throw base::ProtocolError(fmt::format("route {} has unknown kind {}",
                                          In.name()->str(), In.kind()));
  Route Value{base::RouteName(In.name()->str()), In.path_prefix()->str(),
              base::ServiceName(In.service()->str()),
              base::Millis(In.timeout_ms()), In.require_idempotency_key()};
  Value.Host = textOf(In.host());
  Value.Kind = static_cast<RequestKind>(In.kind());
  Value.Objective = base::Millis(In.objective_ms());
  Value.Priority = In.priority();
  Value.MaxAttempts = In.max_attempts();
  Value.Public = In.public_();
  if (In.split())
    for (const wire::WeightedService *Part : *In.split())
      Value.Split.push_back(
          {base::ServiceName(Part->service()->str()), Part->weight()});
  return Value;
}

CallerLimits readLimits(const wire::CallerLimits *In) {
  if (!In)
    return {};
  return {In->max_header_bytes(), In->max_body_bytes(),
          base::Millis(In->header_timeout_ms()),
          base::Millis(In->idle_timeout_ms())};
}

bool isRate(double Value) { return std::isfinite(Value) && Value >= 0; }

Service read(const wire::Service &In) {
  Service Value;
  Value.Name = base::ServiceName(In.name()->str());
  for (const wire::VersionShare *Entry : *In.versions())
    Value.Versions.push_back({base::VersionName(Entry->version()->str()),
                              Entry->share(), Entry->barred()});
  const wire::ActiveRollout *Rollout = In.rollout();
  Value.HasRollout = Rollout != nullptr;
  if (Rollout)
    Value.Rollout = {base::VersionName(Rollout->from()->str()),
                     base::VersionName(Rollout->to()->str()),
                     base::Revision(Rollout->section()),
                     Rollout->epoch(),
                     Rollout->max_error_increase(),
                     Rollout->max_latency_ratio()};
  Value.HealthPath = textOf(In.health_path());
  Value.MaxConnections = In.max_connections();
  Value.ColdPeriod = base::Millis(In.cold_period_ms());
  Value.ColdRequestsPerSecond = In.cold_requests_per_second();
  if (Value.ColdPeriod < base::Millis(0) ||
      !isRate(Value.ColdRequestsPerSecond))
    throw base::ProtocolError(fmt::format(
        "service {} has an invalid cold period or rate", Value.Name.value()));
  return Value;
}

Endpoint read(const wire::Endpoint &In) {
  if (In.state() < static_cast<std::uint8_t>(EndpointState::Starting) ||
      In.state() > static_cast<std::uint8_t>(EndpointState::Unreachable))
    throw base::ProtocolError(fmt::format("endpoint {} has unknown state {}",
                                          In.id()->str(), In.state()));
  Endpoint Value;
  Value.Id = base::EndpointId(In.id()->str());
  Value.Node = base::NodeId(In.node()->str());
  Value.NodeAddress = {In.ip()->str(), In.port()};
  Value.Service = base::ServiceName(In.service()->str());
  Value.Version = base::VersionName(In.version()->str());
  Value.Zone = base::AvailabilityZone(In.availability_zone()->str());
  Value.Slots = In.slots();
  Value.State = static_cast<EndpointState>(In.state());
  Value.Incarnation = In.incarnation();
  Value.Sequence = In.sequence();
  Value.ReadySince = In.ready_since();
  return Value;
}

QuarantineEntry read(const wire::QuarantineEntry &In) {
  return {In.fingerprint(), base::ServiceName(In.service()->str()),
          In.convicted(), base::WallTime(In.until())};
}

Customer read(const wire::Customer &In) {
  Customer Value;
  Value.Name = base::CustomerName(In.name()->str());
  if (const auto *Keys = In.key_digests()) {
    if (Keys->size() % KeyDigestBytes != 0)
      throw base::ProtocolError(
          fmt::format("customer {} has {} bytes of key digests, expected a "
                      "multiple of {}",
                      Value.Name.value(), Keys->size(), KeyDigestBytes));
    Value.Keys.resize(Keys->size() / KeyDigestBytes);
    const std::uint8_t *Next = Keys->data();
    for (KeyDigest &Key : Value.Keys) {
      std::copy_n(Next, KeyDigestBytes, Key.begin());
      Next += KeyDigestBytes;
    }
  }
  Value.Priority = In.priority();
  Value.RequestsPerSecond = In.requests_per_second();
  Value.Burst = In.burst();
  if (!isRate(Value.RequestsPerSecond) || !isRate(Value.Burst))
    throw base::ProtocolError(
        fmt::format("customer {} has an invalid limit", Value.Name.value()));
  return Value;
}

template <typename Container> void checkCount(const Container *Entries) {
  if (Entries && Entries->size() > MaxSnapshotEntries)
    throw base::ProtocolError(fmt::format("{} entries, the limit is {}",
                                          Entries->size(), MaxSnapshotEntries));
}

/// Encodes the values of a map or vector as a vector of tables.
template <typename Wire, typename Key, typename Value>
auto writeAll(Builder &Out, const SharedMap<Key, Value> &Entries) {
  Offsets<Wire> Written;
  for (const auto &[Name, Entry] : Entries)
    Written.push_back(write(Out, Entry));
  return Out.CreateVector(Written);
}

template <typename Wire, typename Value>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Wire>>>
writeAll(Builder &Out, const std::vector<Value> &Entries) {
  if (Entries.empty())
    return 0;
  Offsets<Wire> Written;
  for (const Value &Entry : Entries)
    Written.push_back(write(Out, Entry));
  return Out.CreateVector(Written);
}

/// `Names` is a container of strong ids.
template <typename Names>
flatbuffers::Offset<
    flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>
writeNames(Builder &Out, const Names &Values) {
  if (Values.empty())
    return 0;
  Offsets<flatbuffers::String> Written;
  for (const auto &Name : Values)
    Written.push_back(Out.CreateString(Name.value()));
  return Out.CreateVector(Written);
}

template <typename Wire, typename Value>
void readAll(const Wire *In, std::vector<Value> &Into) {
  checkCount(In);
  if (!In)
    return;
  for (const auto *Entry : *In)
    Into.push_back(read(*Entry));
}

template <typename Wire, typename Id>
void readNames(const Wire *In, std::vector<Id> &Into) {
  checkCount(In);
  if (!In)
    return;
  for (const auto *Name : *In)
    Into.emplace_back(Name->str());
}

std::set<base::AvailabilityZone> readZones(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *In) {
  std::vector<base::AvailabilityZone> Names;
  readNames(In, Names);
  return {Names.begin(), Names.end()};
}

/// Decodes entries into a map; throws if a key is repeated.
template <typename Wire, typename Key, typename Value, typename KeyOf>
void readMap(const Wire *In, SharedMap<Key, Value> &Into, KeyOf EntryKey) {
  checkCount(In);
  if (!In)
    return;
  auto &Entries = Into.edit();
  for (const auto *Entry : *In) {
    Value Decoded = read(*Entry);
    Key Id = EntryKey(Decoded);
    if (!Entries.emplace(std::move(Id), std::move(Decoded)).second)
      throw base::ProtocolError("snapshot contains a duplicate entry");
  }
}

const auto NameOf = [](const auto &Entry) { return Entry.Name; };
const auto IdOf = [](const Endpoint &Entry) { return Entry.Id; };
const auto FingerprintOf = [](const QuarantineEntry &Entry) {
  return Entry.Fingerprint;
};

/// Checksum of the versions in a header. The content digest does not cover the
/// state index. Without this checksum a node could accept a corrupted index
/// that is too high and would then reject every later update as outdated.
std::uint64_t hashNumbers(std::initializer_list<std::uint64_t> Numbers) {
  base::Bytes Buffer;
  for (std::uint64_t Number : Numbers)
    for (unsigned Shift = 0; Shift < 64; Shift += 8)
      Buffer.push_back(static_cast<std::uint8_t>(Number >> Shift));
  return base::hash64(Buffer);
}

std::uint64_t deltaChecksum(const MeshDelta &Value) {
  return hashNumbers({Value.FromDocument.value(), Value.FromState.value(),
                      Value.ToDocument.value(), Value.ToState.value(),
                      Value.Digest});
}

} // namespace

base::Bytes encodeSnapshot(const MeshSnapshot &Value, std::uint64_t Digest) {
  Builder Out;
  auto Routes = writeAll<wire::Route>(Out, Value.Routes);
  auto Services = writeAll<wire::Service>(Out, Value.Services);
  auto Endpoints = writeAll<wire::Endpoint>(Out, Value.Endpoints);
  auto Quarantine = writeAll<wire::QuarantineEntry>(Out, Value.Quarantine);
  auto Limits = write(Out, Value.Limits);
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::Customer>>>
      Customers;
  if (!Value.Customers.empty())
    Customers = writeAll<wire::Customer>(Out, Value.Customers);
  auto Zones = writeNames(Out, Value.EvacuatedZones);
  std::uint64_t Checksum =
      hashNumbers({Value.Document.value(), Value.State.value(), Digest});
  Out.Finish(wire::CreateSnapshot(
      Out, Value.Document.value(), Value.State.value(), Digest, Checksum,
      Routes, Services, Endpoints, Quarantine, Limits, Customers, Zones));
  return protocol::takeBuffer(Out);
}

std::shared_ptr<const MeshSnapshot> decodeSnapshot(base::ByteView Data) {
  if (Data.size() > MaxSnapshotBytes)
    throw base::ProtocolError(
        fmt::format("snapshot has {} bytes, the limit is {}", Data.size(),
                    MaxSnapshotBytes));
  const auto &In = protocol::readTable<wire::Snapshot>(Data);
  if (In.check() != hashNumbers({In.document(), In.state(), In.digest()}))
    throw base::ProtocolError(
        "checksum mismatch in the versions of a snapshot");
  auto Value = std::make_shared<MeshSnapshot>();
  Value->Document = base::DocumentVersion(In.document());
  Value->State = base::StateIndex(In.state());
  readMap(In.routes(), Value->Routes, NameOf);
  readMap(In.services(), Value->Services, NameOf);
  readMap(In.endpoints(), Value->Endpoints, IdOf);
  readMap(In.quarantine(), Value->Quarantine, FingerprintOf);
  readMap(In.customers(), Value->Customers, NameOf);
  Value->EvacuatedZones = readZones(In.evacuated_zones());
  Value->Limits = readLimits(In.limits());
  if (Value->digest() != In.digest())
    throw base::ProtocolError(
        fmt::format("digest mismatch in the snapshot of state {}", In.state()));
  return Value;
}

base::Bytes encodeDelta(const MeshDelta &Value) {
  Builder Out;
  auto Routes = writeAll<wire::Route>(Out, Value.Routes);
  auto Services = writeAll<wire::Service>(Out, Value.Services);
  auto Endpoints = writeAll<wire::Endpoint>(Out, Value.Endpoints);
  auto Quarantine = writeAll<wire::QuarantineEntry>(Out, Value.Quarantine);
  auto RemovedRoutes = writeNames(Out, Value.RemovedRoutes);
  auto RemovedServices = writeNames(Out, Value.RemovedServices);
  auto RemovedEndpoints = writeNames(Out, Value.RemovedEndpoints);
  flatbuffers::Offset<flatbuffers::Vector<std::uint64_t>> RemovedQuarantine;
  if (!Value.RemovedQuarantine.empty())
    RemovedQuarantine = Out.CreateVector(Value.RemovedQuarantine);
  auto Limits = write(Out, Value.Limits);
  auto Customers = writeAll<wire::Customer>(Out, Value.Customers);
  auto RemovedCustomers = writeNames(Out, Value.RemovedCustomers);
  auto Zones = writeNames(Out, Value.EvacuatedZones);
  Out.Finish(wire::CreateDelta(
      Out, Value.FromDocument.value(), Value.FromState.value(),
      Value.ToDocument.value(), Value.ToState.value(), Value.Digest,
      deltaChecksum(Value), Routes, Services, Endpoints, Quarantine,
      RemovedRoutes, RemovedServices, RemovedEndpoints, RemovedQuarantine,
      Limits, Customers, RemovedCustomers, Zones));
  return protocol::takeBuffer(Out);
}

MeshDelta decodeDelta(base::ByteView Data) {
  const auto &In = protocol::readTable<wire::Delta>(Data);
  MeshDelta Value;
  Value.FromDocument = base::DocumentVersion(In.from_document());
  Value.FromState = base::StateIndex(In.from_state());
  Value.ToDocument = base::DocumentVersion(In.to_document());
  Value.ToState = base::StateIndex(In.to_state());
  Value.Digest = In.digest();
  if (In.check() != deltaChecksum(Value))
    throw base::ProtocolError("the versions of a delta are damaged");
  readAll(In.routes(), Value.Routes);
  readAll(In.services(), Value.Services);
  readAll(In.endpoints(), Value.Endpoints);
  readAll(In.quarantine(), Value.Quarantine);
  Value.Limits = readLimits(In.limits());
  readAll(In.customers(), Value.Customers);
  readNames(In.removed_customers(), Value.RemovedCustomers);
  Value.EvacuatedZones = readZones(In.evacuated_zones());
  readNames(In.removed_routes(), Value.RemovedRoutes);
  readNames(In.removed_services(), Value.RemovedServices);
  readNames(In.removed_endpoints(), Value.RemovedEndpoints);
  checkCount(In.removed_quarantine());
  if (In.removed_quarantine())
    Value.RemovedQuarantine.assign(In.removed_quarantine()->begin(),
                                   In.removed_quarantine()->end());
  return Value;
}

base::Bytes encodeEndpoint(const Endpoint &Value) {
  Builder Out;
  auto Entry = write(Out, Value);
  Out.Finish(wire::CreateEndpointUpdate(Out, Entry));
  return protocol::takeBuffer(Out);
}

Endpoint decodeEndpoint(base::ByteView Data) {
  const auto &In = *protocol::readTable<wire::EndpointUpdate>(Data).endpoint();
  Endpoint Value = read(In);
  Value.UpstreamIncarnation = In.upstream_incarnation();
  Value.UpstreamLeft = In.upstream_left();
  return Value;
}

std::vector<base::Bytes> encodePieces(const MeshSnapshot &Value,
                                      std::uint64_t Digest) {
  base::Bytes Whole = encodeSnapshot(Value, Digest);
  std::size_t Count =
      (Whole.size() + SnapshotPieceBytes - 1) / SnapshotPieceBytes;
  std::vector<base::Bytes> Pieces;
  for (std::size_t I = 0; I < Count; ++I) {
    std::size_t Start = I * SnapshotPieceBytes;
    std::size_t Size = std::min(SnapshotPieceBytes, Whole.size() - Start);
    Builder Out(Size + 128);
    auto Data = Out.CreateVector(Whole.data() + Start, Size);
    Out.Finish(wire::CreateSnapshotPiece(
        Out, Value.State.value(), static_cast<std::uint32_t>(I),
        static_cast<std::uint32_t>(Count),
        static_cast<std::uint32_t>(Whole.size()), Data));
    Pieces.push_back(protocol::takeBuffer(Out));
  }
  return Pieces;
}

void SnapshotAssembler::reset() {
  NextIndex = 0;
  Buffer.clear();
}

std::shared_ptr<const MeshSnapshot>
SnapshotAssembler::add(base::ByteView Data) {
  try {
    return addPiece(Data);
  } catch (const base::ProtocolError &) {
    reset();
    throw;
  }
}

std::shared_ptr<const MeshSnapshot>
SnapshotAssembler::addPiece(base::ByteView Data) {
  const auto &In = protocol::readTable<wire::SnapshotPiece>(Data);
  if (In.index() == 0) {
    reset();
    State = base::StateIndex(In.state());
    PieceCount = In.count();
    TotalBytes = In.total_bytes();
    if (TotalBytes > MaxSnapshotBytes)
      throw base::ProtocolError(
          fmt::format("snapshot has {} bytes, the limit is {}", TotalBytes,
                      MaxSnapshotBytes));
  }
  if (In.index() != NextIndex || In.count() != PieceCount ||
      In.total_bytes() != TotalBytes || In.state() != State.value() ||
      Buffer.size() + In.data()->size() > TotalBytes)
    throw base::ProtocolError(
        fmt::format("unexpected snapshot piece {}; the next index is {}",
                    In.index(), NextIndex));
  Buffer.insert(Buffer.end(), In.data()->begin(), In.data()->end());
  if (++NextIndex < PieceCount)
    return nullptr;
  if (Buffer.size() != TotalBytes)
    throw base::ProtocolError("snapshot is shorter than its declared size");
  auto Value = decodeSnapshot(Buffer);
  reset();
  return Value;
}

} // namespace amaranth::document
