#include "amaranth/control/ControlState.h"

#include "AuditLog.h"
#include "ClaimTable.h"
#include "CommandResults.h"
#include "DocumentStore.h"
#include "EndpointTable.h"
#include "EvacuationTable.h"
#include "QuarantineTable.h"
#include "RolloutTable.h"
#include "SectionStore.h"
#include "ServiceVersions.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/protocol/Frame.h"

namespace amaranth::control {

namespace {

/// Snapshots with any other format version are refused.
constexpr std::uint16_t SnapshotFormat = 1;
// Limits for the FlatBuffers verifier. Each claim with a response takes about
// a dozen tables.
constexpr flatbuffers::uoffset_t MaxSnapshotTables = 64'000'000;
constexpr flatbuffers::uoffset_t MaxSnapshotDepth = 16;

} // namespace

struct ControlState::Impl {
  base::LogIndex LastIndex;
  base::WallTime LastTime;
  base::StateIndex State;
  detail::SectionStore Sections;
  detail::OperationLog Operations;
  detail::AuditLog Audit;
  detail::ClaimTable Claims;
  detail::EndpointTable Endpoints;
  detail::RolloutTable Rollouts;
  detail::QuarantineTable Quarantine;
  detail::DocumentStore Documents;
  detail::ServiceVersions Versions;
  detail::EvacuationTable Zones;
  /// Cached result of `buildMesh`; null after a change.
  mutable std::shared_ptr<const document::MeshSnapshot> Mesh;
  /// The last result of `buildMesh`. Unchanged parts are not checked again.
  mutable std::shared_ptr<const document::MeshSnapshot> CheckedMesh =
      std::make_shared<const document::MeshSnapshot>();

  CommandResult execute(base::ByteView Data, detail::EntryContext Context) {
    try {
      Command Request = decodeCommand(Data);
      return std::visit([&](const auto &Kind) { return handle(Kind, Context); },
                        Request);
    } catch (const base::ProtocolError &Failure) {
      CommandResult Result;
      Result.Code = ResultCode::Malformed;
      Result.Messages.emplace_back(Failure.what());
      return Result;
    }
  }

  base::DocumentVersion documentVersion() const {
    return std::max(Sections.version(), Documents.version());
  }

  CommandResult handle(const ReplaceDocument &Request,
                       detail::EntryContext Context) {
    CommandResult Result =
        Sections.records().empty()
            ? Documents.replace(Request.Change, Context.Index)
            : detail::makeResult(ResultCode::Forbidden,
                                 "the document consists of sections");
    bool Accepted = Result.Code == ResultCode::Accepted;
    AuditEntry Entry = makeSystemEntry(Context);
    Entry.Actor = Request.Operator.value();
    Entry.Section = "document";
    Entry.OldRevision = base::Revision(Request.Change.Base.value());
    Entry.NewRevision = base::Revision(Request.Change.Label.value());
    Entry.Digest = Request.Change.Digest;
    Entry.Result = Accepted ? "accepted" : "refused";
    if (!Result.Messages.empty())
      Entry.Reason = Result.Messages.front();
    Audit.add(std::move(Entry));
    Result.Document = documentVersion();
    markChangedIf(Accepted, Context);
    return Result;
  }

  CommandResult handle(const StartRollout &Request,
                       detail::EntryContext Context) {
    if (!Documents.current()->Content.Services.contains(Request.Service))
      return detail::makeResult(ResultCode::Invalid,
                                "the document has no service " +
                                    Request.Service.value());
    bool Changed = false;
    CommandResult Result =
        Versions.start(Request, Context.Index, Context.Time, Changed);
    auditRollout(Context, Request.Operator.value(), Request.Service, Result,
                 "started", "to version " + Request.To.value());
    markChangedIf(Changed, Context);
    return Result;
  }

  CommandResult handle(const TimedDecision &Request,
                       detail::EntryContext Context) {
    CommandResult Result = Versions.decide(Request);
    auditRollout(Context, "system", Request.Service, Result,
                 detail::phaseName(Request.Phase), Request.Reason);
    markChangedIf(Result.Code == ResultCode::Accepted, Context);
    return Result;
  }

  void auditRollout(detail::EntryContext Context, const std::string &Actor,
                    const base::ServiceName &Service,
                    const CommandResult &Result, const char *Accepted,
                    const std::string &Reason) {
    AuditEntry Entry = makeSystemEntry(Context);
    Entry.Actor = Actor;
    Entry.Section = "rollout " + Service.value();
    Entry.Result = Result.Code == ResultCode::Accepted ? Accepted : "refused";
    Entry.Reason = Result.Messages.empty() ? Reason : Result.Messages.front();
    Audit.add(std::move(Entry));
  }

