#include "amaranth/control/ControlState.h"

#include "AuditLog.h"
#include "ClaimTable.h"
#include "CommandResults.h"
#include "DocumentStore.h"
#include "EndpointTable.h"
#include "QuarantineTable.h"
#include "RolloutTable.h"
#include "SectionBook.h"
#include "ServiceVersions.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/protocol/Frame.h"

namespace amaranth::control {

namespace {

/// Format of snapshots; a process refuses any other one.
constexpr std::uint16_t SnapshotFormat = 1;
// Each claim with a response has about a dozen tables.
constexpr flatbuffers::uoffset_t MaxSnapshotTables = 64'000'000;
constexpr flatbuffers::uoffset_t MaxSnapshotDepth = 16;

} // namespace

struct ControlState::Impl {
  base::LogIndex LastIndex;
  base::WallTime LastTime;
  base::StateIndex State;
  detail::SectionBook Book;
  detail::OperationLog Operations;
  detail::AuditLog Audit;
  detail::ClaimTable Claims;
  detail::EndpointTable Endpoints;
  detail::RolloutTable Rollouts;
  detail::QuarantineTable Quarantine;
  detail::DocumentStore Whole;
  detail::ServiceVersions Versions;
  /// Value for nodes; null after a change.
  mutable std::shared_ptr<const document::MeshSnapshot> Mesh;

  CommandResult run(base::ByteView Data, detail::EntryPlace Place) {
    try {
      Command Request = decodeCommand(Data);
      return std::visit([&](const auto &Kind) { return handle(Kind, Place); },
                        Request);
    } catch (const base::ProtocolError &Failure) {
      CommandResult Result;
      Result.Code = ResultCode::Malformed;
      Result.Messages.emplace_back(Failure.what());
      return Result;
    }
  }

  base::DocumentVersion documentVersion() const {
    return std::max(Book.version(), Whole.version());
  }

  CommandResult handle(const ReplaceDocument &Request,
                       detail::EntryPlace Place) {
    CommandResult Result =
        Book.sections().empty()
            ? Whole.replace(Request.Change, Place.Index)
            : detail::makeResult(ResultCode::Forbidden,
                                 "the document consists of sections");
    bool Accepted = Result.Code == ResultCode::Accepted;
    AuditEntry Entry = systemEntry(Place);
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
    changedIf(Accepted, Place);
    return Result;
  }

  CommandResult handle(const StartRollout &Request, detail::EntryPlace Place) {
    if (!Whole.current()->Content.Services.contains(Request.Service))
      return detail::makeResult(ResultCode::Invalid,
                                "the document has no service " +
                                    Request.Service.value());
    bool Changed = false;
    CommandResult Result =
        Versions.start(Request, Place.Index, Place.Time, Changed);
    auditRollout(Place, Request.Operator.value(), Request.Service, Result,
                 "started", "to version " + Request.To.value());
    changedIf(Changed, Place);
    return Result;
  }

  CommandResult handle(const TimedDecision &Request, detail::EntryPlace Place) {
    CommandResult Result = Versions.decide(Request);
    auditRollout(Place, "system", Request.Service, Result,
                 detail::phaseName(Request.Phase), Request.Reason);
    changedIf(Result.Code == ResultCode::Accepted, Place);
    return Result;
  }

  void auditRollout(detail::EntryPlace Place, const std::string &Actor,
                    const base::ServiceName &Service,
                    const CommandResult &Result, const char *Accepted,
                    const std::string &Reason) {
    AuditEntry Entry = systemEntry(Place);
    Entry.Actor = Actor;
    Entry.Section = "rollout " + Service.value();
    Entry.Result = Result.Code == ResultCode::Accepted ? Accepted : "refused";
    Entry.Reason = Result.Messages.empty() ? Reason : Result.Messages.front();
    Audit.add(std::move(Entry));
  }

