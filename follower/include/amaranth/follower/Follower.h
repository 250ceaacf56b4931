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

/// A control process that a node may follow.
struct ControlProcess {
  base::Address Address;
  base::AvailabilityZone Zone;
};

struct FollowerSettings {
  base::NodeId Node;
  base::AvailabilityZone Zone;
  /// At least one.
  std::vector<ControlProcess> ControlProcesses;
  /// Services to follow; empty means all. The services of published endpoints
  /// are added when it is not empty.
  std::set<base::ServiceName> Services;
  base::Millis DialTimeout = base::Millis::seconds(1);
  /// Reconnects wait a random time up to a limit that doubles from the first
  /// to the second value.
  base::Millis BackoffMin = base::Millis(100);
  base::Millis BackoffMax = base::Millis::seconds(5);
  /// A control process that says nothing for this time, or that has not been
  /// current for this time, is left when another one accepts.
  base::Millis SilenceTimeout = base::Millis::seconds(5);
  /// The same for a process that says itself that it is not current.
  base::Millis MaxStaleness = base::Millis::seconds(5);
  /// Calls that wait for their answer; more are refused as not applied.
  std::size_t MaxCallsInFlight = 256;
  /// Seed of the random delays; 0 takes one from the operating system.
  std::uint64_t Seed = 0;
};

/// State of a follower, for operators.
struct FollowerStatus {
  /// Empty while no control process is connected.
  std::optional<base::Address> ControlAddress;
  std::uint64_t Connections = 0;
  /// Updates applied and refused so far.
  std::uint64_t AppliedUpdates = 0;
  std::uint64_t RefusedUpdates = 0;
  std::string LastRefusalReason;
  /// Every published endpoint is committed.
  bool EndpointsCommitted = true;
};

/// Follows the configuration on behalf of one node.
///
/// Single-threaded. `Time`, `Dial` and the registry must outlive the follower
/// and the `io_context` tasks that it started.
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
  /// Closes the connection. Calls in flight end; the snapshot stays.
  void stop();

  std::shared_ptr<const document::MeshSnapshot> current() const override;
  base::Signal &changed() override;

  boost::asio::awaitable<control::CommandResult>
  call(control::Command Request, base::Millis Timeout) override;
  /// The sequence of `Entry` is raised when it does not exceed that of the
  /// last update of the same incarnation.
  void publish(document::Endpoint Entry) override;
  void report(const rollout::EvidenceReport &Report) override;

  /// Adds control processes to those that the node may follow.
  void addControlProcesses(const std::vector<ControlProcess> &Processes);

  FollowerStatus status() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Shared;
};

} // namespace amaranth::follower

#endif
