#ifndef AMARANTH_DATAPLANE_ENTRYSERVER_H
#define AMARANTH_DATAPLANE_ENTRYSERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Balancer.h"
#include "amaranth/dataplane/CrashQuarantine.h"
#include "amaranth/dataplane/HttpConnection.h"
#include "amaranth/dataplane/HttpDialect.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/dataplane/PeerPool.h"
#include "amaranth/dataplane/QuotaLimiter.h"
#include "amaranth/dataplane/RetryBudgets.h"
#include "amaranth/dataplane/UpstreamRuns.h"
#include "amaranth/follower/ControlCalls.h"
#include "amaranth/follower/SnapshotSource.h"

#include <memory>
#include <optional>

namespace amaranth::dataplane {

struct EntrySettings {
  /// Address that callers connect to; port 0 selects a free port.
  base::Address ListenAddress;
  HttpServer::Limits HttpLimits;
  Balancer::Settings LoadBalancing;
  unsigned MaxAttempts = 3;
  /// Requests that declare a larger body are refused.
  std::int64_t MaxBodyBytes = std::int64_t{1} << 30U;
  /// Service that runs beside this node; empty when unknown.
  base::ServiceName CallerService;
  /// Responses up to this size are buffered completely before they are
  /// forwarded, so that an incomplete one can be retried. 0 disables buffering.
  std::size_t ResponseBufferBytes = 0;
  /// `drain` serves callers for this time before it stops accepting, so that
  /// they learn of it from a response and not from a closed connection.
  base::Millis LameDuckPeriod = base::Millis(0);
  /// Seed of the random selection of endpoints and versions.
  std::uint64_t Seed = 1;
};

/// Entry point for callers over HTTP/1.1. Single-threaded.
class EntryServer {
public:
  /// Binds the listening socket. Throws `boost::system::system_error` when the
  /// address cannot be bound. The references must outlive the server and its
  /// requests.
  EntryServer(const boost::asio::any_io_executor &Executor,
              EntrySettings Options, base::Clock &Time,
              follower::SnapshotSource &Snapshots,
              follower::ControlCalls &Control, CrashQuarantine &Quarantine,
              PeerPool &Peers, Metrics &Counters, const HttpDialect &Dialect,
              QuotaLimiter &Quotas, RetryBudgets &Budgets, UpstreamRuns &Runs);
  ~EntryServer();

  base::Address local() const;

  /// Serves callers until `stop` is called.
  boost::asio::awaitable<void> serve();
  /// Reports evidence to control and removes the state of services and
  /// endpoints that the snapshot no longer contains. Runs until cancelled.
  boost::asio::awaitable<void> run();

  /// Stops accepting callers; requests in flight continue.
  void stop();
  /// Stops after the lame duck period and waits until the last response is
  /// complete. Requests that are left at the end of `Limit` are refused.
  /// Returns true when no request is left.
  boost::asio::awaitable<bool> drain(base::Millis Limit);

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
