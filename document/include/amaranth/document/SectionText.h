#ifndef AMARANTH_DOCUMENT_SECTIONTEXT_H
#define AMARANTH_DOCUMENT_SECTIONTEXT_H

#include "amaranth/base/Error.h"
#include "amaranth/base/StrongId.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::document {

/// One section as text, the unit of ownership and change.
struct SectionText {
  /// Name as between the brackets, for example `route booking`.
  std::string Name;
  /// Lines after the section line, each ending in a newline.
  std::string Body;
  /// File line of the section line and of each body line. Empty when the
  /// section is not from a file; lines of faults then count from the section
  /// line as 1.
  std::vector<unsigned> Lines;
  /// Value of the `revision = N` line that `amaranthctl get` prints. The line
  /// is not part of `Body`.
  std::optional<base::Revision> Revision;

  /// File line of line `Number` of the section, where 1 is the section line.
  unsigned fileLine(unsigned Number) const;
};

/// Splits a text at its section lines. Blank lines at the end of a body are
/// dropped. Faults of the structure (text before the first section, a broken
/// section line, an oversized text, a bad revision) go to `Faults`; entries
/// are not looked at.
std::vector<SectionText> splitSections(std::string_view Text,
                                       const std::string &FileName,
                                       std::vector<base::FileFault> &Faults);

/// The text with one `[name]` line per section, and a `revision` line where
/// `Revision` is set; `splitSections` reads it back.
std::string joinSections(const std::vector<SectionText> &Sections);

/// The form of a body that `splitSections` produces: lines trimmed, no blank
/// lines at the end, a newline after the last line. Bodies are compared and
/// stored in this form.
std::string normalizeBody(std::string_view Body);

} // namespace amaranth::document

#endif
