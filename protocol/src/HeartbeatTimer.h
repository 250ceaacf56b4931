#ifndef AMARANTH_PROTOCOL_HEARTBEATTIMER_H
#define AMARANTH_PROTOCOL_HEARTBEATTIMER_H

#include "amaranth/base/Clock.h"

#include <memory>
#include <optional>
#include <vector>

namespace amaranth::protocol::detail {

class SocketChannel;

/// Sends the heartbeats of many channels and closes silent ones, with one timer
/// for all of them. A node has channels to hundreds of other nodes, most of
/// them idle, and a timer for each of them costs more than the heartbeats.
/// Single-threaded; all channels must use the same executor.
class HeartbeatTimer : public std::enable_shared_from_this<HeartbeatTimer> {
public:
  /// `Time` must outlive the channels.
  explicit HeartbeatTimer(base::Clock &Time) : Time(Time) {}

  /// Serves the channel until it closes.
  void add(const std::shared_ptr<SocketChannel> &Channel);
  /// Must be called once when a channel that was added closes.
  void channelClosed();

private:
  boost::asio::awaitable<void> run();
  void check();

  base::Clock &Time;
  std::vector<std::weak_ptr<SocketChannel>> Channels;
  std::size_t OpenChannels = 0;
  bool Running = false;
  /// Notified when the last channel closes, which ends the task.
  std::optional<base::Signal> AllClosed;
};

} // namespace amaranth::protocol::detail

#endif
