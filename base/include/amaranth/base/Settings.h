#ifndef AMARANTH_BASE_SETTINGS_H
#define AMARANTH_BASE_SETTINGS_H

#include "amaranth/base/IniFile.h"
#include "amaranth/base/Millis.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::base {

/// Parses `10ms`, `2s`, `5m`, `4h` or `1d`. Empty on any other text, also
/// when the unit is missing or the value exceeds ten years.
std::optional<Millis> parseDuration(std::string_view Text);

/// Shortest exact form that `parseDuration` reads.
std::string formatDuration(Millis Span);

/// Parses `64KiB`, `4MiB`, `1GiB` or `512B`.
std::optional<std::uint64_t> parseByteSize(std::string_view Text);

/// An IP address and port. Host names are not accepted: a process learns its
/// addresses from its settings and resolves no names.
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;
  /// `127.0.0.1:80` or `[::1]:80`.
  std::string text() const;
};

/// Parses `127.0.0.1:8080` or `[::1]:8080`.
std::optional<Address> parseAddress(std::string_view Text);

/// Largest value of `SectionReader::seconds`: one day.
inline constexpr double MaxSeconds = 86'400;

/// Typed access to one section that collects faults instead of stopping at
/// the first. After all keys were read, `finish` reports the keys that
/// nobody asked for as unknown.
class SectionReader {
public:
  SectionReader(const IniSection &Section, std::string FileName,
                std::vector<FileFault> &Faults);

  /// A required text. Empty, with a fault, when absent or empty.
  std::string text(std::string_view Key);
  std::string text(std::string_view Key, const std::string &Default);
  /// Absent key: the default, or a fault when there is none.
  Millis duration(std::string_view Key,
                  std::optional<Millis> Default = std::nullopt);
  /// A number of seconds without a unit, with an optional fraction, from 0 to
  /// `MaxSeconds`. An absent or empty value gives the default.
  Millis seconds(std::string_view Key, Millis Default);
  std::uint64_t byteSize(std::string_view Key,
                         std::optional<std::uint64_t> Default = std::nullopt);
  std::int64_t integer(std::string_view Key, std::int64_t Min, std::int64_t Max,
                       std::optional<std::int64_t> Default = std::nullopt);
  double number(std::string_view Key, double Min, double Max,
                std::optional<double> Default = std::nullopt);
  bool boolean(std::string_view Key,
               std::optional<bool> Default = std::nullopt);
  Address address(std::string_view Key,
                  const std::optional<Address> &Default = std::nullopt);
  /// One of the allowed words.
  std::string choice(std::string_view Key,
                     const std::vector<std::string> &Allowed,
                     const std::optional<std::string> &Default = std::nullopt);
  /// Comma-separated, trimmed, empty parts dropped. Absent: empty.
  std::vector<std::string> list(std::string_view Key);

  bool has(std::string_view Key) const;
  /// Records a fault at the line of `Key`, or of the section when absent.
  void fault(std::string_view Key, std::string Reason);
  void finish();

private:
  const IniEntry *take(std::string_view Key);
  /// As `take`, but records a fault when the key is absent and `Required`.
  const IniEntry *take(std::string_view Key, bool Required);

  const IniSection &Section;
  std::string FileName;
  std::vector<FileFault> &Faults;
  std::set<std::string, std::less<>> Known;
};

/// Reads the first line of a secret file. Throws `FileError` when the file
/// can be read or written by group or others, or is empty.
std::string readSecretFile(const std::string &Path);

} // namespace amaranth::base

#endif
