#include "SectionBook.h"

#include "ChangeCheck.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

#include <algorithm>

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxMessages = 200;
constexpr std::size_t MaxMessageBytes = 512;

const char *resultName(ResultCode Code) {
  switch (Code) {
  case ResultCode::Accepted:
    return "accepted";
  case ResultCode::Conflict:
    return "conflict";
  case ResultCode::Forbidden:
    return "forbidden";
  default:
    return "invalid";
  }
}

std::vector<std::string>
limitMessages(const std::vector<ChangeCheck::Message> &Messages) {
  std::vector<std::string> Result;
  for (const ChangeCheck::Message &Message : Messages) {
    if (Result.size() == MaxMessages) {
      Result.push_back(
          fmt::format("and {} more", Messages.size() - MaxMessages));
      break;
    }
    Result.push_back(Message.Text);
    cutText(Result.back(), MaxMessageBytes);
  }
  return Result;
}

/// The first message about the section, else the first one.
std::string reasonFor(const std::string &Section,
                      const std::vector<ChangeCheck::Message> &Messages) {
  auto It =
      std::find_if(Messages.begin(), Messages.end(), [&](const auto &Message) {
        return Message.Section == Section;
      });
  if (It != Messages.end())
    return It->Text;
  return Messages.empty() ? "" : Messages.front().Text;
}

base::Revision revisionIn(const SectionMap &Sections, const std::string &Name) {
  auto It = Sections.find(Name);
  return It == Sections.end() ? base::Revision() : It->second.Rev;
}

void addAudit(const ApplySections &Request, const ChangeCheck &Check,
              ResultCode Code, EntryPlace Place, const SectionMap &Old,
              AuditLog &Audit) {
  bool Accepted = Code == ResultCode::Accepted;
  // A refused change may name far more sections than a valid one.
  std::size_t Count = std::min(Request.Changes.size(), MaxChanges);
  for (std::size_t I = 0; I < Count; ++I) {
    const SectionChange &Change = Request.Changes[I];
    AuditEntry Entry;
    Entry.Index = Place.Index;
    Entry.Time = Place.Time;
    Entry.Actor = Request.Operator.value();
    Entry.Section = Change.Section;
    Entry.OldRevision = revisionIn(Old, Change.Section);
    Entry.NewRevision = revisionIn(Accepted ? Check.Next : Old, Change.Section);
    if (Change.Body)
      Entry.Digest =
          base::hash64(base::asBytes(document::normalBody(*Change.Body)));
    Entry.Operation = Request.Operation.value();
    Entry.Result = resultName(Code);
    if (!Accepted)
      Entry.Reason = reasonFor(Change.Section, Check.Messages);
    Audit.add(std::move(Entry));
  }
}

} // namespace

std::vector<document::SectionText> textsOf(const SectionMap &Sections) {
  std::vector<document::SectionText> Result;
  Result.reserve(Sections.size());
  for (const auto &[Name, Section] : Sections)
    Result.push_back({Name, Section.Body, {}, std::nullopt});
  return Result;
}

CommandResult SectionBook::apply(const ApplySections &Request, EntryPlace Place,
                                 RolloutTable &Rollouts, AuditLog &Audit) {
  ChangeCheck Check(Request, *this, Rollouts, Place);
  CommandResult Result;
  Result.Code = Check.run();
  Result.Messages = limitMessages(Check.Messages);
  addAudit(Request, Check, Result.Code, Place, Sections, Audit);
  if (Result.Code == ResultCode::Accepted)
    commit(Request, std::move(Check.Next), std::move(Check.Valid), Place,
           Rollouts);
  Result.Document = Version;
  std::size_t Count = std::min(Request.Changes.size(), MaxChanges);
  for (std::size_t I = 0; I < Count; ++I)
    Result.Revisions.emplace_back(
        Request.Changes[I].Section,
        revisionIn(Sections, Request.Changes[I].Section));
  return Result;
}

void SectionBook::commit(const ApplySections &Request, SectionMap Next,
                         document::Document Valid, EntryPlace Place,
                         RolloutTable &Rollouts) {
  AMARANTH_INVARIANT(Place.Index.value() > Version.value(),
                     "the document version fell");
  Sections = std::move(Next);
  Parsed = std::move(Valid);
  Version = base::DocumentVersion(Place.Index.value());
  constexpr std::string_view Kind = "rollout ";
  for (const SectionChange &Change : Request.Changes) {
    if (!Change.Section.starts_with(Kind))
      continue;
    base::ServiceName Service(Change.Section.substr(Kind.size()));
    base::Revision Rev = revisionIn(Sections, Change.Section);
    if (Rev == base::Revision())
      Rollouts.remove(Service);
    else if (Rev.value() == Place.Index.value())
      Rollouts.restart(Parsed.rollouts().at(Service), Rev, Place.Time);
  }
  Rollouts.keepServices(Parsed);
}

Offset<flatbuffers::Vector<Offset<wire::SectionRecord>>>
SectionBook::write(Builder &Out) const {
  std::vector<Offset<wire::SectionRecord>> List;
  for (const auto &[Name, Section] : Sections) {
    auto NameText = Out.CreateString(Name);
    auto Body = Out.CreateString(Section.Body);
    List.push_back(
        wire::CreateSectionRecord(Out, NameText, Body, Section.Rev.value()));
  }
  return Out.CreateVector(List);
}

void SectionBook::read(const wire::ControlSnapshot &From) {
  for (const wire::SectionRecord *Item : *From.sections()) {
    std::string Name = Item->name()->str();
    std::string Body = Item->body()->str();
    Sections[Name] = {Name, document::ownerOf({Name, Body, {}, {}}), Body,
                      base::Revision(Item->revision()),
                      base::hash64(base::asBytes(Body))};
  }
  std::vector<base::FileFault> Faults;
  Parsed = document::Document::parse(textsOf(Sections), "snapshot", Faults);
  if (!Faults.empty())
    throw base::ProtocolError("invalid document in a snapshot: " +
                              Faults.front().message());
  Version = base::DocumentVersion(From.document());
}

} // namespace amaranth::control::detail
