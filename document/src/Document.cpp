#include "amaranth/document/Document.h"

#include "CustomerSection.h"
#include "SectionParser.h"

#include <fmt/format.h>

#include <set>

namespace amaranth::document {

/// Parses each section, then checks the references between sections and the
/// limits of the document.
class DocumentParser {
public:
  DocumentParser(const std::vector<SectionText> &Sections,
                 const std::string &FileName,
                 std::vector<base::FileFault> &Faults)
      : Sections(Sections), FileName(FileName), Faults(Faults) {}

  Document parse() {
    checkSize();
    for (const SectionText &Section : Sections)
      parseSection(Section);
    for (const auto &[Name, Entry] : Result.Services)
      checkService(Entry);
    for (const auto &[Name, Entry] : Result.Routes)
      checkRoute(Entry);
    for (const auto &[Key, Entry] : Result.Versions)
      if (!Result.Services.contains(Entry.Service))
        fault(versionSectionName(Entry), "",
              missingSection("service", Entry.Service));
    for (const auto &[Name, Entry] : Result.Rollouts)
      checkRollout(Entry);
    for (const auto &[Name, Entry] : Result.Customers)
      checkCustomer(Entry.Value);
    checkCounts();
    return std::move(Result);
  }

private:
  void parseSection(const SectionText &Section) {
    auto [It, Added] = ParsedSections.try_emplace(Section.Name);
    if (!Added)
      return fault(Section, "", "duplicate section");
    auto [Kind, Id] = detail::splitName(Section.Name);
    std::size_t FirstFault = Faults.size();
    It->second = detail::parseBody(Section, FileName, Faults);
    if (Section.Body.size() > MaxSectionBytes)
      fault(Section, "",
            fmt::format("{} bytes, the limit of a section is {}",
                        Section.Body.size(), MaxSectionBytes));
    base::SectionReader Reader(It->second, FileName, Faults);
    if (Kind == detail::CustomerKind) {
      parseCustomer(Section, Id, Reader);
      return detail::hideUnknownKeys(Faults, FirstFault);
    }
    if (Kind == "version")
      return parseVersion(Section, Id, Reader);
    if (Kind != "route" && Kind != "service" && Kind != "rollout")
      return fault(Section, "",
                   "unknown kind of section; expected [route NAME], [service "
                   "NAME], [version SERVICE/ID], [rollout SERVICE] or "
                   "[customer NAME]");
    if (!isValidName(Id))
      return invalidName(Section, Id);
    if (Kind == "route")
      Result.Routes.emplace(Id, detail::readRoute(Id, Reader));
    else if (Kind == "service")
      Result.Services.emplace(Id, detail::readService(Id, Reader));
    else
      Result.Rollouts.emplace(Id, detail::readRollout(Id, Reader));
  }

  void parseVersion(const SectionText &Section, const std::string &Id,
                    base::SectionReader &Reader) {
    auto Slash = Id.find('/');
    if (Slash == std::string::npos)
      return fault(Section, "", "expected [version SERVICE/ID]");
    std::string Service = Id.substr(0, Slash);
    std::string Version = Id.substr(Slash + 1);
    for (const std::string &Part : {Service, Version})
      if (!isValidName(Part))
        return invalidName(Section, Part);
    Result.Versions.emplace(Document::VersionKey(base::ServiceName(Service),
                                                 base::VersionName(Version)),
                            detail::readVersion(Service, Version, Reader));
  }

  void parseCustomer(const SectionText &Section, const std::string &Id,
                     base::SectionReader &Reader) {
    if (!isValidName(Id))
      return invalidName(Section, Id);
    CustomerSection Entry = detail::readCustomer(Id, Reader);
    Result.CustomerValues.emplace(Entry.Value.Name, Entry.Value);
    Result.Customers.emplace(Id, std::move(Entry));
  }

  void checkSize() {
    std::size_t Bytes = 0;
    for (const SectionText &Section : Sections)
      Bytes += Section.Name.size() + Section.Body.size();
    checkLimit("bytes", Bytes, MaxDocumentBytes);
    checkLimit("sections", Sections.size(), MaxSections);
  }

  void checkCounts() {
    checkLimit("routes", Result.Routes.size(), MaxRoutes);
    checkLimit("services", Result.Services.size(), MaxServices);
    checkLimit("customers", Result.Customers.size(), MaxCustomers);
    std::map<base::ServiceName, std::size_t> Versions;
    for (const auto &[Key, Entry] : Result.Versions)
      ++Versions[Entry.Service];
    for (const auto &[Service, Count] : Versions)
      if (Count > MaxVersionsPerService)
        fault("service " + Service.value(), "",
              fmt::format("{} versions, the limit is {}", Count,
                          MaxVersionsPerService));
  }

  void checkLimit(const char *What, std::size_t Count, std::size_t Max) {
    if (Count > Max)
      Faults.push_back({FileName, 0, "", "",
                        fmt::format("the document has {} {}, the limit is {}",
                                    Count, What, Max)});
  }

  void checkService(const ServiceSection &Entry) {
    // An empty version was already reported as missing.
    if (!Entry.Version.value().empty() &&
        !hasVersion(Entry.Name, Entry.Version))
      fault("service " + Entry.Name.value(), "version",
            missingVersion(Entry.Name, Entry.Version));
  }

