#ifndef AMARANTH_DATAPLANE_SRC_CRASHDETECTOR_H
#define AMARANTH_DATAPLANE_SRC_CRASHDETECTOR_H

#include "amaranth/base/Signal.h"
#include "amaranth/dataplane/ClaimClient.h"
#include "amaranth/dataplane/UpstreamClient.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace amaranth::dataplane {

/// Tells a crash of the upstream from the failure of one connection, and has
/// the requests that were running reported before their callers get answers.
class CrashDetector {
public:
  /// `OnCrash` runs once for each crash that is found. Without `ReportCrashes`
  /// the requests are not reported and answers are not withheld.
  CrashDetector(const boost::asio::any_io_executor &Executor, base::Clock &Time,
                ClaimClient &Claims, UpstreamClient &Client, bool ReportCrashes,
                std::function<void()> OnCrash);

  /// A request that may have reached the upstream. Running until destroyed,
  /// and some seconds longer when it was abandoned.
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

  /// A connection broke while a request was running. Returns true when the
  /// upstream crashed; then the report is committed or `Limit` has passed.
  boost::asio::awaitable<bool> handleBrokenConnection(base::ServiceName Service,
                                                      base::EndpointId Upstream,
                                                      std::uint64_t Fingerprint,
                                                      base::Millis Limit);

  /// The upstream announced a new incarnation without a notice that it
  /// leaves: requests that broke shortly before are reported.
  void handleRestart(const base::ServiceName &Service,
                     const base::EndpointId &Upstream);

private:
  struct CrashCheck {
    explicit CrashCheck(const boost::asio::any_io_executor &Executor)
        : Changed(Executor) {}
    base::Signal Changed;
    bool Done = false;
    bool Crashed = false;
  };

  boost::asio::awaitable<void> runCheck(std::shared_ptr<CrashCheck> Check,
                                        base::ServiceName Service,
                                        base::EndpointId Upstream,
                                        base::Millis Limit);
  boost::asio::awaitable<void> report(base::ServiceName Service,
                                      base::EndpointId Upstream,
                                      std::vector<std::uint64_t> Fingerprints,
                                      base::Millis Limit);
  std::vector<std::uint64_t> suspectFingerprints();

  boost::asio::any_io_executor Executor;
  base::Clock &Time;
  ClaimClient &Claims;
  UpstreamClient &Client;
  bool ReportCrashes;
  std::function<void()> OnCrash;
  std::map<std::uint64_t, std::uint64_t> RunningRequests;
  std::uint64_t NextId = 0;
  std::shared_ptr<CrashCheck> ActiveCheck;
  /// Requests that were given up while the upstream had them.
  std::multimap<base::TimePoint, std::uint64_t> AbandonedRequests;
  /// Requests whose connection broke although the upstream still accepted
  /// connections, by the time of the break.
  std::multimap<base::TimePoint, std::uint64_t> RecentDisconnects;
};

} // namespace amaranth::dataplane

#endif
