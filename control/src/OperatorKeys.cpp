#include "amaranth/control/OperatorKeys.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/IniFile.h"
#include "amaranth/base/Settings.h"
#include "amaranth/document/Document.h"

#include <fmt/format.h>

#include <sys/stat.h>

namespace amaranth::control {

namespace {

constexpr std::size_t SaltBytes = 32;
constexpr std::string_view SectionPrefix = "operator ";

bool isOwnerOnly(const std::string &Path) {
  struct stat Status {};
  return ::stat(Path.c_str(), &Status) == 0 &&
         (Status.st_mode & (S_IRWXG | S_IRWXO)) == 0;
}

/// Keys are sent in an HTTP header, so they must be printable ASCII without
/// spaces.
bool isValidKey(std::string_view Text) {
  for (char C : Text)
    if (C <= ' ' || C >= 0x7f)
      return false;
  return Text.size() >= MinOperatorKeyLength;
}

} // namespace

OperatorKeys::OperatorKeys() : Salt(base::randomBytes(SaltBytes)) {}

OperatorKeys OperatorKeys::read(const std::string &Path) {
  OperatorKeys Result;
  std::vector<base::FileFault> Faults;
  std::string Text = base::readTextFile(Path);
  if (!isOwnerOnly(Path))
    Faults.push_back({Path, 0, "", "",
                      "group or others have access to the keys; expected mode "
                      "0600"});
  Result.parse(Text, Path, Faults);
  if (!Faults.empty())
    throw base::FileError(std::move(Faults));
  return Result;
}

void OperatorKeys::parse(std::string_view Text, const std::string &Path,
                         std::vector<base::FileFault> &Faults) {
  base::IniFile File = base::parseIni(Text, Path, Faults);
  for (const base::IniSection &Section : File.Sections) {
    base::SectionReader Reader(Section, Path, Faults);
    std::string Name = Section.Name.starts_with(SectionPrefix)
                           ? Section.Name.substr(SectionPrefix.size())
                           : "";
    if (!document::isValidName(Name))
      Reader.fault("", "expected [operator NAME]");
    Operator KeyOwner{base::OperatorName(Name), {}};
    std::string Key = Reader.text("key");
    for (const std::string &Team : Reader.list("teams")) {
      if (!document::isValidName(Team))
        Reader.fault("teams",
                     fmt::format("'{}' is not a valid team name", Team));
      KeyOwner.Teams.emplace_back(Team);
    }
    Reader.finish();
    if (!Key.empty() && !isValidKey(Key))
      Reader.fault("key", fmt::format("expected at least {} printable "
                                      "characters without spaces",
                                      MinOperatorKeyLength));
    else if (!Key.empty() && !add(std::move(KeyOwner), Key))
      Reader.fault("key", "another operator has the same key");
  }
  if (File.Sections.empty())
    Faults.push_back({Path, 0, "", "", "the file defines no operator"});
}

bool OperatorKeys::add(Operator KeyOwner, std::string_view Key) {
  if (find(Key))
    return false;
  Entries.push_back({std::move(KeyOwner), keyDigest(Key)});
  return true;
}

base::Bytes OperatorKeys::keyDigest(std::string_view Key) const {
  return base::hmacSha256(Salt, base::asBytes(Key));
}

std::optional<Operator> OperatorKeys::find(std::string_view Key) const {
  // All digests have the same length and the loop has no early exit, so the
  // time reveals neither the length of a key nor a common prefix.
  base::Bytes KeyDigest = keyDigest(Key);
  const Entry *Found = nullptr;
  for (const Entry &Candidate : Entries)
    if (base::equalConstantTime(Candidate.Digest, KeyDigest))
      Found = &Candidate;
  if (!Found)
    return std::nullopt;
  return Found->KeyOwner;
}

} // namespace amaranth::control