  CommandResult handle(const ApplySections &Request, detail::EntryPlace Place) {
    if (Whole.version().value() != 0)
      return detail::makeResult(ResultCode::Forbidden,
                                "the document is replaced as a whole here");
    std::uint64_t Content = detail::contentOf(Request);
    if (const auto *First = Operations.find(Request)) {
      if (First->Content == Content)
        return decodeResult(First->Result);
      CommandResult Result;
      Result.Code = ResultCode::Invalid;
      Result.Document = Book.version();
      Result.Messages.push_back(
          fmt::format("the operation id {} was used for another change",
                      Request.Operation.value()));
      return Result;
    }
    CommandResult Result = Book.apply(Request, Place, Rollouts, Audit);
    Operations.add(Request, {Content, Place.Time, encodeResult(Result)});
    if (Result.Code == ResultCode::Accepted)
      changed(Place);
    return Result;
  }

  CommandResult handle(const PutEndpoint &Request, detail::EntryPlace Place) {
    bool Changed = false;
    CommandResult Result = Endpoints.put(Request, Changed);
    if (Result.Code == ResultCode::Accepted)
      Changed |=
          Versions.announced(Request.Entry.Service, Request.Entry.Version);
    changedIf(Changed, Place);
    return Result;
  }

  CommandResult handle(const ExpireEndpoints &Request,
                       detail::EntryPlace Place) {
    bool Changed = false;
    CommandResult Result = Endpoints.expire(Request, Place.Time, Changed);
    changedIf(Changed, Place);
    return Result;
  }

  CommandResult handle(const Claim &Request, detail::EntryPlace Place) {
    return Claims.claim(Request, Place.Time);
  }

  CommandResult handle(const FinishClaim &Request,
                       detail::EntryPlace /*Place*/) {
    return Claims.finish(Request);
  }

  CommandResult handle(const ReleaseClaim &Request, detail::EntryPlace Place) {
    return Claims.release(Request, Place.Time);
  }

  CommandResult handle(const RolloutDecision &Request,
                       detail::EntryPlace Place) {
    CommandResult Result = Rollouts.decide(Request, Place.Time);
    bool Accepted = Result.Code == ResultCode::Accepted;
    AuditEntry Entry = systemEntry(Place);
    Entry.Section = "rollout " + Request.Service.value();
    Entry.OldRevision = Request.Section;
    Entry.NewRevision = Request.Section;
    if (auto It = Book.sections().find(Entry.Section);
        It != Book.sections().end())
      Entry.Digest = It->second.Digest;
    Entry.Operation = fmt::format("epoch-{}", Request.ExpectedEpoch);
    Entry.Result = Accepted ? detail::phaseName(Request.Phase)
                   : Result.Code == ResultCode::Conflict ? "conflict"
                                                         : "invalid";
    Entry.Reason = Accepted ? Request.Reason : Result.Messages.front();
    Audit.add(std::move(Entry));
    changedIf(Accepted, Place);
    return Result;
  }

  CommandResult handle(const ReportCrash &Request, detail::EntryPlace Place) {
    bool Changed = false;
    CommandResult Result = Quarantine.report(Request, Place.Time, Changed);
    changedIf(Changed, Place);
    return Result;
  }

  CommandResult handle(const BeginSuspectRun &Request,
                       detail::EntryPlace Place) {
    bool Changed = false;
    CommandResult Result = Quarantine.begin(Request, Place.Time, Changed);
    changedIf(Changed, Place);
    return Result;
  }

  CommandResult handle(const EndSuspectRun &Request, detail::EntryPlace Place) {
    bool Changed = false;
    bool Convicted = false;
    CommandResult Result =
        Quarantine.end(Request, Place.Time, Changed, Convicted);
    if (Convicted) {
      AuditEntry Entry = systemEntry(Place);
      Entry.Section = "service " + Request.Service.value();
      Entry.Result = "convicted";
      Entry.Reason = "request " + base::hex64(Request.Fingerprint) +
                     " crashed an upstream that ran nothing else";
      Audit.add(std::move(Entry));
    }
    changedIf(Changed, Place);
    return Result;
  }

