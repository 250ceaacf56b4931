#include "SectionParser.h"

#include "amaranth/document/UtcTime.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace amaranth::document {

bool isValidName(std::string_view Text) {
  auto IsAlnum = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9');
  };
  if (Text.empty() || Text.size() > MaxNameBytes || !IsAlnum(Text.front()))
    return false;
  return std::all_of(Text.begin(), Text.end(), [&](char C) {
    return IsAlnum(C) || C == '.' || C == '_' || C == '-';
  });
}

namespace detail {

namespace {

constexpr base::Millis MaxRouteTimeout = base::Millis::seconds(3600);
constexpr base::Millis MaxColdPeriod = base::Millis::seconds(3600);
// Gives each default step of a rollout at least 10 s.
constexpr base::Millis MinRolloutDuration = base::Millis::seconds(120);
constexpr base::Millis MaxRolloutDuration =
    base::Millis::seconds(90LL * 86'400);
constexpr std::size_t MaxRolloutSteps = 20;
constexpr std::size_t MaxNoteBytes = 1024;

template <typename Id>
Id readName(std::string_view Key, base::SectionReader &Reader) {
  std::string Text = Reader.text(Key);
  if (!Text.empty() && !isValidName(Text))
    Reader.fault(Key, fmt::format("'{}' is no name; expected 1 to {} of the "
                                  "characters A-Z a-z 0-9 . _ -",
                                  Text.substr(0, MaxNameBytes), MaxNameBytes));
  return Id(std::move(Text));
}

base::Millis readTimeout(base::SectionReader &Reader) {
  constexpr base::Millis MinTimeout(1);
  if (!Reader.has("timeout"))
    return Reader.duration("timeout");
  // An unreadable value is replaced by a valid default, so that it is not
  // reported a second time.
  base::Millis Timeout = Reader.duration("timeout", MinTimeout);
  if (Timeout < MinTimeout || Timeout > MaxRouteTimeout)
    Reader.fault("timeout", "expected 1ms to 1h");
  return Timeout;
}

bool isValidPath(std::string_view Text) {
  bool Printable = std::all_of(Text.begin(), Text.end(), [](char C) {
    return C > ' ' && C < 0x7f && C != '?' && C != '#';
  });
  return Printable && Text.starts_with('/') && Text.size() <= MaxPathBytes &&
         Text.find("//") == std::string_view::npos;
}

base::WallTime readTime(std::string_view Key, base::SectionReader &Reader) {
  std::string Text = Reader.text(Key);
  if (Text.empty())
    return {};
  if (auto Time = parseUtcTime(Text))
    return *Time;
  Reader.fault(Key, fmt::format("'{}' is no UTC time like "
                                "2026-12-04T06:00:00Z",
                                Text));
  return {};
}

/// Converts a percentage such as `5` or `0.5%` to millionths. Returns 0 if the
/// text is not a percentage above 0 and up to 100.
std::uint32_t parseStep(std::string_view Text) {
  if (Text.ends_with('%'))
    Text.remove_suffix(1);
  while (Text.ends_with(' '))
    Text.remove_suffix(1);
  double Percent = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Percent);
  if (Code != std::errc() || End != Text.data() + Text.size() ||
      !(Percent > 0 && Percent <= 100))
    return 0;
  return static_cast<std::uint32_t>(std::lround(Percent * FullShare / 100));
}

std::vector<std::uint32_t> readSteps(base::SectionReader &Reader) {
  std::vector<std::uint32_t> Steps;
  for (const std::string &Text : Reader.list("steps")) {
    Steps.push_back(parseStep(Text));
    if (Steps.back() == 0)
      Reader.fault("steps", fmt::format("'{}' is no percentage above 0 and up "
                                        "to 100",
                                        Text));
  }
  if (Steps.empty() || Steps.back() != FullShare)
    Reader.fault("steps", "the last step must be 100 %");
  if (Steps.size() > MaxRolloutSteps)
    Reader.fault("steps", fmt::format("{} steps, the limit is {}", Steps.size(),
                                      MaxRolloutSteps));
  if (std::adjacent_find(Steps.begin(), Steps.end(), std::greater_equal<>()) !=
      Steps.end())
    Reader.fault("steps", "the steps must rise");
  return Steps;
}

void checkTimes(const RolloutSection &Value, base::SectionReader &Reader) {
  if (Value.Start == base::WallTime() || Value.Deadline == base::WallTime())
    return;
  base::Millis Span = Value.Deadline - Value.Start;
  if (Span <= base::Millis())
    return Reader.fault("deadline", "the deadline must be after the start");
  if (Span < MinRolloutDuration || Span > MaxRolloutDuration)
    Reader.fault("deadline",
                 fmt::format("{} after the start; expected {} to {}",
                             base::formatDuration(Span),
                             base::formatDuration(MinRolloutDuration),
                             base::formatDuration(MaxRolloutDuration)));
}

} // namespace

SectionName splitName(std::string_view Name) {
  auto Space = Name.find(' ');
  if (Space == std::string_view::npos || Space == 0)
    return {};
  return {std::string(Name.substr(0, Space)),
          std::string(Name.substr(Space + 1))};
}

base::IniSection parseBody(const SectionText &Section,
                           const std::string &FileName,
                           std::vector<base::FileFault> &Faults) {
  std::vector<base::FileFault> Found;
  base::IniFile File =
      base::parseIni("[section]\n" + Section.Body, FileName, Found);
  for (base::FileFault &Fault : Found) {
    Fault.Line = Section.fileLine(Fault.Line);
    Fault.Section = Section.Name;
    Faults.push_back(std::move(Fault));
  }
  if (File.Sections.size() > 1)
    Faults.push_back({FileName, Section.fileLine(File.Sections[1].Line),
                      Section.Name, "",
                      "the body of a section contains a section line"});
  base::IniSection Result;
  if (!File.Sections.empty())
    Result = std::move(File.Sections.front());
  Result.Name = Section.Name;
  Result.Line = Section.fileLine(1);
  for (base::IniEntry &Entry : Result.Entries)
    Entry.Line = Section.fileLine(Entry.Line);
  return Result;
}

base::TeamName readOwner(base::SectionReader &Reader) {
  return readName<base::TeamName>("owner", Reader);
}

RouteSection readRoute(const std::string &Name, base::SectionReader &Reader) {
  RouteSection Result;
  Result.Owner = readOwner(Reader);
  Result.Value.Name = base::RouteName(Name);
  Result.Value.PathPrefix = Reader.text("path");
  if (!Result.Value.PathPrefix.empty() && !isValidPath(Result.Value.PathPrefix))
    Reader.fault("path", fmt::format("expected a path that begins with '/', "
                                     "has no empty segment, query or space, "
                                     "and has at most {} characters",
                                     MaxPathBytes));
  Result.Value.Service = readName<base::ServiceName>("service", Reader);
  Result.Value.Timeout = readTimeout(Reader);
  Result.Value.RequireIdempotencyKey =
      Reader.boolean("require-idempotency-key", false);
  Result.Value.Public = Reader.boolean("public", false);
  Reader.finish();
  return Result;
}

ServiceSection readService(const std::string &Name,
                           base::SectionReader &Reader) {
  ServiceSection Result;
  Result.Name = base::ServiceName(Name);
  Result.Owner = readOwner(Reader);
  Result.Version = readName<base::VersionName>("version", Reader);
  Result.ColdPeriod = Reader.duration("cold-period", base::Millis(0));
  if (Result.ColdPeriod > MaxColdPeriod)
    Reader.fault("cold-period", "expected 0s to 1h");
  Result.ColdRequestsPerSecond =
      Reader.number("cold-requests-per-second", 0, MaxRequestRate, 0);
  Reader.finish();
  return Result;
}

VersionSection readVersion(const std::string &Service, const std::string &Id,
                           base::SectionReader &Reader) {
  VersionSection Result;
  Result.Service = base::ServiceName(Service);
  Result.Id = base::VersionName(Id);
  Result.Owner = readOwner(Reader);
  Result.Note = Reader.text("note", "");
  if (Result.Note.size() > MaxNoteBytes)
    Reader.fault("note", fmt::format("{} bytes, the limit is {}",
                                     Result.Note.size(), MaxNoteBytes));
  Reader.finish();
  return Result;
}

RolloutSection readRollout(const std::string &Service,
                           base::SectionReader &Reader) {
  RolloutSection Result;
  Result.Service = base::ServiceName(Service);
  Result.Owner = readOwner(Reader);
  Result.From = readName<base::VersionName>("from", Reader);
  Result.To = readName<base::VersionName>("to", Reader);
  if (!Result.To.value().empty() && Result.From == Result.To)
    Reader.fault("to", fmt::format("the same version '{}' as 'from'",
                                   Result.To.value()));
  Result.Start = readTime("start", Reader);
  Result.Deadline = readTime("deadline", Reader);
  checkTimes(Result, Reader);
  Result.MaxErrorIncrease =
      Reader.number("max-error-increase", 0, 0.5, Result.MaxErrorIncrease);
  Result.MaxLatencyRatio =
      Reader.number("max-latency-ratio", 1, 100, Result.MaxLatencyRatio);
  if (Reader.has("steps"))
    Result.Steps = readSteps(Reader);
  Result.MinRequests = static_cast<std::uint32_t>(
      Reader.integer("min-requests", 1, 1'000'000'000, Result.MinRequests));
  Result.HighRisk =
      Reader.choice("risk", {"normal", "high"}, "normal") == "high";
  Reader.finish();
  return Result;
}

} // namespace detail

} // namespace amaranth::document
