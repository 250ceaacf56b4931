#ifndef AMARANTH_PROTOCOL_FRAME_H
#define AMARANTH_PROTOCOL_FRAME_H

#include "amaranth/base/Bytes.h"
#include "amaranth/base/Error.h"

#include <flatbuffers/flatbuffers.h>

#include <array>
#include <cstdint>

namespace amaranth::protocol {

/// Kind of the FlatBuffer in a frame. The families leave room to grow; a
/// receiver closes the connection on a type that it does not know.
enum class MessageType : std::uint16_t {
  // Connection.
  Hello = 1,
  HelloProof = 2,
  Heartbeat = 3,

  // Replication between control processes.
  PreVoteRequest = 100,
  VoteRequest = 101,
  VoteReply = 102,
  AppendRequest = 103,
  AppendReply = 104,
  SnapshotChunk = 105,
  SnapshotReply = 106,
  ReadIndexRequest = 107,
  ReadIndexReply = 108,
  ProposeRequest = 109,
  ProposeReply = 110,
  NodesAlive = 111,
  EvidenceForward = 112,
  MemberRequest = 113,
  MemberReply = 114,

  // Distribution between a node and its control process.
  Subscribe = 200,
  Snapshot = 201,
  Delta = 202,
  Acknowledge = 203,
  RetryAfter = 204,
  Currency = 205,
  EndpointUpdate = 206,
  EvidenceReport = 207,
  ApplyFailure = 208,
  /// A compressed `Snapshot` or `Delta`, only for nodes that subscribe with
  /// `accepts_compressed`.
  CompressedUpdate = 209,

  // Calls of a node to its control process.
  CallRequest = 300,
  CallReply = 301,

  // Exchanges between an entry node and the node beside an upstream.
  RequestHead = 400,
  RequestData = 401,
  Window = 402,
  Cancel = 403,
  ResponseHead = 404,
  ResponseData = 405,
  Refusal = 406,

  // Quotas between nodes, only for customers with a limit: a node that does
  // not know the messages closes the connection.
  QuotaRequest = 500,
  QuotaGrant = 501,
};

/// One message of the inner protocol. `Stream` tells exchanges or calls of a
/// connection apart; 0 where there is only one conversation.
struct Frame {
  MessageType Type = MessageType::Heartbeat;
  std::uint64_t Stream = 0;
  base::Bytes Payload;
};

/// Layout: 4 bytes length of the payload, 2 bytes type, 2 bytes zero, 8 bytes
/// stream id; little-endian.
inline constexpr std::size_t FrameHeaderBytes = 16;
/// Largest payload in bytes; checked before memory is allocated. A document
/// of 1,700 routes that is replaced as a whole takes about 700 KiB.
inline constexpr std::size_t MaxPayloadBytes = 4U << 20U;

using FrameHeader = std::array<std::uint8_t, FrameHeaderBytes>;

/// Throws `base::ProtocolError` when the payload is too large.
FrameHeader encodeFrameHeader(MessageType Type, std::uint64_t Stream,
                              std::size_t PayloadBytes);

struct DecodedHeader {
  MessageType Type;
  std::uint64_t Stream;
  std::size_t PayloadBytes;
};

/// Throws `base::ProtocolError` on a reserved bit or an oversized payload.
DecodedHeader decodeFrameHeader(const FrameHeader &Header);

/// Verifies `Payload` and returns its root table, which points into
/// `Payload`. Throws `base::ProtocolError` when the buffer is malformed.
template <typename Table> const Table &readTable(base::ByteView Payload) {
  flatbuffers::Verifier Verifier(Payload.data(), Payload.size());
  if (!Verifier.VerifyBuffer<Table>(nullptr))
    throw base::ProtocolError("malformed FlatBuffer in a frame");
  return *flatbuffers::GetRoot<Table>(Payload.data());
}

/// Takes the finished buffer out of `Builder`.
inline base::Bytes takeBuffer(const flatbuffers::FlatBufferBuilder &Builder) {
  return {Builder.GetBufferPointer(),
          Builder.GetBufferPointer() + Builder.GetSize()};
}

} // namespace amaranth::protocol

#endif
