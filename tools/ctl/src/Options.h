#ifndef AMARANTH_CTL_SRC_OPTIONS_H
#define AMARANTH_CTL_SRC_OPTIONS_H

#include "amaranth/base/Error.h"
#include "amaranth/base/Millis.h"
#include "amaranth/base/Settings.h"
#include "amaranth/base/StrongId.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::ctl {

/// The command line is invalid; the message is shown to the user.
class UsageError : public base::Error {
public:
  using base::Error::Error;
};

/// `--help` was given; the message is the help text.
class HelpRequested : public base::Error {
public:
  using base::Error::Error;
};

struct Deletion {
  std::string Section;
  base::Revision Expected;
};

struct Options {
  /// `apply`, `get`, `diff`, `status`, `versions`, `audit`,
  /// `check`, `replace-voter`, `lift-quarantine` or `evacuate`.
  std::string Command;
  std::vector<base::Address> Servers;
  std::string KeyFile;
  std::string File;
  std::string Section;
  /// Arguments of `replace-voter`.
  base::ReplicaId Lost;
  base::ReplicaId Replacement;
  /// Argument of `lift-quarantine`: 16 hexadecimal digits.
  std::string Fingerprint;
  /// Arguments of `evacuate`.
  std::string Zone;
  bool Finish = false;
  std::vector<Deletion> Deletions;
  std::string Operation;
  std::uint64_t Limit = 0;
  base::Millis Timeout;
  bool Json = false;
  bool Stale = false;
};

/// Throws `UsageError` or `HelpRequested`.
Options parseOptions(const std::vector<std::string> &Arguments);

} // namespace amaranth::ctl

#endif
