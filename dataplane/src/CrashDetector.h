#ifndef AMARANTH_DATAPLANE_SRC_CRASHDETECTOR_H
#define AMARANTH_DATAPLANE_SRC_CRASHDETECTOR_H

#include "amaranth/base/Signal.h"
#include "amaranth/dataplane/ClaimClient.h"
#include "amaranth/dataplane/CrashQuarantine.h"
#include "amaranth/dataplane/UpstreamClient.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace amaranth::dataplane {

/// Part of a request in the crash during which it was running.
enum class CrashRole : std::uint8_t {
  /// The upstream did not crash; only the connection failed.
  NoCrash,
  /// Another request caused the crash.
  Bystander,
  /// The request may have caused the crash.
  Suspect,
  /// The request caused the crash.
  Culprit,
};

/// Distinguishes a crash of the upstream from the failure of a single
/// connection, and reports its suspects or its culprit to the control
/// processes.
class CrashDetector {
public:
  /// `OnCrash` is called once for each detected crash. Without
  /// `ReportCrashes`, requests are neither suspected nor reported.
  CrashDetector(const boost::asio::any_io_executor &Executor, base::Clock &Time,
                ClaimClient &Claims, UpstreamClient &Client,
                CrashQuarantine &Quarantine, Metrics &Counters,
                bool ReportCrashes, std::function<void()> OnCrash);

  /// Counts a request that may have reached the upstream as running while the
  /// object lives, and a few seconds longer if it was abandoned.
  class TrackedRequest {
  public:
    TrackedRequest(CrashDetector &Owner, std::uint64_t Fingerprint);
    ~TrackedRequest();
    TrackedRequest(const TrackedRequest &) = delete;
    TrackedRequest &operator=(const TrackedRequest &) = delete;
    void abandon() { Abandoned = true; }

  private:
    CrashDetector &Owner;
    std::uint64_t Id;
    bool Abandoned = false;
  };

  /// Called when a connection broke while a request was running. Its caller may
  /// send a culprit, or a suspect with `CallerResends`, again at once and to
  /// any node. For these it completes only when all nodes should know the
  /// report, or after `Limit`.
  boost::asio::awaitable<CrashRole>
  handleBrokenConnection(base::ServiceName Service, base::EndpointId Upstream,
                         std::uint64_t Fingerprint, bool CallerResends,
                         base::Millis Limit);

  /// Called when the upstream announced a new incarnation without having
  /// announced its shutdown. The requests whose connection broke shortly before
  /// may have caused its crash.
  void handleRestart(const base::ServiceName &Service,
                     const base::EndpointId &Upstream);

private:
  struct CrashCheck {
    explicit CrashCheck(const boost::asio::any_io_executor &Executor)
        : Changed(Executor) {}
    base::Signal Changed;
    bool Done = false;
    bool Crashed = false;
    CrashAttribution Cause;
    /// The report is committed and distributed, or given up.
    bool Reported = false;
  };

  boost::asio::awaitable<void> runCheck(std::shared_ptr<CrashCheck> Check,
                                        base::ServiceName Service,
                                        base::EndpointId Upstream);
  /// Attributes a crash to the `Running` requests.
  CrashAttribution attribute(const base::EndpointId &Upstream,
                             const std::vector<std::uint64_t> &Running);
  /// The command that reports the cause to control; empty if there is none.
  static std::optional<control::Command>
  makeReport(const base::ServiceName &Service, const base::EndpointId &Upstream,
             const CrashAttribution &Cause);
  /// Completes when the report is committed and distributed, or after `Limit`.
  boost::asio::awaitable<void> report(control::Command Command,
                                      base::Millis Limit);
  std::vector<std::uint64_t> runningFingerprints();
  CrashRole roleOf(const CrashCheck &Check, std::uint64_t Fingerprint) const;

  boost::asio::any_io_executor Executor;
  base::Clock &Time;
  ClaimClient &Claims;
  UpstreamClient &Client;
  CrashQuarantine &Quarantine;
  Metrics &Counters;
  bool ReportCrashes;
  std::function<void()> OnCrash;
  std::map<std::uint64_t, std::uint64_t> RunningRequests;
  std::uint64_t NextId = 0;
  std::shared_ptr<CrashCheck> ActiveCheck;
  /// Requests that the gate abandoned while the upstream may still have been
  /// running them, by the time of abandonment.
  std::multimap<base::TimePoint, std::uint64_t> AbandonedRequests;
  /// Requests whose connection broke although the upstream still accepted
  /// connections, by the time of the disconnect.
  std::multimap<base::TimePoint, std::uint64_t> RecentDisconnects;
};

} // namespace amaranth::dataplane

#endif
