#ifndef AMARANTH_DOCUMENT_UTCTIME_H
#define AMARANTH_DOCUMENT_UTCTIME_H

#include "amaranth/base/Millis.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranth::document {

/// Parses a time such as `2026-12-04T06:00:00Z` in the years 2000 to 2199.
/// Returns nothing for other text and for days that do not exist.
std::optional<base::WallTime> parseUtcTime(std::string_view Text);

/// Formats a time as `parseUtcTime` expects it; truncates milliseconds.
std::string formatUtcTime(base::WallTime Time);

} // namespace amaranth::document

#endif
