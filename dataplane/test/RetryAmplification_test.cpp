#include "Fakes.h"
#include "RetryAllowance.h"
#include "amaranth/dataplane/UpstreamRuns.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace amaranth::dataplane {

/// Replays requests of callers and the calls that upstreams make for them on
/// many nodes, without a network. Each node takes its decisions with the
/// objects of its own that the daemon uses, and knows nothing of the others.
///
/// The services form a chain: a run of the service at level 0 makes calls to
/// the one at level 1, and so on. Times are in milliseconds.
class RetryAmplificationTest {
protected:
  struct Plan {
    std::size_t Levels = 3;
    std::size_t NodesPerLevel = 20;
    unsigned CallsPerRun = 2;
    /// Requests of callers to each level, a second.
    std::vector<double> CallersPerSecond = {300, 50, 0};
    /// Level whose upstreams refuse a part of their requests for a while.
    std::size_t FaultyLevel = 1;
    double RefusedShare = 0.55;
    std::int64_t FaultFrom = 8'000;
    std::int64_t FaultUntil = 16'500;
    std::int64_t Duration = 25'000;
    SharedRetryBudget Shared{0.2, 60, base::Millis(10'000)};
    std::uint64_t Seed = 1;
  };

  /// Counts of one level by time slice.
  struct Totals {
    std::vector<int> Requests;
    std::vector<int> Extra;
    int Served = 0;
    int Failed = 0;
  };

  std::vector<Totals> simulate(const Plan &Given) {
    setUp(Given);
    for (std::size_t Level = 0; Level < Settings.Levels; ++Level)
      if (Settings.CallersPerSecond[Level] > 0)
        scheduleCaller(Level);
    while (!Events.empty()) {
      auto Next = Events.begin();
      Time.advance(base::TimePoint(Next->first) - Time.now());
      std::function<void()> Run = std::move(Next->second);
      Events.erase(Next);
      Run();
    }
    return std::move(Result);
  }

  /// Requires that no window of any level has more arrivals beyond the first
  /// of a request than `Shared` allows for the requests of that window, of the
  /// one before it, or of the one half a window before it.
  void requireWithinBudget(const std::vector<Totals> &Levels,
                           const SharedRetryBudget &Shared) {
    auto Slices = static_cast<std::size_t>(Shared.Window.count() / SliceMs);
    for (std::size_t Level = 0; Level < Levels.size(); ++Level) {
      const Totals &Each = Levels[Level];
      auto Sum = [Slices](const std::vector<int> &Of, std::size_t End) {
        std::size_t Begin = End < Slices ? 0 : End - Slices;
        int Total = 0;
        for (std::size_t I = Begin; I < std::min(End, Of.size()); ++I)
          Total += Of[I];
        return Total;
      };
      for (std::size_t End = Slices; End <= Each.Extra.size(); ++End) {
        int Requests = std::max({Sum(Each.Requests, End),
                                 Sum(Each.Requests, End - Slices / 2),
                                 Sum(Each.Requests, End - Slices)});
        INFO("seed " << Settings.Seed << " level " << Level << " window end "
                     << End * SliceMs << " ms, " << Requests << " requests");
        REQUIRE(Sum(Each.Extra, End) <= Shared.Ratio * Requests + Shared.Floor);
      }
    }
  }

private:
  static constexpr std::int64_t SliceMs = 100;
  static constexpr std::int64_t TimeoutMs = 3'000;
  static constexpr std::int64_t CallTimeoutMs = 800;
  static constexpr unsigned MaxAttempts = 3;

  struct Node {
    Node(base::Clock &Time, follower::SnapshotSource &Snapshots,
         const SharedRetryBudget &Shared)
        : Budgets(Time, Snapshots, Shared), Runs(Time, Budgets) {}

    RetryBudgets Budgets;
    UpstreamRuns Runs;
  };

  /// A request at its entry node.
  struct Request {
    Node *Entry = nullptr;
    std::size_t Level = 0;
    base::TimePoint Deadline;
    /// The request is in truth a call of a repeat.
    bool OfRepeat = false;
    unsigned Arrivals = 0;
    std::optional<RetryAllowance> Allowance;
    std::function<void(bool)> Done;
  };
  using RequestPtr = std::shared_ptr<Request>;

  /// A request at its upstream.
  struct UpstreamRun {
    Node *At = nullptr;
    RequestPtr For;
    bool Repeat = false;
    unsigned CallsLeft = 0;
    std::optional<UpstreamRuns::Run> Tracked;
  };
  using RunPtr = std::shared_ptr<UpstreamRun>;

  void setUp(const Plan &Given) {
    Settings = Given;
    Random.seed(Settings.Seed);
    Result.assign(Settings.Levels, Totals());
    document::MeshSnapshot Mesh;
    for (std::size_t I = 0; I < Settings.Levels * Settings.NodesPerLevel; ++I) {
      document::Endpoint Each;
      Each.Id = base::EndpointId(fmt::format("n{}", I));
      Each.Node = base::NodeId(Each.Id.value());
      Each.State = document::EndpointState::Ready;
      Each.Service = serviceOf(I / Settings.NodesPerLevel);
      Mesh.Endpoints[Each.Id] = Each;
    }
    for (std::size_t Level = 0; Level < Settings.Levels; ++Level)
      Mesh.Services[serviceOf(Level)].Name = serviceOf(Level);
    Snapshots.set(Mesh);
    Nodes.clear();
    for (std::size_t I = 0; I < Mesh.Endpoints.size(); ++I)
      Nodes.push_back(std::make_unique<Node>(Time, Snapshots, Settings.Shared));
  }

  static base::ServiceName serviceOf(std::size_t Level) {
    return base::ServiceName(fmt::format("s{}", Level));
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  /// A span between half of `Mean` and one and a half of it.
  base::Millis around(std::int64_t Mean) {
    return base::Millis(std::uniform_int_distribution<std::int64_t>(
        Mean / 2, Mean * 3 / 2)(Random));
  }

  void after(base::Millis Span, std::function<void()> What) {
    Events.emplace((Time.now() + Span).count(), std::move(What));
  }

  static void add(std::vector<int> &Slices, base::TimePoint At) {
    auto Index = static_cast<std::size_t>(At.count() / SliceMs);
    if (Slices.size() <= Index)
      Slices.resize(Index + 1);
    ++Slices[Index];
  }

  void scheduleCaller(std::size_t Level) {
    double Gap = std::exponential_distribution<double>(
        Settings.CallersPerSecond[Level] / 1000)(Random);
    after(base::Millis(std::llround(Gap)), [this, Level] {
      if (Time.now().count() >= Settings.Duration)
        return;
      Node &Entry = *Nodes[Random() % Nodes.size()];
      send(Entry, Level, Time.now() + base::Millis(TimeoutMs), false,
           [](bool) {});
      scheduleCaller(Level);
    });
  }

  void send(Node &Entry, std::size_t Level, base::TimePoint Deadline,
            bool OfRepeat, std::function<void(bool)> Done) {
    auto Sent = std::make_shared<Request>();
    Sent->Entry = &Entry;
    Sent->Level = Level;
    Sent->Deadline = Deadline;
    Sent->OfRepeat = OfRepeat;
    Sent->Done = [this, Level, Done = std::move(Done)](bool Served) {
      ++(Served ? Result[Level].Served : Result[Level].Failed);
      Done(Served);
    };
    if (!OfRepeat)
      add(Result[Level].Requests, Time.now());
    // The node reads the request some time after its sender has computed how
    // long it waits.
    bool CallOfRepeat =
        uniform() <
        Entry.Runs.recordCall({serviceOf(Level),
                               base::RouteName(serviceOf(Level).value()),
                               Deadline + around(4)});
    Sent->Allowance.emplace(Entry.Budgets, serviceOf(Level), CallOfRepeat,
                            Time.now());
    attempt(Sent);
  }

  void attempt(const RequestPtr &Sent) {
    Node &At = *Nodes[Sent->Level * Settings.NodesPerLevel +
                      Random() % Settings.NodesPerLevel];
    base::RouteName Route(serviceOf(Sent->Level).value());
    if (Sent->Allowance->isRepeatedWork() && !At.Runs.allowsRepeat(Route)) {
      Sent->Allowance->recordAttempt(false);
      Sent->Done(false);
      return;
    }
    bool Repeat = Sent->OfRepeat || Sent->Arrivals != 0;
    ++Sent->Arrivals;
    if (Repeat)
      add(Result[Sent->Level].Extra, Time.now());
    bool Faulty = Sent->Level == Settings.FaultyLevel &&
                  Time.now().count() >= Settings.FaultFrom &&
                  Time.now().count() < Settings.FaultUntil;
    if (Faulty && uniform() < Settings.RefusedShare) {
      after(around(4), [this, Sent] { fail(Sent); });
      return;
    }
    auto Run = std::make_shared<UpstreamRun>();
    Run->At = &At;
    Run->For = Sent;
    Run->Repeat = Repeat;
    Run->Tracked.emplace(
        At.Runs, UpstreamRuns::Request{Route, Sent->Deadline,
                                       Sent->Allowance->isRepeatedWork()});
    if (Sent->Level + 1 < Settings.Levels)
      Run->CallsLeft = Settings.CallsPerRun;
    after(around(100), [this, Run] { resume(Run); });
  }

  /// Makes the next call of the run, or completes it.
  void resume(const RunPtr &Run) {
    if (Run->CallsLeft == 0) {
      Run->Tracked.reset();
      Run->For->Done(true);
      return;
    }
    --Run->CallsLeft;
    base::TimePoint Deadline =
        std::min(Run->For->Deadline, Time.now() + base::Millis(CallTimeoutMs));
    send(*Run->At, Run->For->Level + 1, Deadline, Run->Repeat,
         [this, Run](bool Served) {
           if (Served) {
             resume(Run);
             return;
           }
           Run->Tracked.reset();
           fail(Run->For);
         });
  }

  void fail(const RequestPtr &Sent) {
    Sent->Allowance->recordAttempt(true);
    if (Sent->Arrivals < MaxAttempts && Time.now() < Sent->Deadline &&
        Sent->Allowance->admitAttempt(Time.now()))
      attempt(Sent);
    else
      Sent->Done(false);
  }

  boost::asio::io_context Context;
  base::ManualClock Time;
  testing::FakeSnapshots Snapshots{Context.get_executor()};
  Plan Settings;
  std::mt19937_64 Random;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::multimap<std::int64_t, std::function<void()>> Events;
  std::vector<Totals> Result;
};

// Guards against retries that multiply along the calls: a run fails because its
// call was refused, is repeated, and makes its calls again. The nodes that
// repeat the run and those that enter its calls are different ones.
TEST_CASE_METHOD(RetryAmplificationTest,
                 "Calls of repeated runs stay within the budget of the called "
                 "service") {
  Plan Given;
  Given.Seed = GENERATE(range<std::uint64_t>(1, 6));
  auto Levels = simulate(Given);
  requireWithinBudget(Levels, Given.Shared);
}

// Guards against repeats that are counted one level below the repeated run
// only: each level repeats, and the last one gets the product.
TEST_CASE_METHOD(RetryAmplificationTest,
                 "Calls at any depth of a repeated run stay within the "
                 "budgets") {
  Plan Given;
  Given.Seed = GENERATE(range<std::uint64_t>(1, 6));
  Given.Levels = 6;
  Given.CallsPerRun = 1;
  Given.CallersPerSecond = {300, 0, 0, 0, 0, 30};
  Given.FaultyLevel = 5;
  auto Levels = simulate(Given);
  requireWithinBudget(Levels, Given.Shared);
}

} // namespace amaranth::dataplane
