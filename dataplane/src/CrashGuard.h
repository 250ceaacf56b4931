#ifndef AMARANTH_DATAPLANE_SRC_CRASHGUARD_H
#define AMARANTH_DATAPLANE_SRC_CRASHGUARD_H

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
class CrashGuard {
public:
  /// `OnCrash` runs once for each crash that is found. Without `Report` the
  /// requests are not reported and answers are not withheld.
  CrashGuard(const boost::asio::any_io_executor &Executor, base::Clock &Time,
             ClaimClient &Calls, UpstreamClient &Client, bool Report,
             std::function<void()> OnCrash);

  /// A request that may have reached the upstream. Running until destroyed,
  /// and some seconds longer when it was abandoned.
  class Tracked {
  public:
    Tracked(CrashGuard &Owner, std::uint64_t Fingerprint);
    ~Tracked();
    Tracked(const Tracked &) = delete;
    Tracked &operator=(const Tracked &) = delete;
    void abandon() { Abandoned = true; }

  private:
    CrashGuard &Owner;
    std::uint64_t Id;
    bool Abandoned = false;
  };

  /// A connection broke while a request was running. Returns true when the
  /// upstream crashed; then the report is committed or `Limit` has passed.
  boost::asio::awaitable<bool> broken(base::ServiceName Service,
                                      base::EndpointId Upstream,
                                      std::uint64_t Fingerprint,
                                      base::Millis Limit);

  /// The upstream announced a new incarnation without a notice that it
  /// leaves: requests that broke shortly before are reported.
  void restarted(const base::ServiceName &Service,
                 const base::EndpointId &Upstream);

private:
  struct Check {
    explicit Check(const boost::asio::any_io_executor &Executor)
        : Changed(Executor) {}
    base::Signal Changed;
    bool Done = false;
    bool Crashed = false;
  };

  boost::asio::awaitable<void> examine(std::shared_ptr<Check> Current,
                                       base::ServiceName Service,
                                       base::EndpointId Upstream,
                                       base::Millis Limit);
  boost::asio::awaitable<void> report(base::ServiceName Service,
                                      base::EndpointId Upstream,
                                      std::vector<std::uint64_t> Fingerprints,
                                      base::Millis Limit);
  std::vector<std::uint64_t> running();

  boost::asio::any_io_executor Executor;
  base::Clock &Time;
  ClaimClient &Calls;
  UpstreamClient &Client;
  bool Report;
  std::function<void()> OnCrash;
  std::map<std::uint64_t, std::uint64_t> Running;
  std::uint64_t NextId = 0;
  std::shared_ptr<Check> Current;
  /// Requests that were given up while the upstream had them.
  std::multimap<base::TimePoint, std::uint64_t> GivenUp;
  /// Requests whose connection broke although the upstream still accepted
  /// connections, by the time of the break.
  std::multimap<base::TimePoint, std::uint64_t> RecentBreaks;
};

} // namespace amaranth::dataplane

#endif
