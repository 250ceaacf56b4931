#include "amaranth/base/Signal.h"
#include "amaranth/base/Timeout.h"
#include "amaranth/replication/Transport.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <map>
#include <optional>

namespace asio = boost::asio;

namespace amaranth::replication {

namespace {

/// Minimum delay before a peer is dialed again after a failed attempt.
constexpr base::Millis RedialDelay = base::Millis(200);
constexpr base::Millis DialTimeout = base::Millis(500);

struct PendingCall {
  explicit PendingCall(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  base::Signal Changed;
  std::optional<base::Bytes> Reply;
  bool ConnectionLost = false;
};

/// An open connection and the calls that wait for replies on it.
struct Session {
  std::shared_ptr<protocol::Channel> Connection;
  std::uint64_t NextStream = 1;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> Calls;
};

/// Connection state of one peer.
struct PeerConnection {
  explicit PeerConnection(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  std::shared_ptr<Session> Current;
  bool Dialing = false;
  base::TimePoint NextDial;
  std::string LastFailure;
  base::Signal Changed;
};

asio::awaitable<void> waitForReply(std::shared_ptr<PendingCall> Call) {
  while (!Call->Reply && !Call->ConnectionLost)
    co_await Call->Changed.wait();
}

} // namespace

struct ChannelTransport::Impl : std::enable_shared_from_this<Impl> {
  Impl(protocol::Dialer &PeerDialer, base::Clock &Time,
       const asio::any_io_executor &Executor)
      : PeerDialer(PeerDialer), Time(Time), Executor(Executor) {}

  asio::awaitable<std::shared_ptr<Session>>
  connect(std::shared_ptr<PeerConnection> Target, std::string PeerAddress);

  protocol::Dialer &PeerDialer;
  base::Clock &Time;
  asio::any_io_executor Executor;
  std::map<std::string, std::shared_ptr<PeerConnection>> Connections;
};

ChannelTransport::ChannelTransport(protocol::Dialer &PeerDialer,
                                   base::Clock &Time,
                                   const asio::any_io_executor &Executor)
    : Inner(std::make_shared<Impl>(PeerDialer, Time, Executor)) {}

ChannelTransport::~ChannelTransport() {
  for (auto &[PeerAddress, Target] : Inner->Connections)
    if (Target->Current)
      Target->Current->Connection->close("transport stopping");
}

/// Delivers replies to the pending calls until the connection closes.
static asio::awaitable<void> receiveReplies(std::shared_ptr<Session> From) {
  try {
    for (;;) {
      protocol::Frame Reply = co_await From->Connection->receive();
      auto Found = From->Calls.find(Reply.Stream);
      if (Found == From->Calls.end())
        continue;
      Found->second->Reply = std::move(Reply.Payload);
      Found->second->Changed.notifyAll();
      From->Calls.erase(Found);
    }
  } catch (const std::exception &Error) {
    From->Connection->close(Error.what());
  }
  for (auto &[Stream, Call] : From->Calls) {
    Call->ConnectionLost = true;
    Call->Changed.notifyAll();
  }
  From->Calls.clear();
}

asio::awaitable<std::shared_ptr<Session>>
ChannelTransport::Impl::connect(std::shared_ptr<PeerConnection> Target,
                                std::string PeerAddress) {
  while (Target->Dialing)
    co_await Target->Changed.wait();
  if (Target->Current && Target->Current->Connection->isOpen())
    co_return Target->Current;
  if (Time.now() < Target->NextDial)
    throw protocol::ChannelClosed(Target->LastFailure);
  std::optional<base::Address> Address = base::parseAddress(PeerAddress);
  if (!Address)
    throw protocol::ChannelClosed("malformed replica address: " + PeerAddress);
  Target->Dialing = true;
  auto New = std::make_shared<Session>();
  try {
    New->Connection = co_await PeerDialer.dial(*Address, DialTimeout);
  } catch (const std::exception &Error) {
    Target->LastFailure = Error.what();
  }
  Target->Dialing = false;
  Target->Changed.notifyAll();
  if (!New->Connection) {
    Target->NextDial = Time.now() + RedialDelay;
    throw protocol::ChannelClosed(Target->LastFailure);
  }
  Target->Current = New;
  asio::co_spawn(Executor, receiveReplies(New), asio::detached);
  co_return New;
}

asio::awaitable<base::Bytes> ChannelTransport::call(std::string PeerAddress,
                                                    protocol::MessageType Type,
                                                    base::Bytes Request,
                                                    base::Millis Timeout) {
  std::shared_ptr<Impl> Self = Inner;
  std::shared_ptr<PeerConnection> &Entry = Self->Connections[PeerAddress];
  if (!Entry)
    Entry = std::make_shared<PeerConnection>(Self->Executor);
  std::shared_ptr<PeerConnection> Target = Entry;
  base::TimePoint Deadline = Self->Time.now() + Timeout;
  std::shared_ptr<Session> Active = co_await Self->connect(Target, PeerAddress);
  std::uint64_t Stream = Active->NextStream++;
  auto Call = std::make_shared<PendingCall>(Self->Executor);
  Active->Calls[Stream] = Call;
  // The replica limits the number and size of its calls, so the send queue of
  // the connection needs no limit here.
  Active->Connection->post(Type, Stream, std::move(Request));
  bool Finished = co_await base::withTimeout(
      Self->Time, Deadline - Self->Time.now(), waitForReply(Call));
  Active->Calls.erase(Stream);
  if (Finished && Call->Reply)
    co_return std::move(*Call->Reply);
  throw base::TimeoutError(Finished
                               ? "connection to " + PeerAddress + " was lost"
                               : "no reply from " + PeerAddress + " in time");
}

} // namespace amaranth::replication
