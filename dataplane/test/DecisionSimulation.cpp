#include "DecisionSimulation.h"

#include "MovingMedian.h"
#include "RetryState.h"
#include "SchedulingOrder.h"
#include "amaranth/dataplane/Balancer.h"
#include "amaranth/scheduling/CostModel.h"
#include "amaranth/scheduling/OutstandingWork.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <random>

namespace amaranth::dataplane {

namespace {

struct Request {
  std::size_t Route = 0;
  /// At an upstream of speed 1.
  double WorkMs = 0;
  std::int64_t Arrived = 0;
  std::size_t Entry = 0;
  bool Counted = false;
  RetryState Retries;
  std::vector<std::size_t> Tried;
};
using RequestPtr = std::shared_ptr<Request>;

/// What the previous rule knew of an upstream.
struct PreviousStats {
  double InFlight = 0;
  double ReportedRequests = 0;
  double InFlightAtReport = 0;
  double ServiceMs = 100;
  std::int64_t ReportedAt = 0;

  double cost(std::int64_t Now, double Slots) const {
    double Weight =
        std::max(0.0, 1 - static_cast<double>(Now - ReportedAt) / 2'000);
    double Outstanding =
        InFlight + Weight * std::max(0.0, ReportedRequests - InFlightAtReport);
    double Load = (Outstanding + 1) / Slots;
    return ServiceMs * (std::max(1.0, Load) + 0.3 * Load);
  }
};

/// The decisions of a gate, with the rules of `Gate::Impl`.
class SimulatedGate {
public:
  struct RunningRequest {
    RequestPtr Work;
    base::TimePoint Started;
    base::TimePoint End;
  };
  struct WaitingRequest {
    RequestPtr Work;
    SchedulingParams Params;
  };

  SimulatedGate(DecisionRule Rule, const std::vector<base::RouteName> &Names,
                std::uint32_t Slots)
      : Rule(Rule), Names(Names), Slots(Slots) {}

  SchedulingParams params(const Request &Work, const SimulationPlan &Plan,
                          base::TimePoint Now) {
    SchedulingParams Params;
    Params.Objective = base::TimePoint(Work.Arrived + Plan.Objective);
    Params.Deadline = base::TimePoint(Work.Arrived + Plan.Deadline);
    const base::RouteName &Route = Names[Work.Route];
    Params.Sequence = NextSequence++;
    if (Rule == DecisionRule::Previous) {
      Params.ServiceTime = Params.MeanServiceTime =
          Medians.expected(Route).value_or(base::Millis(0));
      return Params;
    }
    Params.ServiceTime = std::min(Costs.quantile(Route, 0.5, Now),
                                  Costs.quantile(Route, 0.25, Now) * 2);
    Params.MeanServiceTime = Costs.mean(Route, Now);
    return Params;
  }

  base::Millis expectedWait(const SchedulingParams &Params, bool Newest,
                            base::TimePoint Now,
                            base::Millis *Total = nullptr) const {
    if (Rule == DecisionRule::Previous) {
      if (Running.size() + Waiting.size() < Slots)
        return base::Millis(0);
      base::Millis Sum = Medians.expected().value_or(base::Millis(0));
      for (const auto &Each : Waiting)
        if (Newest || precedes(Each.Params, Params, Now))
          Sum = Sum + std::max(Each.Params.ServiceTime, base::Millis(1));
      return Sum / Slots;
    }
    scheduling::OutstandingWork Work(Costs, Slots, Now);
    for (const auto &Each : Running)
      Work.addRunning(Names[Each.Work->Route], Now - Each.Started);
    for (const auto &Each : Waiting)
      if (Newest || precedes(Each.Params, Params, Now))
        Work.addWaiting(Each.Params.MeanServiceTime);
    if (Total)
      *Total = Work.total();
    return Work.untilSlot();
  }

  /// Returns true if the gate takes the request.
  bool admits(const Request &Work, const SchedulingParams &Params,
              std::optional<base::Millis> MaxWait, base::TimePoint Now) {
    if (Rule == DecisionRule::FirstCome)
      return true;
    base::Millis Wait = expectedWait(Params, false, Now);
    base::Millis Least = Rule == DecisionRule::Previous
                             ? Params.ServiceTime
                             : Costs.quantile(Names[Work.Route], 0.25, Now);
    if (!Running.empty() && Now + Wait + Least > Params.Deadline)
      return false;
    if (MaxWait && Wait > *MaxWait)
      return false;
    if (Wait > base::Millis(0) &&
        !admitsToQueue(Params, Now, Wait, Waiting.size(), Slots))
      return false;
    return Running.size() < Slots || Waiting.size() < 2 * Slots;
  }

