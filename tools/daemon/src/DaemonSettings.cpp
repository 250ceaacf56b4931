#include "amaranth/daemon/DaemonSettings.h"

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace amaranth::daemon {

namespace {

const std::vector<std::string> LogLevels = {"trace", "debug", "info",
                                            "warn",  "error", "off"};
constexpr base::Millis DefaultShutdownTimeout = base::Millis::seconds(30);
/// Percentage of `grace-seconds`, the time before the process is killed, that
/// a graceful stop may take. The rest is reserved for writing the last
/// responses.
constexpr std::int64_t ShutdownPercentOfGrace = 92;
/// Number of announcement intervals without an announcement after which an
/// upstream is considered absent.
constexpr std::int64_t MaxMissedAnnouncements = 4;

/// Returns the section `Name` and reports all other sections as faults. Throws
/// `FileError` with the faults found so far if the section is missing.
const base::IniSection &requireSection(const base::IniFile &File,
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
      Reader.fault(
          Key, fmt::format("'{}' is not an address; expected IP:PORT", Text));
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
      Reader.fault("control", fmt::format("'{}' is not a control process; "
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

InterfaceKind readInterface(base::SectionReader &Reader) {
  return Reader.choice("interface", {"native", "platform"}, "native") ==
                 "platform"
             ? InterfaceKind::Platform
             : InterfaceKind::Native;
}

std::optional<base::Address> readOptional(base::SectionReader &Reader,
                                          const std::string &Key) {
  if (!Reader.has(Key))
    return std::nullopt;
  return Reader.address(Key);
}

/// Reads the path of a key file, which must be absent with a trusted network.
std::string readKeyFile(base::SectionReader &Reader, const std::string &Key,
                        bool Trusted) {
  if (!Trusted)
    return Reader.text(Key);
  if (Reader.has(Key))
    Reader.fault(Key, "keys are not used with 'trusted-network = true'; "
                      "remove one of the two");
  return Reader.text(Key, "");
}

/// Reads the addresses in `seeds` and replaces their port by `seed-port`, on
/// which control processes accept other processes.
std::vector<base::Address> readSeeds(base::SectionReader &Reader) {
  std::vector<base::Address> Result;
  auto Port = Reader.integer("seed-port", 1, 65'535);
  for (const std::string &Text : Reader.list("seeds")) {
    auto Parsed = base::parseAddress(Text);
    if (!Parsed) {
      Reader.fault(
          "seeds",
          fmt::format("'{}' is not an address; expected IP:PORT", Text));
      continue;
    }
    Parsed->Port = static_cast<std::uint16_t>(Port);
    Result.push_back(*Parsed);
  }
  return Result;
}

std::optional<dataplane::SharedRetryBudget>
readRetries(base::SectionReader &Reader) {
  if (!Reader.has("retry-ratio"))
    return std::nullopt;
  dataplane::SharedRetryBudget Result;
  Result.Ratio = Reader.number("retry-ratio", 0, 10);
  Result.Floor = Reader.number("retry-floor", 0, 1e6, 0.0);
  Result.Window =
      Reader.seconds("retry-window-seconds", base::Millis::seconds(10));
  return Result;
}

std::uint64_t readLinkRate(base::SectionReader &Reader) {
  constexpr double BytesPerMegabit = 125'000;
  constexpr double MaxMegabits = 1e6;
  return static_cast<std::uint64_t>(
      Reader.number("link-megabits-per-second", 0, MaxMegabits, 0.0) *
      BytesPerMegabit);
}

base::Millis readAnnounceTimeout(base::SectionReader &Reader,
                                 base::Millis Default) {
  if (!Reader.has("announce-interval-seconds"))
    return Default;
  return Reader.seconds("announce-interval-seconds", Default) *
         MaxMissedAnnouncements;
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
  base::SectionReader Reader(requireSection(File, Path, "control", Faults),
                             Path, Faults);
  ControlSettings Result;
  Result.DataFolder = Reader.text("data-folder");
  Result.Zone = base::AvailabilityZone(Reader.text("availability-zone"));
  Result.InnerAddress = Reader.address("inner-address");
  Result.OperatorAddress = Reader.address("operator-address");
  Result.Interface = readInterface(Reader);
  Result.TrustedNetwork = Reader.boolean("trusted-network", false);
  if (Reader.has("seeds")) {
    Result.Seeds = readSeeds(Reader);
    Result.Bootstrap = Reader.boolean("bootstrap", false);
    Result.ToleratedLosses =
        static_cast<std::size_t>(Reader.integer("tolerated-losses", 0, 10, 1));
  } else {
    Result.Voters = readAddresses(Reader, "voters");
    Result.Join = Reader.boolean("join", false);
  }
  Result.MetricsAddress = readOptional(Reader, "metrics-address");
  Result.ControlKeyFile =
      readKeyFile(Reader, "control-key-file", Result.TrustedNetwork);
  Result.NodeKeyFile =
      readKeyFile(Reader, "node-key-file", Result.TrustedNetwork);
  Result.OperatorKeysFile =
      readKeyFile(Reader, "operator-keys-file", Result.TrustedNetwork);
  Result.LogLevel = Reader.choice("log-level", LogLevels, "info");
  bool IsVoter = std::find(Result.Voters.begin(), Result.Voters.end(),
                           Result.InnerAddress) != Result.Voters.end();
  if (!Result.Join && !IsVoter && !Reader.has("seeds"))
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
  base::SectionReader Reader(requireSection(File, Path, "node", Faults), Path,
                             Faults);
  NodeSettings Result;
  Result.Id = base::NodeId(Reader.text("id"));
  Result.Zone = base::AvailabilityZone(Reader.text("availability-zone"));
  Result.InnerAddress = Reader.address("inner-address");
  Result.CallerAddress = Reader.address("caller-address");
  Result.AnnounceAddress = Reader.address("announce-address");
  Result.Interface = readInterface(Reader);
  Result.TrustedNetwork = Reader.boolean("trusted-network", false);
  if (Reader.has("seeds"))
    for (const base::Address &Seed : readSeeds(Reader))
      Result.Control.push_back({Seed, base::AvailabilityZone()});
  else
    Result.Control = readControlAddresses(Reader);
  Result.NodeKeyFile =
      readKeyFile(Reader, "node-key-file", Result.TrustedNetwork);
  Result.ReadyAddress = readOptional(Reader, "ready-address");
  Result.MetricsAddress = readOptional(Reader, "metrics-address");
  Result.CallerService = base::ServiceName(Reader.text("caller-service", ""));
  Result.SharedRetries = readRetries(Reader);
  Result.LinkBytesPerSecond = readLinkRate(Reader);
  Result.ResponseBufferBytes = Reader.byteSize("hold-response", 0);
  Result.IsolateCrashes = Reader.boolean("isolate-crashes", true);
  Result.LameDuckPeriod = Reader.seconds("lame-duck-seconds", base::Millis(0));
  Result.AnnounceTimeout = readAnnounceTimeout(Reader, Result.AnnounceTimeout);
  Result.SlowStart = Reader.seconds("slow-start-seconds", Result.SlowStart);
  Result.AnnounceKeyFile = Reader.text("announce-key-file", "");
  Result.ShutdownTimeout =
      Reader.duration("shutdown-timeout", DefaultShutdownTimeout);
  if (Reader.has("grace-seconds"))
    Result.ShutdownTimeout =
        Reader.seconds("grace-seconds", Result.ShutdownTimeout) *
        ShutdownPercentOfGrace / 100;
  Result.LogLevel = Reader.choice("log-level", LogLevels, "info");
  if (Reader.has("announce-address") && !Result.TrustedNetwork &&
      !isLoopback(Result.AnnounceAddress))
    Reader.fault("announce-address", "the address must be a loopback address: "
                                     "only the local upstream announces "
                                     "itself to this node");
  Reader.finish();
  if (!Faults.empty())
    throw base::FileError(std::move(Faults));
  return Result;
}

} // namespace amaranth::daemon
