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

/// A peer that could not be reached is not dialed again before this.
constexpr base::Millis RedialDelay = base::Millis(200);
constexpr base::Millis DialTimeout = base::Millis(500);

struct PendingCall {
  explicit PendingCall(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  base::Signal Changed;
  std::optional<base::Bytes> Reply;
  bool Lost = false;
};

/// One connection with the calls that wait on it.
struct Session {
  std::shared_ptr<protocol::Channel> Connection;
  std::uint64_t NextStream = 1;
  std::map<std::uint64_t, std::shared_ptr<PendingCall>> Calls;
};

/// One peer.
struct Link {
  explicit Link(const asio::any_io_executor &Executor) : Changed(Executor) {}

  std::shared_ptr<Session> Current;
  bool Dialing = false;
  base::TimePoint NextDial;
  std::string LastFailure;
  base::Signal Changed;
};

asio::awaitable<void> waitReply(std::shared_ptr<PendingCall> Call) {
  while (!Call->Reply && !Call->Lost)
    co_await Call->Changed.wait();
}

} // namespace

struct ChannelTransport::Impl : std::enable_shared_from_this<Impl> {
  Impl(protocol::Dialer &Dial, base::Clock &Time,
       const asio::any_io_executor &Executor)
      : Dial(Dial), Time(Time), Executor(Executor) {}

  asio::awaitable<std::shared_ptr<Session>> connect(std::shared_ptr<Link> To,
                                                    std::string Peer);

  protocol::Dialer &Dial;
  base::Clock &Time;
  asio::any_io_executor Executor;
  std::map<std::string, std::shared_ptr<Link>> Links;
};

ChannelTransport::ChannelTransport(protocol::Dialer &Dial, base::Clock &Time,
                                   const asio::any_io_executor &Executor)
    : Inner(std::make_shared<Impl>(Dial, Time, Executor)) {}

ChannelTransport::~ChannelTransport() {
  for (auto &[Peer, To] : Inner->Links)
    if (To->Current)
      To->Current->Connection->close("the transport ends");
}

/// Hands the replies to the calls until the connection ends.
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
    Call->Lost = true;
    Call->Changed.notifyAll();
  }
  From->Calls.clear();
}

asio::awaitable<std::shared_ptr<Session>>
ChannelTransport::Impl::connect(std::shared_ptr<Link> To, std::string Peer) {
  while (To->Dialing)
    co_await To->Changed.wait();
  if (To->Current && To->Current->Connection->isOpen())
    co_return To->Current;
  if (Time.now() < To->NextDial)
    throw protocol::ChannelClosed(To->LastFailure);
  std::optional<base::Address> Address = base::parseAddress(Peer);
  if (!Address)
    throw protocol::ChannelClosed("malformed replica address: " + Peer);
  To->Dialing = true;
  auto New = std::make_shared<Session>();
  try {
    New->Connection = co_await Dial.dial(*Address, DialTimeout);
  } catch (const std::exception &Error) {
    To->LastFailure = Error.what();
  }
  To->Dialing = false;
  To->Changed.notifyAll();
  if (!New->Connection) {
    To->NextDial = Time.now() + RedialDelay;
    throw protocol::ChannelClosed(To->LastFailure);
  }
  To->Current = New;
  asio::co_spawn(Executor, receiveReplies(New), asio::detached);
  co_return New;
}

asio::awaitable<base::Bytes> ChannelTransport::call(std::string Peer,
                                                    protocol::MessageType Type,
                                                    base::Bytes Request,
                                                    base::Millis Timeout) {
  std::shared_ptr<Impl> Keep = Inner;
  std::shared_ptr<Link> &Slot = Keep->Links[Peer];
  if (!Slot)
    Slot = std::make_shared<Link>(Keep->Executor);
  std::shared_ptr<Link> To = Slot;
  base::TimePoint End = Keep->Time.now() + Timeout;
  std::shared_ptr<Session> Over = co_await Keep->connect(To, Peer);
  std::uint64_t Stream = Over->NextStream++;
  auto Call = std::make_shared<PendingCall>(Keep->Executor);
  Over->Calls[Stream] = Call;
  // The number and size of calls is bounded by the replica, so the queue of
  // the connection needs no further bound here.
  Over->Connection->post(Type, Stream, std::move(Request));
  bool Finished = co_await base::withTimeout(Keep->Time, End - Keep->Time.now(),
                                             waitReply(Call));
  Over->Calls.erase(Stream);
  if (Finished && Call->Reply)
    co_return std::move(*Call->Reply);
  throw base::TimeoutError(Finished ? "connection to " + Peer + " was lost"
                                    : "no reply from " + Peer + " in time");
}

} // namespace amaranth::replication
