#include "Options.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace amaranth::ctl {

namespace {

constexpr const char *Usage =
    R"(Changes and shows the configuration document of amaranthrun.

Usage:
  amaranthctl apply [options] [--operation=ID] [--delete=SECTION]... [FILE]
  amaranthctl get [options] [SECTION]
  amaranthctl diff [options] FILE
  amaranthctl status [options]
  amaranthctl versions [options]
  amaranthctl audit [options] [--limit=N]
  amaranthctl replace-voter [options] LOST REPLACEMENT
  amaranthctl lift-quarantine [options] FINGERPRINT
  amaranthctl evacuate [options] [--finish] ZONE
  amaranthctl check [options] FILE
  amaranthctl --help

Options:
  --server=LIST        Control processes as IP:PORT, separated by commas;
                       tried in turn; status asks all of them
                       [default: 127.0.0.1:7300].
  --key-file=FILE      File with the operator's key, mode 0600.
  --json               Print JSON.
  --stale              Accept data that may be old (get, diff, status,
                       versions, audit).
  --timeout=SPAN       Time limit with a unit, such as 30s [default: 30s].
  --operation=ID       Id of the change. A resend with the same id has no
                       second effect. Random by default.
  --delete=SECTION     Delete a section at a revision, such as 'route x@7'.
  --finish             Take an evacuated zone back.
  --limit=N            Newest audit entries, 1 to 10000 [default: 100].
  -h --help            Show this text.

`get` prints a 'revision = N' line for each section. `apply` expects that
revision to be the current one; a section without the line is created.

`replace-voter` takes the ids that `status` shows: of the lost voter and of
the learner that takes its place.

`lift-quarantine` takes a fingerprint that `status` shows. The request is served
again; it is refused again after the next crash during which it runs.

`evacuate` orders that the upstreams of an availability zone get no requests;
running requests finish. `status` shows the zones that are evacuated.

Exit codes: 0 done, 1 refused, 2 usage, 3 no server reachable, 4 outcome
unknown, 5 conflict with another change.
)";

std::uint64_t parseNumber(std::string_view Text, std::uint64_t Min,
                          std::uint64_t Max, const char *What) {
  std::uint64_t Value = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc() || End != Text.data() + Text.size() || Value < Min ||
      Value > Max)
    throw UsageError(fmt::format("{}: '{}' is not an integer from {} to {}",
                                 What, Text, Min, Max));
  return Value;
}

base::ReplicaId parseReplica(const std::string &Text, const char *What) {
  return base::ReplicaId(
      parseNumber(Text, 1, std::numeric_limits<std::uint64_t>::max(), What));
}

std::string parseFingerprint(const std::string &Text) {
  constexpr std::size_t FingerprintDigits = 16;
  if (Text.size() != FingerprintDigits ||
      Text.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw UsageError(fmt::format(
        "FINGERPRINT: '{}' does not have 16 hexadecimal digits", Text));
  return Text;
}

Deletion parseDeletion(const std::string &Text) {
  auto At = Text.rfind('@');
  if (At == std::string::npos || At == 0)
    throw UsageError(
        fmt::format("--delete: expected 'SECTION@REVISION', got '{}'", Text));
  return {Text.substr(0, At),
          base::Revision(parseNumber(std::string_view(Text).substr(At + 1), 1,
                                     std::numeric_limits<std::uint64_t>::max(),
                                     "--delete"))};
}

std::vector<base::Address> parseServers(const std::string &Text) {
  std::vector<base::Address> Result;
  std::istringstream Parts(Text);
  for (std::string Part; std::getline(Parts, Part, ',');) {
    auto Address = base::parseAddress(Part);
    if (!Address)
      throw UsageError(fmt::format(
          "--server: '{}' is not an address; expected IP:PORT", Part));
    Result.push_back(*Address);
  }
  if (Result.empty())
    throw UsageError("--server: at least one address is required");
  return Result;
}

using Values = std::map<std::string, docopt::value>;

std::string textOf(const Values &From, const std::string &Name) {
  auto It = From.find(Name);
  return It != From.end() && It->second.isString() ? It->second.asString() : "";
}

bool flagOf(const Values &From, const std::string &Name) {
  auto It = From.find(Name);
  return It != From.end() && It->second.isBool() && It->second.asBool();
}

Options toOptions(const Values &Parsed) {
  Options Result;
  for (const char *Command :
       {"apply", "get", "diff", "status", "versions", "audit", "check",
        "replace-voter", "lift-quarantine", "evacuate"})
    if (flagOf(Parsed, Command))
      Result.Command = Command;
  Result.Servers = parseServers(textOf(Parsed, "--server"));
  Result.KeyFile = textOf(Parsed, "--key-file");
  Result.File = textOf(Parsed, "FILE");
  Result.Section = textOf(Parsed, "SECTION");
  if (Result.Command == "replace-voter") {
    Result.Lost = parseReplica(textOf(Parsed, "LOST"), "LOST");
    Result.Replacement =
        parseReplica(textOf(Parsed, "REPLACEMENT"), "REPLACEMENT");
  }
  if (Result.Command == "lift-quarantine")
    Result.Fingerprint = parseFingerprint(textOf(Parsed, "FINGERPRINT"));
  Result.Zone = textOf(Parsed, "ZONE");
  Result.Finish = flagOf(Parsed, "--finish");
  Result.Operation = textOf(Parsed, "--operation");
  Result.Json = flagOf(Parsed, "--json");
  Result.Stale = flagOf(Parsed, "--stale");
  Result.Limit = parseNumber(textOf(Parsed, "--limit"), 1, 10'000, "--limit");
  std::string Span = textOf(Parsed, "--timeout");
  auto Timeout = base::parseDuration(Span);
  if (!Timeout || *Timeout < base::Millis(1))
    throw UsageError(fmt::format(
        "--timeout: '{}' is not a duration; expected a value such as 30s",
        Span));
  Result.Timeout = *Timeout;
  auto Deletions = Parsed.find("--delete");
  if (Deletions != Parsed.end() && Deletions->second.isStringList())
    for (const std::string &Text : Deletions->second.asStringList())
      Result.Deletions.push_back(parseDeletion(Text));
  if (Result.Command == "apply" && Result.File.empty() &&
      Result.Deletions.empty())
    throw UsageError("apply: expected a FILE or --delete");
  return Result;
}

} // namespace

Options parseOptions(const std::vector<std::string> &Arguments) {
  Values Parsed;
  try {
    Parsed = docopt::docopt_parse(Usage, Arguments, true, false);
  } catch (const docopt::DocoptExitHelp &) {
    throw HelpRequested(Usage);
  } catch (const docopt::DocoptArgumentError &) {
    throw UsageError(Usage);
  }
  return toOptions(Parsed);
}

} // namespace amaranth::ctl