  UpstreamLoad load(std::size_t Route, base::TimePoint Now) const {
    UpstreamLoad Load{static_cast<std::uint32_t>(Running.size()),
                      static_cast<std::uint32_t>(Waiting.size()), Slots};
    base::Millis Total;
    Load.QueueWait = expectedWait({}, true, Now, &Total);
    if (Rule == DecisionRule::Previous) {
      Load.ServiceTime = Medians.expected().value_or(base::Millis(0));
      return Load;
    }
    Load.ServiceTime = Costs.mean(Now);
    Load.Work = Total;
    Load.RouteServiceTime = Costs.mean(Names[Route], Now);
    return Load;
  }

  void recordEnd(const RunningRequest &Ended, base::TimePoint Now) {
    const base::RouteName &Route = Names[Ended.Work->Route];
    if (Rule == DecisionRule::Previous)
      Medians.add(Route, Now - Ended.Started);
    else
      Costs.add(Route, Now - Ended.Started, Now);
  }

  std::vector<WaitingRequest>::iterator next(base::TimePoint Now) {
    if (Rule == DecisionRule::FirstCome)
      return Waiting.begin();
    return std::min_element(
        Waiting.begin(), Waiting.end(),
        [Now](const WaitingRequest &Left, const WaitingRequest &Right) {
          return precedes(Left.Params, Right.Params, Now);
        });
  }

  bool expired(const WaitingRequest &Each, base::TimePoint Now) const {
    if (Now >= Each.Params.Deadline - Each.Params.ServiceTime * 60 / 100)
      return true;
    return Rule != DecisionRule::FirstCome && isLate(Each.Params, Now) &&
           !acceptsLateRequests(Waiting.size(), Slots);
  }

  std::vector<RunningRequest> Running;
  std::vector<WaitingRequest> Waiting;
  double Factor = 1;

private:
  DecisionRule Rule;
  const std::vector<base::RouteName> &Names;
  std::uint32_t Slots;
  std::uint64_t NextSequence = 1;
  scheduling::CostModel Costs;
  RouteMedians<base::Millis> Medians;
};

class Simulation {
public:
  Simulation(const SimulationPlan &Plan, DecisionRule Rule)
      : Plan(Plan), Rule(Rule), Random(Plan.Seed), Choices(Plan.Seed + 1) {
    for (const SimulatedRoute &Each : Plan.Routes)
      Names.emplace_back(Each.Name);
    Balancer::Settings Options;
    Options.SlowStart = base::Millis(0);
    for (std::size_t I = 0; I < Plan.Upstreams; ++I) {
      document::Endpoint Next;
      Next.Id = base::EndpointId(fmt::format("{:04}", I));
      Next.Service = Service;
      Next.Version = Version;
      Next.Slots = Plan.Slots;
      Next.State = document::EndpointState::Ready;
      Mesh.Endpoints[Next.Id] = Next;
      Gates.emplace_back(Rule, Names, Plan.Slots);
      if (Plan.Upstreams > 1)
        Gates.back().Factor = 1 + (Plan.SpeedSpread - 1) *
                                      static_cast<double>(I) /
                                      static_cast<double>(Plan.Upstreams - 1);
      Ids.push_back(Next.Id);
    }
    for (std::size_t I = 0; I < Plan.Entries; ++I)
      Balancers.push_back(std::make_unique<Balancer>(Options, Time, Counters,
                                                     Plan.Seed + 100 + I));
    Known.resize(Plan.Entries, std::vector<PreviousStats>(Plan.Upstreams));
    Sent.resize(Plan.Upstreams);
    Sums.resize(Plan.Upstreams);
    Counts.resize(Plan.Upstreams);
    Result.RefusedByRoute.resize(Names.size());
    Result.RequestsByRoute.resize(Names.size());
  }

  SimulationResult run() {
    std::int64_t End = Plan.Duration + Plan.Deadline;
    for (std::int64_t Passed = 0; Passed < End; ++Passed) {
      deliverReports();
      endRequests();
      if (Passed < Plan.Duration)
        arrive();
      Time.advance(base::Millis(1));
    }
    finish();
    return Result;
  }

private:
  struct Report {
    std::int64_t Due;
    std::size_t Entry;
    std::size_t Upstream;
    std::size_t Route;
    UpstreamLoad Load;
    RequestPtr Refused;
  };

  std::int64_t now() const { return Time.now().count(); }

  double arrivalsPerMs() const {
    double Mean = 0;
    for (const SimulatedRoute &Each : Plan.Routes)
      Mean += Each.Share * Each.MedianMs * std::exp(Sigma * Sigma / 2);
    Mean *= 1 + Plan.TailShare * (Plan.TailFactor - 1);
    double Capacity = 0;
    for (const SimulatedGate &Each : Gates)
      Capacity += Plan.Slots / (Mean * Each.Factor);
    double Phase = 2 * std::numbers::pi * static_cast<double>(now()) / 10'000;
    return Capacity * Plan.Load * (1 + Plan.Wave * std::sin(Phase));
  }

