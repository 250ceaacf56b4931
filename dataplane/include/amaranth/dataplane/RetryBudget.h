#ifndef AMARANTH_DATAPLANE_RETRYBUDGET_H
#define AMARANTH_DATAPLANE_RETRYBUDGET_H

#include "amaranth/base/Clock.h"

#include <algorithm>

namespace amaranth::dataplane {

/// Retries that one service may get from this node: a part of its requests
/// plus a constant rate, with a bound on what is saved up.
///
/// In any span, at most `MaxTokens + TokensPerSecond * span + TokensPerRequest
/// * requests` retries are made.
class RetryBudget {
public:
  struct Rates {
    double TokensPerRequest = 0.1;
    double TokensPerSecond = 3;
    /// Ten seconds' worth of the constant rate.
    double MaxTokens = 30;
  };

  explicit RetryBudget(base::TimePoint Now) : RetryBudget(Now, Rates()) {}
  RetryBudget(base::TimePoint Now, Rates Limits)
      : LastRefill(Now), Limits(Limits),
        Tokens(std::min(Limits.TokensPerSecond, Limits.MaxTokens)) {}

  void setRates(Rates Value) { Limits = Value; }

  void recordRequest(base::TimePoint Now) {
    refill(Now);
    Tokens = std::min(Limits.MaxTokens, Tokens + Limits.TokensPerRequest);
  }

  bool hasToken(base::TimePoint Now) {
    refill(Now);
    return Tokens >= 1;
  }

  /// Takes a retry from the budget; false when it is used up.
  bool tryAcquire(base::TimePoint Now) {
    refill(Now);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  void refill(base::TimePoint Now) {
    double Seconds = static_cast<double>((Now - LastRefill).count()) / 1000;
    Tokens =
        std::min(Limits.MaxTokens, Tokens + Seconds * Limits.TokensPerSecond);
    LastRefill = Now;
  }

  base::TimePoint LastRefill;
  Rates Limits;
  double Tokens;
};

/// A budget that all nodes share, without a message between them.
struct SharedRetryBudget {
  /// Retries allowed as a part of a service's requests.
  double Ratio = 0;
  /// Retries allowed besides, for all nodes together, in each window.
  double Floor = 0;
  base::Millis Window;

  /// The part of one of `Nodes` nodes. Half of the floor comes at a constant
  /// rate and half may be saved up, so that no window exceeds the floor. A
  /// tenth stays unused, because calls of a repeated request count as well.
  RetryBudget::Rates ratesPerNode(std::size_t Nodes) const {
    constexpr double UsableFraction = 0.9;
    double NodeRetries = UsableFraction * Floor /
                         static_cast<double>(std::max<std::size_t>(1, Nodes));
    double Seconds =
        std::max(0.001, static_cast<double>(Window.count()) / 1000);
    return {UsableFraction * Ratio, NodeRetries / 2 / Seconds,
            std::max(1.0, NodeRetries / 2)};
  }
};

} // namespace amaranth::dataplane

#endif
