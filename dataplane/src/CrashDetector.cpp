#include "CrashDetector.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

/// How long broken and abandoned requests count as running. A supervisor may
/// restart a crashed upstream before any connection is refused; the new
/// incarnation is announced within this time.
constexpr base::Millis DisconnectRetention = base::Millis::seconds(5);
/// Time for the commit of a report while responses wait for it.
constexpr base::Millis ReportTimeout = base::Millis::seconds(1);
/// Time from the commit of a report until it is in the snapshots of the
/// other nodes; control sends each node one update every 50 ms. Without this
/// delay, the caller's resend reaches nodes that do not know of it yet.
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
                             UpstreamClient &Client,
                             CrashQuarantine &Quarantine, Metrics &Counters,
                             bool ReportCrashes, std::function<void()> OnCrash)
    : Executor(Executor), Time(Time), Claims(Claims), Client(Client),
      Quarantine(Quarantine), Counters(Counters), ReportCrashes(ReportCrashes),
      OnCrash(std::move(OnCrash)) {}

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

std::vector<std::uint64_t> CrashDetector::runningFingerprints() {
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

asio::awaitable<CrashRole> CrashDetector::handleBrokenConnection(
    base::ServiceName Service, base::EndpointId Upstream,
    std::uint64_t Fingerprint, bool CallerResends, base::Millis Limit) {
  // Requests interrupted by the same crash share one check and one report.
  if (!ActiveCheck) {
    ActiveCheck = std::make_shared<CrashCheck>(Executor);
    asio::co_spawn(Executor, runCheck(ActiveCheck, Service, Upstream),
                   asio::detached);
  }
  auto Check = ActiveCheck;
  while (!Check->Done)
    co_await Check->Changed.wait();
  if (!Check->Crashed)
    RecentDisconnects.emplace(Time.now(), Fingerprint);
  CrashRole Role = roleOf(*Check, Fingerprint);
  bool Waits = Role == CrashRole::Culprit ||
               (Role == CrashRole::Suspect && CallerResends);
  base::TimePoint End = Time.now() + Limit;
  while (Waits && !Check->Reported && Time.now() < End)
    co_await Time.waitFor(Check->Changed, End);
  co_return Role;
}

CrashRole CrashDetector::roleOf(const CrashCheck &Check,
                                std::uint64_t Fingerprint) const {
  if (!Check.Crashed)
    return CrashRole::NoCrash;
  if (!ReportCrashes)
    return CrashRole::Suspect;
  if (Check.Cause.Culprit == Fingerprint)
    return CrashRole::Culprit;
  return std::ranges::find(Check.Cause.Suspects, Fingerprint) !=
                 Check.Cause.Suspects.end()
             ? CrashRole::Suspect
             : CrashRole::Bystander;
}

asio::awaitable<void> CrashDetector::runCheck(std::shared_ptr<CrashCheck> Check,
                                              base::ServiceName Service,
                                              base::EndpointId Upstream) {
  Check->Crashed = co_await Client.refusesConnections();
  if (Check->Crashed) {
    // Requests whose connection was refused no longer count as running at this
    // point; those that wait for this check still do.
    Check->Cause = attribute(Upstream, runningFingerprints());
    AbandonedRequests.clear();
    OnCrash();
  }
  ActiveCheck.reset();
  Check->Done = true;
  Check->Changed.notifyAll();
  if (auto Command = makeReport(Service, Upstream, Check->Cause))
    co_await report(std::move(*Command), ReportTimeout);
  Check->Reported = true;
  Check->Changed.notifyAll();
}

CrashAttribution
CrashDetector::attribute(const base::EndpointId &Upstream,
                         const std::vector<std::uint64_t> &Running) {
  CrashAttribution Cause;
  if (ReportCrashes)
    Cause = Quarantine.attributeCrash(Running);
  if (Cause.Culprit)
    Counters.countConviction();
  base::logger("dataplane")
      ->warn("upstream crashed endpoint={} isolation={} running={} suspects={} "
             "culprit={}",
             Upstream.value(), ReportCrashes, fingerprintList(Running),
             Cause.Suspects.size(),
             Cause.Culprit ? base::hex64(*Cause.Culprit) : "unknown");
  return Cause;
}

std::optional<control::Command>
CrashDetector::makeReport(const base::ServiceName &Service,
                          const base::EndpointId &Upstream,
                          const CrashAttribution &Cause) {
  if (Cause.Culprit)
    return control::EndSuspectRun{Service, *Cause.Culprit, {}, true};
  if (Cause.Suspects.empty())
    return std::nullopt;
  return control::ReportCrash{Service, Upstream, Cause.Suspects,
                              base::randomU64()};
}

asio::awaitable<void> CrashDetector::report(control::Command Command,
                                            base::Millis Limit) {
  base::TimePoint End = Time.now() + Limit;
  auto Result = co_await Claims.commit(Command, Limit);
  if (Result)
    co_await Time.sleepUntil(std::min(End, Time.now() + PropagationDelay));
  else
    Claims.commitInBackground(std::move(Command));
}

void CrashDetector::handleRestart(const base::ServiceName &Service,
                                  const base::EndpointId &Upstream) {
  std::set<std::uint64_t> Broken;
  for (const auto &[At, Fingerprint] : RecentDisconnects)
    if (Time.now() - At <= DisconnectRetention)
      Broken.insert(Fingerprint);
  RecentDisconnects.clear();
  if (Broken.empty() || !ReportCrashes)
    return;
  CrashAttribution Cause = attribute(Upstream, {Broken.begin(), Broken.end()});
  OnCrash();
  if (auto Command = makeReport(Service, Upstream, Cause))
    Claims.commitInBackground(std::move(*Command));
}

} // namespace amaranth::dataplane
