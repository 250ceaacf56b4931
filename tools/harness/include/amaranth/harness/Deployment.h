#ifndef AMARANTH_HARNESS_DEPLOYMENT_H
#define AMARANTH_HARNESS_DEPLOYMENT_H

#include "amaranth/base/Settings.h"
#include "amaranth/harness/HttpClient.h"
#include "amaranth/harness/Process.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::harness {

/// Waits until `Done` holds, polling it. The limit ends a wait that would
/// never end; it is no statement about speed.
bool waitUntil(const std::function<bool()> &Done, base::Millis Limit);

/// A control process with its settings on disk, running or not.
struct ControlProcess {
  base::Address Inner;
  base::Address Operator;
  std::filesystem::path Settings;
  std::filesystem::path DataFolder;
  std::optional<Process> Running;
};

/// A node and the stand-in upstream beside it, running or not.
struct UpstreamVm {
  std::string Id;
  std::string Service;
  std::string Version;
  std::string Zone;
  base::Address Inner;
  base::Address Caller;
  base::Address Announce;
  base::Address Upstream;
  std::filesystem::path NodeSettings;
  std::vector<std::string> UpstreamArguments;
  std::optional<Process> Node;
  std::optional<Process> Server;
};

/// The programs of the system on loopback, in a folder of their own, for
/// tests and the demonstration. Everything is killed by the destructor.
class Deployment {
public:
  /// `Programs` is the build folder with the programs. `Folder` is created
  /// and removed again unless `KeepFolder` is set.
  Deployment(std::filesystem::path Programs, std::filesystem::path Folder);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  /// Starts `Count` voters in turn in the given zones.
  void startControl(std::size_t Count, const std::vector<std::string> &Zones);
  void startControlProcess(ControlProcess &Control);
  /// Adds a control process that joins as a learner.
  ControlProcess &joinControl(const std::string &Zone);

  /// Starts a node and its upstream. `Options` are further options of
  /// `amaranth-upstream`.
  UpstreamVm &startVm(const std::string &Service, const std::string &Version,
                      const std::string &Zone, unsigned Slots,
                      std::vector<std::string> Options = {});
  void startNode(UpstreamVm &Vm);
  void startUpstream(UpstreamVm &Vm);

  /// Runs `amaranthctl` with the operator's key against all control
  /// processes.
  Output ctl(std::vector<std::string> Arguments);

  /// One request to the operators' interface of a control process.
  HttpResponse operatorGet(const ControlProcess &Control,
                           const std::string &Target);

  /// Waits until a control process answers as current, and until every
  /// running node is ready.
  bool waitForControl(base::Millis Limit);
  bool waitForNodes(base::Millis Limit);

  std::vector<std::unique_ptr<ControlProcess>> Controls;
  std::vector<std::unique_ptr<UpstreamVm>> Vms;
  bool KeepFolder = false;

  const std::filesystem::path &folder() const { return Folder; }
  std::filesystem::path operatorKeyFile() const;
  std::string operatorServers() const;
  std::filesystem::path program(const std::string &Name) const;

private:
  ControlProcess &addControl(const std::string &Zone, bool Join);
  void writeControlSettings(const ControlProcess &Control,
                            const std::string &Zone, bool Join);
  void writeNodeSettings(const UpstreamVm &Vm);
  void writeSecret(const std::string &Name, const std::string &Text);
  std::filesystem::path log(const std::string &Name) const;

  std::filesystem::path Programs;
  std::filesystem::path Folder;
  std::vector<base::Address> Voters;
  std::vector<std::string> ControlZones;
};

/// Value of one sample of a Prometheus text page, summed over its labels.
double metricValue(const std::string &Page, const std::string &Name);

} // namespace amaranth::harness

#endif
