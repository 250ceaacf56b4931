#include "amaranth/dataplane/QuotaBucket.h"

#include <algorithm>
#include <cmath>

namespace amaranth::dataplane {

namespace {

constexpr double MillisPerSecond = 1000;
/// Keeps low rates from overflowing.
constexpr double MaxTimeUntilMs = 3'600'000;
/// A token that is short by a rounding error counts.
constexpr double Rounding = 1e-9;

} // namespace

void QuotaBucket::refill(base::TimePoint Now) {
  Tokens = tokens(Now);
  UpdatedAt = std::max(UpdatedAt, Now);
}

void QuotaBucket::setLimit(QuotaRate NewLimit, base::TimePoint Now) {
  refill(Now);
  Limit = NewLimit;
  Tokens = std::min(Tokens, Limit.Capacity);
}

void QuotaBucket::clear(base::TimePoint Now) {
  Tokens = 0;
  UpdatedAt = std::max(UpdatedAt, Now);
}

double QuotaBucket::tokens(base::TimePoint Now) const {
  auto ElapsedMs =
      static_cast<double>(std::max<std::int64_t>(0, (Now - UpdatedAt).count()));
  return std::min(Limit.Capacity,
                  Tokens + Limit.PerSecond * ElapsedMs / MillisPerSecond);
}

std::uint32_t QuotaBucket::take(std::uint32_t Wanted, base::TimePoint Now) {
  refill(Now);
  double Whole = std::floor(Tokens + Rounding);
  auto Taken = static_cast<std::uint32_t>(
      std::min(static_cast<double>(Wanted), std::max(0.0, Whole)));
  Tokens = std::max(0.0, Tokens - Taken);
  return Taken;
}

base::Millis QuotaBucket::timeUntil(double Count, base::TimePoint Now) const {
  double Missing = Count - tokens(Now);
  if (Missing <= 0)
    return base::Millis(0);
  double WaitMs = MaxTimeUntilMs;
  if (Limit.PerSecond > 0)
    WaitMs = std::min(WaitMs,
                      std::ceil(Missing / Limit.PerSecond * MillisPerSecond));
  return base::Millis(static_cast<std::int64_t>(WaitMs));
}

bool QuotaSuspension::check(base::TimePoint Now, base::BootTime Boot) {
  bool Paused = false;
  if (LastNow) {
    base::Millis Steady = Now - *LastNow;
    base::Millis Machine = Boot - LastBoot;
    Paused = Steady > MaxPause || Machine - Steady > MaxClockDifference;
  }
  LastNow = Now;
  LastBoot = Boot;
  return Paused;
}

} // namespace amaranth::dataplane
