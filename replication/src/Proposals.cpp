#include "ReplicaCore.h"
#include "amaranth/base/Invariant.h"
#include "amaranth/base/Timeout.h"

#include <fmt/format.h>

namespace asio = boost::asio;

namespace amaranth::replication {

namespace {

/// Messages of `postToLeader` under way; further ones are dropped.
constexpr std::size_t MaxPostsInFlight = 64;

asio::awaitable<void> untilDecided(std::shared_ptr<Waiter> Each) {
  while (!Each->Result && !Each->Replaced && !Each->Aborted)
    co_await Each->Changed.wait();
}

/// Counts the bytes of one waiting command for as long as it lives.
class ByteCount {
public:
  ByteCount(std::size_t &Total, std::size_t Size) : Total(Total), Size(Size) {
    Total += Size;
  }
  ~ByteCount() { Total -= Size; }
  ByteCount(const ByteCount &) = delete;
  ByteCount &operator=(const ByteCount &) = delete;

private:
  std::size_t &Total;
  std::size_t Size;
};

void throwOutcome(wire::Outcome Outcome, const std::string &Message) {
  if (Outcome == wire::Outcome::NotLeader)
    throw NotLeader(Message);
  if (Outcome == wire::Outcome::Unknown)
    throw base::TimeoutError(Message);
  if (Outcome == wire::Outcome::Refused)
    throw Refused(Message);
}

} // namespace

std::string ReplicaCore::leaderAddress() const {
  std::string Address = Leader ? addressOf(*Leader) : std::string();
  if (Address.empty())
    throw NotLeader("no leader is known");
  return Address;
}

asio::awaitable<base::Bytes> ReplicaCore::propose(base::Bytes Command,
                                                  base::Millis Timeout) {
  auto Keep = shared_from_this();
  if (Command.size() > Settings.MaxCommandBytes)
    throw Refused(fmt::format("a command of {} bytes exceeds the limit of {}",
                              Command.size(), Settings.MaxCommandBytes));
  if (Leading == Mode::Leader)
    co_return co_await proposeHere(std::move(Command), Timeout);
  std::string Address = leaderAddress();
  auto Request = request<wire::ProposeRequestT>(*Leader);
  Request.timeout_ms = Timeout.count();
  Request.command = std::move(Command);
  base::Bytes Raw = encode(Request);
  std::string Unreachable;
  try {
    Raw = co_await Net.call(Address, protocol::MessageType::ProposeRequest,
                            std::move(Raw), Timeout);
  } catch (const protocol::ChannelClosed &Error) {
    Unreachable = Error.what();
  }
  if (!Unreachable.empty())
    throw NotLeader("the leader cannot be reached: " + Unreachable);
  if (Raw.empty())
    throw NotLeader("the leader's address belongs to another replica");
  auto Reply = decode<wire::ProposeReplyT>(Raw);
  throwOutcome(Reply.outcome, Reply.message);
  co_return std::move(Reply.result);
}

asio::awaitable<base::Bytes> ReplicaCore::proposeHere(base::Bytes Command,
                                                      base::Millis Timeout) {
  if (Stopped || Leading != Mode::Leader)
    throw NotLeader("this replica is not the leader");
  if (Command.size() > Settings.MaxCommandBytes)
    throw Refused("the command is too large");
  if (Waiters.size() >= Settings.MaxQueuedCommands ||
      QueuedBytes + Command.size() > Settings.MaxQueuedBytes)
    throw NotLeader("overloaded: too many commands wait for their commit");
  ByteCount Counted(QueuedBytes, Command.size());
  std::uint64_t Index = appendLocal(EntryKind::Command, std::move(Command));
  co_return co_await awaitEntry(Index, Timeout);
}

asio::awaitable<base::Bytes> ReplicaCore::awaitEntry(std::uint64_t Index,
                                                     base::Millis Timeout) {
  auto Mine = std::make_shared<Waiter>(Executor);
  Mine->EntryTerm = term();
  auto Place = Waiters.emplace(Index, Mine);
  co_await base::withTimeout(Time, Timeout, untilDecided(Mine));
  Waiters.erase(Place);
  if (Mine->Result)
    co_return std::move(*Mine->Result);
  if (Mine->Replaced)
    throw NotLeader("the leader changed before the entry was committed");
  throw base::TimeoutError(
      "the entry was not committed in time; it may be applied later");
}

asio::awaitable<std::uint64_t> ReplicaCore::confirmRead() {
  std::uint64_t Mine = term();
  // Before an entry of its own term, the commit index may be too low.
  while (leads(Mine) && Commit < TermStart)
    co_await Changed.wait();
  std::uint64_t Index = Commit;
  std::uint64_t Round = ++ReadRound;
  Work.notifyAll();
  while (leads(Mine) && !roundAcked(Round))
    co_await Quorum.wait();
  if (!leads(Mine))
    throw NotLeader("the leadership ended during the read");
  AMARANTH_INVARIANT(Index <= Commit, "the commit index never falls");
  co_return Index;
}

asio::awaitable<std::uint64_t> ReplicaCore::readHere(base::Millis Timeout) {
  if (Stopped || Leading != Mode::Leader)
    throw NotLeader("this replica is not the leader");
  auto Index = co_await base::withTimeout(Time, Timeout, confirmRead());
  if (!Index)
    throw base::TimeoutError("no majority confirmed the read in time");
  co_return *Index;
}

asio::awaitable<std::uint64_t> ReplicaCore::readAtLeader(base::Millis Timeout) {
  std::string Address = leaderAddress();
  auto Request = request<wire::ReadIndexRequestT>(*Leader);
  Request.timeout_ms = Timeout.count();
  base::Bytes Raw = encode(Request);
  std::string Unreachable;
  try {
    Raw = co_await Net.call(Address, protocol::MessageType::ReadIndexRequest,
                            std::move(Raw), Timeout);
  } catch (const protocol::ChannelClosed &Error) {
    Unreachable = Error.what();
  }
  if (!Unreachable.empty() || Raw.empty())
    throw NotLeader("the leader cannot be reached: " + Unreachable);
  auto Reply = decode<wire::ReadIndexReplyT>(Raw);
  throwOutcome(Reply.outcome, Reply.message);
  co_return Reply.index;
}

asio::awaitable<void> ReplicaCore::untilApplied(std::uint64_t Index) {
  while (Commit < Index && !Stopped)
    co_await Changed.wait();
}

asio::awaitable<base::LogIndex> ReplicaCore::readIndex(base::Millis Timeout) {
  auto Keep = shared_from_this();
  base::TimePoint End = Time.now() + Timeout;
  std::uint64_t Index = 0;
  if (Leading == Mode::Leader)
    Index = co_await readHere(Timeout);
  else
    Index = co_await readAtLeader(Timeout);
  co_await base::withTimeout(Time, End - Time.now(), untilApplied(Index));
  if (Commit < Index)
    throw base::TimeoutError(fmt::format(
        "entry {} was not applied here in time; at {}", Index, Commit));
  co_return base::LogIndex(Commit);
}

asio::awaitable<base::Bytes>
ReplicaCore::onPropose(wire::ProposeRequestT Request) {
  if (!admit(Request))
    co_return base::Bytes();
  wire::ProposeReplyT Reply;
  try {
    Reply.result = co_await proposeHere(std::move(Request.command),
                                        base::Millis(Request.timeout_ms));
  } catch (const NotLeader &Error) {
    Reply.outcome = wire::Outcome::NotLeader;
    Reply.message = Error.what();
  } catch (const base::TimeoutError &Error) {
    Reply.outcome = wire::Outcome::Unknown;
    Reply.message = Error.what();
  } catch (const Refused &Error) {
    Reply.outcome = wire::Outcome::Refused;
    Reply.message = Error.what();
  }
  co_return encode(Reply);
}

asio::awaitable<base::Bytes>
ReplicaCore::onRead(wire::ReadIndexRequestT Request) {
  if (!admit(Request))
    co_return base::Bytes();
  wire::ReadIndexReplyT Reply;
  try {
    Reply.index = co_await readHere(base::Millis(Request.timeout_ms));
  } catch (const NotLeader &Error) {
    Reply.outcome = wire::Outcome::NotLeader;
    Reply.message = Error.what();
  } catch (const base::TimeoutError &Error) {
    Reply.outcome = wire::Outcome::Unknown;
    Reply.message = Error.what();
  }
  co_return encode(Reply);
}

void ReplicaCore::postToLeader(base::Bytes Message) {
  if (Stopped || !Leader)
    return;
  if (Leading == Mode::Leader) {
    if (OnMessage)
      OnMessage(Identity.Id, Message);
    return;
  }
  std::string Address = addressOf(*Leader);
  if (Address.empty() || PostsInFlight >= MaxPostsInFlight)
    return;
  auto Request = request<wire::PostT>(*Leader);
  Request.message = std::move(Message);
  ++PostsInFlight;
  spawn([Keep = shared_from_this(), Address,
         Raw = encode(Request)]() -> asio::awaitable<void> {
    try {
      co_await Keep->Net.call(Address, protocol::MessageType::NodesAlive, Raw,
                              Keep->Settings.CallTimeout);
    } catch (const base::Error &Error) {
      Keep->Logger->debug("message to the leader lost error=\"{}\"",
                          Error.what());
    }
    --Keep->PostsInFlight;
  });
}

} // namespace amaranth::replication
