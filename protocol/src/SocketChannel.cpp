#include "SocketChannel.h"

#include "amaranth/base/Log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <netinet/tcp.h>

namespace asio = boost::asio;

namespace amaranth::protocol::detail {

namespace {

/// `send` waits above this; it bounds the memory of a connection whose peer
/// reads slowly.
constexpr std::size_t MaxQueuedBytes = 1U << 20U;
/// Free space of the receive buffer for one read.
constexpr std::size_t MinReadBytes = 8U << 10U;
constexpr std::size_t MaxReadBytes = 64U << 10U;
/// Frames gathered into one write.
constexpr std::size_t MaxGatheredFrames = 32;
/// Writes that took this long are logged.
constexpr base::Millis LoggedWriteWait = base::Millis(100);

/// Finds connections that carry nothing any more although none was reset.
/// These options are hints: on a system without them the heartbeats remain.
void limitSilence(asio::ip::tcp::socket &Socket) {
  int Handle = Socket.native_handle();
  unsigned Limit = static_cast<unsigned>(UnacknowledgedTimeout.count());
  int On = 1;
  int Seconds = 1;
  int Probes = 2;
  ::setsockopt(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit, sizeof(Limit));
  ::setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &Seconds, sizeof(Seconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &Seconds, sizeof(Seconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof(Probes));
}

} // namespace

SocketChannel::SocketChannel(asio::ip::tcp::socket Connected, base::Clock &Time,
                             std::shared_ptr<HeartbeatTimer> Heartbeats)
    : Socket(std::move(Connected)), Time(Time),
      Heartbeats(std::move(Heartbeats)), Queued(Socket.get_executor()),
      Drained(Socket.get_executor()), LastReceived(Time.now()),
      LastQueued(Time.now()) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  limitSilence(Socket);
}

SocketChannel::~SocketChannel() { close("abandoned"); }

void SocketChannel::start(Identity Peer, Role Own) {
  PeerIdentity = std::move(Peer);
  if (Own == Role::Node && PeerIdentity.ProcessRole == Role::Node) {
    Interval = NodeHeartbeatInterval;
    Silence = NodeSilenceTimeout;
  }
  LastReceived = Time.now();
  auto Self = shared_from_this();
  asio::co_spawn(
      Socket.get_executor(),
      [Self]() -> asio::awaitable<void> { co_await Self->writeLoop(); },
      asio::detached);
  Started = true;
  Heartbeats->add(Self);
}

asio::awaitable<void> SocketChannel::writeNow(MessageType Type,
                                              base::Bytes Payload) {
  FrameHeader Header = encodeFrameHeader(Type, 0, Payload.size());
  std::array<asio::const_buffer, 2> Buffers = {asio::buffer(Header),
                                               asio::buffer(Payload)};
  Sent += co_await asio::async_write(Socket, Buffers, asio::use_awaitable);
}

void SocketChannel::takeFrames() {
  base::ByteView Rest(Input);
  while (Rest.size() >= FrameHeaderBytes) {
    FrameHeader Raw{};
    std::copy_n(Rest.begin(), FrameHeaderBytes, Raw.begin());
    DecodedHeader Header = decodeFrameHeader(Raw);
    std::size_t FrameBytes = FrameHeaderBytes + Header.PayloadBytes;
    if (Rest.size() < FrameBytes) {
      Input.reserve(Input.size() - Rest.size() + FrameBytes);
      break;
    }
    base::ByteView Payload =
        Rest.subspan(FrameHeaderBytes, Header.PayloadBytes);
    if (Header.Type != MessageType::Heartbeat)
      ReceivedFrames.push_back({Header.Type, Header.Stream,
                                base::Bytes(Payload.begin(), Payload.end())});
    Received += FrameBytes;
    Rest = Rest.subspan(FrameBytes);
  }
  Input.erase(Input.begin(),
              Input.end() - static_cast<std::ptrdiff_t>(Rest.size()));
}

asio::awaitable<void> SocketChannel::readInput() {
  // An incomplete frame has reserved its size.
  std::size_t Filled = Input.size();
  std::size_t Room =
      std::clamp(Input.capacity() - Filled, MinReadBytes, MaxReadBytes);
  Input.resize(Filled + Room);
  auto Free = asio::buffer(Input) + Filled;
  boost::system::error_code Failure;
  std::size_t Count = co_await Socket.async_read_some(
      Free, asio::redirect_error(asio::use_awaitable, Failure));
  Input.resize(Filled + Count);
  if (Failure)
    throw boost::system::system_error(Failure);
  LastReceived = Time.now();
  takeFrames();
  HasIncompleteFrame = !Input.empty();
  // Releases the memory of a large frame.
  if (Input.empty() && Input.capacity() > MaxReadBytes)
    Input.shrink_to_fit();
}

asio::awaitable<Frame> SocketChannel::readFrame() {
  while (ReceivedFrames.empty())
    co_await readInput();
  Frame Next = std::move(ReceivedFrames.front());
  ReceivedFrames.pop_front();
  co_return Next;
}

asio::awaitable<void> SocketChannel::send(MessageType Type,
                                          std::uint64_t Stream,
                                          base::Bytes Payload) {
  auto Self = shared_from_this();
  while (Open && QueuedBytes > MaxQueuedBytes)
    co_await Drained.wait();
  if (!Open)
    throwClosed();
  post(Type, Stream, std::move(Payload));
}

void SocketChannel::post(MessageType Type, std::uint64_t Stream,
                         base::Bytes Payload) {
  if (!Open)
    return;
  FrameHeader Header = encodeFrameHeader(Type, Stream, Payload.size());
  QueuedBytes += FrameHeaderBytes + Payload.size();
  LastQueued = Time.now();
  Queue.push_back({Header, std::move(Payload), LastQueued});
  Queued.notifyAll();
}

asio::awaitable<Frame> SocketChannel::receive() {
  auto Self = shared_from_this();
  while (Open) {
    try {
      co_return co_await readFrame();
    } catch (const boost::system::system_error &Failure) {
      close(Failure.code() == asio::error::eof ? "closed by the peer"
                                               : Failure.code().message());
    } catch (const base::ProtocolError &Failure) {
      close(Failure.what());
    }
  }
  throwClosed();
}

void SocketChannel::close(const std::string &Reason) {
  if (!Open)
    return;
  Open = false;
  CloseReason = Reason;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
  Queued.notifyAll();
  Drained.notifyAll();
  if (Started)
    Heartbeats->channelClosed();
}

void SocketChannel::throwClosed() const {
  throw ChannelClosed(fmt::format("connection to '{}' ended: {}",
                                  PeerIdentity.Id, CloseReason));
}

asio::awaitable<void> SocketChannel::writeLoop() {
  std::vector<asio::const_buffer> Buffers;
  while (Open) {
    if (Queue.empty()) {
      co_await Queued.wait();
      continue;
    }
    Buffers.clear();
    std::size_t Count = std::min(Queue.size(), MaxGatheredFrames);
    for (std::size_t I = 0; I < Count; ++I) {
      Buffers.push_back(asio::buffer(Queue[I].Header));
      Buffers.push_back(asio::buffer(Queue[I].Payload));
    }
    std::size_t Written = 0;
    try {
      Written =
          co_await asio::async_write(Socket, Buffers, asio::use_awaitable);
      Sent += Written;
      QueuedBytes -= Written;
    } catch (const boost::system::system_error &Failure) {
      close(Failure.code().message());
      co_return;
    }
    base::Millis Waited = Time.now() - Queue.front().QueuedAt;
    if (Waited >= LoggedWriteWait)
      base::logger("protocol")
          ->info("frames waited to be written peer={} waited_ms={} frames={} "
                 "bytes={} queued_bytes={}",
                 PeerIdentity.Id, Waited.count(), Count, Written, QueuedBytes);
    Queue.erase(Queue.begin(),
                Queue.begin() + static_cast<std::ptrdiff_t>(Count));
    Drained.notifyAll();
  }
}

void SocketChannel::checkHeartbeat() {
  base::TimePoint Now = Time.now();
  if (Now - LastReceived >= Silence)
    close(fmt::format("no data for {} ms", Silence.count()));
  else if (Now - LastQueued >= Interval)
    post(MessageType::Heartbeat, 0, {});
}

} // namespace amaranth::protocol::detail
