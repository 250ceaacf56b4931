#ifndef AMARANTH_PROTOCOL_TEST_MEMORYCHANNEL_H
#define AMARANTH_PROTOCOL_TEST_MEMORYCHANNEL_H

#include "amaranth/base/Signal.h"
#include "amaranth/protocol/Channel.h"

#include <deque>
#include <utility>

namespace amaranth::protocol::testing {

/// One end of a connection in memory. Messages arrive in order when the
/// `io_context` is polled. There is no heartbeat: a test that cuts the link
/// calls `close` where the real channel would have noticed the silence.
class MemoryChannel final : public Channel {
public:
  MemoryChannel(const boost::asio::any_io_executor &Executor, Identity Peer);

  const Identity &peer() const override { return PeerIdentity; }
  boost::asio::awaitable<void> send(MessageType Type, std::uint64_t Stream,
                                    base::Bytes Payload) override;
  void post(MessageType Type, std::uint64_t Stream,
            base::Bytes Payload) override;
  boost::asio::awaitable<Frame> receive() override;
  bool hasReceived() const override { return !Inbox.empty(); }
  void close(const std::string &Reason) override;
  bool isOpen() const override { return Open; }
  std::optional<base::TimePoint> incompleteMessageTime() const override {
    return std::nullopt;
  }
  std::uint64_t bytesSent() const override { return Sent; }
  std::uint64_t bytesReceived() const override { return Received; }

  /// While true, messages sent from this end are lost without an error.
  bool DropOutgoing = false;

private:
  friend std::pair<std::shared_ptr<MemoryChannel>,
                   std::shared_ptr<MemoryChannel>>
  makeChannelPair(const boost::asio::any_io_executor &, Identity, Identity);

  Identity PeerIdentity;
  base::Signal Changed;
  std::weak_ptr<MemoryChannel> Other;
  std::deque<Frame> Inbox;
  std::string CloseReason;
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  bool Open = true;
};

/// Two connected ends. The first belongs to `Left` and reports `Right` as its
/// peer. Closing one end closes the other.
std::pair<std::shared_ptr<MemoryChannel>, std::shared_ptr<MemoryChannel>>
makeChannelPair(const boost::asio::any_io_executor &Executor, Identity Left,
                Identity Right);

} // namespace amaranth::protocol::testing

#endif
