#include "RetryState.h"
#include "amaranth/dataplane/Balancer.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace amaranth::dataplane {

/// Replays the load of two zones with many entry nodes, each of which knows
/// only the gates that it has met. Zone `a` gets more than its gates can take,
/// zone `b` half of that.
class ZoneOverflowTest {
protected:
  static constexpr int GatesPerZone = 30;
  static constexpr int EntriesPerZone = 200;
  static constexpr std::size_t Slots = 8;
  static constexpr std::int64_t ServiceMs = 240;
  static constexpr std::int64_t ObjectiveMs = 800;
  static constexpr std::int64_t LocalWaitMs = 120;
  static constexpr std::uint64_t Seed = 17;

  /// Times at which the slots of a gate become free.
  using Gate = std::vector<std::int64_t>;

  struct Entry {
    Entry(const std::string &Zone, base::Clock &Time, Metrics &Counters,
          std::uint64_t Seed)
        : Zone(Zone), Balance(settings(Zone), Time, Counters, Seed) {}

    static Balancer::Settings settings(const std::string &Zone) {
      Balancer::Settings Options;
      Options.Zone = base::AvailabilityZone(Zone);
      Options.SlowStart = base::Millis(0);
      return Options;
    }

    std::string Zone;
    Balancer Balance;
  };

  struct Outcome {
    int Requests = 0;
    int InTime = 0;
    int Refused = 0;
  };

  ZoneOverflowTest() {
    for (const std::string Zone : {"a", "b"}) {
      for (int I = 0; I < GatesPerZone; ++I) {
        document::Endpoint Next;
        Next.Id = base::EndpointId(fmt::format("{}{}", Zone, I));
        Next.Service = Service;
        Next.Version = Version;
        Next.Zone = base::AvailabilityZone(Zone);
        Next.Slots = Slots;
        Next.State = document::EndpointState::Ready;
        Mesh.Endpoints[Next.Id] = Next;
        Gates[Next.Id] = Gate(Slots, 0);
      }
      for (int I = 0; I < EntriesPerZone; ++I)
        Entries.push_back(std::make_unique<Entry>(Zone, Time, Counters,
                                                  Seed + Entries.size()));
    }
  }

  std::int64_t now() const { return Time.now().count(); }

  UpstreamLoad loadOf(const Gate &At) const {
    UpstreamLoad Load;
    auto Busy = std::count_if(At.begin(), At.end(),
                              [this](auto Free) { return Free > now(); });
    Load.InFlight = static_cast<std::uint32_t>(Busy);
    Load.Slots = Slots;
    Load.ServiceTime = base::Millis(ServiceMs);
    Load.QueueWait = base::Millis(std::max<std::int64_t>(
        0, *std::min_element(At.begin(), At.end()) - now()));
    // Each waiting request has moved the end of one slot by a service time.
    for (std::int64_t Free : At)
      Load.Queued += static_cast<std::uint32_t>(
          std::max<std::int64_t>(0, Free - now() - 1) / ServiceMs);
    return Load;
  }

  void send(Entry &From, Outcome &Into) {
    ++Into.Requests;
    RetryState Retries;
    std::int64_t Started = now();
    for (;;) {
      Balancer::RequestTraits Traits{base::Millis(LocalWaitMs), false,
                                     SpillsOver && Retries.asksAllZones()};
      const auto *Target = From.Balance.choose(Mesh, Service, Version,
                                               Retries.excluded(), Traits);
      if (!Target && Retries.readmitBusyEndpoints())
        Target = From.Balance.choose(Mesh, Service, Version, Retries.excluded(),
                                     Traits);
      if (!Target)
        break;
      Retries.beginAttempt(Target->Id);
      Gate &At = Gates[Target->Id];
      auto First = std::min_element(At.begin(), At.end());
      std::int64_t Wait = std::max<std::int64_t>(0, *First - now());
      std::int64_t Patience = ObjectiveMs - ServiceMs;
      if (Target->Zone.value() == From.Zone)
        Patience = std::min(Patience, LocalWaitMs);
      // A gate admits a late request only while its queue is short.
      bool Admitted = Retries.limitsQueueWait()
                          ? Wait <= Patience
                          : Wait + ServiceMs <= ObjectiveMs;
      if (Admitted) {
        *First = std::max(now(), *First) + ServiceMs;
        From.Balance.recordLoad(Target->Id, loadOf(At));
        Into.InTime += *First - Started <= ObjectiveMs ? 1 : 0;
        return;
      }
      Refusal Busy;
      Busy.Outcome = ExecutionOutcome::NotRun;
      Busy.Reason = RefusalReason::WaitTooLong;
      Busy.Load = loadOf(At);
      From.Balance.recordLoad(Target->Id, Busy.Load);
      constexpr unsigned MaxUpstreamAttempts = 2;
      if (Retries.onRefusal(Target->Id, Busy, true, MaxUpstreamAttempts) ==
          RetryState::Step::Stop)
        break;
    }
    ++Into.Refused;
  }

  /// `LoadA`, `LoadB`: arrivals as a fraction of what the zone's gates can run.
  std::pair<Outcome, Outcome> run(double LoadA, double LoadB) {
    constexpr std::int64_t DurationMs = 20'000;
    constexpr double PerMs =
        static_cast<double>(GatesPerZone * Slots) / ServiceMs;
    std::mt19937_64 Random(Seed);
    std::poisson_distribution<int> CountA(PerMs * LoadA);
    std::poisson_distribution<int> CountB(PerMs * LoadB);
    std::uniform_int_distribution<std::size_t> Node(0, EntriesPerZone - 1);
    Outcome A;
    Outcome B;
    for (std::int64_t Passed = 0; Passed < DurationMs; ++Passed) {
      for (int I = CountA(Random); I > 0; --I)
        send(*Entries[Node(Random)], A);
      for (int I = CountB(Random); I > 0; --I)
        send(*Entries[EntriesPerZone + Node(Random)], B);
      Time.advance(base::Millis(1));
    }
    return {A, B};
  }

  bool SpillsOver = true;
  base::ManualClock Time;
  prometheus::Registry Registry;
  Metrics Counters{Registry};
  base::ServiceName Service{"s"};
  base::VersionName Version{"v"};
  document::MeshSnapshot Mesh;
  std::map<base::EndpointId, Gate> Gates;
  std::vector<std::unique_ptr<Entry>> Entries;
};

// Guards against requests that are refused in a full zone while another one has
// free slots.
TEST_CASE_METHOD(ZoneOverflowTest, "Overload of one zone uses the other one") {
  INFO("seed " << Seed);
  auto [A, B] = run(1.2, 0.5);
  INFO("a: " << A.InTime << " in time, " << A.Refused << " refused of "
             << A.Requests);
  INFO("b: " << B.InTime << " in time, " << B.Refused << " refused of "
             << B.Requests);
  CHECK(A.InTime >= A.Requests * 0.99);
  CHECK(B.InTime >= B.Requests * 0.99);
}

// The zones together are overloaded: no zone may lose for the other one.
TEST_CASE_METHOD(ZoneOverflowTest, "Overload of both zones is shared") {
  INFO("seed " << Seed);
  auto [A, B] = run(1.3, 0.9);
  INFO("a: " << A.InTime << " in time, " << A.Refused << " refused of "
             << A.Requests);
  INFO("b: " << B.InTime << " in time, " << B.Refused << " refused of "
             << B.Requests);
  int Capacity = (A.Requests + B.Requests) * 10 / 11;
  CHECK(A.InTime + B.InTime >= Capacity * 0.9);
}

} // namespace amaranth::dataplane
