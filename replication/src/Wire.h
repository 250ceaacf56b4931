#ifndef AMARANTH_REPLICATION_WIRE_H
#define AMARANTH_REPLICATION_WIRE_H

#include "amaranth/protocol/Frame.h"
#include "replication_generated.h"

namespace amaranth::replication {

namespace wire = protocol::replication;

/// Encodes a message of the FlatBuffers object API, such as `VoteRequestT`.
template <typename Message> base::Bytes encode(const Message &Value) {
  flatbuffers::FlatBufferBuilder Builder;
  Builder.Finish(Message::TableType::Pack(Builder, &Value));
  return protocol::takeBuffer(Builder);
}

/// Throws `base::ProtocolError` if the message is malformed.
template <typename Message> Message decode(base::ByteView Data) {
  Message Value;
  protocol::readTable<typename Message::TableType>(Data).UnPackTo(&Value);
  return Value;
}

} // namespace amaranth::replication

#endif
