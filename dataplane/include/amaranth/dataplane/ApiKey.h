#ifndef AMARANTH_DATAPLANE_APIKEY_H
#define AMARANTH_DATAPLANE_APIKEY_H

#include "amaranth/dataplane/Messages.h"

#include <string>
#include <string_view>

namespace amaranth::dataplane {

/// Field with the API key of a caller, as `Bearer KEY` (RFC 6750).
inline constexpr std::string_view ApiKeyField = "Authorization";

/// Returns the API key in `Fields`, or an empty text if there is no such field.
///
/// Credentials that are no key give a text with a space, which no key contains:
/// another scheme, an empty key, or more than one field. They must not pass for
/// a request without a key.
std::string apiKeyOf(const Headers &Fields);

/// False for the credentials that `apiKeyOf` could not read as a key.
bool isApiKey(std::string_view Key);

} // namespace amaranth::dataplane

#endif
