#include "ReplicaCore.h"
#include "amaranth/base/Invariant.h"

namespace asio = boost::asio;

namespace amaranth::replication {

base::Millis ReplicaCore::randomTimeout() {
  std::uniform_int_distribution<std::int64_t> Span(
      Settings.ElectionTimeoutMin.count(), Settings.ElectionTimeoutMax.count());
  return base::Millis(Span(Random));
}

bool ReplicaCore::leaderIsRecent() const {
  if (Leading == Mode::Leader)
    return true;
  return LeaderHeard && Time.now() - *LeaderHeard < Settings.ElectionTimeoutMin;
}

asio::awaitable<void> ReplicaCore::electionLoop() {
  while (!Stopped) {
    if (Leading == Mode::Leader) {
      co_await Time.sleepFor(Settings.HeartbeatInterval);
      // A leader that lost its majority must not go on answering.
      if (Leading == Mode::Leader &&
          Time.now() - majorityHeard() >= Settings.ElectionTimeoutMax) {
        Logger->warn("no majority heard, stepping down id={:x} term={}", self(),
                     term());
        becomeFollower();
      }
      repairMembers();
      continue;
    }
    base::Millis Span = randomTimeout();
    co_await Time.sleepUntil(
        std::max(ElectionBase + Span, Time.now() + base::Millis(1)));
    if (Stopped || Leading == Mode::Leader || ElectionBase + Span > Time.now())
      continue;
    ElectionBase = Time.now();
    if (membership().isVoter(Identity.Id))
      co_await campaign();
  }
}

namespace {

/// Counts the answers of one round.
struct Ballot {
  explicit Ballot(const asio::any_io_executor &Executor) : Changed(Executor) {}

  /// The candidate's own vote.
  std::size_t Granted = 1;
  std::size_t Open = 0;
  base::Signal Changed;
};

} // namespace

asio::awaitable<bool> ReplicaCore::collectVotes(bool Pre,
                                                std::uint64_t ForTerm) {
  auto Count = std::make_shared<Ballot>(Executor);
  std::size_t Needed = membership().majority();
  std::uint64_t Before = term();
  for (const Member &Each : membership().Members) {
    if (!Each.Voter || Each.Id == Identity.Id)
      continue;
    auto Request = request<wire::VoteRequestT>(Each.Id);
    Request.term = ForTerm;
    Request.last_index = Log.last();
    Request.last_term = Log.lastTerm();
    ++Count->Open;
    spawn([Keep = shared_from_this(), Count, Pre, Address = Each.Address,
           Raw = encode(Request)]() -> asio::awaitable<void> {
      auto Type = Pre ? protocol::MessageType::PreVoteRequest
                      : protocol::MessageType::VoteRequest;
      auto Reply = co_await Keep->ask<wire::VoteReplyT>(Address, Type, Raw);
      --Count->Open;
      if (Reply && Reply->granted)
        ++Count->Granted;
      Count->Changed.notifyAll();
      if (Reply && !Keep->Stopped)
        Keep->observeTerm(Reply->term);
    });
  }
  while (Count->Granted < Needed && Count->Open != 0 && term() == Before)
    co_await Count->Changed.wait();
  co_return Count->Granted >= Needed &&term() == Before && !Stopped;
}

asio::awaitable<void> ReplicaCore::campaign() {
  // The first round changes no term, so that a replica that cannot win does
  // not depose a working leader when it comes back.
  bool Likely = co_await collectVotes(true, term() + 1);
  if (!Likely || leaderIsRecent())
    co_return;
  setVote(term() + 1, self());
  std::uint64_t Mine = term();
  Leading = Mode::Candidate;
  Leader.reset();
  co_await waitSynced(Disk, Disk.written());
  if (Stopped || term() != Mine || Leading != Mode::Candidate)
    co_return;
  bool Won = co_await collectVotes(false, Mine);
  if (Stopped || term() != Mine || Leading != Mode::Candidate)
    co_return;
  if (Won)
    becomeLeader();
  else
    Leading = Mode::Follower;
}

} // namespace amaranth::replication
