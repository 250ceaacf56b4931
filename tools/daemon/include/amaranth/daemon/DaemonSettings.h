#ifndef AMARANTH_DAEMON_DAEMONSETTINGS_H
#define AMARANTH_DAEMON_DAEMONSETTINGS_H

#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/dataplane/RetryBudget.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::daemon {

/// Kind of interface offered to callers, upstreams and operators.
enum class InterfaceKind : std::uint8_t {
  /// The interface defined by this project.
  Native,
  /// The interface of the users' platform, see docs/platform.md.
  Platform,
};

/// Settings of `amaranth-control`, from the section `[control]`.
struct ControlSettings {
  std::string DataFolder;
  base::AvailabilityZone Zone;
  /// Address for other control processes and nodes.
  base::Address InnerAddress;
  /// Address of the HTTP interface for operators.
  base::Address OperatorAddress;
  /// Inner addresses of the initial voters, including this process when it is
  /// one of them.
  std::vector<base::Address> Voters;
  /// Joins an existing cluster as a learner instead of forming one.
  bool Join = false;
  InterfaceKind Interface = InterfaceKind::Native;
  /// Disables authentication: every process that can reach the addresses is
  /// trusted.
  bool TrustedNetwork = false;
  /// Addresses of some control processes, used instead of `Voters`; they may be
  /// out of date. With seeds, the cluster replaces lost voters automatically.
  std::vector<base::Address> Seeds;
  /// With seeds: allows this process to form the cluster with the other seeds.
  bool Bootstrap = false;
  /// With seeds: number of VMs that may lose their disk at the same time.
  std::size_t ToleratedLosses = 1;
  /// Additional address that serves metrics, besides the operator address.
  std::optional<base::Address> MetricsAddress;
  std::string ControlKeyFile;
  std::string NodeKeyFile;
  std::string OperatorKeysFile;
  std::string LogLevel;
};

/// Address and zone of a control process that a node may follow.
struct ControlAddress {
  base::Address Inner;
  base::AvailabilityZone Zone;
};

/// Settings of `amaranth-node`, from the section `[node]`.
struct NodeSettings {
  base::NodeId Id;
  base::AvailabilityZone Zone;
  /// Address for other nodes.
  base::Address InnerAddress;
  /// Address for callers (HTTP/1.1).
  base::Address CallerAddress;
  /// Address for announcements of the local upstream; must be a loopback
  /// address unless the network is trusted.
  base::Address AnnounceAddress;
  std::vector<ControlAddress> Control;
  InterfaceKind Interface = InterfaceKind::Native;
  /// Disables authentication: every process that can reach the addresses is
  /// trusted.
  bool TrustedNetwork = false;
  std::optional<base::Address> ReadyAddress;
  std::optional<base::Address> MetricsAddress;
  /// Service that runs on this VM; empty when not known in advance.
  base::ServiceName CallerService;
  /// Retry budget shared by all nodes; if absent, this node has its own.
  std::optional<dataplane::SharedRetryBudget> SharedRetries;
  std::size_t ResponseBufferBytes = 0;
  /// Capacity of the VM's network link; 0 disables traffic shaping.
  std::uint64_t LinkBytesPerSecond = 0;
  /// Isolates requests that were running when the upstream crashed.
  bool IsolateCrashes = true;
  /// How long callers are still served after a graceful stop begins.
  base::Millis LameDuckPeriod;
  /// Time without an announcement after which the upstream is considered
  /// absent.
  base::Millis AnnounceTimeout = base::Millis::seconds(5);
  /// Time after the upstream becomes ready until all of its slots are used.
  base::Millis SlowStart = base::Millis::seconds(5);
  std::string NodeKeyFile;
  /// Announcements need no key when empty.
  std::string AnnounceKeyFile;
  /// Maximum time to wait for requests in flight during a graceful stop.
  base::Millis ShutdownTimeout;
  std::string LogLevel;
};

/// Both functions throw `base::FileError` listing every fault in the file.
ControlSettings readControlSettings(const std::string &Path);
NodeSettings readNodeSettings(const std::string &Path);

} // namespace amaranth::daemon

#endif
