#ifndef AMARANTH_CONTROL_SRC_WIRECONVERSION_H
#define AMARANTH_CONTROL_SRC_WIRECONVERSION_H

#include "amaranth/base/Error.h"
#include "amaranth/control/Commands.h"
#include "state_generated.h"

#include <fmt/format.h>

namespace amaranth::control::detail {

using Builder = flatbuffers::FlatBufferBuilder;
template <typename Table> using Offset = flatbuffers::Offset<Table>;

Offset<wire::StoredResponse> writeResponse(Builder &Out,
                                           const StoredResponse &Value);
StoredResponse readResponse(const wire::StoredResponse &Value);

Offset<wire::Endpoint> writeEndpoint(Builder &Out,
                                     const document::Endpoint &Value);
/// Throws `base::ProtocolError` on an unknown state.
document::Endpoint readEndpoint(const wire::Endpoint &Value);

using WireStrings = flatbuffers::Vector<Offset<flatbuffers::String>>;
std::vector<std::string> readStrings(const WireStrings &Value);

/// Null if there are no sources, as in data of earlier versions.
Offset<WireStrings>
writeSources(Builder &Out, const std::vector<document::CustomerSource> &Values);

/// Writes the string value of a strong id.
template <typename Id>
Offset<flatbuffers::String> writeString(Builder &Out, const Id &Value) {
  return Out.CreateString(Value.value());
}

/// Converts a number to an enumeration with the values `1..Last`. Throws
/// `base::ProtocolError` for any other number.
template <typename Enum>
Enum readEnum(unsigned Value, Enum Last, const char *What) {
  if (Value == 0 || Value > static_cast<unsigned>(Last))
    throw base::ProtocolError(fmt::format("unknown {} {}", What, Value));
  return static_cast<Enum>(Value);
}

} // namespace amaranth::control::detail

#endif
