#include "ChangeValidator.h"

#include "amaranth/base/Digest.h"

#include <algorithm>
#include <set>

namespace amaranth::control::detail {

namespace {

constexpr std::size_t MaxOperationIdBytes = 128;
constexpr std::size_t MaxSectionNameBytes = 160;

/// Reported as the file name of faults in sections. Line numbers are relative
/// to the section header.
const std::string FaultSource = "section";

base::TeamName newOwner(const SectionChange &Change) {
  return document::sectionOwner({Change.Section, *Change.Body, {}, {}});
}

/// Returns the service of a `version` or `rollout` section; empty for other
/// sections.
base::ServiceName serviceOfSection(const std::string &Section) {
  for (std::string_view Kind : {"version ", "rollout "})
    if (Section.starts_with(Kind)) {
      std::string Id = Section.substr(Kind.size());
      return base::ServiceName(Id.substr(0, Id.find('/')));
    }
  return {};
}

} // namespace

bool isOperationId(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxOperationIdBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < 0x7f; });
}

ChangeValidator::ChangeValidator(const ApplySections &Request,
                                 const SectionStore &Store,
                                 const RolloutTable &Rollouts,
                                 EntryContext Context)
    : Request(Request), Store(Store), Rollouts(Rollouts), Context(Context) {}

ResultCode ChangeValidator::validate() {
  if (!isWellFormed())
    return ResultCode::Invalid;
  for (const SectionChange &Change : Request.Changes)
    checkAccess(Change);
  if (Forbidden)
    return ResultCode::Forbidden;
  if (Conflicting)
    return ResultCode::Conflict;
  buildNextSections();
  return validateDocument() ? ResultCode::Accepted : ResultCode::Invalid;
}

bool ChangeValidator::isWellFormed() {
  auto Refuse = [this](std::string Text) {
    Messages.push_back({"", std::move(Text)});
  };
  if (!document::isValidName(Request.Operator.value()))
    Refuse("the name of the operator is malformed");
  if (!isOperationId(Request.Operation.value()))
    Refuse("the operation id must have 1 to 128 printable characters without "
           "spaces");
  if (Request.Changes.empty() || Request.Changes.size() > MaxChanges)
    Refuse(fmt::format("{} changed sections; expected 1 to {}",
                       Request.Changes.size(), MaxChanges));
  std::set<std::string> Names;
  for (const SectionChange &Change : Request.Changes) {
    if (Change.Section.size() > MaxSectionNameBytes)
      Refuse(fmt::format("a section name has {} bytes, the limit is {}",
                         Change.Section.size(), MaxSectionNameBytes));
    else if (!Names.insert(Change.Section).second)
      Messages.push_back({Change.Section, fmt::format("[{}] is changed twice",
                                                      Change.Section)});
  }
  return Messages.empty();
}

void ChangeValidator::checkAccess(const SectionChange &Change) {
  auto Existing = Store.records().find(Change.Section);
  if (Existing == Store.records().end())
    return checkCreate(Change);
  checkExisting(Change, Existing->second);
}

void ChangeValidator::checkCreate(const SectionChange &Change) {
  if (Change.Expected != base::Revision())
    conflict(Change.Section,
             fmt::format("does not exist, but revision {} was expected",
                         Change.Expected.value()));
  else if (!Change.Body)
    conflict(Change.Section, "cannot be deleted, it does not exist");
  if (!Change.Body)
    return;
  // A missing owner is reported by the validation of the document.
  base::TeamName Owner = newOwner(Change);
  if (!Owner.value().empty() && !isInTeam(Owner))
    forbid(Change.Section,
           fmt::format("operator {} is not in the team {}",
                       Request.Operator.value(), Owner.value()));
  // Without this check any team could redirect the traffic of another team's
  // service.
  const auto &Services = Store.document().services();
  auto Service = Services.find(serviceOfSection(Change.Section));
  if (Service != Services.end() && !isInTeam(Service->second.Owner))
    forbid(Change.Section,
           fmt::format("[service {}] belongs to the team {}",
                       Service->first.value(), Service->second.Owner.value()));
}

