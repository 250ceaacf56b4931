#ifndef AMARANTH_DATAPLANE_QUOTABUCKET_H
#define AMARANTH_DATAPLANE_QUOTABUCKET_H

#include "amaranth/base/Millis.h"

#include <cstdint>
#include <optional>

namespace amaranth::dataplane {

/// Rate of a token bucket and the number of tokens that it holds at most.
struct QuotaRate {
  double PerSecond = 0;
  double Capacity = 0;

  bool operator==(const QuotaRate &) const = default;
};

/// Tokens of one shard of a customer's limit.
///
/// Load: a customer that sends up to seven times its limit for minutes, and
/// owners that change while it does. The bucket starts empty, because a
/// previous owner may have granted a full one. A lowered limit applies to the
/// tokens that are left.
class QuotaBucket {
public:
  QuotaBucket(QuotaRate Limit, base::TimePoint Now)
      : Limit(Limit), UpdatedAt(Now) {}

  void setLimit(QuotaRate NewLimit, base::TimePoint Now);
  void clear(base::TimePoint Now);
  double tokens(base::TimePoint Now) const;
  /// Takes up to `Wanted` whole tokens and returns their number.
  std::uint32_t take(std::uint32_t Wanted, base::TimePoint Now);
  /// Time until `Count` tokens are there; at most one hour.
  base::Millis timeUntil(double Count, base::TimePoint Now) const;

private:
  void refill(base::TimePoint Now);

  QuotaRate Limit;
  double Tokens = 0;
  base::TimePoint UpdatedAt;
};

/// Finds pauses after which other nodes may have taken over what this one
/// owned.
///
/// Load: a machine that is suspended, for which steady time stands still while
/// boot time goes on, and a process that is stopped with SIGSTOP, for which
/// both go on. Call `check` at least every `MaxPause / 2`.
class QuotaSuspension {
public:
  static constexpr base::Millis MaxPause = base::Millis(800);
  /// Both clocks are rounded to milliseconds and read one after the other.
  static constexpr base::Millis MaxClockDifference = base::Millis(20);

  /// True if there was a pause since the last call.
  bool check(base::TimePoint Now, base::BootTime Boot);

private:
  std::optional<base::TimePoint> LastNow;
  base::BootTime LastBoot;
};

} // namespace amaranth::dataplane

#endif
