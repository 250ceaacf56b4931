#ifndef AMARANTH_DOCUMENT_DIFF_H
#define AMARANTH_DOCUMENT_DIFF_H

#include "amaranth/document/SectionText.h"

#include <string>
#include <vector>

namespace amaranth::document {

enum class DiffKind { Added, Changed, Removed };

/// One line of a diff; `Mark` is `+`, `-` or a space.
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

/// Sections that differ between two documents, in the order of their names.
/// Revisions and line numbers are not compared.
std::vector<SectionDiff> diffSections(const std::vector<SectionText> &Old,
                                      const std::vector<SectionText> &New);

/// Text form: a line `added|changed|removed [name]` and the marked lines.
std::string formatDiff(const std::vector<SectionDiff> &Diff);

} // namespace amaranth::document

#endif