  static AuditEntry systemEntry(detail::EntryPlace Place) {
    AuditEntry Entry;
    Entry.Index = Place.Index;
    Entry.Time = Place.Time;
    Entry.Actor = "system";
    return Entry;
  }

  void expire(detail::EntryPlace Place) {
    Operations.expire(Place.Time);
    Claims.expire(Place.Time);
    bool Changed = Endpoints.dropOld(Place.Time);
    Changed |= Quarantine.expire(Place.Time);
    changedIf(Changed, Place);
  }

  void changedIf(bool Changed, detail::EntryPlace Place) {
    if (Changed)
      changed(Place);
  }

  void changed(detail::EntryPlace Place) {
    State = base::StateIndex(Place.Index.value());
    Mesh.reset();
  }

  std::shared_ptr<const document::MeshSnapshot> build() const {
    auto Result = assemble();
    auto Faults = Result->faults();
    AMARANTH_INVARIANT(Faults.empty(), Faults.front());
    return Result;
  }

  std::shared_ptr<const document::MeshSnapshot> assemble() const {
    auto Result = std::make_shared<document::MeshSnapshot>();
    Result->Document = documentVersion();
    Result->State = State;
    if (Whole.version().value() != 0)
      Whole.fillMesh(*Result, Versions);
    Book.document().fillMesh(*Result, Rollouts.traffic(), Rollouts.barred());
    // Endpoints may outlive their service in the document.
    for (const auto &[Id, Record] : Endpoints.records())
      if (Result->Services.contains(Record.Entry.Service))
        Result->Endpoints.emplace(Id, Record.Entry);
    for (const auto &[Fingerprint, Record] : Quarantine.records())
      Result->Quarantine.emplace(Fingerprint, Record.Entry);
    return Result;
  }

  base::Bytes encode() const {
    detail::Builder Out;
    auto Sections = Book.write(Out);
    auto OperationList = Operations.write(Out);
    auto AuditList = Audit.write(Out);
    auto ClaimList = Claims.write(Out);
    auto Released = Claims.writeReleased(Out);
    auto EndpointList = Endpoints.write(Out);
    auto RolloutList = Rollouts.write(Out);
    auto Barred = Rollouts.writeBarred(Out);
    auto QuarantineList = Quarantine.write(Out);
    auto Leases = Quarantine.writeLeases(Out);
    auto WholeRecord = Whole.write(Out);
    auto Labels = Whole.writeLabels(Out);
    auto VersionList = Versions.write(Out);
    auto TimedList = Versions.writeRollouts(Out);
    Out.Finish(wire::CreateControlSnapshot(
        Out, SnapshotFormat, LastIndex.value(), LastTime.count(),
        documentVersion().value(), State.value(), Sections, OperationList,
        AuditList, ClaimList, Released, EndpointList, RolloutList, Barred,
        QuarantineList, Leases, WholeRecord, Labels, VersionList, TimedList));
    return protocol::takeBuffer(Out);
  }

  void decode(const wire::ControlSnapshot &From) {
    if (From.format() != SnapshotFormat)
      throw base::ProtocolError(fmt::format("snapshot format {}, expected {}",
                                            From.format(), SnapshotFormat));
    LastIndex = base::LogIndex(From.last_index());
    LastTime = base::WallTime(From.last_time());
    State = base::StateIndex(From.state());
    Book.read(From);
    Operations.read(From);
    Audit.read(From);
    Claims.read(From);
    Endpoints.read(From);
    Rollouts.read(From);
    Quarantine.read(From);
    Whole.read(From);
    Versions.read(From);
    checkRollouts();
  }

