#include "CrashGuard.h"

#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

/// A supervisor may restart the upstream before a connection is refused; the
/// new incarnation is announced within this time.
constexpr base::Millis BreakMemory = base::Millis::seconds(5);
/// Time from the commit of a report until the other nodes have it in their
/// snapshots: control sends a node one update in 50 ms. Without this wait a
/// resend reached nodes that did not know the suspect yet.
constexpr base::Millis PropagationTime = base::Millis(400);

} // namespace

CrashGuard::CrashGuard(const asio::any_io_executor &Executor, base::Clock &Time,
                       ClaimClient &Calls, UpstreamClient &Client, bool Report,
                       std::function<void()> OnCrash)
    : Executor(Executor), Time(Time), Calls(Calls), Client(Client),
      Report(Report), OnCrash(std::move(OnCrash)) {}

CrashGuard::Tracked::Tracked(CrashGuard &Owner, std::uint64_t Fingerprint)
    : Owner(Owner), Id(Owner.NextId++) {
  Owner.Running.emplace(Id, Fingerprint);
}

CrashGuard::Tracked::~Tracked() {
  auto Found = Owner.Running.find(Id);
  if (Abandoned)
    Owner.GivenUp.emplace(Owner.Time.now(), Found->second);
  Owner.Running.erase(Found);
}

std::vector<std::uint64_t> CrashGuard::running() {
  auto Forgotten = GivenUp.lower_bound(Time.now() - BreakMemory);
  GivenUp.erase(GivenUp.begin(), Forgotten);
  std::vector<std::uint64_t> Result;
  for (const auto &[At, Fingerprint] : GivenUp)
    Result.push_back(Fingerprint);
  for (const auto &[Id, Fingerprint] : Running)
    Result.push_back(Fingerprint);
  std::ranges::sort(Result);
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

asio::awaitable<bool> CrashGuard::broken(base::ServiceName Service,
                                         base::EndpointId Upstream,
                                         std::uint64_t Fingerprint,
                                         base::Millis Limit) {
  // All requests that one crash interrupts share one report.
  if (!Current) {
    Current = std::make_shared<Check>(Executor);
    asio::co_spawn(Executor, examine(Current, Service, Upstream, Limit),
                   asio::detached);
  }
  auto Mine = Current;
  while (!Mine->Done)
    co_await Mine->Changed.wait();
  if (!Mine->Crashed)
    RecentBreaks.emplace(Time.now(), Fingerprint);
  co_return Mine->Crashed;
}

asio::awaitable<void> CrashGuard::examine(std::shared_ptr<Check> Mine,
                                          base::ServiceName Service,
                                          base::EndpointId Upstream,
                                          base::Millis Limit) {
  Mine->Crashed = co_await Client.refusesConnections();
  if (Mine->Crashed) {
    // By now a request whose connection was refused has been taken off the
    // list; one that waits for this check is still on it.
    std::vector<std::uint64_t> Fingerprints = running();
    GivenUp.clear();
    base::logger("dataplane")
        ->warn("upstream crashed endpoint={} suspects={}", Upstream.value(),
               Fingerprints.size());
    OnCrash();
    if (!Fingerprints.empty() && Report)
      co_await report(Service, Upstream, std::move(Fingerprints), Limit);
  }
  Current.reset();
  Mine->Done = true;
  Mine->Changed.notifyAll();
}

asio::awaitable<void>
CrashGuard::report(base::ServiceName Service, base::EndpointId Upstream,
                   std::vector<std::uint64_t> Fingerprints,
                   base::Millis Limit) {
  control::Command Report =
      control::ReportCrash{Service, Upstream, std::move(Fingerprints)};
  base::TimePoint End = Time.now() + Limit;
  auto Result = co_await Calls.commit(Report, Limit);
  if (Result)
    co_await Time.sleepUntil(std::min(End, Time.now() + PropagationTime));
  else
    Calls.commitInBackground(std::move(Report));
}

void CrashGuard::restarted(const base::ServiceName &Service,
                           const base::EndpointId &Upstream) {
  std::vector<std::uint64_t> Fingerprints;
  for (const auto &[At, Fingerprint] : RecentBreaks)
    if (Time.now() - At <= BreakMemory)
      Fingerprints.push_back(Fingerprint);
  RecentBreaks.clear();
  if (Fingerprints.empty() || !Report)
    return;
  OnCrash();
  Calls.commitInBackground(
      control::ReportCrash{Service, Upstream, std::move(Fingerprints)});
}

} // namespace amaranth::dataplane
