#include "CrashDetector.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

/// How long broken and abandoned requests remain suspects. A supervisor may
/// restart a crashed upstream before any connection is refused; the new
/// incarnation is announced within this time.
constexpr base::Millis DisconnectRetention = base::Millis::seconds(5);
/// Time from the commit of a report until it is in the snapshots of the other
/// nodes; control sends each node one update every 50 ms. Without this delay,
/// resent requests reached nodes that did not know the suspect yet.
constexpr base::Millis PropagationDelay = base::Millis(400);

std::string fingerprintList(const std::vector<std::uint64_t> &Fingerprints) {
  std::string Result;
  for (std::uint64_t Each : Fingerprints) {
    Result += Result.empty() ? "" : ",";
    Result += base::hex64(Each);
  }
  return Result;
}

} // namespace

CrashDetector::CrashDetector(const asio::any_io_executor &Executor,
                             base::Clock &Time, ClaimClient &Claims,
                             UpstreamClient &Client, bool ReportCrashes,
                             std::function<void()> OnCrash)
    : Executor(Executor), Time(Time), Claims(Claims), Client(Client),
      ReportCrashes(ReportCrashes), OnCrash(std::move(OnCrash)) {}

CrashDetector::TrackedRequest::TrackedRequest(CrashDetector &Owner,
                                              std::uint64_t Fingerprint)
    : Owner(Owner), Id(Owner.NextId++) {
  Owner.RunningRequests.emplace(Id, Fingerprint);
}

CrashDetector::TrackedRequest::~TrackedRequest() {
  auto Found = Owner.RunningRequests.find(Id);
  if (Abandoned)
    Owner.AbandonedRequests.emplace(Owner.Time.now(), Found->second);
  Owner.RunningRequests.erase(Found);
}

std::vector<std::uint64_t> CrashDetector::suspectFingerprints() {
  auto FirstRetained =
      AbandonedRequests.lower_bound(Time.now() - DisconnectRetention);
  AbandonedRequests.erase(AbandonedRequests.begin(), FirstRetained);
  std::vector<std::uint64_t> Result;
  for (const auto &[At, Fingerprint] : AbandonedRequests)
    Result.push_back(Fingerprint);
  for (const auto &[Id, Fingerprint] : RunningRequests)
    Result.push_back(Fingerprint);
  std::ranges::sort(Result);
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

asio::awaitable<bool> CrashDetector::handleBrokenConnection(
    base::ServiceName Service, base::EndpointId Upstream,
    std::uint64_t Fingerprint, base::Millis Limit) {
  // Requests interrupted by the same crash share one check and one report.
  if (!ActiveCheck) {
    ActiveCheck = std::make_shared<CrashCheck>(Executor);
    asio::co_spawn(Executor, runCheck(ActiveCheck, Service, Upstream, Limit),
                   asio::detached);
  }
  auto Check = ActiveCheck;
  while (!Check->Done)
    co_await Check->Changed.wait();
  if (!Check->Crashed)
    RecentDisconnects.emplace(Time.now(), Fingerprint);
  co_return Check->Crashed;
}

asio::awaitable<void> CrashDetector::runCheck(std::shared_ptr<CrashCheck> Check,
                                              base::ServiceName Service,
                                              base::EndpointId Upstream,
                                              base::Millis Limit) {
  Check->Crashed = co_await Client.refusesConnections();
  if (Check->Crashed) {
    // Requests whose connection was refused are no longer tracked at this
    // point; those that wait for this check still are.
    std::vector<std::uint64_t> Fingerprints = suspectFingerprints();
    AbandonedRequests.clear();
    base::logger("dataplane")
        ->warn("upstream crashed endpoint={} isolation={} suspects={} "
               "fingerprints={}",
               Upstream.value(), ReportCrashes, Fingerprints.size(),
               fingerprintList(Fingerprints));
    OnCrash();
    if (!Fingerprints.empty() && ReportCrashes)
      co_await report(Service, Upstream, std::move(Fingerprints), Limit);
  }
  ActiveCheck.reset();
  Check->Done = true;
  Check->Changed.notifyAll();
}

asio::awaitable<void>
CrashDetector::report(base::ServiceName Service, base::EndpointId Upstream,
                      std::vector<std::uint64_t> Fingerprints,
                      base::Millis Limit) {
  control::Command Command =
      control::ReportCrash{Service, Upstream, std::move(Fingerprints)};
  base::TimePoint End = Time.now() + Limit;
  auto Result = co_await Claims.commit(Command, Limit);
  if (Result)
    co_await Time.sleepUntil(std::min(End, Time.now() + PropagationDelay));
  else
    Claims.commitInBackground(std::move(Command));
}

void CrashDetector::handleRestart(const base::ServiceName &Service,
                                  const base::EndpointId &Upstream) {
  std::vector<std::uint64_t> Fingerprints;
  for (const auto &[At, Fingerprint] : RecentDisconnects)
    if (Time.now() - At <= DisconnectRetention)
      Fingerprints.push_back(Fingerprint);
  RecentDisconnects.clear();
  if (Fingerprints.empty() || !ReportCrashes)
    return;
  OnCrash();
  Claims.commitInBackground(
      control::ReportCrash{Service, Upstream, std::move(Fingerprints)});
}

} // namespace amaranth::dataplane
