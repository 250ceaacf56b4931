#include "amaranth/control/EncodedUpdate.h"

#include "amaranth/control/FollowMessages.h"

namespace amaranth::control {

namespace {

/// Deltas of single endpoints are sent often and hardly become smaller.
constexpr std::size_t MinCompressedBytes = 1024;

} // namespace

const protocol::Frame &EncodedUpdate::frame(bool AcceptsCompressed) const {
  if (!AcceptsCompressed || Plain.Payload.size() < MinCompressedBytes)
    return Plain;
  if (!Compressed)
    Compressed =
        protocol::Frame{protocol::MessageType::CompressedUpdate, 0,
                        encode(CompressedUpdate{Plain.Type, Plain.Payload})};
  return Compressed->Payload.size() < Plain.Payload.size() ? *Compressed
                                                           : Plain;
}

} // namespace amaranth::control
