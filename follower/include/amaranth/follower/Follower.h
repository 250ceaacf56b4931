#ifndef AMARANTH_FOLLOWER_FOLLOWER_H
#define AMARANTH_FOLLOWER_FOLLOWER_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Settings.h"
#include "amaranth/follower/ControlCalls.h"
#include "amaranth/follower/SnapshotSource.h"
#include "amaranth/protocol/Connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace prometheus {
class Registry;
} // namespace prometheus

namespace amaranth::follower {

/// A control process that a node may connect to.
struct ControlProcess {
  base::Address Address;
  base::AvailabilityZone Zone;
};

struct FollowerSettings {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// Must contain at least one entry. The node learns of others from those that
  /// it connects to.
  std::vector<ControlProcess> ControlProcesses;
  /// Services to subscribe to; an empty set means all. If the set is not empty,
  /// the services of published endpoints are added to it.
  std::set<base::ServiceName> Services;
  /// Time after which a further process is dialed as well. The dial goes on,
  /// and the first connection to a current process is used.
  base::Millis DialStagger = base::Millis(250);
  /// Time that a search waits for answers after the last process was dialed. A
  /// dial goes on after that: a handshake takes two round trips, which last
  /// longer than this on a link that is full.
  base::Millis DialTimeout = base::Millis::seconds(1);
  /// Time after which a dial is given up.
  base::Millis MaxDialTime = base::Millis::seconds(5);
  /// Each reconnect is delayed by a random time up to a limit that doubles from
  /// `BackoffMin` to `BackoffMax`.
  base::Millis BackoffMin = base::Millis(100);
  base::Millis BackoffMax = base::Millis::seconds(5);
  /// A control process that sends neither a `Currency` message nor a part of an
  /// update for this time counts as stale, and the follower switches to another
  /// one. Also the initial pause between searches while all control processes
  /// are stale.
  base::Millis SilenceTimeout = base::Millis::seconds(5);
  /// The pause between searches doubles up to this limit.
  base::Millis MaxStalePause = base::Millis::seconds(80);
  /// A control process also counts as stale if the staleness that it reports
  /// reaches this limit.
  base::Millis MaxStaleness = base::Millis::seconds(5);
  /// Maximum number of calls awaiting a reply; further calls fail as not
  /// applied.
  std::size_t MaxCallsInFlight = 256;
  /// Seed for the random delays; 0 uses a seed from the operating system.
  std::uint64_t Seed = 0;

  /// Limits for control processes in the region of the node, so that it fails
  /// over to another one quickly.
  static FollowerSettings withinRegion();
};

/// State of a follower.
struct FollowerStatus {
  /// The connected control process, if any.
  std::optional<base::Address> ControlAddress;
  /// Connections established so far.
  std::uint64_t Connections = 0;
  /// Snapshots and deltas applied and refused so far.
  std::uint64_t AppliedUpdates = 0;
  std::uint64_t RefusedUpdates = 0;
  std::string LastRefusalReason;
  /// Whether every published endpoint is committed.
  bool EndpointsCommitted = true;
};

/// Subscribes one node to the configuration of a control process and switches
/// to another control process when the connection fails or becomes stale.
///
/// Not thread-safe: use it only from the thread that runs `Executor`. `Time`,
/// `Dial` and `Metrics` must outlive the follower and the tasks that it
/// spawned.
class Follower final : public SnapshotSource, public ControlCalls {
public:
  Follower(FollowerSettings Settings,
           const boost::asio::any_io_executor &Executor, base::Clock &Time,
           protocol::Dialer &Dial, prometheus::Registry &Metrics);
  /// Stops the follower.
  ~Follower() override;
  Follower(const Follower &) = delete;
  Follower &operator=(const Follower &) = delete;

  void start();
  /// Closes the connection and fails the calls in flight. `current` keeps
  /// returning the last snapshot.
  void stop();

  std::shared_ptr<const document::MeshSnapshot> current() const override;
  base::Signal &changed() override;

  boost::asio::awaitable<control::CommandResult>
  call(control::Command Request, base::Millis Timeout) override;
  /// If the sequence number of `Entry` does not exceed that of the previous
  /// update of the same incarnation, it is raised above it.
  void publish(document::Endpoint Entry) override;
  void report(const rollout::EvidenceReport &Report) override;

  /// Replaces the control processes of the settings. Members that the node
  /// learned of are kept. An empty list is ignored.
  void setControlProcesses(const std::vector<ControlProcess> &Processes);

  FollowerStatus status() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::follower

#endif
