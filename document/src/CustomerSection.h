#ifndef AMARANTH_DOCUMENT_SRC_CUSTOMERSECTION_H
#define AMARANTH_DOCUMENT_SRC_CUSTOMERSECTION_H

#include "amaranth/base/Settings.h"
#include "amaranth/document/Document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::document::detail {

/// A `[customer NAME]` section contains digests of keys. An operator may write
/// a key in place of its digest, so no error and no diff repeats a text of the
/// section that may be a key.
inline constexpr std::string_view CustomerKind = "customer";

/// Reads 64 hexadecimal digits.
std::optional<KeyDigest> parseKeyDigest(std::string_view Text);

/// Reads the keys of the section and reports faults through `Reader`, except
/// unknown keys.
CustomerSection readCustomer(const std::string &Name,
                             base::SectionReader &Reader);

/// Removes the names of unknown keys from the faults at `First` and after it:
/// a key with `=` at its end looks like the key of an entry.
void hideUnknownKeys(std::vector<base::FileFault> &Faults, std::size_t First);

/// The line of a customer section as a diff may show it: without the parts of
/// `key-digests` that are no digests and the values of unknown keys.
std::string hideSecrets(const std::string &Line);

} // namespace amaranth::document::detail

#endif