  void checkRoute(const RouteSection &Entry) {
    std::string Section = "route " + Entry.Value.Name.value();
    const std::string &Path = Entry.Value.PathPrefix;
    if (!Path.empty()) {
      auto [It, Added] = RouteByPath.try_emplace(Path, Entry.Value.Name);
      if (!Added)
        fault(Section, "path",
              fmt::format("route {} has the path {} already",
                          It->second.value(), Path));
    }
    const base::ServiceName &Service = Entry.Value.Service;
    if (!Service.value().empty() && !Result.Services.contains(Service))
      fault(Section, "service", missingSection("service", Service));
  }

  void checkRollout(const RolloutSection &Entry) {
    std::string Section = "rollout " + Entry.Service.value();
    auto Service = Result.Services.find(Entry.Service);
    if (Service == Result.Services.end())
      return fault(Section, "", missingSection("service", Entry.Service));
    if (!Entry.From.value().empty() && !hasVersion(Entry.Service, Entry.From))
      fault(Section, "from", missingVersion(Entry.Service, Entry.From));
    if (!Entry.To.value().empty() && !hasVersion(Entry.Service, Entry.To))
      fault(Section, "to", missingVersion(Entry.Service, Entry.To));
    const base::VersionName &Current = Service->second.Version;
    if (!Current.value().empty() && Current != Entry.From &&
        Current != Entry.To)
      fault(Section, "from",
            fmt::format("[service {}] has version {}, which is neither 'from' "
                        "nor 'to'",
                        Entry.Service.value(), Current.value()));
  }

  void checkCustomer(const Customer &Entry) {
    std::set<base::CustomerName> Others;
    for (const KeyDigest &Key : Entry.Keys)
      if (auto [Owner, New] = OwnerOfKey.try_emplace(Key, Entry.Name); !New)
        Others.insert(Owner->second);
    for (const base::CustomerName &Other : Others)
      fault("customer " + Entry.Name.value(), "key-digests",
            fmt::format("[customer {}] has a key of this customer already",
                        Other.value()));
  }

  bool hasVersion(const base::ServiceName &Service,
                  const base::VersionName &Version) const {
    return Result.Versions.contains({Service, Version});
  }

  static std::string versionSectionName(const VersionSection &Entry) {
    return fmt::format("version {}/{}", Entry.Service.value(),
                       Entry.Id.value());
  }

  static std::string missingSection(const char *Kind,
                                    const base::ServiceName &Name) {
    return fmt::format("[{} {}] does not exist", Kind, Name.value());
  }

  static std::string missingVersion(const base::ServiceName &Service,
                                    const base::VersionName &Version) {
    return fmt::format("[version {}/{}] does not exist", Service.value(),
                       Version.value());
  }

  void invalidName(const SectionText &Section, const std::string &Name) {
    fault(Section, "",
          fmt::format("'{}' is no name; expected 1 to {} of the characters "
                      "A-Z a-z 0-9 . _ -",
                      Name.substr(0, MaxNameBytes), MaxNameBytes));
  }

  void fault(const SectionText &Section, std::string Key, std::string Reason) {
    Faults.push_back({FileName, Section.fileLine(1), Section.Name,
                      std::move(Key), std::move(Reason)});
  }

  void fault(const std::string &Name, const std::string &Key,
             std::string Reason) {
    const base::IniSection &Section = ParsedSections[Name];
    const base::IniEntry *Entry = Section.find(Key);
    Faults.push_back({FileName, Entry ? Entry->Line : Section.Line, Name, Key,
                      std::move(Reason)});
  }

  const std::vector<SectionText> &Sections;
  const std::string &FileName;
  std::vector<base::FileFault> &Faults;
  Document Result;
  std::map<std::string, base::IniSection> ParsedSections;
  std::map<std::string, base::RouteName> RouteByPath;
  std::map<KeyDigest, base::CustomerName> OwnerOfKey;
};

Document Document::parse(const std::vector<SectionText> &Sections,
                         const std::string &FileName,
                         std::vector<base::FileFault> &Faults) {
  return DocumentParser(Sections, FileName, Faults).parse();
}

Document Document::parse(std::string_view Text, const std::string &FileName,
                         std::vector<base::FileFault> &Faults) {
  return parse(splitSections(Text, FileName, Faults), FileName, Faults);
}

base::TeamName sectionOwner(const SectionText &Section) {
  std::vector<base::FileFault> Ignored;
  base::IniSection Parsed = detail::parseBody(Section, "", Ignored);
  const base::IniEntry *Entry = Parsed.find("owner");
  return base::TeamName(Entry && isValidName(Entry->Value) ? Entry->Value : "");
}

RolloutSection parseRollout(const SectionText &Section,
                            const std::string &FileName,
                            std::vector<base::FileFault> &Faults) {
  base::IniSection Parsed = detail::parseBody(Section, FileName, Faults);
  base::SectionReader Reader(Parsed, FileName, Faults);
  return detail::readRollout(detail::splitName(Section.Name).Id, Reader);
}

} // namespace amaranth::document
