#ifndef AMARANTH_DATAPLANE_SRC_HTTPTEXT_H
#define AMARANTH_DATAPLANE_SRC_HTTPTEXT_H

#include "amaranth/dataplane/Messages.h"

#include <string>

namespace amaranth::dataplane {

/// Serialize an HTTP/1.1 message head, including the final empty line.
std::string responseText(unsigned Status, const Headers &Fields);
std::string requestText(const std::string &Method, const std::string &Target,
                        const Headers &Fields);
/// Returns the size line that precedes the data of a chunk.
std::string chunkHeader(std::size_t Bytes);

} // namespace amaranth::dataplane

#endif
