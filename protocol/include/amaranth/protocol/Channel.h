#ifndef AMARANTH_PROTOCOL_CHANNEL_H
#define AMARANTH_PROTOCOL_CHANNEL_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"
#include "amaranth/protocol/Frame.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace amaranth::protocol {

/// Kind of a process, from its Hello.
enum class Role : std::uint8_t { Control = 1, Node = 2 };

/// Who a process says it is; proved with the shared key of its role.
struct Identity {
  Role ProcessRole = Role::Node;
  /// Replica id in decimal for control processes, node id for nodes.
  std::string Id;
  base::AvailabilityZone Zone;
};

/// Thrown by operations on a closed connection.
class ChannelClosed : public base::Error {
public:
  using base::Error::Error;
};

/// A connection that carried no byte for this time is closed.
inline constexpr base::Millis SilenceTimeout = base::Millis(2000);
/// An idle side sends a heartbeat this often.
inline constexpr base::Millis HeartbeatInterval = base::Millis(500);

/// The same between two nodes. There are as many of these connections as pairs
/// of nodes, mostly between zones, and most are idle; requests have deadlines
/// of their own, and `UnacknowledgedTimeout` finds a connection that is used.
inline constexpr base::Millis NodeSilenceTimeout = base::Millis(7000);
inline constexpr base::Millis NodeHeartbeatInterval = base::Millis(2000);

/// The operating system ends a connection whose data was not acknowledged for
/// this time, or whose peer does not answer keep-alive probes.
inline constexpr base::Millis UnacknowledgedTimeout = base::Millis(1200);

/// One authenticated connection to another process of the system.
///
/// Single-threaded. Exactly one task receives, and it must always be
/// receiving: heartbeats arrive through `receive`, and a side that stops
/// reading is taken for dead. Any task may send.
class Channel {
public:
  virtual ~Channel() = default;

  virtual const Identity &peer() const = 0;

  /// Queues a message in order. Waits while more than 1 MiB is queued.
  /// Throws `ChannelClosed`. A message that was queued may still be lost.
  virtual boost::asio::awaitable<void>
  send(MessageType Type, std::uint64_t Stream, base::Bytes Payload) = 0;

  /// Queues a message without waiting, for short messages whose number is
  /// bounded by other means. Does nothing on a closed connection.
  virtual void post(MessageType Type, std::uint64_t Stream,
                    base::Bytes Payload) = 0;

  /// The next message; heartbeats are handled inside. Throws `ChannelClosed`
  /// when the connection ended or was silent for `SilenceTimeout`.
  virtual boost::asio::awaitable<Frame> receive() = 0;

  /// True if a further message has been received, so that `receive` returns
  /// without waiting.
  virtual bool hasReceived() const = 0;

  /// Ends the connection; pending operations throw `ChannelClosed`.
  virtual void close(const std::string &Reason) = 0;
  virtual bool isOpen() const = 0;

  /// When the newest byte of an incomplete message arrived; empty if no message
  /// is incomplete. Shows that the peer is sending although `receive` waits.
  virtual std::optional<base::TimePoint> incompleteMessageTime() const = 0;

  /// Bytes on the wire so far, frame headers and heartbeats included.
  virtual std::uint64_t bytesSent() const = 0;
  virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace amaranth::protocol

#endif
