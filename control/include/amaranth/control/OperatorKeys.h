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

/// Shortest accepted key in characters. 16 random characters from 64 have
/// 96 bits.
inline constexpr std::size_t MinOperatorKeyLength = 16;

/// The operators' keys. Only keyed digests of the keys are kept in memory.
class OperatorKeys {
public:
  /// No operator is known.
  OperatorKeys();

  /// Reads `[operator NAME]` sections with `key` and `teams`. Throws
  /// `base::FileError` with all faults; their texts contain no key. The file
  /// must not be accessible to group or others.
  static OperatorKeys read(const std::string &Path);

  /// The operator with this key. Compares with every operator in constant
  /// time.
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
  /// Random for each process.
  base::Bytes Salt;
  std::vector<Entry> Entries;
};

} // namespace amaranth::control

#endif
