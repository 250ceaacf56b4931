#ifndef AMARANTH_DATAPLANE_ENTRYSERVER_H
#define AMARANTH_DATAPLANE_ENTRYSERVER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Balancer.h"
#include "amaranth/dataplane/HttpConnection.h"
#include "amaranth/dataplane/HttpDialect.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/dataplane/PeerPool.h"
#include "amaranth/dataplane/RetryBudget.h"
#include "amaranth/follower/ControlCalls.h"
#include "amaranth/follower/SnapshotSource.h"

#include <memory>
#include <optional>

namespace amaranth::dataplane {

struct EntrySettings {
  /// Where callers connect; port 0 takes a free port.
  base::Address ListenAddress;
  HttpServer::Limits HttpLimits;
  Balancer::Settings LoadBalancing;
  unsigned MaxAttempts = 3;
  /// Larger request bodies are refused when their length is announced.
  std::int64_t MaxBodyBytes = std::int64_t{1} << 30U;
  /// Service that runs beside this node; empty when unknown.
  base::ServiceName CallerService;
  /// The retry budget of all nodes together; each node has its own otherwise.
  std::optional<SharedRetryBudget> SharedRetries;
  /// Responses up to this size are read whole before a byte of them is passed
  /// on, so that one that breaks off can be retried. 0 passes every byte on at
  /// once.
  std::size_t ResponseBufferBytes = 0;
  /// After `drain` began, callers are still served for this time, so that
  /// they learn of it from a response and not from a closed connection.
  base::Millis LameDuckPeriod = base::Millis(0);
  /// Seed of the random choices of endpoints and versions.
  std::uint64_t Seed = 1;
};

/// Entry point for callers over HTTP/1.1. Single-threaded.
class EntryServer {
public:
  /// Binds at once. Throws `boost::system::system_error` when the address
  /// cannot be bound. The references must outlive the server and its
  /// requests.
  EntryServer(const boost::asio::any_io_executor &Executor,
              EntrySettings Options, base::Clock &Time,
              follower::SnapshotSource &Snapshots,
              follower::ControlCalls &Control, PeerPool &Peers,
              Metrics &Counters, const HttpDialect &Dialect);
  ~EntryServer();

  base::Address local() const;

  /// Serves callers until `stop`.
  boost::asio::awaitable<void> serve();
  /// Reports evidence each second and forgets what the snapshot no longer
  /// has; runs until cancelled.
  boost::asio::awaitable<void> run();

  /// Accepts no more callers; requests in flight go on.
  void stop();
  /// `stop`, then waits until the last response is complete, at most `Limit`.
  /// True when no request is left.
  boost::asio::awaitable<bool> drain(base::Millis Limit);

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
