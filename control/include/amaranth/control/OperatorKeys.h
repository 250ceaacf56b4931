#ifndef AMARANTH_CONTROL_OPERATORKEYS_H
#define AMARANTH_CONTROL_OPERATORKEYS_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Error.h"
#include "amaranth/base/StrongId.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::control {

/// An operator and the teams whose sections the operator may change.
struct Operator {
  base::OperatorName Name;
  std::vector<base::TeamName> Teams;
};

/// Minimum length of a key in characters. 16 random characters from an alphabet
/// of 64 have 96 bits of entropy.
inline constexpr std::size_t MinOperatorKeyLength = 16;

/// The API keys of the operators. Only keyed digests of the keys are kept in
/// memory.
class OperatorKeys {
public:
  /// Creates an empty set of keys.
  OperatorKeys();

  /// Reads `[operator NAME]` sections with `key` and `teams` from a file that
  /// must not be accessible to group or others. Throws `base::FileError` with
  /// all faults; the messages never contain a key.
  static OperatorKeys read(const std::string &Path);

  /// Returns the operator with this key. Compares the key with every entry in
  /// constant time.
  std::optional<Operator> find(std::string_view Key) const;

  std::size_t size() const { return Entries.size(); }

private:
  void parse(std::string_view Text, const std::string &Path,
             std::vector<base::FileFault> &Faults);
  base::Bytes keyDigest(std::string_view Key) const;
  bool add(Operator Entry, std::string_view Key);

  struct Entry {
    Operator KeyOwner;
    base::Bytes Digest;
  };
  /// Random key of the digests, generated at process start.
  base::Bytes Salt;
  std::vector<Entry> Entries;
};

} // namespace amaranth::control

#endif
