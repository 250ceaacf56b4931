#include "DocumentStore.h"

#include "CommandResults.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/document/SnapshotCodec.h"

namespace amaranth::control::detail {

std::optional<CommandResult>
DocumentStore::checkLabels(base::DocumentLabel Label, base::DocumentLabel Base,
                           std::uint64_t Digest) const {
  if (auto Known = acceptedDigest(Label))
    return *Known == Digest
               ? makeResult(ResultCode::Accepted, "accepted before")
               : makeResult(ResultCode::Conflict,
                            "another document was accepted under this label");
  if (Base != Current->Label)
    return makeResult(
        ResultCode::Conflict,
        fmt::format("document {} is current, the change builds on {}",
                    Current->Label.value(), Base.value()));
  if (Label <= Current->Label)
    return makeResult(ResultCode::Invalid,
                      fmt::format("label {} is not above the current {}",
                                  Label.value(), Current->Label.value()));
  return std::nullopt;
}

CommandResult
DocumentStore::replace(const document::WholeDocumentChange &Change,
                       base::LogIndex Index) {
  if (auto Decided = checkLabels(Change.Label, Change.Base, Change.Digest))
    return *Decided;
  try {
    auto Next = std::make_shared<document::WholeDocument>(
        document::applyChange(*Current, Change));
    if (auto Faults = Next->faultsSince(*Current); !Faults.empty()) {
      CommandResult Refused = makeResult(ResultCode::Invalid);
      Refused.Messages = std::move(Faults);
      return Refused;
    }
    Current = std::move(Next);
  } catch (const document::DeltaMismatch &Mismatch) {
    return makeResult(ResultCode::Invalid, Mismatch.what());
  }
  AMARANTH_INVARIANT(Index.value() > Version.value(),
                     "document version decreased");
  Version = base::DocumentVersion(Index.value());
  Labels[Change.Label] = Change.Digest;
  if (Labels.size() > MaxAcceptedLabels)
    Labels.erase(Labels.begin());
  return makeResult(ResultCode::Accepted);
}

std::optional<std::uint64_t>
DocumentStore::acceptedDigest(base::DocumentLabel Label) const {
  auto Found = Labels.find(Label);
  if (Found == Labels.end())
    return std::nullopt;
  return Found->second;
}

void DocumentStore::fillMesh(document::MeshSnapshot &Mesh,
                             const ServiceVersions &Versions) const {
  Mesh.Routes = Current->Content.Routes;
  Mesh.Services = Current->Content.Services;
  Mesh.Customers = Current->Content.Customers;
  Mesh.Limits = Current->Content.Limits;
  for (auto &[Name, Entry] : Mesh.Services.edit())
    Versions.fillService(Entry);
}

Offset<wire::WholeDocumentRecord> DocumentStore::write(Builder &Out) const {
  const document::MeshSnapshot &Content = Current->Content;
  std::vector<std::string> Routes;
  for (const auto &[Name, Text] : Current->RouteSources)
    Routes.push_back(Text);
  std::vector<std::string> Services;
  for (const auto &[Name, Text] : Current->ServiceSources)
    Services.push_back(Text);
  std::vector<document::CustomerSource> Customers;
  for (const auto &[Name, Entry] : Current->CustomerSources)
    Customers.push_back(Entry);
  auto Bytes =
      Out.CreateVector(document::encodeSnapshot(Content, Content.digest()));
  auto RouteSources = Out.CreateVectorOfStrings(Routes);
  auto ServiceSources = Out.CreateVectorOfStrings(Services);
  auto Source = Out.CreateString(Current->Source);
  auto CustomerSources = writeSources(Out, Customers);
  return wire::CreateWholeDocumentRecord(Out, Current->Label.value(), Bytes,
                                         RouteSources, ServiceSources, Source,
                                         CustomerSources);
}

Offset<flatbuffers::Vector<Offset<wire::AcceptedLabel>>>
DocumentStore::writeLabels(Builder &Out) const {
  std::vector<Offset<wire::AcceptedLabel>> List;
  for (const auto &[Label, Digest] : Labels)
    List.push_back(wire::CreateAcceptedLabel(Out, Label.value(), Digest));
  return Out.CreateVector(List);
}

void DocumentStore::read(const wire::ControlSnapshot &From) {
  if (From.labels())
    for (const wire::AcceptedLabel *Item : *From.labels())
      Labels[base::DocumentLabel(Item->label())] = Item->digest();
  const wire::WholeDocumentRecord *Record = From.whole();
  if (!Record || Record->label() == 0)
    return;
  auto Next = std::make_shared<document::WholeDocument>();
  Next->Label = base::DocumentLabel(Record->label());
  Next->Content = *document::decodeSnapshot(
      base::ByteView(Record->content()->data(), Record->content()->size()));
  Next->Source = Record->source()->str();
  auto Routes = readStrings(*Record->route_sources());
  auto Services = readStrings(*Record->service_sources());
  std::vector<std::string> Customers;
  if (Record->customer_sources())
    Customers = readStrings(*Record->customer_sources());
  if (Routes.size() != Next->Content.Routes.size() ||
      Services.size() != Next->Content.Services.size() ||
      Customers.size() != Next->Content.Customers.size())
    throw base::ProtocolError(
        "sources in a snapshot do not match its document");
  std::size_t NextSource = 0;
  for (const auto &[Name, Entry] : Next->Content.Routes)
    Next->RouteSources[Name] = std::move(Routes[NextSource++]);
  NextSource = 0;
  for (const auto &[Name, Entry] : Next->Content.Services)
    Next->ServiceSources[Name] = std::move(Services[NextSource++]);
  NextSource = 0;
  for (const auto &[Name, Entry] : Next->Content.Customers)
    Next->CustomerSources.emplace(
        Name,
        document::CustomerSource(Name, std::move(Customers[NextSource++])));
  if (!Next->faults().empty() || acceptedDigest(Next->Label) != Next->digest())
    throw base::ProtocolError("invalid document in a snapshot");
  Current = std::move(Next);
  Version = base::DocumentVersion(From.document());
}

} // namespace amaranth::control::detail
