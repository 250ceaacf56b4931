#include "amaranth/base/Settings.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cmath>
#include <sys/stat.h>

namespace amaranth::base {

namespace {

struct Unit {
  std::string_view Suffix;
  std::uint64_t Factor;
};

constexpr std::array<Unit, 5> DurationUnits = {{{"ms", 1},
                                                {"s", 1000},
                                                {"m", 60'000},
                                                {"h", 3'600'000},
                                                {"d", 86'400'000}}};
constexpr std::array<Unit, 4> SizeUnits = {
    {{"B", 1}, {"KiB", 1U << 10U}, {"MiB", 1U << 20U}, {"GiB", 1U << 30U}}};

constexpr std::uint64_t MaxDurationMillis = 3650ULL * 86'400'000ULL;
constexpr std::uint64_t MaxByteSize = 1ULL << 50U;

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

template <std::size_t Count>
std::optional<std::uint64_t> parseWithUnit(std::string_view Text,
                                           const std::array<Unit, Count> &Units,
                                           std::uint64_t Max) {
  auto Digits = Text.find_first_not_of("0123456789");
  if (Digits == 0 || Digits == std::string_view::npos)
    return std::nullopt;
  auto Value = parseNumber<std::uint64_t>(Text.substr(0, Digits));
  std::string_view Suffix = Text.substr(Digits);
  for (const Unit &Candidate : Units) {
    if (Candidate.Suffix != Suffix)
      continue;
    if (!Value || *Value > Max / Candidate.Factor)
      return std::nullopt;
    return *Value * Candidate.Factor;
  }
  return std::nullopt;
}

} // namespace

std::optional<Millis> parseDuration(std::string_view Text) {
  auto Value = parseWithUnit(Text, DurationUnits, MaxDurationMillis);
  if (!Value)
    return std::nullopt;
  return Millis(static_cast<std::int64_t>(*Value));
}

std::string formatDuration(Millis Span) {
  for (auto It = DurationUnits.rbegin(); It != DurationUnits.rend(); ++It) {
    auto Factor = static_cast<std::int64_t>(It->Factor);
    if (Span.count() != 0 && Span.count() % Factor == 0)
      return fmt::format("{}{}", Span.count() / Factor, It->Suffix);
  }
  return "0ms";
}

std::optional<std::uint64_t> parseByteSize(std::string_view Text) {
  return parseWithUnit(Text, SizeUnits, MaxByteSize);
}

std::string Address::text() const {
  return Ip.find(':') == std::string::npos ? fmt::format("{}:{}", Ip, Port)
                                           : fmt::format("[{}]:{}", Ip, Port);
}

std::optional<Address> parseAddress(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  if (Host.size() >= 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  else if (Host.find(':') != std::string_view::npos)
    return std::nullopt;
  auto Port = parseNumber<std::uint16_t>(Text.substr(Colon + 1));
  boost::system::error_code Failure;
  auto Ip = boost::asio::ip::make_address(std::string(Host), Failure);
  if (!Port || Failure)
    return std::nullopt;
  return Address{Ip.to_string(), *Port};
}

SectionReader::SectionReader(const IniSection &Section, std::string FileName,
                             std::vector<FileFault> &Faults)
    : Section(Section), FileName(std::move(FileName)), Faults(Faults) {}

const IniEntry *SectionReader::take(std::string_view Key) {
  Known.emplace(Key);
  return Section.find(Key);
}

const IniEntry *SectionReader::take(std::string_view Key, bool Required) {
  const IniEntry *Entry = take(Key);
  if (!Entry && Required)
    fault(Key, "the key is required");
  return Entry;
}

std::string SectionReader::text(std::string_view Key) {
  const IniEntry *Entry = take(Key, true);
  if (!Entry)
    return {};
  if (Entry->Value.empty())
    fault(Key, "the value is empty");
  return Entry->Value;
}

std::string SectionReader::text(std::string_view Key,
                                const std::string &Default) {
  const IniEntry *Entry = take(Key);
  return Entry ? Entry->Value : Default;
}

Millis SectionReader::duration(std::string_view Key,
                               std::optional<Millis> Default) {
  const IniEntry *Entry = take(Key, !Default);
  if (!Entry)
    return Default.value_or(Millis());
  if (auto Value = parseDuration(Entry->Value))
    return *Value;
  fault(Key, fmt::format("'{}' is no duration; expected a number with the "
                         "unit ms, s, m, h or d",
                         Entry->Value));
  return Default.value_or(Millis());
}

Millis SectionReader::seconds(std::string_view Key, Millis Default) {
  const IniEntry *Entry = take(Key);
  if (!Entry || Entry->Value.empty())
    return Default;
  auto Value = parseNumber<double>(Entry->Value);
  if (Value && *Value >= 0 && *Value <= MaxSeconds)
    return Millis(std::llround(*Value * 1000));
  fault(Key, fmt::format("'{}' is no number of seconds from 0 to {}",
                         Entry->Value, MaxSeconds));
  return Default;
}

std::uint64_t SectionReader::byteSize(std::string_view Key,
                                      std::optional<std::uint64_t> Default) {
  const IniEntry *Entry = take(Key, !Default);
  if (!Entry)
    return Default.value_or(0);
  if (auto Value = parseByteSize(Entry->Value))
    return *Value;
  fault(Key, fmt::format("'{}' is no size; expected a number with the unit "
                         "B, KiB, MiB or GiB",
                         Entry->Value));
  return Default.value_or(0);
}

std::int64_t SectionReader::integer(std::string_view Key, std::int64_t Min,
                                    std::int64_t Max,
                                    std::optional<std::int64_t> Default) {
  const IniEntry *Entry = take(Key, !Default);
  if (!Entry)
    return Default.value_or(Min);
  auto Value = parseNumber<std::int64_t>(Entry->Value);
  if (Value && *Value >= Min && *Value <= Max)
    return *Value;
  fault(Key, fmt::format("'{}' is no whole number from {} to {}", Entry->Value,
                         Min, Max));
  return Default.value_or(Min);
}

double SectionReader::number(std::string_view Key, double Min, double Max,
                             std::optional<double> Default) {
  const IniEntry *Entry = take(Key, !Default);
  if (!Entry)
    return Default.value_or(Min);
  auto Value = parseNumber<double>(Entry->Value);
  if (Value && std::isfinite(*Value) && *Value >= Min && *Value <= Max)
    return *Value;
  fault(Key,
        fmt::format("'{}' is no number from {} to {}", Entry->Value, Min, Max));
  return Default.value_or(Min);
}

bool SectionReader::boolean(std::string_view Key, std::optional<bool> Default) {
  const IniEntry *Entry = take(Key, !Default);
  if (!Entry)
    return Default.value_or(false);
  if (Entry->Value == "true" || Entry->Value == "false")
    return Entry->Value == "true";
  fault(Key, fmt::format("'{}' is neither 'true' nor 'false'", Entry->Value));
  return Default.value_or(false);
}

Address SectionReader::address(std::string_view Key,
                               const std::optional<Address> &Default) {
  const IniEntry *Entry = take(Key, !Default);
  if (!Entry)
    return Default.value_or(Address());
  if (auto Value = parseAddress(Entry->Value))
    return *Value;
  fault(Key, fmt::format("'{}' is no address; expected IP:PORT", Entry->Value));
  return Default.value_or(Address());
}

std::string SectionReader::choice(std::string_view Key,
                                  const std::vector<std::string> &Allowed,
                                  const std::optional<std::string> &Default) {
  const IniEntry *Entry = take(Key, !Default);
  if (!Entry)
    return Default.value_or("");
  for (const std::string &Word : Allowed)
    if (Word == Entry->Value)
      return Word;
  fault(Key, fmt::format("'{}' is not one of: {}", Entry->Value,
                         fmt::join(Allowed, ", ")));
  return Default.value_or("");
}

std::vector<std::string> SectionReader::list(std::string_view Key) {
  const IniEntry *Entry = take(Key);
  std::vector<std::string> Parts;
  if (!Entry)
    return Parts;
  std::string_view Rest = Entry->Value;
  while (!Rest.empty()) {
    auto Comma = std::min(Rest.find(','), Rest.size());
    std::string_view Part = Rest.substr(0, Comma);
    Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
    auto First = Part.find_first_not_of(" \t");
    if (First == std::string_view::npos)
      continue;
    Parts.emplace_back(
        Part.substr(First, Part.find_last_not_of(" \t") - First + 1));
  }
  return Parts;
}

bool SectionReader::has(std::string_view Key) const {
  return Section.find(Key) != nullptr;
}

void SectionReader::fault(std::string_view Key, std::string Reason) {
  const IniEntry *Entry = Section.find(Key);
  Faults.push_back({FileName, Entry ? Entry->Line : Section.Line, Section.Name,
                    std::string(Key), std::move(Reason)});
}

void SectionReader::finish() {
  for (const IniEntry &Entry : Section.Entries)
    if (!Known.contains(Entry.Key))
      fault(Entry.Key, "unknown key");
}

std::string readSecretFile(const std::string &Path) {
  struct stat Status {};
  std::string Text = readTextFile(Path);
  if (::stat(Path.c_str(), &Status) != 0)
    throw FileError({{Path, 0, "", "", "its permissions cannot be read"}});
  if ((Status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    throw FileError({{Path, 0, "", "",
                      "group or others have access to this secret; expected "
                      "mode 0600"}});
  Text.resize(std::min(Text.find_first_of("\r\n"), Text.size()));
  if (Text.empty())
    throw FileError({{Path, 0, "", "", "the secret is empty"}});
  return Text;
}

} // namespace amaranth::base
