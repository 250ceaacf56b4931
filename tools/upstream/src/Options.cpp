#include "amaranth/upstream/Options.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <map>

namespace amaranth::upstream {

namespace {

const char *const Usage =
    R"(Stand-in upstream program for tests and demonstrations.

Usage:
  amaranth-upstream --service=NAME --version=NAME --listen=ADDRESS
                    --node=ADDRESS [options]

Options:
  --service=NAME         Service that it belongs to.
  --version=NAME         Version of the service.
  --listen=ADDRESS       IP address and port to listen on.
  --node=ADDRESS         Where the local node takes announcements.
  --id=NAME              Name in X-Upstream-Id; the listen address by default.
  --key-file=FILE        File with the key for announcements.
  --slots=N              Requests to announce at once [default: 4].
  --time=DISTRIBUTION    Service time in ms: fixed:10, uniform:5,20 or exp:10
                         [default: fixed:0].
  --cold-start=SPAN      Time from start to ready [default: 0ms].
  --drain-limit=SPAN     Longest wait for requests on SIGTERM [default: 30s].
  --shed                 Answer 503 above the number of slots.
  --fault=KIND           none, fail or slow [default: none].
  --fault-rate=PART      Part of the matching requests hit [default: 1].
  --fault-after=SPAN     Fault only this long after the start [default: 0ms].
  --fault-above=N        Fault only above N running requests [default: 0].
  --fault-prefix=PATH    Fault only on paths with this prefix.
  --slow-by=SPAN         Extra time of a slow request [default: 500ms].
  --crash-marker=TEXT    Abort on a path that contains TEXT.
  --wrong-health         /health says the opposite of the truth.
  --executions-file=FILE Append the Idempotency-Key of each execution, so that
                         the count survives a kill.
  --seed=N               Seed of random choices [default: 1].
  --log=LEVEL            trace, debug, info, warn, error or off [default: info].
  -h --help              Show this text.
)";

using Values = std::map<std::string, docopt::value>;

std::string text(const Values &Given, const std::string &Name) {
  const docopt::value &Value = Given.at(Name);
  return Value ? Value.asString() : std::string();
}

[[noreturn]] void refuse(const std::string &Name, const std::string &Value) {
  throw base::Error("option " + Name + ": '" + Value + "' is not valid");
}

base::Address address(const Values &Given, const std::string &Name) {
  auto Parsed = base::parseAddress(text(Given, Name));
  if (!Parsed)
    refuse(Name, text(Given, Name));
  return *Parsed;
}

base::Millis span(const Values &Given, const std::string &Name) {
  auto Parsed = base::parseDuration(text(Given, Name));
  if (!Parsed)
    refuse(Name, text(Given, Name));
  return *Parsed;
}

double number(const Values &Given, const std::string &Name, double Min,
              double Max) {
  std::string Value = text(Given, Name);
  char *End = nullptr;
  double Parsed = std::strtod(Value.c_str(), &End);
  if (Value.empty() || *End != '\0' || Parsed < Min || Parsed > Max)
    refuse(Name, Value);
  return Parsed;
}

FaultPlan faultPlan(const Values &Given) {
  FaultPlan Plan;
  std::string Kind = text(Given, "--fault");
  if (Kind == "fail")
    Plan.What = FaultPlan::Kind::Fail;
  else if (Kind == "slow")
    Plan.What = FaultPlan::Kind::Slow;
  else if (Kind != "none")
    refuse("--fault", Kind);
  Plan.Rate = number(Given, "--fault-rate", 0, 1);
  Plan.SlowBy = span(Given, "--slow-by");
  Plan.After = span(Given, "--fault-after");
  Plan.AboveLoad =
      static_cast<std::uint32_t>(number(Given, "--fault-above", 0, 1e6));
  Plan.PathPrefix = text(Given, "--fault-prefix");
  return Plan;
}

} // namespace

std::optional<ServiceTime> parseServiceTime(const std::string &Text) {
  auto Colon = Text.find(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Shape = Text.substr(0, Colon);
  ServiceTime Result;
  const char *At = Text.c_str() + Colon + 1;
  char *End = nullptr;
  Result.First = std::strtod(At, &End);
  bool Valid = End != At && Result.First >= 0;
  if (Shape == "uniform") {
    Result.Kind = ServiceTime::Shape::Uniform;
    Valid = Valid && *End == ',';
    At = Valid ? End + 1 : At;
    Result.Second = std::strtod(At, &End);
    Valid = Valid && End != At && Result.Second >= Result.First;
  } else if (Shape == "exp") {
    Result.Kind = ServiceTime::Shape::Exponential;
    Valid = Valid && Result.First > 0;
  } else if (Shape != "fixed") {
    return std::nullopt;
  }
  if (!Valid || *End != '\0')
    return std::nullopt;
  return Result;
}

Options parseOptions(const std::vector<std::string> &Arguments) {
  Values Given = docopt::docopt(Usage, Arguments, true);
  Options Result;
  Result.Self.Service = base::ServiceName(text(Given, "--service"));
  Result.Self.Version = base::VersionName(text(Given, "--version"));
  Result.Self.Slots =
      static_cast<std::uint32_t>(number(Given, "--slots", 1, 100'000));
  Result.Listen = address(Given, "--listen");
  Result.Node = address(Given, "--node");
  Result.Id = text(Given, "--id");
  if (Result.Id.empty())
    Result.Id = Result.Listen.text();
  if (std::string File = text(Given, "--key-file"); !File.empty())
    Result.AnnounceKey = base::readSecretFile(File);
  auto Time = parseServiceTime(text(Given, "--time"));
  if (!Time)
    refuse("--time", text(Given, "--time"));
  Result.Time = *Time;
  Result.ColdStart = span(Given, "--cold-start");
  Result.DrainLimit = span(Given, "--drain-limit");
  Result.Shed = Given.at("--shed").asBool();
  Result.Fault = faultPlan(Given);
  Result.CrashMarker = text(Given, "--crash-marker");
  Result.ExecutionsFile = text(Given, "--executions-file");
  Result.WrongHealth = Given.at("--wrong-health").asBool();
  Result.Seed = static_cast<std::uint64_t>(number(Given, "--seed", 0, 1e15));
  Result.LogLevel = text(Given, "--log");
  return Result;
}

} // namespace amaranth::upstream
