#include "amaranth/base/IniFile.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <set>

namespace amaranth::base {

const IniEntry *IniSection::find(std::string_view Key) const {
  for (const IniEntry &Entry : Entries)
    if (Entry.Key == Key)
      return &Entry;
  return nullptr;
}

const IniSection *IniFile::find(std::string_view Name) const {
  for (const IniSection &Section : Sections)
    if (Section.Name == Name)
      return &Section;
  return nullptr;
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Space = " \t\r";
  auto First = Text.find_first_not_of(Space);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Space) - First + 1);
}

namespace {

bool hasControlCharacter(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(), [](char C) {
    auto Code = static_cast<unsigned char>(C);
    return (Code < 0x20 && C != '\t' && C != '\r') || Code == 0x7f;
  });
}

class IniParser {
public:
  IniParser(const std::string &FileName, std::vector<FileFault> &Faults)
      : FileName(FileName), Faults(Faults) {}

  IniFile parse(std::string_view Text) {
    while (!Text.empty()) {
      auto End = std::min(Text.find('\n'), Text.size());
      ++Line;
      parseLine(Text.substr(0, End));
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
    return std::move(Result);
  }

private:
  void parseLine(std::string_view Raw) {
    if (Raw.size() > MaxIniLineBytes)
      return fault("", fmt::format("the line has {} bytes, the limit is {}",
                                   Raw.size(), MaxIniLineBytes));
    if (hasControlCharacter(Raw))
      return fault("", "the line contains a control character");
    std::string_view Text = trim(Raw);
    if (Text.empty() || Text.front() == ';' || Text.front() == '#')
      return;
    if (Text.front() == '[')
      return parseSection(Text);
    parseEntry(Text);
  }

  void parseSection(std::string_view Text) {
    InSection = true;
    if (Text.back() != ']')
      return fault("", "a section line must end with ']'");
    std::string Name(trim(Text.substr(1, Text.size() - 2)));
    if (Name.empty())
      return fault("", "a section needs a name");
    if (!Names.insert(Name).second)
      fault("", fmt::format("duplicate section [{}]", Name));
    Result.Sections.push_back({std::move(Name), Line, {}});
  }

  void parseEntry(std::string_view Text) {
    auto Equals = Text.find('=');
    if (Equals == std::string_view::npos)
      return fault("", "expected 'key = value' or '[section]'");
    std::string Key(trim(Text.substr(0, Equals)));
    std::string Value(trim(Text.substr(Equals + 1)));
    if (Key.empty())
      return fault("", "an entry needs a key before '='");
    if (!InSection)
      return fault(Key, "the entry stands before the first section");
    if (Result.Sections.empty())
      return;
    IniSection &Section = Result.Sections.back();
    if (Section.find(Key))
      return fault(Key, "duplicate key in this section");
    Section.Entries.push_back({std::move(Key), std::move(Value), Line});
  }

  void fault(const std::string &Key, std::string Reason) {
    std::string Section =
        Result.Sections.empty() ? "" : Result.Sections.back().Name;
    Faults.push_back({FileName, Line, Section, Key, std::move(Reason)});
  }

  const std::string &FileName;
  std::vector<FileFault> &Faults;
  IniFile Result;
  std::set<std::string> Names;
  unsigned Line = 0;
  bool InSection = false;
};

} // namespace

IniFile parseIni(std::string_view Text, const std::string &FileName,
                 std::vector<FileFault> &Faults) {
  if (Text.size() > MaxIniBytes) {
    Faults.push_back({FileName, 0, "", "",
                      fmt::format("the text has {} bytes, the limit is {}",
                                  Text.size(), MaxIniBytes)});
    return {};
  }
  return IniParser(FileName, Faults).parse(Text);
}

std::string readTextFile(const std::string &Path) {
  errno = 0;
  std::ifstream In(Path, std::ios::binary);
  std::string Text((std::istreambuf_iterator<char>(In)),
                   std::istreambuf_iterator<char>());
  if (In.is_open() && !In.bad())
    return Text;
  throw FileError({{Path, 0, "", "",
                    fmt::format("cannot be read: {}",
                                errno ? std::strerror(errno) : "I/O error")}});
}

IniFile readIniFile(const std::string &Path) {
  std::vector<FileFault> Faults;
  IniFile Result = parseIni(readTextFile(Path), Path, Faults);
  if (!Faults.empty())
    throw FileError(std::move(Faults));
  return Result;
}

} // namespace amaranth::base
