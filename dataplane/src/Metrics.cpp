#include "amaranth/dataplane/Metrics.h"

namespace amaranth::dataplane {

namespace {

prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name,
                         const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

const prometheus::Histogram::BucketBoundaries LatencyBoundsMs = {
    1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384};

} // namespace

Metrics::Metrics(prometheus::Registry &Registry)
    : Requests(counters(Registry, "amaranth_requests_total",
                        "Requests of callers by service and outcome")),
      CustomerRequests(counters(Registry, "amaranth_customer_requests_total",
                                "Requests by customer and outcome")),
      Refusals(counters(Registry, "amaranth_refusals_total",
                        "Refusals by place, outcome and reason")),
      Retries(counters(Registry, "amaranth_retries_total",
                       "Attempts after the first one, by service")),
      CallsOfRepeats(counters(Registry, "amaranth_calls_of_repeats_total",
                              "Requests of this VM that count as calls of "
                              "repeated requests, by called service")),
      Ejections(counters(Registry, "amaranth_ejections_total",
                         "Endpoints ejected as outliers, by service")),
      Claims(counters(Registry, "amaranth_claims_total",
                      "Idempotency claims by result")),
      Latency(prometheus::BuildHistogram()
                  .Name("amaranth_request_latency_ms")
                  .Help("Time to the end of the response at the entry node")
                  .Register(Registry)),
      Crashes(counters(Registry, "amaranth_upstream_crashes_total",
                       "Crashes of the local upstream")
                  .Add({})),
      Convictions(counters(Registry, "amaranth_convictions_total",
                           "Requests that crashed a second upstream")
                      .Add({})),
      InFlight(gauge(Registry, "amaranth_gate_in_flight",
                     "Requests running at the local upstream")),
      Queued(gauge(Registry, "amaranth_gate_queued",
                   "Requests waiting for a slot of the local upstream")),
      Slots(gauge(Registry, "amaranth_gate_slots",
                  "Requests that the local upstream may run at once")),
      WorkMs(gauge(Registry, "amaranth_gate_work_ms",
                   "Expected time for which the requests at the local upstream "
                   "will hold slots, summed")),
      WaitMs(gauge(Registry, "amaranth_gate_wait_ms",
                   "Expected time for which a new request of the lowest rank "
                   "waits for a slot")),
      Slowdown(gauge(Registry, "amaranth_gate_slowdown",
                     "Current service times relative to the recent ones")),
      RequestLimit(gauge(Registry, "amaranth_gate_request_limit",
                         "Requests a second that the local upstream takes; 0 "
                         "without a limit")),
      ColdRate(gauge(Registry, "amaranth_gate_cold_limit",
                     "Requests a second that the local upstream gets while it "
                     "is cold; 0 while it is warm")),
      ZoneEvacuated(gauge(Registry, "amaranth_gate_zone_evacuated",
                          "1 while the zone of this node is evacuated")),
      ColdPeriods(counters(Registry, "amaranth_gate_cold_periods_total",
                           "Times that the local upstream became cold, by "
                           "cause")) {}

void Metrics::countRequest(const base::ServiceName &Service,
                           const std::string &Outcome, base::Millis Duration) {
  auto &Count = RequestCache[Service.value() + '\n' + Outcome];
  if (!Count)
    Count = &Requests.Add({{"service", Service.value()}, {"outcome", Outcome}});
  Count->Increment();
  auto &Times = LatencyCache[Service.value()];
  if (!Times)
    Times = &Latency.Add({{"service", Service.value()}}, LatencyBoundsMs);
  Times->Observe(static_cast<double>(Duration.count()));
}

void Metrics::countCustomerRequest(const base::CustomerName &Name,
                                   const std::string &Outcome) {
  bool Known = CustomerCache.contains(Name.value()) ||
               CustomerCache.size() < MaxCustomers;
  std::string Label = Known ? Name.value() : "other";
  auto &Count = CustomerCache[Label][Outcome];
  if (!Count)
    Count = &CustomerRequests.Add({{"customer", Label}, {"outcome", Outcome}});
  Count->Increment();
}

void Metrics::countRefusal(const std::string &Place, const Refusal &Refused) {
  auto &Count = RefusalCache[{Place, Refused.Outcome, Refused.Reason}];
  if (!Count)
    Count =
        &Refusals.Add({{"place", Place},
                       {"outcome", std::string(outcomeText(Refused.Outcome))},
                       {"reason", reasonText(Refused.Reason)}});
  Count->Increment();
}

void Metrics::countRetry(const base::ServiceName &Service) {
  Retries.Add({{"service", Service.value()}}).Increment();
}

void Metrics::countCallOfRepeat(const base::ServiceName &Service) {
  CallsOfRepeats.Add({{"service", Service.value()}}).Increment();
}

void Metrics::countEjection(const base::ServiceName &Service) {
  Ejections.Add({{"service", Service.value()}}).Increment();
}

void Metrics::countClaim(const std::string &Result) {
  Claims.Add({{"result", Result}}).Increment();
}

void Metrics::setRequestLimit(std::optional<RequestRate> Limit) {
  RequestLimit.Set(
      Limit ? std::max(Limit->PerSecond, RequestRateLimit::MinRate.PerSecond)
            : 0);
}

void Metrics::setColdLimit(std::optional<RequestRate> Limit) {
  ColdRate.Set(Limit ? Limit->PerSecond : 0);
}

void Metrics::countColdPeriod(const std::string &Cause) {
  ColdPeriods.Add({{"cause", Cause}}).Increment();
}

void Metrics::setZoneEvacuated(bool Evacuated) {
  ZoneEvacuated.Set(Evacuated ? 1 : 0);
}

void Metrics::countConviction() { Convictions.Increment(); }

void Metrics::countCrash() { Crashes.Increment(); }

void Metrics::setGateLoad(const UpstreamLoad &Load) {
  InFlight.Set(Load.InFlight);
  Queued.Set(Load.Queued);
  Slots.Set(Load.Slots);
  if (!Load.Work)
    return;
  WorkMs.Set(static_cast<double>(Load.Work->count()));
  WaitMs.Set(static_cast<double>(Load.QueueWait.count()));
}

void Metrics::setSlowdown(double Factor) { Slowdown.Set(Factor); }

} // namespace amaranth::dataplane
