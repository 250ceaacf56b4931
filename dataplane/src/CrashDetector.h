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

/// Distinguishes a crash of the upstream from the failure of a single
/// connection, and reports the requests that were running to the control
/// processes before their callers receive a response.
class CrashDetector {
public:
  /// `OnCrash` is called once for each detected crash. Without
  /// `ReportCrashes`, requests are not reported and responses are not delayed.
  CrashDetector(const boost::asio::any_io_executor &Executor, base::Clock &Time,
                ClaimClient &Claims, UpstreamClient &Client, bool ReportCrashes,
                std::function<void()> OnCrash);

  /// Marks a request that may have reached the upstream as a crash suspect
  /// while the object lives, and a few seconds longer if it was abandoned.
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

  /// Called when a connection broke while a request was running. Returns true
  /// if the upstream crashed; by then the report is committed or `Limit` has
  /// passed.
  boost::asio::awaitable<bool> handleBrokenConnection(base::ServiceName Service,
                                                      base::EndpointId Upstream,
                                                      std::uint64_t Fingerprint,
                                                      base::Millis Limit);

  /// Called when the upstream announced a new incarnation without having
  /// announced its shutdown. Reports the requests whose connection broke
  /// shortly before.
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
  /// Requests that the gate abandoned while the upstream may still have been
  /// running them, by the time of abandonment.
  std::multimap<base::TimePoint, std::uint64_t> AbandonedRequests;
  /// Requests whose connection broke although the upstream still accepted
  /// connections, by the time of the disconnect.
  std::multimap<base::TimePoint, std::uint64_t> RecentDisconnects;
};

} // namespace amaranth::dataplane

#endif
