#ifndef AMARANTH_PROTOCOL_SOCKETCHANNEL_H
#define AMARANTH_PROTOCOL_SOCKETCHANNEL_H

#include "HeartbeatTimer.h"
#include "amaranth/base/Clock.h"
#include "amaranth/base/Signal.h"
#include "amaranth/protocol/Channel.h"

#include <boost/asio/ip/tcp.hpp>

#include <deque>
#include <vector>

namespace amaranth::protocol::detail {

/// A `Channel` over one TCP socket. `start` must be called once after the
/// handshake; it spawns the writer and begins the heartbeats.
class SocketChannel final : public Channel,
                            public std::enable_shared_from_this<SocketChannel> {
public:
  SocketChannel(boost::asio::ip::tcp::socket Socket, base::Clock &Time,
                std::shared_ptr<HeartbeatTimer> Heartbeats);
  ~SocketChannel() override;

  /// `Own` is the role of this process.
  void start(Identity PeerIdentity, Role Own);

  /// One frame straight to and from the socket, for the handshake.
  boost::asio::awaitable<void> writeNow(MessageType Type, base::Bytes Payload);
  boost::asio::awaitable<Frame> readFrame();

  /// Closes the channel if it is silent, or sends a heartbeat if one is due.
  void checkHeartbeat();
  boost::asio::any_io_executor executor() { return Socket.get_executor(); }

  const Identity &peer() const override { return PeerIdentity; }
  boost::asio::awaitable<void> send(MessageType Type, std::uint64_t Stream,
                                    base::Bytes Payload) override;
  void post(MessageType Type, std::uint64_t Stream,
            base::Bytes Payload) override;
  boost::asio::awaitable<Frame> receive() override;
  bool hasReceived() const override { return Open && !ReceivedFrames.empty(); }
  void close(const std::string &Reason) override;
  bool isOpen() const override { return Open; }
  std::optional<base::TimePoint> incompleteMessageTime() const override {
    if (!HasIncompleteFrame)
      return std::nullopt;
    return LastReceived;
  }
  std::uint64_t bytesSent() const override { return Sent; }
  std::uint64_t bytesReceived() const override { return Received; }

private:
  struct Outgoing {
    FrameHeader Header;
    base::Bytes Payload;
    base::TimePoint QueuedAt;
  };

  /// Reads what the socket has, at least one byte.
  boost::asio::awaitable<void> readInput();
  /// Moves the complete frames of `Input` to `ReceivedFrames`.
  void takeFrames();
  boost::asio::awaitable<void> writeLoop();
  [[noreturn]] void throwClosed() const;

  boost::asio::ip::tcp::socket Socket;
  base::Clock &Time;
  std::shared_ptr<HeartbeatTimer> Heartbeats;
  Identity PeerIdentity;
  base::Signal Queued;
  base::Signal Drained;
  /// Received bytes of an incomplete frame, and free space for the next read
  /// while one is pending.
  base::Bytes Input;
  bool HasIncompleteFrame = false;
  /// Complete frames except heartbeats.
  std::deque<Frame> ReceivedFrames;
  std::deque<Outgoing> Queue;
  std::size_t QueuedBytes = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  base::TimePoint LastReceived;
  base::TimePoint LastQueued;
  std::string CloseReason;
  base::Millis Interval = HeartbeatInterval;
  base::Millis Silence = SilenceTimeout;
  bool Open = true;
  bool Started = false;
};

} // namespace amaranth::protocol::detail

#endif
