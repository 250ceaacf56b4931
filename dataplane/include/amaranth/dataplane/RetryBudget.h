#ifndef AMARANTH_DATAPLANE_RETRYBUDGET_H
#define AMARANTH_DATAPLANE_RETRYBUDGET_H

#include "amaranth/base/Clock.h"

#include <algorithm>

namespace amaranth::dataplane {

/// Retries that one service may get: 10 % of its requests plus 3 per second,
/// with at most ten seconds' worth of the latter saved up.
class RetryBudget {
public:
  explicit RetryBudget(base::TimePoint Now) : Last(Now) {}

  void request(base::TimePoint Now) {
    refill(Now);
    Tokens = std::min(MaxTokens, Tokens + PerRequest);
  }

  bool available(base::TimePoint Now) {
    refill(Now);
    return Tokens >= 1;
  }

  /// Takes a retry from the budget; false when it is used up.
  bool take(base::TimePoint Now) {
    refill(Now);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  static constexpr double PerRequest = 0.1;
  static constexpr double PerSecond = 3;
  static constexpr double MaxTokens = 30;

  void refill(base::TimePoint Now) {
    double Seconds = static_cast<double>((Now - Last).count()) / 1000;
    Tokens = std::min(MaxTokens, Tokens + Seconds * PerSecond);
    Last = Now;
  }

  base::TimePoint Last;
  double Tokens = PerSecond;
};

} // namespace amaranth::dataplane

#endif
