#include "SectionStore.h"

#include "ChangeValidator.h"
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
limitMessages(const std::vector<ChangeValidator::Message> &Messages) {
  std::vector<std::string> Result;
  for (const ChangeValidator::Message &Message : Messages) {
    if (Result.size() == MaxMessages) {
      Result.push_back(
          fmt::format("and {} more", Messages.size() - MaxMessages));
      break;
    }
    Result.push_back(Message.Text);
    truncateUtf8(Result.back(), MaxMessageBytes);
  }
  return Result;
}

/// Returns the first message about the section, or else the first message.
std::string reasonFor(const std::string &Section,
                      const std::vector<ChangeValidator::Message> &Messages) {
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

void addAudit(const ApplySections &Request, const ChangeValidator &Validator,
              ResultCode Code, EntryContext Context, const SectionMap &Old,
              AuditLog &Audit) {
  bool Accepted = Code == ResultCode::Accepted;
  // A refused change may have more sections than the limit for valid ones.
  std::size_t Count = std::min(Request.Changes.size(), MaxChanges);
  for (std::size_t I = 0; I < Count; ++I) {
    const SectionChange &Change = Request.Changes[I];
    AuditEntry Entry;
    Entry.Index = Context.Index;
    Entry.Time = Context.Time;
    Entry.Actor = Request.Operator.value();
    Entry.Section = Change.Section;
    Entry.OldRevision = revisionIn(Old, Change.Section);
    Entry.NewRevision =
        revisionIn(Accepted ? Validator.NextSections : Old, Change.Section);
    if (Change.Body)
      Entry.Digest =
          base::hash64(base::asBytes(document::normalizeBody(*Change.Body)));
    Entry.Operation = Request.Operation.value();
    Entry.Result = resultName(Code);
    if (!Accepted)
      Entry.Reason = reasonFor(Change.Section, Validator.Messages);
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

CommandResult SectionStore::apply(const ApplySections &Request,
                                  EntryContext Context, RolloutTable &Rollouts,
                                  AuditLog &Audit) {
  ChangeValidator Validator(Request, *this, Rollouts, Context);
  CommandResult Result;
  Result.Code = Validator.validate();
  Result.Messages = limitMessages(Validator.Messages);
  addAudit(Request, Validator, Result.Code, Context, Sections, Audit);
  if (Result.Code == ResultCode::Accepted)
    commit(Request, std::move(Validator.NextSections),
           std::move(Validator.NextDocument), Context, Rollouts);
  Result.Document = Version;
  std::size_t Count = std::min(Request.Changes.size(), MaxChanges);
  for (std::size_t I = 0; I < Count; ++I)
    Result.Revisions.emplace_back(
        Request.Changes[I].Section,
        revisionIn(Sections, Request.Changes[I].Section));
  return Result;
}

void SectionStore::commit(const ApplySections &Request, SectionMap NextSections,
                          document::Document NextDocument, EntryContext Context,
                          RolloutTable &Rollouts) {
  AMARANTH_INVARIANT(Context.Index.value() > Version.value(),
                     "document version decreased");
  Sections = std::move(NextSections);
  Parsed = std::move(NextDocument);
  Version = base::DocumentVersion(Context.Index.value());
  constexpr std::string_view Kind = "rollout ";
  for (const SectionChange &Change : Request.Changes) {
    if (!Change.Section.starts_with(Kind))
      continue;
    base::ServiceName Service(Change.Section.substr(Kind.size()));
    base::Revision Rev = revisionIn(Sections, Change.Section);
    if (Rev == base::Revision())
      Rollouts.remove(Service);
    else if (Rev.value() == Context.Index.value())
      Rollouts.restart(Parsed.rollouts().at(Service), Rev, Context.Time);
  }
  Rollouts.pruneBarredVersions(Parsed);
}

Offset<flatbuffers::Vector<Offset<wire::SectionRecord>>>
SectionStore::write(Builder &Out) const {
  std::vector<Offset<wire::SectionRecord>> List;
  for (const auto &[Name, Section] : Sections) {
    auto NameText = Out.CreateString(Name);
    auto Body = Out.CreateString(Section.Body);
    List.push_back(
        wire::CreateSectionRecord(Out, NameText, Body, Section.Rev.value()));
  }
  return Out.CreateVector(List);
}

void SectionStore::read(const wire::ControlSnapshot &From) {
  for (const wire::SectionRecord *Item : *From.sections()) {
    std::string Name = Item->name()->str();
    std::string Body = Item->body()->str();
    Sections[Name] = {Name, document::sectionOwner({Name, Body, {}, {}}), Body,
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
