#include "amaranth/document/SectionText.h"

#include "amaranth/base/IniFile.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace amaranth::document {

namespace {

using base::trim;

/// Returns the value of a `revision = N` line, or nothing for other lines.
std::optional<std::string_view> revisionValue(std::string_view Line) {
  auto Equals = Line.find('=');
  if (Equals == std::string_view::npos ||
      trim(Line.substr(0, Equals)) != "revision")
    return std::nullopt;
  return trim(Line.substr(Equals + 1));
}

class SectionSplitter {
public:
  SectionSplitter(const std::string &FileName,
                  std::vector<base::FileFault> &Faults)
      : FileName(FileName), Faults(Faults) {}

  std::vector<SectionText> split(std::string_view Text) {
    while (!Text.empty()) {
      ++Line;
      auto End = std::min(Text.find('\n'), Text.size());
      processLine(Text.substr(0, End));
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
    finishSection();
    return std::move(Result);
  }

private:
  void processLine(std::string_view Raw) {
    std::string_view Text = trim(Raw);
    if (!Text.empty() && Text.front() == '[')
      return beginSection(Text);
    if (InSection)
      return addLine(Text);
    bool IsBlankOrComment =
        Text.empty() || Text.front() == ';' || Text.front() == '#';
    if (!IsBlankOrComment && !SkippingToNextSection)
      fault("", "the entry stands before the first section");
  }

  void beginSection(std::string_view Text) {
    finishSection();
    if (Text.back() != ']') {
      // The entries up to the next section line belong to this malformed one,
      // so they are not reported again.
      SkippingToNextSection = true;
      return fault("", "a section line must end with ']'");
    }
    InSection = true;
    std::string_view Name = trim(Text.substr(1, Text.size() - 2));
    Result.push_back({std::string(Name), "", {Line}, std::nullopt});
  }

  void addLine(std::string_view Text) {
    SectionText &Current = Result.back();
    if (auto Value = revisionValue(Text))
      return parseRevision(*Value);
    Current.Body.append(Text).push_back('\n');
    Current.Lines.push_back(Line);
  }

  void parseRevision(std::string_view Text) {
    SectionText &Current = Result.back();
    std::uint64_t Value = 0;
    auto [End, Code] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Value);
    if (Code != std::errc() || End != Text.data() + Text.size())
      return fault("revision", fmt::format("'{}' is no whole number", Text));
    if (Current.Revision)
      return fault("revision", "duplicate key in this section");
    Current.Revision = base::Revision(Value);
  }

  void finishSection() {
    if (!InSection)
      return;
    std::string &Body = Result.back().Body;
    while (Body.ends_with("\n\n") || Body == "\n") {
      Body.pop_back();
      Result.back().Lines.pop_back();
    }
    InSection = false;
  }

  void fault(const std::string &Key, std::string Reason) {
    Faults.push_back({FileName, Line, InSection ? Result.back().Name : "", Key,
                      std::move(Reason)});
  }

  const std::string &FileName;
  std::vector<base::FileFault> &Faults;
  std::vector<SectionText> Result;
  unsigned Line = 0;
  bool InSection = false;
  bool SkippingToNextSection = false;
};

} // namespace

unsigned SectionText::fileLine(unsigned Number) const {
  if (Lines.empty())
    return Number;
  if (Number == 0 || Number > Lines.size())
    return Lines.back();
  return Lines[Number - 1];
}

std::vector<SectionText> splitSections(std::string_view Text,
                                       const std::string &FileName,
                                       std::vector<base::FileFault> &Faults) {
  if (Text.size() > base::MaxIniBytes) {
    Faults.push_back({FileName, 0, "", "",
                      fmt::format("the text has {} bytes, the limit is {}",
                                  Text.size(), base::MaxIniBytes)});
    return {};
  }
  return SectionSplitter(FileName, Faults).split(Text);
}

std::string joinSections(const std::vector<SectionText> &Sections) {
  std::string Text;
  for (const SectionText &Section : Sections) {
    if (!Text.empty())
      Text += '\n';
    Text += fmt::format("[{}]\n", Section.Name);
    if (Section.Revision)
      Text += fmt::format("revision = {}\n", Section.Revision->value());
    Text += Section.Body;
  }
  return Text;
}

std::string normalizeBody(std::string_view Body) {
  std::string Result;
  while (!Body.empty()) {
    auto End = std::min(Body.find('\n'), Body.size());
    Result.append(trim(Body.substr(0, End))).push_back('\n');
    Body.remove_prefix(std::min(End + 1, Body.size()));
  }
  while (Result.ends_with("\n\n") || Result == "\n")
    Result.pop_back();
  return Result;
}

} // namespace amaranth::document