  CommandResult handle(const ApplySections &Request,
                       detail::EntryContext Context) {
    if (Documents.version().value() != 0)
      return detail::makeResult(
          ResultCode::Forbidden,
          "sections cannot be changed because the document is "
          "replaced as a whole");
    std::uint64_t ContentHash = detail::contentHash(Request);
    if (const auto *First = Operations.find(Request)) {
      if (First->ContentHash == ContentHash)
        return decodeResult(First->Result);
      CommandResult Result;
      Result.Code = ResultCode::Invalid;
      Result.Document = Sections.version();
      Result.Messages.push_back(
          fmt::format("the operation id {} was already used for another change",
                      Request.Operation.value()));
      return Result;
    }
    CommandResult Result = Sections.apply(Request, Context, Rollouts, Audit);
    Operations.add(Request, {ContentHash, Context.Time, encodeResult(Result)});
    if (Result.Code == ResultCode::Accepted)
      markChanged(Context);
    return Result;
  }

  CommandResult handle(const PutEndpoint &Request,
                       detail::EntryContext Context) {
    bool Changed = false;
    CommandResult Result = Endpoints.put(Request, Changed);
    if (Result.Code == ResultCode::Accepted) {
      Changed |= Versions.recordAnnouncement(Request.Entry.Service,
                                             Request.Entry.Version);
      Zones.recordZone(Request.Entry.Zone, Context.Time);
    }
    markChangedIf(Changed, Context);
    return Result;
  }

  CommandResult handle(const ExpireEndpoints &Request,
                       detail::EntryContext Context) {
    bool Changed = false;
    CommandResult Result = Endpoints.expire(Request, Context.Time, Changed);
    markChangedIf(Changed, Context);
    return Result;
  }

  CommandResult handle(const Claim &Request, detail::EntryContext Context) {
    return Claims.claim(Request, Context.Time);
  }

  CommandResult handle(const FinishClaim &Request,
                       detail::EntryContext /*Context*/) {
    return Claims.finish(Request);
  }

  CommandResult handle(const ReleaseClaim &Request,
                       detail::EntryContext Context) {
    return Claims.release(Request, Context.Time);
  }

  CommandResult handle(const RolloutDecision &Request,
                       detail::EntryContext Context) {
    CommandResult Result = Rollouts.decide(Request, Context.Time);
    bool Accepted = Result.Code == ResultCode::Accepted;
    AuditEntry Entry = makeSystemEntry(Context);
    Entry.Section = "rollout " + Request.Service.value();
    Entry.OldRevision = Request.Section;
    Entry.NewRevision = Request.Section;
    if (auto It = Sections.records().find(Entry.Section);
        It != Sections.records().end())
      Entry.Digest = It->second.Digest;
    Entry.Operation = fmt::format("epoch-{}", Request.ExpectedEpoch);
    Entry.Result = Accepted ? detail::phaseName(Request.Phase)
                   : Result.Code == ResultCode::Conflict ? "conflict"
                                                         : "invalid";
    Entry.Reason = Accepted ? Request.Reason : Result.Messages.front();
    Audit.add(std::move(Entry));
    markChangedIf(Accepted, Context);
    return Result;
  }

  CommandResult handle(const ReportCrash &Request,
                       detail::EntryContext Context) {
    detail::QuarantineTable::Effect Effect;
    CommandResult Result =
        Quarantine.reportCrash(Request, Context.Time, Effect);
    recordQuarantine(Request.Service, Effect, Context);
    return Result;
  }

  static CommandResult handle(const BeginSuspectRun & /*Request*/,
                              detail::EntryContext /*Context*/) {
    return detail::makeResult(ResultCode::Accepted);
  }

  CommandResult handle(const EndSuspectRun &Request,
                       detail::EntryContext Context) {
    detail::QuarantineTable::Effect Effect;
    CommandResult Result = Quarantine.endRun(Request, Context.Time, Effect);
    recordQuarantine(Request.Service, Effect, Context);
    return Result;
  }

  CommandResult handle(const LiftQuarantine &Request,
                       detail::EntryContext Context) {
    detail::QuarantineTable::Effect Effect;
    CommandResult Result = Quarantine.lift(Request, Effect);
    AuditEntry Entry = makeSystemEntry(Context);
    Entry.Actor = Request.Operator.value();
    Entry.Result = Effect.Changed ? "lifted" : "conflict";
    Entry.Reason = "quarantine of request " + base::hex64(Request.Fingerprint);
    Audit.add(std::move(Entry));
    recordQuarantine({}, Effect, Context);
    return Result;
  }

