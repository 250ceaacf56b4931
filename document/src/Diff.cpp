#include "amaranth/document/Diff.h"

#include "CustomerSection.h"
#include "SectionParser.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace amaranth::document {

namespace {

using Lines = std::vector<std::string>;

Lines splitLines(std::string_view Body) {
  Lines Result;
  while (!Body.empty()) {
    auto End = std::min(Body.find('\n'), Body.size());
    Result.emplace_back(Body.substr(0, End));
    Body.remove_prefix(std::min(End + 1, Body.size()));
  }
  return Result;
}

/// Limit of the longest common subsequence table, which has one cell per pair
/// of lines. Larger sections are shown as removed and added as a whole.
constexpr std::size_t MaxLcsCells = 4U << 20U;

void appendLines(std::vector<DiffLine> &Out, char Mark, const Lines &Text) {
  for (const std::string &Line : Text)
    Out.push_back({Mark, Line});
}

/// Removes texts that may be keys of customers.
void hideSecrets(const std::string &Section, std::vector<DiffLine> &Lines) {
  if (detail::splitName(Section).Kind != detail::CustomerKind)
    return;
  for (DiffLine &Line : Lines)
    Line.Text = detail::hideSecrets(Line.Text);
}

std::vector<DiffLine> diffLines(const Lines &Old, const Lines &New) {
  std::vector<DiffLine> Result;
  std::size_t Width = New.size() + 1;
  if ((Old.size() + 1) * Width > MaxLcsCells) {
    appendLines(Result, '-', Old);
    appendLines(Result, '+', New);
    return Result;
  }
  // Common[I * Width + J] is the length of the longest common subsequence of
  // Old from line I and New from line J.
  std::vector<std::uint32_t> Common((Old.size() + 1) * Width);
  for (std::size_t I = Old.size(); I-- > 0;)
    for (std::size_t J = New.size(); J-- > 0;)
      Common[I * Width + J] = Old[I] == New[J]
                                  ? Common[(I + 1) * Width + J + 1] + 1
                                  : std::max(Common[(I + 1) * Width + J],
                                             Common[I * Width + J + 1]);
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < Old.size() && J < New.size()) {
    if (Old[I] == New[J]) {
      Result.push_back({' ', Old[I++]});
      ++J;
    } else if (Common[(I + 1) * Width + J] >= Common[I * Width + J + 1]) {
      Result.push_back({'-', Old[I++]});
    } else {
      Result.push_back({'+', New[J++]});
    }
  }
  appendLines(Result, '-',
              Lines(Old.begin() + static_cast<long>(I), Old.end()));
  appendLines(Result, '+',
              Lines(New.begin() + static_cast<long>(J), New.end()));
  return Result;
}

const char *kindName(DiffKind Kind) {
  switch (Kind) {
  case DiffKind::Added:
    return "added";
  case DiffKind::Removed:
    return "removed";
  case DiffKind::Changed:
    break;
  }
  return "changed";
}

} // namespace

std::vector<SectionDiff> diffSections(const std::vector<SectionText> &Old,
                                      const std::vector<SectionText> &New) {
  struct Pair {
    const SectionText *Old = nullptr;
    const SectionText *New = nullptr;
  };
  std::map<std::string, Pair> Pairs;
  for (const SectionText &Section : Old)
    Pairs[Section.Name].Old = &Section;
  for (const SectionText &Section : New)
    Pairs[Section.Name].New = &Section;
  std::vector<SectionDiff> Result;
  for (const auto &[Name, Both] : Pairs) {
    if (Both.Old && Both.New && Both.Old->Body == Both.New->Body)
      continue;
    DiffKind Kind = !Both.Old   ? DiffKind::Added
                    : !Both.New ? DiffKind::Removed
                                : DiffKind::Changed;
    Result.push_back(
        {Kind, Name,
         diffLines(Both.Old ? splitLines(Both.Old->Body) : Lines(),
                   Both.New ? splitLines(Both.New->Body) : Lines())});
    hideSecrets(Name, Result.back().Lines);
  }
  return Result;
}

std::string formatDiff(const std::vector<SectionDiff> &Diff) {
  std::string Text;
  for (const SectionDiff &Section : Diff) {
    Text += fmt::format("{} [{}]\n", kindName(Section.Kind), Section.Name);
    for (const DiffLine &Line : Section.Lines)
      Text += fmt::format("{} {}\n", Line.Mark, Line.Text);
  }
  return Text;
}

} // namespace amaranth::document
