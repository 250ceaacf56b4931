#ifndef AMARANTH_DATAPLANE_GATE_H
#define AMARANTH_DATAPLANE_GATE_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/CrashQuarantine.h"
#include "amaranth/dataplane/HttpDialect.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/dataplane/ServerExchange.h"
#include "amaranth/dataplane/UpstreamClient.h"
#include "amaranth/dataplane/UpstreamLifecycle.h"
#include "amaranth/dataplane/UpstreamRuns.h"
#include "amaranth/follower/ControlCalls.h"
#include "amaranth/follower/SnapshotSource.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace amaranth::dataplane {

/// Status message of the local upstream.
struct Announcement {
  enum class State : std::uint8_t { Starting, Ready, Draining, Stopped };

  base::ServiceName Service;
  base::VersionName Version;
  base::Address Upstream;
  std::uint32_t Slots = 0;
  State ReportedState = State::Starting;
  /// `Incarnation` increases with each start of the upstream, `Sequence` with
  /// each announcement. An announcement whose pair is not greater than the last
  /// one is ignored.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Id of the upstream process; empty if it has none.
  std::string Instance;
  /// How much longer the upstream is cold; 0 when it is warm.
  base::Millis ColdFor;
};

struct GateSettings {
  base::NodeId Node;
  /// Defaults to the node id if empty.
  base::EndpointId Endpoint;
  /// Address at which this node accepts connections of the inner protocol.
  base::Address NodeAddress;
  base::AvailabilityZone Zone;
  /// The upstream counts as absent after this time without an announcement.
  base::Millis AnnounceTimeout = base::Millis::seconds(5);
  /// Time over which the slot limit rises to its full value after the upstream
  /// becomes ready.
  base::Millis SlowStart = base::Millis::seconds(5);
  /// Upper bound of the time to commit a claim.
  base::Millis ClaimTimeout = base::Millis::seconds(2);
  /// Upper bound of the time for which the response to a request that may have
  /// crashed the upstream is delayed until all nodes should know of it. At most
  /// half of the time to the deadline is used.
  base::Millis CrashReportTimeout = base::Millis::seconds(1);
  /// Whether requests that were running during a crash are suspected and
  /// reported, and refused after the second crash.
  bool IsolateCrashes = true;
  /// Maximum queue length per slot. Longer queues would only add waiting time,
  /// because callers have deadlines.
  std::uint32_t MaxQueuedPerSlot = 2;
  /// Bandwidth of the link of this VM; 0 disables egress shaping.
  std::uint64_t LinkBytesPerSecond = 0;
  UpstreamClient::Settings Client;
};

/// Reverse proxy in front of the local upstream, through which all requests to
/// it pass. Implements admission control, concurrency limiting, claims of
/// idempotency keys, execution and crash isolation. Single-threaded.
class Gate {
public:
  /// The references must outlive the gate and the exchanges that it serves.
  Gate(const boost::asio::any_io_executor &Executor, GateSettings Options,
       base::Clock &Time, follower::SnapshotSource &Snapshots,
       follower::ControlCalls &Control, CrashQuarantine &Quarantine,
       Metrics &Counters, const HttpDialect &Dialect, UpstreamRuns &Runs);
  ~Gate();

  /// Runs the periodic work: announcement timeout, slow start and idle
  /// connections. Runs until cancelled.
  boost::asio::awaitable<void> run();

  /// Applies an announcement. Returns false if it is out of date, its number
  /// of slots is invalid, or the configuration does not name its service.
  bool announce(const Announcement &Update);

  /// Deregisters the upstream process `Instance`, which sends no further
  /// announcements. It gets no new requests; running ones continue. Ignored
  /// unless `Instance`, and `Incarnation` if given, match the last
  /// announcement, or the next one if there was none yet.
  void unregister(const std::string &Instance,
                  std::optional<std::uint64_t> Incarnation);

  /// Serves one exchange until it ends. Never throws.
  boost::asio::awaitable<void> serve(std::shared_ptr<ServerExchange> Exchange);

  /// Publishes the endpoint as draining, accepts requests for another
  /// `LameDuckTime` so that other nodes learn of the change, then refuses new
  /// requests and waits for the running ones. `Limit` bounds the total time.
  /// Returns true if no request is running at the end.
  boost::asio::awaitable<bool>
  drain(base::Millis Limit, base::Millis LameDuckTime = base::Millis(0));

  UpstreamState state() const;
  UpstreamLoad load() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
