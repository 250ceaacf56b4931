#ifndef AMARANTH_DOCUMENT_SECTIONTEXT_H
#define AMARANTH_DOCUMENT_SECTIONTEXT_H

#include "amaranth/base/Error.h"
#include "amaranth/base/StrongId.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::document {

/// The text of one section, which is the unit of ownership and change.
struct SectionText {
  /// Text between the brackets, for example `route booking`.
  std::string Name;
  /// Lines after the section line, each ending in a newline.
  std::string Body;
  /// Line numbers in the file of the section line and of each body line. Empty
  /// if the section does not come from a file; faults then number the lines
  /// from the section line, which is 1.
  std::vector<unsigned> Lines;
  /// Value of the `revision = N` line that `amaranthctl get` prints. The line
  /// is not part of `Body`.
  std::optional<base::Revision> Revision;

  /// Returns the line number in the file for line `Number` of the section,
  /// where line 1 is the section line.
  unsigned fileLine(unsigned Number) const;
};

/// Splits a text at its section lines. Blank lines at the end of a body are
/// dropped. Appends structural faults (an entry before the first section, a
/// malformed section line, an oversized text, an invalid or repeated revision)
/// to `Faults`; other entries are not parsed.
std::vector<SectionText> splitSections(std::string_view Text,
                                       const std::string &FileName,
                                       std::vector<base::FileFault> &Faults);

/// Returns the text with one `[name]` line per section, and a `revision` line
/// where `Revision` is set; `splitSections` parses it.
std::string joinSections(const std::vector<SectionText> &Sections);

/// Converts a body to the form that `splitSections` produces: lines trimmed, no
/// blank lines at the end, a newline after the last line. Bodies are compared
/// and stored in this form.
std::string normalizeBody(std::string_view Body);

} // namespace amaranth::document

#endif