  /// Each rollout section has a state with the same revision, and the other
  /// way round; `mesh` relies on it.
  void checkRollouts() const {
    bool Matching =
        Rollouts.records().size() == Book.document().rollouts().size();
    for (const auto &[Service, Section] : Book.document().rollouts()) {
      auto It = Rollouts.records().find(Service);
      Matching = Matching && It != Rollouts.records().end() &&
                 It->second.Section ==
                     Book.sections().at("rollout " + Service.value()).Rev;
    }
    if (!Matching)
      throw base::ProtocolError("a snapshot's rollouts do not match its "
                                "sections");
    auto Faults = assemble()->faults();
    if (!Faults.empty())
      throw base::ProtocolError("inconsistent snapshot: " + Faults.front());
  }
};

ControlState::ControlState() : Self(std::make_unique<Impl>()) {}
ControlState::~ControlState() = default;

base::Bytes ControlState::apply(const replication::AppliedEntry &Entry) {
  AMARANTH_INVARIANT(Entry.Index > Self->LastIndex,
                     "an entry was applied out of order");
  AMARANTH_INVARIANT(Entry.Time >= Self->LastTime, "the entry time fell");
  Self->LastIndex = Entry.Index;
  Self->LastTime = Entry.Time;
  detail::EntryPlace Place{Entry.Index, Entry.Time};
  Self->expire(Place);
  return encodeResult(Self->run(Entry.Command, Place));
}

base::Bytes ControlState::snapshot() const { return Self->encode(); }

void ControlState::restore(base::ByteView Snapshot) {
  flatbuffers::Verifier Verifier(Snapshot.data(), Snapshot.size(),
                                 MaxSnapshotDepth, MaxSnapshotTables);
  if (!Verifier.VerifyBuffer<wire::ControlSnapshot>(nullptr))
    throw base::ProtocolError("malformed snapshot of the control state");
  auto Next = std::make_unique<Impl>();
  Next->decode(*flatbuffers::GetRoot<wire::ControlSnapshot>(Snapshot.data()));
  // Refused rather than asserted: the snapshot may be damaged.
  if (Next->LastIndex < Self->LastIndex || Next->LastTime < Self->LastTime ||
      Next->documentVersion() < Self->documentVersion())
    throw base::ProtocolError("a snapshot is older than the state it replaces");
  base::DocumentVersion Before = Self->documentVersion();
  Self = std::move(Next);
  AMARANTH_INVARIANT(Self->documentVersion() >= Before,
                     "the document version fell");
}

base::DocumentVersion ControlState::documentVersion() const {
  return Self->documentVersion();
}

std::shared_ptr<const document::WholeDocument>
ControlState::wholeDocument() const {
  return Self->Whole.current();
}

std::optional<std::uint64_t>
ControlState::acceptedDigest(base::DocumentLabel Label) const {
  return Self->Whole.acceptedDigest(Label);
}

std::optional<CommandResult>
ControlState::replacementResult(base::DocumentLabel Label,
                                base::DocumentLabel Base,
                                std::uint64_t Digest) const {
  return Self->Whole.resultFor(Label, Base, Digest);
}

std::vector<TimedRollout> ControlState::timedRollouts() const {
  std::vector<TimedRollout> Result;
  for (const auto &[Service, Entry] : Self->Versions.rollouts())
    Result.push_back(Entry);
  return Result;
}

base::StateIndex ControlState::stateIndex() const { return Self->State; }

std::vector<StoredSection> ControlState::sections() const {
  std::vector<StoredSection> Result;
  for (const auto &[Name, Section] : Self->Book.sections())
    Result.push_back(Section);
  return Result;
}

std::vector<RolloutStatus> ControlState::rollouts() const {
  std::vector<RolloutStatus> Result;
  for (const auto &[Service, Status] : Self->Rollouts.records()) {
    Result.push_back(Status);
    Result.back().Body =
        Self->Book.sections().at("rollout " + Service.value()).Body;
  }
  return Result;
}

std::vector<AuditEntry> ControlState::audit(std::size_t Limit) const {
  return Self->Audit.newest(Limit);
}

std::size_t ControlState::claimCount() const { return Self->Claims.size(); }

std::shared_ptr<const document::MeshSnapshot> ControlState::mesh() const {
  if (!Self->Mesh)
    Self->Mesh = Self->build();
  return Self->Mesh;
}

} // namespace amaranth::control
