#include "MemoryChannel.h"

namespace asio = boost::asio;

namespace amaranth::protocol::testing {

MemoryChannel::MemoryChannel(const asio::any_io_executor &Executor,
                             Identity Peer)
    : PeerIdentity(std::move(Peer)), Changed(Executor) {}

asio::awaitable<void> MemoryChannel::send(MessageType Type,
                                          std::uint64_t Stream,
                                          base::Bytes Payload) {
  if (!Open)
    throw ChannelClosed(CloseReason);
  post(Type, Stream, std::move(Payload));
  co_return;
}

void MemoryChannel::post(MessageType Type, std::uint64_t Stream,
                         base::Bytes Payload) {
  std::size_t Size = FrameHeaderBytes + Payload.size();
  auto Receiver = Other.lock();
  if (!Open || !Receiver)
    return;
  Sent += Size;
  if (DropOutgoing)
    return;
  Receiver->Received += Size;
  Receiver->Inbox.push_back({Type, Stream, std::move(Payload)});
  Receiver->Changed.notifyAll();
}

asio::awaitable<Frame> MemoryChannel::receive() {
  while (Inbox.empty() && Open)
    co_await Changed.wait();
  if (Inbox.empty())
    throw ChannelClosed(CloseReason);
  Frame Next = std::move(Inbox.front());
  Inbox.pop_front();
  co_return Next;
}

void MemoryChannel::close(const std::string &Reason) {
  if (!Open)
    return;
  Open = false;
  CloseReason = Reason;
  Changed.notifyAll();
  if (auto Peer = Other.lock())
    Peer->close(Reason);
}

std::pair<std::shared_ptr<MemoryChannel>, std::shared_ptr<MemoryChannel>>
makeChannelPair(const asio::any_io_executor &Executor, Identity Left,
                Identity Right) {
  auto First = std::make_shared<MemoryChannel>(Executor, std::move(Right));
  auto Second = std::make_shared<MemoryChannel>(Executor, std::move(Left));
  First->Other = Second;
  Second->Other = First;
  return {First, Second};
}

} // namespace amaranth::protocol::testing