  void arrive() {
    std::poisson_distribution<int> Count(arrivalsPerMs());
    for (int I = Count(Random); I > 0; --I) {
      auto Next = std::make_shared<Request>();
      std::uniform_real_distribution<double> Unit(0, 1);
      double Drawn = Unit(Random);
      while (Next->Route + 1 < Names.size() &&
             Drawn >= Plan.Routes[Next->Route].Share)
        Drawn -= Plan.Routes[Next->Route++].Share;
      std::normal_distribution<double> Noise(0, Sigma);
      Next->WorkMs =
          Plan.Routes[Next->Route].MedianMs * std::exp(Noise(Random));
      if (Unit(Random) < Plan.TailShare)
        Next->WorkMs *= Plan.TailFactor;
      Next->Arrived = now();
      Next->Entry = std::uniform_int_distribution<std::size_t>(
          0, Plan.Entries - 1)(Random);
      Next->Counted = now() >= Plan.Warmup;
      Result.Requests += Next->Counted ? 1 : 0;
      Result.RequestsByRoute[Next->Route] += Next->Counted ? 1 : 0;
      send(Next);
    }
  }

  std::optional<std::size_t> choose(const Request &Work) {
    if (Rule == DecisionRule::Current) {
      Balancer::RequestTraits Traits;
      Traits.Route = Names[Work.Route];
      const auto *Found = Balancers[Work.Entry]->choose(
          Mesh, Service, Version, Work.Retries.excluded(), Traits);
      if (!Found)
        return std::nullopt;
      return static_cast<std::size_t>(std::stoul(Found->Id.value()));
    }
    std::vector<std::size_t> Options;
    for (std::size_t I = 0; I < Plan.Upstreams; ++I)
      if (!Work.Retries.excluded().contains(Ids[I]))
        Options.push_back(I);
    std::shuffle(Options.begin(), Options.end(), Choices);
    if (Options.empty())
      return std::nullopt;
    if (Rule == DecisionRule::FirstCome)
      return Options.front();
    Options.resize(std::min<std::size_t>(Options.size(), 4));
    return *std::min_element(
        Options.begin(), Options.end(),
        [&](std::size_t Left, std::size_t Right) {
          return Known[Work.Entry][Left].cost(now(), Plan.Slots) <
                 Known[Work.Entry][Right].cost(now(), Plan.Slots);
        });
  }

  void send(const RequestPtr &Work) {
    auto Target = choose(*Work);
    if (!Target && Work->Retries.readmitBusyEndpoints())
      Target = choose(*Work);
    if (!Target) {
      refuse(*Work);
      return;
    }
    Work->Retries.beginAttempt(Ids[*Target]);
    Balancer &Balance = *Balancers[Work->Entry];
    const base::RouteName &Route = Names[Work->Route];
    Balance.requestStarted(Ids[*Target], Route);
    Known[Work->Entry][*Target].InFlight += 1;
    SimulatedGate &At = Gates[*Target];
    SchedulingParams Params = At.params(*Work, Plan, Time.now());
    std::optional<base::Millis> MaxWait;
    if (Work->Retries.limitsQueueWait()) {
      auto Service =
          static_cast<std::int64_t>(Known[Work->Entry][*Target].ServiceMs);
      if (Rule == DecisionRule::Current)
        Service = Balance.expectedServiceTime(Ids[*Target], Route).count();
      MaxWait = base::Millis(std::max<std::int64_t>(
          0, Work->Arrived + Plan.Objective - now() - Service));
    }
    if (!At.admits(*Work, Params, MaxWait, Time.now())) {
      report(Work, *Target, Work);
      return;
    }
    Sent[*Target] += Work->Counted ? 1 : 0;
    At.Waiting.push_back({Work, Params});
    startWaiting(*Target);
  }

  void refuse(const Request &Work) {
    Result.Refused += Work.Counted ? 1 : 0;
    Result.RefusedByRoute[Work.Route] += Work.Counted ? 1 : 0;
  }

  void report(const RequestPtr &Work, std::size_t Upstream,
              const RequestPtr &Refused) {
    Reports.push_back({now() + Plan.ReportDelay, Work->Entry, Upstream,
                       Work->Route,
                       Gates[Upstream].load(Work->Route, Time.now()), Refused});
  }

