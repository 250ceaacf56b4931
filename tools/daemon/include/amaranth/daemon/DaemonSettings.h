#ifndef AMARANTH_DAEMON_DAEMONSETTINGS_H
#define AMARANTH_DAEMON_DAEMONSETTINGS_H

#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/RetryBudget.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::daemon {

/// Form of the interfaces towards callers, upstreams and operators.
enum class InterfaceKind : std::uint8_t {
  /// The project's own.
  Native,
  /// That of the users' platform, see docs/platform.md.
  Platform,
};

/// Settings of `amaranth-control`, from the section `[control]`.
struct ControlSettings {
  std::string DataFolder;
  base::AvailabilityZone Zone;
  /// Other control processes and nodes connect here.
  base::Address InnerAddress;
  /// Operators' HTTP interface.
  base::Address OperatorAddress;
  /// Inner addresses of the initial voters, this process included when it is
  /// one of them.
  std::vector<base::Address> Voters;
  /// True: joins an existing cluster as a learner instead of forming one.
  bool Join = false;
  InterfaceKind Interface = InterfaceKind::Native;
  /// No keys are used: whoever reaches the addresses is trusted.
  bool TrustedNetwork = false;
  /// Addresses of some control processes, in place of `Voters`. They may be
  /// out of date. The cluster repairs itself when they are given.
  std::vector<base::Address> Seeds;
  /// With seeds: this process may form the cluster with the other seeds.
  bool Bootstrap = false;
  /// With seeds: VMs with a disk that may be lost at the same time.
  std::size_t ToleratedLosses = 1;
  /// Where metrics are served besides the operators' address, if anywhere.
  std::optional<base::Address> MetricsAddress;
  std::string ControlKeyFile;
  std::string NodeKeyFile;
  std::string OperatorKeysFile;
  std::string LogLevel;
};

/// A control process that a node may follow.
struct ControlAddress {
  base::Address Inner;
  base::AvailabilityZone Zone;
};

/// Settings of `amaranth-node`, from the section `[node]`.
struct NodeSettings {
  base::NodeId Id;
  base::AvailabilityZone Zone;
  /// Other nodes connect here.
  base::Address InnerAddress;
  /// Callers connect here (HTTP/1.1).
  base::Address CallerAddress;
  /// The local upstream announces itself here; loopback only.
  base::Address AnnounceAddress;
  std::vector<ControlAddress> Control;
  InterfaceKind Interface = InterfaceKind::Native;
  /// No keys are used: whoever reaches the addresses is trusted.
  bool TrustedNetwork = false;
  std::optional<base::Address> ReadyAddress;
  std::optional<base::Address> MetricsAddress;
  /// Service that runs on this VM; empty when it is not known in advance.
  base::ServiceName CallerService;
  /// Retry budget of all nodes together; absent: one of this node.
  std::optional<dataplane::SharedRetryBudget> SharedRetries;
  std::size_t ResponseBufferBytes = 0;
  /// What the link of this VM carries; 0 when it is not to be shaped.
  std::uint64_t LinkBytesPerSecond = 0;
  /// Requests that were running at a crash of the upstream are isolated.
  bool IsolateCrashes = true;
  /// Callers are served for this time after the stop began.
  base::Millis LameDuckPeriod;
  /// Silence after which the upstream counts as absent.
  base::Millis AnnounceTimeout = base::Millis::seconds(5);
  /// Time from ready until the upstream's slots are all used.
  base::Millis SlowStart = base::Millis::seconds(5);
  std::string NodeKeyFile;
  /// Empty: announcements need no key.
  std::string AnnounceKeyFile;
  /// Longest wait for requests in flight at a graceful shutdown.
  base::Millis ShutdownTimeout;
  std::string LogLevel;
};

/// Both throw `base::FileError` with every fault of the file.
ControlSettings readControlSettings(const std::string &Path);
NodeSettings readNodeSettings(const std::string &Path);

} // namespace amaranth::daemon

#endif