  CommandResult handle(const SetEvacuation &Request,
                       detail::EntryContext Context) {
    bool Changed = false;
    CommandResult Result =
        Zones.set(Request, Context.Index, Context.Time, Changed);
    AuditEntry Entry = makeSystemEntry(Context);
    Entry.Actor = Request.Operator.value();
    Entry.Section = "zone " + Request.Zone.value();
    if (Changed)
      Entry.Result = Request.Active ? "evacuated" : "taken-back";
    else
      Entry.Result =
          Result.Code == ResultCode::Accepted ? "accepted" : "refused";
    if (!Result.Messages.empty())
      Entry.Reason = Result.Messages.front();
    Audit.add(std::move(Entry));
    markChangedIf(Changed, Context);
    return Result;
  }

  void recordQuarantine(const base::ServiceName &Service,
                        const detail::QuarantineTable::Effect &Effect,
                        detail::EntryContext Context) {
    for (std::uint64_t Fingerprint : Effect.Convicted) {
      AuditEntry Entry = makeSystemEntry(Context);
      Entry.Section = "service " + Service.value();
      Entry.Result = "convicted";
      Entry.Reason = "request " + base::hex64(Fingerprint) +
                     " was running during two or more crashes";
      Audit.add(std::move(Entry));
    }
    markChangedIf(Effect.Changed, Context);
  }

  static AuditEntry makeSystemEntry(detail::EntryContext Context) {
    AuditEntry Entry;
    Entry.Index = Context.Index;
    Entry.Time = Context.Time;
    Entry.Actor = "system";
    return Entry;
  }

  void expire(detail::EntryContext Context) {
    Operations.expire(Context.Time);
    Claims.expire(Context.Time);
    bool Changed = Endpoints.removeExpired(Context.Time);
    Changed |= Quarantine.expire(Context.Time);
    markChangedIf(Changed, Context);
  }

  void markChangedIf(bool Changed, detail::EntryContext Context) {
    if (Changed)
      markChanged(Context);
  }

  void markChanged(detail::EntryContext Context) {
    State = base::StateIndex(Context.Index.value());
    Mesh.reset();
  }

  std::shared_ptr<const document::MeshSnapshot> buildMesh() const {
    auto Result = assembleMesh();
    auto Faults = Result->faultsSince(*CheckedMesh);
    AMARANTH_INVARIANT(Faults.empty(), Faults.front());
    CheckedMesh = Result;
    return Result;
  }

  std::shared_ptr<const document::MeshSnapshot> assembleMesh() const {
    auto Result = std::make_shared<document::MeshSnapshot>();
    Result->Document = documentVersion();
    Result->State = State;
    if (Documents.version().value() != 0)
      Documents.fillMesh(*Result, Versions);
    Sections.document().fillMesh(*Result, Rollouts.traffic(),
                                 Rollouts.barred());
    // Endpoints are kept when their service is removed from the document.
    for (const auto &[Id, Record] : Endpoints.records())
      if (Result->Services.contains(Record.Entry.Service))
        Result->Endpoints.emplace(Id, detail::EndpointTable::visible(Record));
    for (const auto &[Fingerprint, Record] : Quarantine.records())
      Result->Quarantine.emplace(Fingerprint, Record.Entry);
    for (const Evacuation &Each : Zones.evacuations())
      Result->EvacuatedZones.insert(Each.Zone);
    return Result;
  }

  base::Bytes encode() const {
    detail::Builder Out;
    auto SectionList = Sections.write(Out);
    auto OperationList = Operations.write(Out);
    auto AuditList = Audit.write(Out);
    auto ClaimList = Claims.write(Out);
    auto Released = Claims.writeReleased(Out);
    auto EndpointList = Endpoints.write(Out);
    auto RolloutList = Rollouts.write(Out);
    auto Barred = Rollouts.writeBarred(Out);
    auto QuarantineList = Quarantine.write(Out);
    auto Leases = Out.CreateVector(
        std::vector<detail::Offset<wire::SuspectLeaseRecord>>());
    auto WholeRecord = Documents.write(Out);
    auto Labels = Documents.writeLabels(Out);
    auto VersionList = Versions.write(Out);
    auto TimedList = Versions.writeRollouts(Out);
    auto ZoneList = Zones.write(Out);
    Out.Finish(wire::CreateControlSnapshot(
        Out, SnapshotFormat, LastIndex.value(), LastTime.count(),
        documentVersion().value(), State.value(), SectionList, OperationList,
        AuditList, ClaimList, Released, EndpointList, RolloutList, Barred,
        QuarantineList, Leases, WholeRecord, Labels, VersionList, TimedList,
        ZoneList));
    return protocol::takeBuffer(Out);
  }

  void decode(const wire::ControlSnapshot &From) {
    if (From.format() != SnapshotFormat)
      throw base::ProtocolError(
          fmt::format("unsupported snapshot format {}; expected {}",
                      From.format(), SnapshotFormat));
    LastIndex = base::LogIndex(From.last_index());
    LastTime = base::WallTime(From.last_time());
    State = base::StateIndex(From.state());
    Sections.read(From);
    Operations.read(From);
    Audit.read(From);
    Claims.read(From);
    Endpoints.read(From);
    Rollouts.read(From);
    Quarantine.read(From);
    Documents.read(From);
    Versions.read(From);
    Zones.read(From);
    checkConsistency();
  }

