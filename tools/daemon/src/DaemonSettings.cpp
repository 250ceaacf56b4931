#include "amaranth/daemon/DaemonSettings.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace amaranth::daemon {

namespace {

const std::vector<std::string> LogLevels = {"trace", "debug", "info",
                                            "warn",  "error", "off"};
constexpr base::Millis DefaultShutdownTimeout = base::Millis::seconds(30);

/// The only section of a settings file. Throws `FileError` with the faults
/// found so far when it is absent.
const base::IniSection &soleSection(const base::IniFile &File,
                                    const std::string &Path,
                                    const std::string &Name,
                                    std::vector<base::FileFault> &Faults) {
  for (const base::IniSection &Section : File.Sections)
    if (Section.Name != Name)
      Faults.push_back(
          {Path, Section.Line, Section.Name, "", "unknown section"});
  const base::IniSection *Found = File.find(Name);
  if (Found)
    return *Found;
  Faults.push_back(
      {Path, 0, "", "", fmt::format("section [{}] is missing", Name)});
  throw base::FileError(Faults);
}

std::vector<base::Address> readAddresses(base::SectionReader &Reader,
                                         const std::string &Key) {
  std::vector<base::Address> Result;
  for (const std::string &Text : Reader.list(Key)) {
    if (auto Parsed = base::parseAddress(Text))
      Result.push_back(*Parsed);
    else
      Reader.fault(Key,
                   fmt::format("'{}' is no address; expected IP:PORT", Text));
  }
  if (Result.empty())
    Reader.fault(Key, "at least one address is required");
  return Result;
}

std::vector<ControlAddress> readControlAddresses(base::SectionReader &Reader) {
  std::vector<ControlAddress> Result;
  for (const std::string &Text : Reader.list("control")) {
    auto At = Text.find('@');
    auto Parsed = base::parseAddress(std::string_view(Text).substr(0, At));
    if (!Parsed || At == std::string::npos || At + 1 == Text.size()) {
      Reader.fault("control", fmt::format("'{}' is no control process; "
                                          "expected IP:PORT@ZONE",
                                          Text));
      continue;
    }
    Result.push_back({*Parsed, base::AvailabilityZone(Text.substr(At + 1))});
  }
  if (Result.empty())
    Reader.fault("control", "at least one control process is required");
  return Result;
}

bool isLoopback(const base::Address &Address) {
  boost::system::error_code Failure;
  auto Ip = boost::asio::ip::make_address(Address.Ip, Failure);
  return !Failure && Ip.is_loopback();
}

} // namespace

ControlSettings readControlSettings(const std::string &Path) {
  base::IniFile File = base::readIniFile(Path);
  std::vector<base::FileFault> Faults;
  base::SectionReader Reader(soleSection(File, Path, "control", Faults), Path,
                             Faults);
  ControlSettings Result;
  Result.DataFolder = Reader.text("data-folder");
  Result.Zone = base::AvailabilityZone(Reader.text("availability-zone"));
  Result.InnerAddress = Reader.address("inner-address");
  Result.OperatorAddress = Reader.address("operator-address");
  Result.Voters = readAddresses(Reader, "voters");
  Result.Join = Reader.boolean("join", false);
  Result.ControlKeyFile = Reader.text("control-key-file");
  Result.NodeKeyFile = Reader.text("node-key-file");
  Result.OperatorKeysFile = Reader.text("operator-keys-file");
  Result.LogLevel = Reader.choice("log-level", LogLevels, "info");
  bool Listed = std::find(Result.Voters.begin(), Result.Voters.end(),
                          Result.InnerAddress) != Result.Voters.end();
  if (!Result.Join && !Listed)
    Reader.fault("voters", "inner-address is not among the voters; set "
                           "'join = true' to join an existing cluster");
  Reader.finish();
  if (!Faults.empty())
    throw base::FileError(std::move(Faults));
  return Result;
}

NodeSettings readNodeSettings(const std::string &Path) {
  base::IniFile File = base::readIniFile(Path);
  std::vector<base::FileFault> Faults;
  base::SectionReader Reader(soleSection(File, Path, "node", Faults), Path,
                             Faults);
  NodeSettings Result;
  Result.Id = base::NodeId(Reader.text("id"));
  Result.Zone = base::AvailabilityZone(Reader.text("availability-zone"));
  Result.InnerAddress = Reader.address("inner-address");
  Result.CallerAddress = Reader.address("caller-address");
  Result.AnnounceAddress = Reader.address("announce-address");
  Result.Control = readControlAddresses(Reader);
  Result.NodeKeyFile = Reader.text("node-key-file");
  Result.AnnounceKeyFile = Reader.text("announce-key-file", "");
  Result.ShutdownTimeout =
      Reader.duration("shutdown-timeout", DefaultShutdownTimeout);
  Result.LogLevel = Reader.choice("log-level", LogLevels, "info");
  if (Reader.has("announce-address") && !isLoopback(Result.AnnounceAddress))
    Reader.fault("announce-address", "the address must be a loopback address: "
                                     "only the local upstream announces "
                                     "itself to this node");
  Reader.finish();
  if (!Faults.empty())
    throw base::FileError(std::move(Faults));
  return Result;
}

} // namespace amaranth::daemon
