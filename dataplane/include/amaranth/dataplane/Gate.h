#ifndef AMARANTH_DATAPLANE_GATE_H
#define AMARANTH_DATAPLANE_GATE_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/HttpDialect.h"
#include "amaranth/dataplane/Messages.h"
#include "amaranth/dataplane/Metrics.h"
#include "amaranth/dataplane/ServerExchange.h"
#include "amaranth/dataplane/UpstreamClient.h"
#include "amaranth/dataplane/UpstreamLifecycle.h"
#include "amaranth/follower/ControlCalls.h"
#include "amaranth/follower/SnapshotSource.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace amaranth::dataplane {

/// What the local upstream says about itself.
struct Announcement {
  enum class State : std::uint8_t { Starting, Ready, Draining, Stopped };

  base::ServiceName Service;
  base::VersionName Version;
  base::Address Upstream;
  std::uint32_t Slots = 0;
  State What = State::Starting;
  /// Grows with each start of the upstream, then with each announcement. A
  /// pair that is not above the last one is ignored.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Id of the upstream's process; empty when it has none.
  std::string Instance;
};

struct GateSettings {
  base::NodeId Node;
  /// Defaults to the node's id when empty.
  base::EndpointId Endpoint;
  /// Where this node accepts inner connections.
  base::Address NodeAddress;
  base::AvailabilityZone Zone;
  /// An upstream that was not heard from for this time is absent.
  base::Millis AnnounceSilence = base::Millis::seconds(5);
  /// Time from ready until all slots are used.
  base::Millis SlowStart = base::Millis::seconds(5);
  /// Longest wait for a claim.
  base::Millis ClaimTimeout = base::Millis::seconds(2);
  /// Longest time for which answers are withheld after a crash.
  base::Millis CrashCommit = base::Millis::seconds(1);
  /// False: requests that were running at a crash are not isolated.
  bool IsolateCrashes = true;
  /// Slots that the queue holds at most, as a multiple of the slots. Longer
  /// queues only add waiting time, since callers have deadlines.
  std::uint32_t QueueFactor = 2;
  /// What the link of this VM carries; 0 when it is not to be shaped.
  std::uint64_t LinkBytesPerSecond = 0;
  UpstreamClient::Settings Client;
};

/// The only way to the local upstream: admission, slots, claims, execution
/// and crash isolation. Single-threaded.
class Gate {
public:
  /// The references must outlive the gate and the exchanges that it serves.
  Gate(const boost::asio::any_io_executor &Executor, GateSettings Options,
       base::Clock &Time, follower::SnapshotSource &Snapshots,
       follower::ControlCalls &Control, Metrics &Counters,
       const HttpDialect &Dialect);
  ~Gate();

  /// Follows the upstream's silence and slow start; runs until cancelled.
  boost::asio::awaitable<void> run();

  /// Applies an announcement. False when it is out of date.
  bool announce(const Announcement &News);

  /// The upstream's process `Instance` leaves without further announcements.
  /// It gets no more work; what it runs goes on. Ignored for a process other
  /// than the announced one, which `Incarnation` tells apart when given.
  void leave(const std::string &Instance,
             std::optional<std::uint64_t> Incarnation);

  /// Serves one exchange to its end; never throws.
  boost::asio::awaitable<void> serve(std::shared_ptr<ServerExchange> Exchange);

  /// Reports the endpoint as draining, takes work for `Accept` more, so that
  /// the others can learn of it, then refuses new work and waits until nothing
  /// runs. `Limit` bounds the whole time. True when nothing runs.
  boost::asio::awaitable<bool> drain(base::Millis Limit,
                                     base::Millis Accept = base::Millis(0));

  UpstreamState state() const;
  UpstreamLoad load() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Self;
};

} // namespace amaranth::dataplane

#endif
