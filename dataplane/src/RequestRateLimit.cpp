#include "amaranth/dataplane/RequestRateLimit.h"

#include <algorithm>
#include <cmath>

namespace amaranth::dataplane {

namespace {

constexpr double MillisPerSecond = 1000;
/// Longest time that `timeUntil` returns. Keeps low rates from overflowing.
constexpr base::Millis MaxTimeUntil = base::Millis::seconds(3600);

double burstOf(RequestRate Rate) {
  auto BurstMs = static_cast<double>(RequestRateLimit::BurstTime.count());
  return std::max(1.0, Rate.PerSecond * BurstMs / MillisPerSecond);
}

} // namespace

void RequestRateLimit::setRate(std::optional<RequestRate> NewRate,
                               base::TimePoint Now, base::Millis Delay) {
  if (NewRate)
    NewRate->PerSecond = std::max(NewRate->PerSecond, MinRate.PerSecond);
  Tokens = Rate && NewRate ? std::min(tokensAt(Now), burstOf(*NewRate)) : 0;
  if (NewRate && Delay > base::Millis(0))
    Tokens = std::min(Tokens, -NewRate->PerSecond *
                                  static_cast<double>(Delay.count()) /
                                  MillisPerSecond);
  Rate = NewRate;
  UpdatedAt = Now;
}

double RequestRateLimit::tokensAt(base::TimePoint Now) const {
  auto ElapsedMs = static_cast<double>((Now - UpdatedAt).count());
  return std::min(burstOf(*Rate),
                  Tokens + Rate->PerSecond * ElapsedMs / MillisPerSecond);
}

base::Millis RequestRateLimit::timeUntil(std::size_t Count,
                                         base::TimePoint Now) const {
  if (!Rate)
    return base::Millis(0);
  double Missing = static_cast<double>(Count) - tokensAt(Now);
  if (Missing <= 0)
    return base::Millis(0);
  double WaitMs = std::ceil(Missing / Rate->PerSecond * MillisPerSecond);
  return base::Millis(static_cast<std::int64_t>(
      std::min(WaitMs, static_cast<double>(MaxTimeUntil.count()))));
}

bool RequestRateLimit::tryAcquire(base::TimePoint Now) {
  if (!Rate)
    return true;
  double Available = tokensAt(Now);
  if (Available < 1)
    return false;
  Tokens = Available - 1;
  UpdatedAt = Now;
  return true;
}

void RequestRateLimit::giveBack(base::TimePoint Now) {
  if (!Rate)
    return;
  Tokens = std::min(burstOf(*Rate), tokensAt(Now) + 1);
  UpdatedAt = Now;
}

} // namespace amaranth::dataplane
