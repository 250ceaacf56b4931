#ifndef AMARANTH_DATAPLANE_RETRYBUDGET_H
#define AMARANTH_DATAPLANE_RETRYBUDGET_H

#include "amaranth/base/Clock.h"

#include <algorithm>

namespace amaranth::dataplane {

/// Token bucket that limits the retries of one service at this node. It fills
/// by a fraction of a token for each request and at a constant rate.
///
/// In any time span, at most `MaxTokens + TokensPerSecond * span +
/// TokensPerRequest * requests` retries are made.
class RetryBudget {
public:
  struct Rates {
    double TokensPerRequest = 0.1;
    double TokensPerSecond = 3;
    /// Ten seconds of the constant rate.
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

  /// Takes the token of one retry; false when none is left.
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

/// A retry budget for all nodes together. Each node enforces its own share, so
/// that the nodes need not exchange messages about it.
struct SharedRetryBudget {
  /// Allowed retries as a fraction of a service's requests.
  double Ratio = 0;
  /// Additional retries that all nodes together may make in each window.
  double Floor = 0;
  base::Millis Window;

  /// The rates of one of `Nodes` nodes. Half of the floor refills at a constant
  /// rate and half is burst capacity, so that no window exceeds the floor. A
  /// tenth stays unused, because the nested calls of a retried request count
  /// against the budget too.
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
