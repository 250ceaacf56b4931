#ifndef AMARANTH_DOCUMENT_DIFF_H
#define AMARANTH_DOCUMENT_DIFF_H

#include "amaranth/document/SectionText.h"

#include <string>
#include <vector>

namespace amaranth::document {

enum class DiffKind { Added, Changed, Removed };

/// One line of a diff; `Mark` is `+` (added), `-` (removed) or a space.
struct DiffLine {
  char Mark = ' ';
  std::string Text;

  bool operator==(const DiffLine &) const = default;
};

struct SectionDiff {
  DiffKind Kind = DiffKind::Changed;
  std::string Name;
  std::vector<DiffLine> Lines;
};

/// Returns the sections that differ between two documents, sorted by name.
/// Revisions and line numbers are not compared. In sections of customers, texts
/// that may be keys are replaced by `(hidden)`.
std::vector<SectionDiff> diffSections(const std::vector<SectionText> &Old,
                                      const std::vector<SectionText> &New);

/// Formats each section as a line `added|changed|removed [name]`, followed by
/// its marked lines.
std::string formatDiff(const std::vector<SectionDiff> &Diff);

} // namespace amaranth::document

#endif
