#ifndef AMARANTH_BENCH_LOADGENERATOR_H
#define AMARANTH_BENCH_LOADGENERATOR_H

#include "amaranth/base/Settings.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::bench {

/// One open-loop load: arrivals do not wait for responses.
struct LoadPlan {
  base::Address Target;
  std::string Method = "GET";
  std::string Path = "/";
  std::string Body;
  /// Sends a new `Idempotency-Key` with each request.
  bool WithIdempotencyKey = false;
  double RequestsPerSecond = 100;
  double Seconds = 5;
  /// Arrivals beyond this number of open requests count as dropped.
  std::size_t MaxInFlight = 1000;
  std::uint64_t Seed = 1;
};

/// Result of one load. Times in microseconds, from the intended send time of
/// a request to the end of its response, so that a stalled server does not
/// hide the requests that it delayed.
struct LoadResult {
  std::vector<std::uint32_t> Latencies;
  /// By status; 0 counts connection errors.
  std::map<unsigned, std::uint64_t> Statuses;
  std::uint64_t Dropped = 0;
  double Seconds = 0;

  /// Latency at a quantile from 0 to 1, in microseconds; 0 without samples.
  std::uint32_t quantile(double Q) const;
  std::uint64_t succeeded() const;
};

/// Runs a plan on the executor of the awaiting coroutine. Arrivals are a
/// Poisson process drawn from the seed.
boost::asio::awaitable<LoadResult> runLoad(LoadPlan Plan);

} // namespace amaranth::bench

#endif
