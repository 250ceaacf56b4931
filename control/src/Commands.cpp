#include "amaranth/control/Commands.h"

#include "WireConversion.h"
#include "amaranth/document/SnapshotCodec.h"
#include "amaranth/protocol/Frame.h"

namespace amaranth::control {

namespace {

using detail::Builder;
using detail::Offset;
using detail::writeString;

Offset<void> write(Builder &Out, const ApplySections &Value) {
  std::vector<Offset<flatbuffers::String>> Teams;
  for (const base::TeamName &Team : Value.Teams)
    Teams.push_back(writeString(Out, Team));
  std::vector<Offset<wire::SectionChange>> Changes;
  for (const SectionChange &Change : Value.Changes) {
    auto Section = Out.CreateString(Change.Section);
    Offset<flatbuffers::String> Body;
    if (Change.Body)
      Body = Out.CreateString(*Change.Body);
    Changes.push_back(
        wire::CreateSectionChange(Out, Section, Change.Expected.value(), Body));
  }
  auto Operator = writeString(Out, Value.Operator);
  auto TeamList = Out.CreateVector(Teams);
  auto Operation = writeString(Out, Value.Operation);
  auto ChangeList = Out.CreateVector(Changes);
  return wire::CreateApplySections(Out, Operator, TeamList, Operation,
                                   ChangeList)
      .Union();
}

Offset<void> write(Builder &Out, const PutEndpoint &Value) {
  auto Entry = detail::writeEndpoint(Out, Value.Entry);
  return wire::CreatePutEndpoint(Out, Entry).Union();
}

Offset<void> write(Builder &Out, const ExpireEndpoints &Value) {
  std::vector<Offset<wire::ExpiredItem>> Items;
  for (const ExpireEndpoints::Item &Item : Value.Items) {
    auto Id = writeString(Out, Item.Id);
    Items.push_back(
        wire::CreateExpiredItem(Out, Id, Item.Incarnation, Item.Sequence));
  }
  auto List = Out.CreateVector(Items);
  return wire::CreateExpireEndpoints(Out, List).Union();
}

Offset<void> write(Builder &Out, const Claim &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Key = Out.CreateString(Value.IdempotencyKey);
  auto Attempt = Out.CreateString(Value.Attempt);
  return wire::CreateClaim(Out, Service, Key, Value.RequestHash, Attempt)
      .Union();
}

Offset<void> write(Builder &Out, const FinishClaim &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Key = Out.CreateString(Value.IdempotencyKey);
  auto Attempt = Out.CreateString(Value.Attempt);
  Offset<wire::StoredResponse> Response;
  if (Value.Response)
    Response = detail::writeResponse(Out, *Value.Response);
  return wire::CreateFinishClaim(Out, Service, Key, Attempt, Response).Union();
}

Offset<void> write(Builder &Out, const ReleaseClaim &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Key = Out.CreateString(Value.IdempotencyKey);
  auto Attempt = Out.CreateString(Value.Attempt);
  return wire::CreateReleaseClaim(Out, Service, Key, Attempt).Union();
}

Offset<void> write(Builder &Out, const RolloutDecision &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Reason = Out.CreateString(Value.Reason);
  return wire::CreateRolloutDecision(Out, Service, Value.Section.value(),
                                     Value.ExpectedEpoch,
                                     static_cast<std::uint8_t>(Value.Phase),
                                     Value.Share, Value.Step, Reason)
      .Union();
}

Offset<void> write(Builder &Out, const ReportCrash &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Upstream = writeString(Out, Value.Upstream);
  auto Fingerprints = Out.CreateVector(Value.Fingerprints);
  return wire::CreateReportCrash(Out, Service, Upstream, Fingerprints,
                                 Value.Crash)
      .Union();
}

Offset<void> write(Builder &Out, const BeginSuspectRun &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Attempt = Out.CreateString(Value.Attempt);
  return wire::CreateBeginSuspectRun(Out, Service, Value.Fingerprint, Attempt)
      .Union();
}

Offset<void> write(Builder &Out, const EndSuspectRun &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Attempt = Out.CreateString(Value.Attempt);
  return wire::CreateEndSuspectRun(Out, Service, Value.Fingerprint, Attempt,
                                   Value.Crashed)
      .Union();
}

Offset<void> write(Builder &Out, const LiftQuarantine &Value) {
  auto Operator = writeString(Out, Value.Operator);
  return wire::CreateLiftQuarantine(Out, Operator, Value.Fingerprint).Union();
}

Offset<void> write(Builder &Out, const SetEvacuation &Value) {
  auto Operator = writeString(Out, Value.Operator);
  auto Zone = writeString(Out, Value.Zone);
  return wire::CreateSetEvacuation(Out, Operator, Zone, Value.Active,
                                   Value.Seen.value(), Value.ZoneKnown)
      .Union();
}

Offset<void> write(Builder &Out, const ReplaceDocument &Value) {
  const document::WholeDocumentChange &Change = Value.Change;
  auto Operator = writeString(Out, Value.Operator);
  auto Changes = Out.CreateVector(document::encodeDelta(Change.Changes));
  auto Routes = Out.CreateVectorOfStrings(Change.RouteSources);
  auto Services = Out.CreateVectorOfStrings(Change.ServiceSources);
  auto Source = Out.CreateString(Change.Source);
  auto Customers = detail::writeSources(Out, Change.CustomerSources);
  return wire::CreateReplaceDocument(
             Out, Operator, Change.Label.value(), Change.Base.value(),
             Change.Digest, Changes, Routes, Services, Source, Customers)
      .Union();
}

Offset<void> write(Builder &Out, const StartRollout &Value) {
  auto Operator = writeString(Out, Value.Operator);
  auto Service = writeString(Out, Value.Service);
  auto To = writeString(Out, Value.To);
  return wire::CreateStartRollout(Out, Operator, Service, To,
                                  Value.Duration.count())
      .Union();
}

Offset<void> write(Builder &Out, const TimedDecision &Value) {
  auto Service = writeString(Out, Value.Service);
  auto Reason = Out.CreateString(Value.Reason);
  return wire::CreateTimedDecision(Out, Service, Value.Order.value(),
                                   Value.ExpectedEpoch,
                                   static_cast<std::uint8_t>(Value.Phase),
                                   Value.Share, Value.Elapsed.count(), Reason)
      .Union();
}

template <typename Id> Id idOf(const flatbuffers::String *Text) {
  return Id(Text->str());
}

ApplySections read(const wire::ApplySections &Value) {
  ApplySections Result;
  Result.Operator = idOf<base::OperatorName>(Value.operator_name());
  for (const flatbuffers::String *Team : *Value.teams())
    Result.Teams.push_back(idOf<base::TeamName>(Team));
  Result.Operation = idOf<base::OperationId>(Value.operation());
  for (const wire::SectionChange *Change : *Value.changes()) {
    SectionChange Item;
    Item.Section = Change->section()->str();
    Item.Expected = base::Revision(Change->expected());
    if (Change->body())
      Item.Body = Change->body()->str();
    Result.Changes.push_back(std::move(Item));
  }
  return Result;
}

PutEndpoint read(const wire::PutEndpoint &Value) {
  return {detail::readEndpoint(*Value.entry())};
}

ExpireEndpoints read(const wire::ExpireEndpoints &Value) {
  ExpireEndpoints Result;
  for (const wire::ExpiredItem *Item : *Value.items())
    Result.Items.push_back({idOf<base::EndpointId>(Item->id()),
                            Item->incarnation(), Item->sequence()});
  return Result;
}

Claim read(const wire::Claim &Value) {
  return {idOf<base::ServiceName>(Value.service()),
          Value.idempotency_key()->str(), Value.request_hash(),
          Value.attempt()->str()};
}

FinishClaim read(const wire::FinishClaim &Value) {
  FinishClaim Result{idOf<base::ServiceName>(Value.service()),
                     Value.idempotency_key()->str(), Value.attempt()->str(),
                     std::nullopt};
  if (Value.response())
    Result.Response = detail::readResponse(*Value.response());
  return Result;
}

ReleaseClaim read(const wire::ReleaseClaim &Value) {
  return {idOf<base::ServiceName>(Value.service()),
          Value.idempotency_key()->str(), Value.attempt()->str()};
}

RolloutDecision read(const wire::RolloutDecision &Value) {
  return {idOf<base::ServiceName>(Value.service()),
          base::Revision(Value.section()),
          Value.expected_epoch(),
          detail::readEnum(Value.phase(), RolloutPhase::RolledBack,
                           "rollout phase"),
          Value.share(),
          Value.step(),
          Value.reason()->str()};
}

ReportCrash read(const wire::ReportCrash &Value) {
  ReportCrash Result;
  Result.Service = idOf<base::ServiceName>(Value.service());
  Result.Upstream = idOf<base::EndpointId>(Value.upstream());
  Result.Fingerprints.assign(Value.fingerprints()->begin(),
                             Value.fingerprints()->end());
  Result.Crash = Value.crash();
  return Result;
}

BeginSuspectRun read(const wire::BeginSuspectRun &Value) {
  return {idOf<base::ServiceName>(Value.service()), Value.fingerprint(),
          Value.attempt()->str()};
}

EndSuspectRun read(const wire::EndSuspectRun &Value) {
  return {idOf<base::ServiceName>(Value.service()), Value.fingerprint(),
          Value.attempt()->str(), Value.crashed()};
}

LiftQuarantine read(const wire::LiftQuarantine &Value) {
  return {idOf<base::OperatorName>(Value.operator_name()), Value.fingerprint()};
}

SetEvacuation read(const wire::SetEvacuation &Value) {
  return {idOf<base::OperatorName>(Value.operator_name()),
          idOf<base::AvailabilityZone>(Value.zone()), Value.active(),
          base::LogIndex(Value.seen()), Value.zone_known()};
}

ReplaceDocument read(const wire::ReplaceDocument &Value) {
  ReplaceDocument Result;
  Result.Operator = idOf<base::OperatorName>(Value.operator_name());
  document::WholeDocumentChange &Change = Result.Change;
  Change.Label = base::DocumentLabel(Value.label());
  Change.Base = base::DocumentLabel(Value.base());
  Change.Digest = Value.digest();
  Change.Changes = document::decodeDelta(
      base::ByteView(Value.changes()->data(), Value.changes()->size()));
  Change.RouteSources = detail::readStrings(*Value.route_sources());
  Change.ServiceSources = detail::readStrings(*Value.service_sources());
  Change.Source = Value.source()->str();
  if (!Value.customer_sources())
    return Result;
  auto Sources = detail::readStrings(*Value.customer_sources());
  if (Sources.size() != Change.Changes.Customers.size())
    throw base::ProtocolError("the change lacks the sources of some customers");
  for (std::size_t I = 0; I < Sources.size(); ++I)
    Change.CustomerSources.emplace_back(Change.Changes.Customers[I].Name,
                                        std::move(Sources[I]));
  return Result;
}

StartRollout read(const wire::StartRollout &Value) {
  return {idOf<base::OperatorName>(Value.operator_name()),
          idOf<base::ServiceName>(Value.service()),
          idOf<base::VersionName>(Value.to()),
          base::Millis(Value.duration_ms())};
}

TimedDecision read(const wire::TimedDecision &Value) {
  return {idOf<base::ServiceName>(Value.service()),
          base::LogIndex(Value.order()),
          Value.expected_epoch(),
          detail::readEnum(Value.phase(), TimedRolloutPhase::RolledBack,
                           "timed rollout phase"),
          Value.share(),
          base::Millis(Value.elapsed_ms()),
          Value.reason()->str()};
}

/// Relies on `Command` and the union in the schema having the same order.
wire::CommandBody kindOf(const Command &Value) {
  return static_cast<wire::CommandBody>(Value.index() + 1);
}

} // namespace

base::Bytes encodeCommand(const Command &Value) {
  Builder Out;
  auto Body =
      std::visit([&Out](const auto &Kind) { return write(Out, Kind); }, Value);
  Out.Finish(wire::CreateCommand(Out, kindOf(Value), Body));
  return protocol::takeBuffer(Out);
}

Command decodeCommand(base::ByteView Data) {
  const auto &Root = protocol::readTable<wire::Command>(Data);
  switch (Root.body_type()) {
  case wire::CommandBody::ApplySections:
    return read(*Root.body_as_ApplySections());
  case wire::CommandBody::PutEndpoint:
    return read(*Root.body_as_PutEndpoint());
  case wire::CommandBody::ExpireEndpoints:
    return read(*Root.body_as_ExpireEndpoints());
  case wire::CommandBody::Claim:
    return read(*Root.body_as_Claim());
  case wire::CommandBody::FinishClaim:
    return read(*Root.body_as_FinishClaim());
  case wire::CommandBody::ReleaseClaim:
    return read(*Root.body_as_ReleaseClaim());
  case wire::CommandBody::RolloutDecision:
    return read(*Root.body_as_RolloutDecision());
  case wire::CommandBody::ReportCrash:
    return read(*Root.body_as_ReportCrash());
  case wire::CommandBody::BeginSuspectRun:
    return read(*Root.body_as_BeginSuspectRun());
  case wire::CommandBody::EndSuspectRun:
    return read(*Root.body_as_EndSuspectRun());
  case wire::CommandBody::ReplaceDocument:
    return read(*Root.body_as_ReplaceDocument());
  case wire::CommandBody::StartRollout:
    return read(*Root.body_as_StartRollout());
  case wire::CommandBody::TimedDecision:
    return read(*Root.body_as_TimedDecision());
  case wire::CommandBody::LiftQuarantine:
    return read(*Root.body_as_LiftQuarantine());
  case wire::CommandBody::SetEvacuation:
    return read(*Root.body_as_SetEvacuation());
  case wire::CommandBody::NONE:
    break;
  }
  throw base::ProtocolError("unknown command type");
}

base::Bytes encodeResult(const CommandResult &Value) {
  Builder Out;
  auto Messages = Out.CreateVectorOfStrings(Value.Messages);
  std::vector<Offset<wire::SectionRevision>> Revisions;
  for (const auto &[Section, Rev] : Value.Revisions) {
    auto Name = Out.CreateString(Section);
    Revisions.push_back(wire::CreateSectionRevision(Out, Name, Rev.value()));
  }
  auto RevisionList = Out.CreateVector(Revisions);
  Offset<wire::StoredResponse> Stored;
  if (Value.Stored)
    Stored = detail::writeResponse(Out, *Value.Stored);
  Out.Finish(wire::CreateCommandResult(
      Out, static_cast<std::uint8_t>(Value.Code), Messages,
      Value.Document.value(), RevisionList, Stored));
  return protocol::takeBuffer(Out);
}

CommandResult decodeResult(base::ByteView Data) {
  const auto &Root = protocol::readTable<wire::CommandResult>(Data);
  CommandResult Result;
  Result.Code =
      detail::readEnum(Root.code(), ResultCode::Malformed, "result code");
  for (const flatbuffers::String *Message : *Root.messages())
    Result.Messages.push_back(Message->str());
  Result.Document = base::DocumentVersion(Root.document());
  for (const wire::SectionRevision *Item : *Root.revisions())
    Result.Revisions.emplace_back(Item->section()->str(),
                                  base::Revision(Item->revision()));
  if (Root.stored())
    Result.Stored = detail::readResponse(*Root.stored());
  return Result;
}

} // namespace amaranth::control
