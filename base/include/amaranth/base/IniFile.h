#ifndef AMARANTH_BASE_INIFILE_H
#define AMARANTH_BASE_INIFILE_H

#include "amaranth/base/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace amaranth::base {

/// One `key = value` line.
struct IniEntry {
  std::string Key;
  std::string Value;
  unsigned Line = 0;
};

/// One `[name]` section with its entries in file order.
struct IniSection {
  std::string Name;
  unsigned Line = 0;
  std::vector<IniEntry> Entries;

  /// The entry with this key, or null.
  const IniEntry *find(std::string_view Key) const;
};

/// An INI text split into sections. Comments start with `;` or `#` at the
/// beginning of a line. Values reach to the end of the line, without the
/// white space around them. inih is not used because it reports neither
/// duplicate sections nor the line of an entry.
struct IniFile {
  std::vector<IniSection> Sections;

  const IniSection *find(std::string_view Name) const;
};

/// Largest accepted text in bytes.
inline constexpr std::size_t MaxIniBytes = 4U << 20U;
/// Longest accepted line in bytes.
inline constexpr std::size_t MaxIniLineBytes = 4096;

/// `Text` without the spaces, tabs and carriage returns at both ends.
std::string_view trim(std::string_view Text);

/// Parses `Text`. Faults (a line that is no section, entry or comment, an
/// entry before the first section, duplicate sections or keys, an oversized
/// line or text, a control character) are appended to `Faults` with the file
/// name and line; the rest of the text is still parsed.
IniFile parseIni(std::string_view Text, const std::string &FileName,
                 std::vector<FileFault> &Faults);

/// Reads and parses a file. Throws `FileError` with all faults, also when
/// the file cannot be read.
IniFile readIniFile(const std::string &Path);

/// Whole contents of a file. Throws `FileError`.
std::string readTextFile(const std::string &Path);

} // namespace amaranth::base

#endif
