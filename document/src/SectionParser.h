#ifndef AMARANTH_DOCUMENT_SRC_SECTIONPARSER_H
#define AMARANTH_DOCUMENT_SRC_SECTIONPARSER_H

#include "amaranth/base/IniFile.h"
#include "amaranth/base/Settings.h"
#include "amaranth/document/Document.h"

namespace amaranth::document::detail {

/// A section name such as `route booking`, split into kind and id. Both are
/// empty if the name has another form.
struct SectionName {
  std::string Kind;
  std::string Id;
};
SectionName splitName(std::string_view Name);

/// Parses the entries of one section. The lines of entries and faults are line
/// numbers in the file. A section line in the body is a fault.
base::IniSection parseBody(const SectionText &Section,
                           const std::string &FileName,
                           std::vector<base::FileFault> &Faults);

base::TeamName readOwner(base::SectionReader &Reader);

/// Each function reads the keys of its kind of section and reports faults,
/// including unknown keys, through `Reader`.
RouteSection readRoute(const std::string &Name, base::SectionReader &Reader);
ServiceSection readService(const std::string &Name,
                           base::SectionReader &Reader);
VersionSection readVersion(const std::string &Service, const std::string &Id,
                           base::SectionReader &Reader);
RolloutSection readRollout(const std::string &Service,
                           base::SectionReader &Reader);

} // namespace amaranth::document::detail

#endif