void ChangeValidator::checkExisting(const SectionChange &Change,
                                    const StoredSection &Existing) {
  if (!isInTeam(Existing.Owner))
    forbid(Change.Section,
           fmt::format("belongs to the team {}, operator {} is not in it",
                       Existing.Owner.value(), Request.Operator.value()));
  if (Change.Expected != Existing.Rev)
    conflict(Change.Section,
             fmt::format("has revision {}, but revision {} was expected",
                         Existing.Rev.value(), Change.Expected.value()));
  if (!Change.Body)
    return;
  base::TeamName Owner = newOwner(Change);
  if (!Owner.value().empty() && Owner != Existing.Owner && !isInTeam(Owner))
    forbid(Change.Section,
           fmt::format("cannot be given to the team {}, operator {} is not "
                       "in it",
                       Owner.value(), Request.Operator.value()));
}

void ChangeValidator::buildNextSections() {
  NextSections = Store.records();
  for (const SectionChange &Change : Request.Changes) {
    if (!Change.Body) {
      NextSections.erase(Change.Section);
      continue;
    }
    std::string Body = document::normalizeBody(*Change.Body);
    StoredSection &Section = NextSections[Change.Section];
    // An unchanged body keeps its revision, because a new revision would
    // restart a rollout.
    if (Section.Rev != base::Revision() && Section.Body == Body)
      continue;
    Section = {Change.Section, newOwner(Change), Body,
               base::Revision(Context.Index.value()),
               base::hash64(base::asBytes(Body))};
  }
}

bool ChangeValidator::validateDocument() {
  std::vector<base::FileFault> Faults;
  NextDocument =
      document::Document::parse(textsOf(NextSections), FaultSource, Faults);
  if (Faults.empty())
    checkTrafficVersions(Faults);
  for (const base::FileFault &Fault : Faults)
    Messages.push_back({Fault.Section, Fault.message()});
  return Faults.empty();
}

void ChangeValidator::checkTrafficVersions(
    std::vector<base::FileFault> &Faults) {
  for (const auto &[Name, Service] : NextDocument.services()) {
    auto Before = Store.document().services().find(Name);
    base::VersionName CurrentVersion = Service.Version;
    if (Before != Store.document().services().end())
      CurrentVersion = Rollouts.currentVersion(Name, Before->second.Version);
    auto Rollout = NextDocument.rollouts().find(Name);
    if (Rollout != NextDocument.rollouts().end()) {
      checkRollout(Rollout->second, CurrentVersion, Faults);
      continue;
    }
    if (Service.Version != CurrentVersion)
      Faults.push_back(
          {FaultSource, 0, "service " + Name.value(), "version",
           fmt::format("the traffic is at version {}; only a rollout moves it "
                       "to another version",
                       CurrentVersion.value())});
  }
}

void ChangeValidator::checkRollout(const document::RolloutSection &Section,
                                   const base::VersionName &CurrentVersion,
                                   std::vector<base::FileFault> &Faults) {
  std::string Name = "rollout " + Section.Service.value();
  if (!isNewRevision(Name))
    return;
  if (Section.From != CurrentVersion)
    Faults.push_back(
        {FaultSource, 0, Name, "from",
         fmt::format("the traffic is at version {}", CurrentVersion.value())});
  if (Section.Deadline <= Context.Time)
    Faults.push_back(
        {FaultSource, 0, Name, "deadline", "the deadline has passed"});
}

bool ChangeValidator::isInTeam(const base::TeamName &Team) const {
  return std::find(Request.Teams.begin(), Request.Teams.end(), Team) !=
         Request.Teams.end();
}

bool ChangeValidator::isNewRevision(const std::string &Section) const {
  return NextSections.at(Section).Rev == base::Revision(Context.Index.value());
}

void ChangeValidator::forbid(const std::string &Section,
                             const std::string &Text) {
  Forbidden = true;
  Messages.push_back({Section, fmt::format("[{}] {}", Section, Text)});
}

void ChangeValidator::conflict(const std::string &Section,
                               const std::string &Text) {
  Conflicting = true;
  Messages.push_back({Section, fmt::format("[{}] {}", Section, Text)});
}

} // namespace amaranth::control::detail