  /// Throws unless rollout sections and rollout states match one to one with
  /// the same revisions and the resulting mesh is valid. `mesh` relies on both.
  void checkConsistency() const {
    bool Matching =
        Rollouts.records().size() == Sections.document().rollouts().size();
    for (const auto &[Service, Section] : Sections.document().rollouts()) {
      auto It = Rollouts.records().find(Service);
      Matching = Matching && It != Rollouts.records().end() &&
                 It->second.Section ==
                     Sections.records().at("rollout " + Service.value()).Rev;
    }
    if (!Matching)
      throw base::ProtocolError("rollouts in the snapshot do not match its "
                                "sections");
    auto Faults = assembleMesh()->faults();
    if (!Faults.empty())
      throw base::ProtocolError("inconsistent snapshot: " + Faults.front());
  }
};

ControlState::ControlState() : Self(std::make_unique<Impl>()) {}
ControlState::~ControlState() = default;

base::Bytes ControlState::apply(const replication::AppliedEntry &Entry) {
  AMARANTH_INVARIANT(Entry.Index > Self->LastIndex,
                     "log entry applied out of order");
  AMARANTH_INVARIANT(Entry.Time >= Self->LastTime, "log entry time decreased");
  Self->LastIndex = Entry.Index;
  Self->LastTime = Entry.Time;
  detail::EntryContext Context{Entry.Index, Entry.Time};
  Self->expire(Context);
  return encodeResult(Self->execute(Entry.Command, Context));
}

base::Bytes ControlState::snapshot() const { return Self->encode(); }

void ControlState::restore(base::ByteView Snapshot) {
  flatbuffers::Verifier Verifier(Snapshot.data(), Snapshot.size(),
                                 MaxSnapshotDepth, MaxSnapshotTables);
  if (!Verifier.VerifyBuffer<wire::ControlSnapshot>(nullptr))
    throw base::ProtocolError("malformed control state snapshot");
  auto Next = std::make_unique<Impl>();
  Next->decode(*flatbuffers::GetRoot<wire::ControlSnapshot>(Snapshot.data()));
  // Reported as an error instead of an invariant violation, because the
  // snapshot may be damaged.
  if (Next->LastIndex < Self->LastIndex || Next->LastTime < Self->LastTime ||
      Next->documentVersion() < Self->documentVersion())
    throw base::ProtocolError("snapshot is older than the current state");
  base::DocumentVersion Before = Self->documentVersion();
  Self = std::move(Next);
  AMARANTH_INVARIANT(Self->documentVersion() >= Before,
                     "document version decreased");
}

base::DocumentVersion ControlState::documentVersion() const {
  return Self->documentVersion();
}

std::shared_ptr<const document::WholeDocument>
ControlState::wholeDocument() const {
  return Self->Documents.current();
}

std::optional<std::uint64_t>
ControlState::acceptedDigest(base::DocumentLabel Label) const {
  return Self->Documents.acceptedDigest(Label);
}

std::optional<CommandResult>
ControlState::checkReplacementLabels(base::DocumentLabel Label,
                                     base::DocumentLabel Base,
                                     std::uint64_t Digest) const {
  return Self->Documents.checkLabels(Label, Base, Digest);
}

std::vector<TimedRollout> ControlState::timedRollouts() const {
  std::vector<TimedRollout> Result;
  for (const auto &[Service, Entry] : Self->Versions.rollouts())
    Result.push_back(Entry);
  return Result;
}

std::vector<Evacuation> ControlState::evacuations() const {
  return Self->Zones.evacuations();
}

base::StateIndex ControlState::stateIndex() const { return Self->State; }

std::vector<StoredSection> ControlState::sections() const {
  std::vector<StoredSection> Result;
  for (const auto &[Name, Section] : Self->Sections.records())
    Result.push_back(Section);
  return Result;
}

std::vector<RolloutStatus> ControlState::rollouts() const {
  std::vector<RolloutStatus> Result;
  for (const auto &[Service, Status] : Self->Rollouts.records()) {
    Result.push_back(Status);
    Result.back().Body =
        Self->Sections.records().at("rollout " + Service.value()).Body;
  }
  return Result;
}

std::vector<AuditEntry> ControlState::audit(std::size_t Limit) const {
  return Self->Audit.newest(Limit);
}

std::size_t ControlState::claimCount() const { return Self->Claims.size(); }

std::shared_ptr<const document::MeshSnapshot> ControlState::mesh() const {
  if (!Self->Mesh)
    Self->Mesh = Self->buildMesh();
  return Self->Mesh;
}

} // namespace amaranth::control
