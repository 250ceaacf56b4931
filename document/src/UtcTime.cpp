#include "amaranth/document/UtcTime.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>

namespace amaranth::document {

namespace {

/// Each `0` stands for any digit; all other characters must match exactly.
constexpr std::string_view Layout = "0000-00-00T00:00:00Z";

bool matchesLayout(std::string_view Text) {
  if (Text.size() != Layout.size())
    return false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    bool Digit = Text[I] >= '0' && Text[I] <= '9';
    if (Layout[I] == '0' ? !Digit : Text[I] != Layout[I])
      return false;
  }
  return true;
}

unsigned numberAt(std::string_view Text, std::size_t Begin, std::size_t Count) {
  unsigned Value = 0;
  std::from_chars(Text.data() + Begin, Text.data() + Begin + Count, Value);
  return Value;
}

} // namespace

std::optional<base::WallTime> parseUtcTime(std::string_view Text) {
  using namespace std::chrono;
  if (!matchesLayout(Text))
    return std::nullopt;
  unsigned Year = numberAt(Text, 0, 4);
  unsigned Hour = numberAt(Text, 11, 2);
  unsigned Minute = numberAt(Text, 14, 2);
  unsigned Second = numberAt(Text, 17, 2);
  year_month_day Date(year(static_cast<int>(Year)), month(numberAt(Text, 5, 2)),
                      day(numberAt(Text, 8, 2)));
  if (!Date.ok() || Year < 2000 || Year > 2199 || Hour > 23 || Minute > 59 ||
      Second > 59)
    return std::nullopt;
  std::int64_t Days = sys_days(Date).time_since_epoch().count();
  std::int64_t Seconds =
      Days * 86'400 + std::int64_t{Hour} * 3600 + Minute * 60 + Second;
  return base::WallTime(Seconds * 1000);
}

std::string formatUtcTime(base::WallTime Time) {
  using namespace std::chrono;
  sys_time<milliseconds> Point{milliseconds(Time.count())};
  auto Day = floor<days>(Point);
  year_month_day Date(Day);
  hh_mm_ss Clock(floor<seconds>(Point - Day));
  return fmt::format(
      "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", static_cast<int>(Date.year()),
      static_cast<unsigned>(Date.month()), static_cast<unsigned>(Date.day()),
      Clock.hours().count(), Clock.minutes().count(), Clock.seconds().count());
}

} // namespace amaranth::document
