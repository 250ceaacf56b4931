#ifndef AMARANTH_DOCUMENT_UTCTIME_H
#define AMARANTH_DOCUMENT_UTCTIME_H

#include "amaranth/base/Millis.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranth::document {

/// Parses `2026-12-04T06:00:00Z`; years 2000 to 2199. Empty on other text
/// and on days that do not exist.
std::optional<base::WallTime> parseUtcTime(std::string_view Text);

/// The form that `parseUtcTime` reads; milliseconds are cut off.
std::string formatUtcTime(base::WallTime Time);

} // namespace amaranth::document

#endif
