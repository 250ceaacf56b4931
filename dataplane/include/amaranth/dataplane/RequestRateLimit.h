#ifndef AMARANTH_DATAPLANE_REQUESTRATELIMIT_H
#define AMARANTH_DATAPLANE_REQUESTRATELIMIT_H

#include "amaranth/base/Clock.h"

#include <cstddef>
#include <optional>

namespace amaranth::dataplane {

/// A number of requests in one second.
struct RequestRate {
  double PerSecond = 0;

  bool operator==(const RequestRate &) const = default;
};

/// Token bucket for the requests that an upstream takes. Without a rate,
/// requests are not limited. Single-threaded.
class RequestRateLimit {
public:
  /// Unused capacity is kept for this time, at least one request. Requests
  /// arrive irregularly; without it, an upstream would get less than it takes.
  static constexpr base::Millis BurstTime = base::Millis(250);
  /// A lower rate is raised to this one: an upstream that gets no request sends
  /// no response that could end its limit.
  static constexpr RequestRate MinRate = {0.5};

  /// Sets the rate, or removes it. Starting a limit grants no burst, and counts
  /// time only after `Delay`.
  void setRate(std::optional<RequestRate> NewRate, base::TimePoint Now,
               base::Millis Delay = base::Millis(0));
  std::optional<RequestRate> rate() const { return Rate; }
  /// Time until `Count` further requests may have been sent; 0 without a rate.
  base::Millis timeUntil(std::size_t Count, base::TimePoint Now) const;
  /// Takes the right to send one request. Returns false if there is none yet.
  bool tryAcquire(base::TimePoint Now);
  /// Returns a right that was not used.
  void giveBack(base::TimePoint Now);

private:
  double tokensAt(base::TimePoint Now) const;

  std::optional<RequestRate> Rate;
  /// Requests that could be sent at `UpdatedAt`.
  double Tokens = 0;
  base::TimePoint UpdatedAt;
};

} // namespace amaranth::dataplane

#endif