  void deliverReports() {
    while (!Reports.empty() && Reports.front().Due <= now()) {
      Report Next = std::move(Reports.front());
      Reports.pop_front();
      Balancer &Balance = *Balancers[Next.Entry];
      Balance.recordLoad(Ids[Next.Upstream], Next.Load, Names[Next.Route]);
      Balance.requestFinished(Ids[Next.Upstream]);
      PreviousStats &Stats = Known[Next.Entry][Next.Upstream];
      Stats.ReportedRequests = Next.Load.InFlight + Next.Load.Queued;
      Stats.InFlightAtReport = Stats.InFlight;
      Stats.ReportedAt = now();
      if (Next.Load.ServiceTime > base::Millis(0))
        Stats.ServiceMs = static_cast<double>(Next.Load.ServiceTime.count());
      Stats.InFlight -= 1;
      if (!Next.Refused) {
        Balance.recordSuccess(Ids[Next.Upstream]);
        continue;
      }
      Result.Refusals += Next.Refused->Counted ? 1 : 0;
      Refusal Busy;
      Busy.Outcome = ExecutionOutcome::NotRun;
      Busy.Reason = RefusalReason::WaitTooLong;
      Busy.Load = Next.Load;
      if (now() >= Next.Refused->Arrived + Plan.Deadline ||
          Next.Refused->Retries.onRefusal(Ids[Next.Upstream], Busy, true, 2) ==
              RetryState::Step::Stop)
        refuse(*Next.Refused);
      else
        send(Next.Refused);
    }
  }

  void endRequests() {
    for (std::size_t I = 0; I < Gates.size(); ++I) {
      SimulatedGate &At = Gates[I];
      for (std::size_t J = 0; J < At.Running.size();) {
        if (At.Running[J].End > Time.now()) {
          ++J;
          continue;
        }
        SimulatedGate::RunningRequest Ended = At.Running[J];
        At.Running[J] = At.Running.back();
        At.Running.pop_back();
        At.recordEnd(Ended, Time.now());
        complete(*Ended.Work, I);
        report(Ended.Work, I, nullptr);
      }
      startWaiting(I);
      for (std::size_t J = 0; J < At.Waiting.size();) {
        if (!At.expired(At.Waiting[J], Time.now())) {
          ++J;
          continue;
        }
        RequestPtr Work = At.Waiting[J].Work;
        At.Waiting.erase(At.Waiting.begin() + static_cast<std::ptrdiff_t>(J));
        report(Work, I, Work);
      }
    }
  }

  void startWaiting(std::size_t Upstream) {
    SimulatedGate &At = Gates[Upstream];
    while (At.Running.size() < Plan.Slots && !At.Waiting.empty()) {
      auto Next = At.next(Time.now());
      double Factor = At.Factor;
      if (Upstream == 0 && now() >= Plan.SlowFrom && now() < Plan.SlowUntil)
        Factor *= Plan.SlowFactor;
      auto Span = base::Millis(std::llround(Next->Work->WorkMs * Factor));
      At.Running.push_back({Next->Work, Time.now(), Time.now() + Span});
      At.Waiting.erase(Next);
    }
  }

  void complete(const Request &Work, std::size_t Upstream) {
    if (!Work.Counted)
      return;
    std::int64_t Took = now() - Work.Arrived;
    Latencies.push_back(static_cast<double>(Took));
    Sums[Upstream] += static_cast<double>(Took);
    ++Counts[Upstream];
    (Took <= Plan.Objective ? Result.InTime : Result.Late) += 1;
  }

  void finish() {
    std::sort(Latencies.begin(), Latencies.end());
    double Sum = 0;
    for (double Each : Latencies)
      Sum += Each;
    if (!Latencies.empty()) {
      Result.MeanMs = Sum / static_cast<double>(Latencies.size());
      Result.P99Ms = Latencies[Latencies.size() * 99 / 100];
    }
    double All = 0;
    for (std::size_t I = 0; I < Sent.size(); ++I) {
      All += Sent[I];
      Result.MeanByUpstream.push_back(Sums[I] / std::max(1, Counts[I]));
    }
    Result.Imbalance = *std::max_element(Sent.begin(), Sent.end()) *
                       static_cast<double>(Sent.size()) / std::max(1.0, All);
  }

  static constexpr double Sigma = 0.3;

  const SimulationPlan Plan;
  DecisionRule Rule;
  std::mt19937_64 Random;
  std::mt19937_64 Choices;
  base::ManualClock Time;
  prometheus::Registry Registry;
  Metrics Counters{Registry};
  base::ServiceName Service{"s"};
  base::VersionName Version{"v"};
  document::MeshSnapshot Mesh;
  std::vector<base::RouteName> Names;
  std::vector<base::EndpointId> Ids;
  std::vector<SimulatedGate> Gates;
  std::vector<std::unique_ptr<Balancer>> Balancers;
  std::vector<std::vector<PreviousStats>> Known;
  std::deque<Report> Reports;
  std::vector<double> Sent;
  std::vector<double> Sums;
  std::vector<int> Counts;
  std::vector<double> Latencies;
  SimulationResult Result;
};

} // namespace

SimulationResult simulate(const SimulationPlan &Plan, DecisionRule Rule) {
  return Simulation(Plan, Rule).run();
}

} // namespace amaranth::dataplane
