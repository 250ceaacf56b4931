#include "amaranth/harness/Deployment.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Error.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>

namespace amaranth::harness {

namespace {

constexpr base::Millis PollInterval = base::Millis(50);
constexpr base::Millis ProbeTimeout = base::Millis(2000);
constexpr base::Millis CtlTimeout = base::Millis::seconds(60);

/// Teams of the only operator of a deployment.
constexpr const char *AllTeams = "studio, office, register, transport";

bool answersOk(const base::Address &Server, const std::string &Target) {
  HttpRequest Request;
  Request.Target = Target;
  return sendRequest(Server, Request, ProbeTimeout).Status == 200;
}

} // namespace

bool waitUntil(const std::function<bool()> &Done, base::Millis Limit) {
  auto End = std::chrono::steady_clock::now() +
             std::chrono::milliseconds(Limit.count());
  while (!Done()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    pause(PollInterval);
  }
  return true;
}

Deployment::Deployment(std::filesystem::path Programs,
                       std::filesystem::path Folder)
    : Programs(std::move(Programs)), Folder(std::move(Folder)) {
  std::filesystem::create_directories(this->Folder);
  writeSecret("control.key", base::randomHexId());
  writeSecret("node.key", base::randomHexId());
  std::string OperatorKey = base::randomHexId();
  writeSecret("operator.key", OperatorKey);
  writeSecret("operators.ini", fmt::format("[operator demo]\nkey = {}\n"
                                           "teams = {}",
                                           OperatorKey, AllTeams));
}

Deployment::~Deployment() {
  Vms.clear();
  Controls.clear();
  std::error_code Ignored;
  if (!KeepFolder)
    std::filesystem::remove_all(Folder, Ignored);
}

void Deployment::startControl(std::size_t Count,
                              const std::vector<std::string> &Zones) {
  for (std::size_t I = 0; I < Count; ++I) {
    addControl(Zones.at(I % Zones.size()), false);
    Voters.push_back(Controls.back()->Inner);
  }
  for (std::size_t I = 0; I < Count; ++I) {
    writeControlSettings(*Controls[I], ControlZones[I], false);
    startControlProcess(*Controls[I]);
  }
}

ControlProcess &Deployment::joinControl(const std::string &Zone) {
  ControlProcess &Added = addControl(Zone, true);
  writeControlSettings(Added, Zone, true);
  startControlProcess(Added);
  return Added;
}

ControlProcess &Deployment::addControl(const std::string &Zone, bool Join) {
  auto Added = std::make_unique<ControlProcess>();
  Added->Inner = freeLoopbackAddress();
  Added->Operator = freeLoopbackAddress();
  std::string Name =
      fmt::format("{}-{}", Join ? "learner" : "control", Controls.size());
  Added->Settings = Folder / (Name + ".ini");
  Added->DataFolder = Folder / (Name + ".data");
  Controls.push_back(std::move(Added));
  ControlZones.push_back(Zone);
  return *Controls.back();
}

void Deployment::writeControlSettings(const ControlProcess &Control,
                                      const std::string &Zone, bool Join) {
  std::string VoterList;
  for (const base::Address &Voter : Voters)
    VoterList += (VoterList.empty() ? "" : ", ") + Voter.text();
  std::ofstream(Control.Settings)
      << "[control]\ndata-folder = " << Control.DataFolder.string()
      << "\navailability-zone = " << Zone
      << "\ninner-address = " << Control.Inner.text()
      << "\noperator-address = " << Control.Operator.text()
      << "\nvoters = " << VoterList << "\njoin = " << (Join ? "true" : "false")
      << "\ncontrol-key-file = " << (Folder / "control.key").string()
      << "\nnode-key-file = " << (Folder / "node.key").string()
      << "\noperator-keys-file = " << (Folder / "operators.ini").string()
      << "\n";
}

void Deployment::startControlProcess(ControlProcess &Control) {
  Control.Running.emplace(
      program("amaranth-control"),
      std::vector<std::string>{"--config=" + Control.Settings.string()},
      log(Control.Settings.stem().string()));
}

UpstreamVm &Deployment::startVm(const std::string &Service,
                                const std::string &Version,
                                const std::string &Zone, unsigned Slots,
                                std::vector<std::string> Options) {
  auto Vm = std::make_unique<UpstreamVm>();
  Vm->Id = fmt::format("{}-{}-{}", Service, Version, Vms.size());
  Vm->Service = Service;
  Vm->Version = Version;
  Vm->Zone = Zone;
  Vm->Inner = freeLoopbackAddress();
  Vm->Caller = freeLoopbackAddress();
  Vm->Announce = freeLoopbackAddress();
  Vm->Upstream = freeLoopbackAddress();
  Vm->NodeSettings = Folder / (Vm->Id + ".ini");
  Vm->UpstreamArguments = {"--service=" + Service,
                           "--version=" + Version,
                           "--listen=" + Vm->Upstream.text(),
                           "--node=" + Vm->Announce.text(),
                           "--slots=" + std::to_string(Slots),
                           "--id=" + Vm->Id};
  Vm->UpstreamArguments.insert(Vm->UpstreamArguments.end(), Options.begin(),
                               Options.end());
  writeNodeSettings(*Vm);
  startNode(*Vm);
  startUpstream(*Vm);
  Vms.push_back(std::move(Vm));
  return *Vms.back();
}

void Deployment::writeNodeSettings(const UpstreamVm &Vm) {
  std::string Control;
  for (std::size_t I = 0; I < Controls.size(); ++I)
    Control += fmt::format("{}{}@{}", Control.empty() ? "" : ", ",
                           Controls[I]->Inner.text(), ControlZones[I]);
  std::ofstream(Vm.NodeSettings)
      << "[node]\nid = " << Vm.Id << "\navailability-zone = " << Vm.Zone
      << "\ninner-address = " << Vm.Inner.text()
      << "\ncaller-address = " << Vm.Caller.text()
      << "\nannounce-address = " << Vm.Announce.text()
      << "\ncontrol = " << Control
      << "\nnode-key-file = " << (Folder / "node.key").string() << "\n";
}

void Deployment::startNode(UpstreamVm &Vm) {
  Vm.Node.emplace(
      program("amaranth-node"),
      std::vector<std::string>{"--config=" + Vm.NodeSettings.string()},
      log(Vm.Id));
}

void Deployment::startUpstream(UpstreamVm &Vm) {
  Vm.Server.emplace(program("amaranth-upstream"), Vm.UpstreamArguments,
                    log(Vm.Id + "-upstream"));
}

Output Deployment::ctl(std::vector<std::string> Arguments) {
  Arguments.push_back("--server=" + operatorServers());
  Arguments.push_back("--key-file=" + operatorKeyFile().string());
  return runProgram(program("amaranthctl"), Arguments, Folder, CtlTimeout);
}

HttpResponse Deployment::operatorGet(const ControlProcess &Control,
                                     const std::string &Target) {
  HttpRequest Request;
  Request.Target = Target;
  Request.Headers["Authorization"] =
      "Bearer " + base::readSecretFile(operatorKeyFile().string());
  return sendRequest(Control.Operator, Request, ProbeTimeout);
}

bool Deployment::waitForControl(base::Millis Limit) {
  return waitUntil(
      [this] {
        return std::any_of(
            Controls.begin(), Controls.end(), [](const auto &Control) {
              return Control->Running && answersOk(Control->Operator, "/ready");
            });
      },
      Limit);
}

bool Deployment::waitForNodes(base::Millis Limit) {
  return waitUntil(
      [this] {
        return std::all_of(Vms.begin(), Vms.end(), [](const auto &Vm) {
          return !Vm->Node || answersOk(Vm->Announce, "/ready");
        });
      },
      Limit);
}

std::filesystem::path Deployment::operatorKeyFile() const {
  return Folder / "operator.key";
}

std::string Deployment::operatorServers() const {
  std::string Result;
  for (const auto &Control : Controls)
    Result += (Result.empty() ? "" : ",") + Control->Operator.text();
  return Result;
}

std::filesystem::path Deployment::program(const std::string &Name) const {
  for (const char *Sub :
       {"tools/daemon", "tools/ctl", "tools/upstream", "tools/bench"}) {
    auto Candidate = Programs / Sub / Name;
    if (std::filesystem::exists(Candidate))
      return Candidate;
  }
  throw base::Error(fmt::format("program {} was not built", Name));
}

void Deployment::writeSecret(const std::string &Name, const std::string &Text) {
  auto Path = Folder / Name;
  std::ofstream(Path) << Text << '\n';
  std::filesystem::permissions(Path, std::filesystem::perms(0600));
}

std::filesystem::path Deployment::log(const std::string &Name) const {
  return Folder / (Name + ".log");
}

double metricValue(const std::string &Page, const std::string &Name) {
  std::istringstream Lines(Page);
  std::string Line;
  double Sum = 0;
  while (std::getline(Lines, Line)) {
    bool Labelled = Line.starts_with(Name + "{");
    if (!Labelled && !Line.starts_with(Name + " "))
      continue;
    auto Space = Line.rfind(' ');
    if (Space != std::string::npos)
      Sum += std::stod(Line.substr(Space + 1));
  }
  return Sum;
}

} // namespace amaranth::harness
