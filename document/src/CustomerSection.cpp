#include "CustomerSection.h"

#include "SectionParser.h"
#include "amaranth/base/IniFile.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>

namespace amaranth::document::detail {

namespace {

using base::trim;

constexpr std::string_view DigestsKey = "key-digests";
constexpr std::array<std::string_view, 5> KnownKeys = {
    "owner", DigestsKey, "priority", "requests-per-second", "burst"};
constexpr std::string_view Hidden = "(hidden)";

bool isKnownKey(std::string_view Key) {
  return std::find(KnownKeys.begin(), KnownKeys.end(), Key) != KnownKeys.end();
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string hideParts(std::string_view Value) {
  std::string Result;
  while (!Value.empty()) {
    auto End = std::min(Value.find(','), Value.size());
    std::string_view Part = trim(Value.substr(0, End));
    Value.remove_prefix(std::min(End + 1, Value.size()));
    if (!Result.empty())
      Result += ", ";
    Result += parseKeyDigest(Part) ? Part : Hidden;
  }
  return Result;
}

std::vector<KeyDigest> readDigests(base::SectionReader &Reader) {
  std::vector<KeyDigest> Result;
  std::size_t Number = 0;
  for (const std::string &Text : Reader.list(DigestsKey)) {
    ++Number;
    auto Digest = parseKeyDigest(Text);
    if (!Digest)
      Reader.fault(DigestsKey,
                   fmt::format("part {} is no digest; expected the 64 "
                               "hexadecimal digits of SHA-256, not the key",
                               Number));
    else if (std::find(Result.begin(), Result.end(), *Digest) != Result.end())
      Reader.fault(DigestsKey,
                   fmt::format("part {} repeats an earlier part", Number));
    else
      Result.push_back(*Digest);
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

} // namespace

std::optional<KeyDigest> parseKeyDigest(std::string_view Text) {
  KeyDigest Result{};
  if (Text.size() != 2 * Result.size())
    return std::nullopt;
  for (std::size_t I = 0; I < Result.size(); ++I) {
    int High = hexDigit(Text[2 * I]);
    int Low = hexDigit(Text[2 * I + 1]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Result[I] = static_cast<std::uint8_t>(High * 16 + Low);
  }
  return Result;
}

CustomerSection readCustomer(const std::string &Name,
                             base::SectionReader &Reader) {
  CustomerSection Result;
  Result.Owner = readOwner(Reader);
  Result.Value.Name = base::CustomerName(Name);
  Result.Value.Keys = readDigests(Reader);
  Result.Value.Priority = static_cast<std::uint32_t>(Reader.integer(
      "priority", 0, std::numeric_limits<std::uint32_t>::max(), 0));
  Result.Value.RequestsPerSecond =
      Reader.number("requests-per-second", 0, MaxRequestRate, 0);
  Result.Value.Burst = Reader.number("burst", 0, MaxRequestRate, 0);
  Reader.finish();
  return Result;
}

void hideUnknownKeys(std::vector<base::FileFault> &Faults, std::size_t First) {
  for (std::size_t I = First; I < Faults.size(); ++I)
    if (!Faults[I].Key.empty() && !isKnownKey(Faults[I].Key))
      Faults[I].Key = Hidden;
}

std::string hideSecrets(const std::string &Line) {
  auto Equals = Line.find('=');
  bool IsComment = Line.starts_with('#') || Line.starts_with(';');
  if (IsComment || Line.empty())
    return Line;
  std::string_view Key = trim(std::string_view(Line).substr(0, Equals));
  if (Equals == std::string::npos || !isKnownKey(Key))
    return std::string(Hidden);
  if (Key != DigestsKey)
    return Line;
  return fmt::format("{} = {}", Key,
                     hideParts(std::string_view(Line).substr(Equals + 1)));
}

} // namespace amaranth::document::detail
