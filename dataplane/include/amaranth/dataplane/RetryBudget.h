#ifndef AMARANTH_DATAPLANE_RETRYBUDGET_H
#define AMARANTH_DATAPLANE_RETRYBUDGET_H

#include "amaranth/base/Clock.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace amaranth::dataplane {

/// Limits the retries of one service at this node in a sliding window, to a
/// fraction of the requests in the window and a fixed number.
///
/// A node that knows hundreds of others has a small part of the shared retries
/// a second. A token bucket of that part is empty after one retry, and the
/// requests that fail together when a VM is lost are not repeated. The window
/// lets a node use up to a third of it at once; the rest is spread over the
/// window, so that a fault that lasts does not use up all retries at its start.
class RetryBudget {
public:
  struct Rates {
    double RetriesPerRequest = 0.1;
    double RetriesPerWindow = 30;
    base::Millis Window = base::Millis(10'000);
  };

  explicit RetryBudget(base::TimePoint Now) : RetryBudget(Now, Rates()) {}
  RetryBudget(base::TimePoint Now, Rates Limits)
      : Limits(Limits), Newest(Now.count() / bucketMillis()) {}

  /// `Value` must have the same window.
  void setRates(Rates Value) { Limits = Value; }

  void recordRequest(base::TimePoint Now) { ++bucketAt(Now).Requests; }

  /// Whether `Count` further retries are allowed.
  bool hasTokens(double Count, base::TimePoint Now) {
    bucketAt(Now);
    double Requests = 0;
    double Retries = 0;
    for (const Bucket &Each : Buckets) {
      Requests += Each.Requests;
      Retries += Each.Retries;
    }
    // The oldest bucket lies partly outside the window: its retries count and
    // its requests do not.
    Requests -= oldest().Requests;
    double Allowed =
        Limits.RetriesPerRequest * Requests + Limits.RetriesPerWindow;
    double AtOnce = std::max(1.0, Allowed * BurstBuckets / BucketsPerWindow);
    return Retries + Count <= Allowed && recentRetries() + Count <= AtOnce;
  }
  bool hasToken(base::TimePoint Now) { return hasTokens(1, Now); }

  /// The right to one retry.
  class Token {
  public:
    explicit Token(std::int64_t Bucket) : Bucket(Bucket) {}

  private:
    friend class RetryBudget;
    /// Number of the bucket that counts the retry.
    std::int64_t Bucket;
  };

  /// Counts retries that cannot be refused any more. They may exceed the
  /// budget, which then has no token until they are older than the window.
  void charge(double Count, base::TimePoint Now) {
    bucketAt(Now).Retries += Count;
  }

  /// Takes the token of one retry; empty when none is left.
  std::optional<Token> tryAcquire(base::TimePoint Now) {
    if (!hasToken(Now))
      return std::nullopt;
    charge(1, Now);
    return Token(Newest);
  }

  /// Whether retries were counted within the window.
  bool hasRetries(base::TimePoint Now) {
    bucketAt(Now);
    return std::ranges::any_of(
        Buckets, [](const Bucket &Each) { return Each.Retries > 0; });
  }

  /// Returns a token that was not used. Has no effect if it was taken longer
  /// than a window ago.
  void giveBack(Token Unused) {
    auto Size = static_cast<std::int64_t>(Buckets.size());
    if (Unused.Bucket <= Newest - Size || Unused.Bucket > Newest)
      return;
    double &Retries = Buckets[Unused.Bucket % Size].Retries;
    Retries = std::max(0.0, Retries - 1);
  }

private:
  struct Bucket {
    std::uint32_t Requests = 0;
    double Retries = 0;
  };
  static constexpr std::int64_t BucketsPerWindow = 10;
  /// The newest buckets, in which only their part of the retries is allowed.
  static constexpr std::int64_t BurstBuckets = 3;

  std::int64_t bucketMillis() const {
    return std::max<std::int64_t>(1, Limits.Window.count() / BucketsPerWindow);
  }
  double recentRetries() const {
    double Retries = 0;
    for (std::int64_t I = std::max<std::int64_t>(0, Newest - BurstBuckets + 1);
         I <= Newest; ++I)
      Retries += Buckets[I % Buckets.size()].Retries;
    return Retries;
  }
  Bucket &oldest() { return Buckets[(Newest + 1) % Buckets.size()]; }
  /// Drops what is older than the window.
  Bucket &bucketAt(base::TimePoint Now) {
    std::int64_t Index = std::max(Newest, Now.count() / bucketMillis());
    auto Size = static_cast<std::int64_t>(Buckets.size());
    for (Newest = std::max(Newest, Index - Size); Newest < Index;)
      Buckets[++Newest % Buckets.size()] = {};
    return Buckets[Newest % Buckets.size()];
  }

  Rates Limits;
  std::array<Bucket, BucketsPerWindow + 1> Buckets{};
  /// Number of the current bucket since the start of the clock.
  std::int64_t Newest;
};

/// A retry budget for all nodes together. Each node enforces its own share, so
/// that the nodes need not exchange messages about it.
///
/// It counts every arrival at an upstream that exists only because something
/// was repeated: the later arrivals of a request, and all arrivals of the calls
/// that a repeated run makes, at any depth.
struct SharedRetryBudget {
  /// Allowed retries as a fraction of a service's requests.
  double Ratio = 0;
  /// Additional retries that all nodes together may make in each window.
  double Floor = 0;
  base::Millis Window;

  /// The rates of one of `Nodes` nodes. A tenth stays unused: a request may
  /// wait at a gate between its token and its arrival, so that the arrivals of
  /// a window may have more tokens than the window.
  RetryBudget::Rates ratesPerNode(std::size_t Nodes) const {
    constexpr double UsableFraction = 0.9;
    double Count = static_cast<double>(std::max<std::size_t>(1, Nodes));
    return {UsableFraction * Ratio, UsableFraction * Floor / Count, Window};
  }
};

} // namespace amaranth::dataplane

#endif
