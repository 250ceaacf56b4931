#ifndef AMARANTH_DAEMON_DAEMONSETTINGS_H
#define AMARANTH_DAEMON_DAEMONSETTINGS_H

#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"

#include <string>
#include <vector>

namespace amaranth::daemon {

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
