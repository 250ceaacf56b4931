#ifndef AMARANTH_DATAPLANE_METRICS_H
#define AMARANTH_DATAPLANE_METRICS_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/RequestRateLimit.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace amaranth::dataplane {

/// Data plane metrics. The registry must outlive them. Label values are names
/// of services and customers from the document and constants, never request
/// data.
class Metrics {
public:
  explicit Metrics(prometheus::Registry &Registry);

  /// Counts a caller's request and its latency. `Outcome` is `2xx`..`5xx`,
  /// `refused` or `broken`.
  void countRequest(const base::ServiceName &Service,
                    const std::string &Outcome, base::Millis Duration);
  /// Counts a request of a customer at the entry node. `Outcome` is `answered`,
  /// `over-limit`, `refused` or `broken`. Customers beyond the first
  /// `MaxCustomers` are counted together as `other`, because a document may
  /// replace its customers any number of times and a label value stays.
  void countCustomerRequest(const base::CustomerName &Name,
                            const std::string &Outcome);
  static constexpr std::size_t MaxCustomers = 256;
  /// `Place` is `entry` or `gate`.
  void countRefusal(const std::string &Place, const Refusal &Refused);
  void countRetry(const base::ServiceName &Service);
  /// Counts a request of this VM that counts as a call of a repeat.
  void countCallOfRepeat(const base::ServiceName &Service);
  void countEjection(const base::ServiceName &Service);
  /// `Result` is `granted`, `replayed`, `taken`, `conflict`, `unavailable`.
  void countClaim(const std::string &Result);
  void countCrash();
  /// Counts a request that this node convicted of crashing upstreams.
  void countConviction();
  /// Without `UpstreamLoad::Work`, the expected work and wait stay.
  void setGateLoad(const UpstreamLoad &Load);
  /// `Factor`: current service times of the local upstream relative to those in
  /// its distributions.
  void setSlowdown(double Factor);
  /// `Limit`: the requests that the local upstream takes; empty if unlimited.
  void setRequestLimit(std::optional<RequestRate> Limit);
  /// `Limit`: the requests that the local upstream gets while it is cold; empty
  /// if it is warm.
  void setColdLimit(std::optional<RequestRate> Limit);
  /// Counts that the local upstream is treated as cold because of `Cause`.
  void countColdPeriod(const std::string &Cause);
  void setZoneEvacuated(bool Evacuated);

private:
  template <typename Metric> using Cache = std::map<std::string, Metric *>;

  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Counter> &CustomerRequests;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Counter> &Retries;
  prometheus::Family<prometheus::Counter> &CallsOfRepeats;
  prometheus::Family<prometheus::Counter> &Ejections;
  prometheus::Family<prometheus::Counter> &Claims;
  prometheus::Family<prometheus::Histogram> &Latency;
  prometheus::Counter &Crashes;
  prometheus::Counter &Convictions;
  prometheus::Gauge &InFlight;
  prometheus::Gauge &Queued;
  prometheus::Gauge &Slots;
  prometheus::Gauge &WorkMs;
  prometheus::Gauge &WaitMs;
  prometheus::Gauge &Slowdown;
  prometheus::Gauge &RequestLimit;
  prometheus::Gauge &ColdRate;
  prometheus::Gauge &ZoneEvacuated;
  prometheus::Family<prometheus::Counter> &ColdPeriods;
  Cache<prometheus::Counter> RequestCache;
  /// By customer and outcome.
  std::map<std::string, Cache<prometheus::Counter>> CustomerCache;
  std::map<std::tuple<std::string, ExecutionOutcome, RefusalReason>,
           prometheus::Counter *>
      RefusalCache;
  Cache<prometheus::Histogram> LatencyCache;
};

} // namespace amaranth::dataplane

#endif
