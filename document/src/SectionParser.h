#ifndef AMARANTH_DOCUMENT_SRC_SECTIONPARSER_H
#define AMARANTH_DOCUMENT_SRC_SECTIONPARSER_H

#include "amaranth/base/IniFile.h"
#include "amaranth/base/Settings.h"
#include "amaranth/document/Document.h"

namespace amaranth::document::detail {

/// `route booking` split into its kind and the rest. Both are empty when the
/// name does not have this form.
struct SectionName {
  std::string Kind;
  std::string Id;
};
SectionName splitName(std::string_view Name);

/// Entries of one section. Their lines, and the lines of faults, are file
/// lines. A body with more than one section is a fault.
base::IniSection parseBody(const SectionText &Section,
                           const std::string &FileName,
                           std::vector<base::FileFault> &Faults);

/// Each reads the keys of its kind and reports faults through `Reader`,
/// unknown keys included.
RouteSection readRoute(const std::string &Name, base::SectionReader &Reader);
ServiceSection readService(const std::string &Name,
                           base::SectionReader &Reader);
VersionSection readVersion(const std::string &Service, const std::string &Id,
                           base::SectionReader &Reader);
RolloutSection readRollout(const std::string &Service,
                           base::SectionReader &Reader);

} // namespace amaranth::document::detail

#endif
