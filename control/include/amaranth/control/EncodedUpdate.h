#ifndef AMARANTH_CONTROL_ENCODEDUPDATE_H
#define AMARANTH_CONTROL_ENCODEDUPDATE_H

#include "amaranth/base/Bytes.h"
#include "amaranth/protocol/Frame.h"

#include <optional>

namespace amaranth::control {

/// A snapshot piece or a delta for nodes. The compressed form is made when it
/// is first needed and shared between nodes. Single-threaded.
class EncodedUpdate {
public:
  EncodedUpdate(protocol::MessageType Type, base::Bytes Message)
      : Plain{Type, 0, std::move(Message)} {}

  const base::Bytes &message() const { return Plain.Payload; }

  /// The frame to send to a node. Compressed if the node accepts that and it
  /// makes the frame smaller.
  const protocol::Frame &frame(bool AcceptsCompressed) const;

private:
  protocol::Frame Plain;
  mutable std::optional<protocol::Frame> Compressed;
};

} // namespace amaranth::control

#endif
