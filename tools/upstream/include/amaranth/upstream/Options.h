#ifndef AMARANTH_UPSTREAM_OPTIONS_H
#define AMARANTH_UPSTREAM_OPTIONS_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/Settings.h"
#include "amaranth/dataplane/Gate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::upstream {

/// Distribution of service times in milliseconds.
struct ServiceTime {
  enum class Shape : std::uint8_t { Fixed, Uniform, Exponential };

  Shape Kind = Shape::Fixed;
  /// Fixed value, lower bound, or mean.
  double First = 0;
  /// Upper bound of `Uniform`.
  double Second = 0;
};

/// Parses `fixed:10`, `uniform:5,20` or `exp:10`.
std::optional<ServiceTime> parseServiceTime(const std::string &Text);

/// A fault that the program shows on purpose, limited by the conditions; all
/// of them must hold.
struct FaultPlan {
  enum class Kind : std::uint8_t { None, Fail, Slow };

  Kind What = Kind::None;
  /// Part of the matching requests that the fault hits.
  double Rate = 1;
  /// Extra service time of `Slow`.
  base::Millis SlowBy = base::Millis(500);
  /// Since the start of the process.
  base::Millis After = base::Millis(0);
  /// Only while more requests than this are running; 0 is always.
  std::uint32_t AboveLoad = 0;
  /// Only on paths that begin with this text.
  std::string PathPrefix;
};

struct Options {
  dataplane::Announcement Self;
  std::string Id;
  base::Address Listen;
  /// Where the local node takes announcements.
  base::Address Node;
  std::string AnnounceKey;
  ServiceTime Time;
  base::Millis ColdStart = base::Millis(0);
  base::Millis DrainLimit = base::Millis::seconds(30);
  /// Answers 503 above the number of slots.
  bool Shed = false;
  FaultPlan Fault;
  /// The process aborts on a path that contains this text.
  std::string CrashMarker;
  /// Gets a line with the key of each execution; empty for none.
  std::string ExecutionsFile;
  /// `/health` says the opposite of the truth.
  bool WrongHealth = false;
  std::uint64_t Seed = 1;
  std::string LogLevel;
};

/// Reads the command line. Throws `base::Error` that names the option.
Options parseOptions(const std::vector<std::string> &Arguments);

} // namespace amaranth::upstream

#endif
