#include "WireConversion.h"

namespace amaranth::control::detail {

Offset<wire::StoredResponse> writeResponse(Builder &Out,
                                           const StoredResponse &Value) {
  std::vector<Offset<wire::Header>> Headers;
  for (const auto &[Name, Content] : Value.Headers) {
    auto NameText = Out.CreateString(Name);
    auto ContentText = Out.CreateString(Content);
    Headers.push_back(wire::CreateHeader(Out, NameText, ContentText));
  }
  auto List = Out.CreateVector(Headers);
  auto Body = Out.CreateString(Value.Body);
  return wire::CreateStoredResponse(Out, Value.Status, List, Body);
}

StoredResponse readResponse(const wire::StoredResponse &Value) {
  StoredResponse Result;
  Result.Status = Value.status();
  for (const wire::Header *Entry : *Value.headers())
    Result.Headers.emplace_back(Entry->name()->str(), Entry->value()->str());
  Result.Body = Value.body()->str();
  return Result;
}

Offset<wire::Endpoint> writeEndpoint(Builder &Out,
                                     const document::Endpoint &Value) {
  auto Id = writeString(Out, Value.Id);
  auto Node = writeString(Out, Value.Node);
  auto Ip = Out.CreateString(Value.NodeAddress.Ip);
  auto Service = writeString(Out, Value.Service);
  auto Version = writeString(Out, Value.Version);
  auto Zone = writeString(Out, Value.Zone);
  return wire::CreateEndpoint(
      Out, Id, Node, Ip, Value.NodeAddress.Port, Service, Version, Zone,
      Value.Slots, static_cast<std::uint8_t>(Value.State), Value.Incarnation,
      Value.Sequence, Value.ReadySince, Value.UpstreamIncarnation,
      Value.UpstreamLeft);
}

document::Endpoint readEndpoint(const wire::Endpoint &Value) {
  document::Endpoint Result;
  Result.Id = base::EndpointId(Value.id()->str());
  Result.Node = base::NodeId(Value.node()->str());
  Result.NodeAddress = {Value.ip()->str(), Value.port()};
  Result.Service = base::ServiceName(Value.service()->str());
  Result.Version = base::VersionName(Value.version()->str());
  Result.Zone = base::AvailabilityZone(Value.availability_zone()->str());
  Result.Slots = Value.slots();
  Result.State = readEnum(Value.state(), document::EndpointState::Unreachable,
                          "endpoint state");
  Result.Incarnation = Value.incarnation();
  Result.Sequence = Value.sequence();
  Result.ReadySince = Value.ready_since();
  Result.UpstreamIncarnation = Value.upstream_incarnation();
  Result.UpstreamLeft = Value.upstream_left();
  return Result;
}

Offset<WireStrings>
writeSources(Builder &Out,
             const std::vector<document::CustomerSource> &Values) {
  if (Values.empty())
    return 0;
  std::vector<Offset<flatbuffers::String>> List;
  List.reserve(Values.size());
  for (const document::CustomerSource &Entry : Values)
    List.push_back(Out.CreateString(Entry.text()));
  return Out.CreateVector(List);
}

std::vector<std::string> readStrings(const WireStrings &Value) {
  std::vector<std::string> Result;
  Result.reserve(Value.size());
  for (const flatbuffers::String *Text : Value)
    Result.push_back(Text->str());
  return Result;
}

} // namespace amaranth::control::detail
