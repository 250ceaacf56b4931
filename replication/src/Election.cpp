#include "ReplicaCore.h"
#include "amaranth/base/Invariant.h"

namespace asio = boost::asio;

namespace amaranth::replication {

base::Millis ReplicaCore::randomTimeout() {
  std::uniform_int_distribution<std::int64_t> Distribution(
      Settings.ElectionTimeoutMin.count(), Settings.ElectionTimeoutMax.count());
  return base::Millis(Distribution(Random));
}

bool ReplicaCore::hasRecentLeader() const {
  if (CurrentRole == RaftRole::Leader)
    return true;
  return LastLeaderContact &&
         Time.now() - *LastLeaderContact < Settings.ElectionTimeoutMin;
}

asio::awaitable<void> ReplicaCore::electionLoop() {
  while (!Stopped) {
    if (CurrentRole == RaftRole::Leader) {
      co_await Time.sleepFor(Settings.HeartbeatInterval);
      // Check quorum: a leader without contact to a majority steps down, so
      // that it does not keep serving requests.
      if (CurrentRole == RaftRole::Leader &&
          Time.now() - lastMajorityContact() >= Settings.ElectionTimeoutMax) {
        Logger->warn(
            "no contact with a majority; stepping down id={:x} term={}", self(),
            term());
        becomeFollower();
      }
      repairMembers();
      continue;
    }
    base::Millis ElectionTimeout = randomTimeout();
    co_await Time.sleepUntil(std::max(ElectionTimerStart + ElectionTimeout,
                                      Time.now() + base::Millis(1)));
    if (Stopped || CurrentRole == RaftRole::Leader ||
        ElectionTimerStart + ElectionTimeout > Time.now())
      continue;
    ElectionTimerStart = Time.now();
    if (membership().isVoter(Identity.Id))
      co_await campaign();
  }
}

namespace {

/// Tally of one round of voting.
struct VoteCount {
  explicit VoteCount(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  /// The candidate's own vote.
  std::size_t Granted = 1;
  /// Requests without a reply so far.
  std::size_t Outstanding = 0;
  base::Signal Changed;
};

} // namespace

asio::awaitable<bool> ReplicaCore::collectVotes(bool PreVote,
                                                std::uint64_t ForTerm) {
  auto Votes = std::make_shared<VoteCount>(Executor);
  std::size_t Needed = membership().majority();
  std::uint64_t StartTerm = term();
  for (const Member &Each : membership().Members) {
    if (!Each.Voter || Each.Id == Identity.Id)
      continue;
    auto Request = makeRequest<wire::VoteRequestT>(Each.Id);
    Request.term = ForTerm;
    Request.last_index = Log.lastIndex();
    Request.last_term = Log.lastTerm();
    ++Votes->Outstanding;
    spawn([Self = shared_from_this(), Votes, PreVote, Address = Each.Address,
           Raw = encode(Request)]() -> asio::awaitable<void> {
      auto Type = PreVote ? protocol::MessageType::PreVoteRequest
                          : protocol::MessageType::VoteRequest;
      auto Reply =
          co_await Self->callPeer<wire::VoteReplyT>(Address, Type, Raw);
      --Votes->Outstanding;
      if (Reply && Reply->granted)
        ++Votes->Granted;
      Votes->Changed.notifyAll();
      if (Reply && !Self->Stopped)
        Self->observeTerm(Reply->term);
    });
  }
  while (Votes->Granted < Needed && Votes->Outstanding != 0 &&
         term() == StartTerm)
    co_await Votes->Changed.wait();
  co_return Votes->Granted >= Needed &&term() == StartTerm && !Stopped;
}

asio::awaitable<void> ReplicaCore::campaign() {
  // The pre-vote does not increment the term, so that a replica that cannot
  // win does not depose a working leader when it reconnects.
  bool PreVoteWon = co_await collectVotes(true, term() + 1);
  if (!PreVoteWon || hasRecentLeader())
    co_return;
  setVote(term() + 1, self());
  std::uint64_t CampaignTerm = term();
  CurrentRole = RaftRole::Candidate;
  Leader.reset();
  co_await waitUntilSynced(Disk, Disk.lastQueuedWrite());
  if (Stopped || term() != CampaignTerm || CurrentRole != RaftRole::Candidate)
    co_return;
  bool Won = co_await collectVotes(false, CampaignTerm);
  if (Stopped || term() != CampaignTerm || CurrentRole != RaftRole::Candidate)
    co_return;
  if (Won)
    becomeLeader();
  else
    CurrentRole = RaftRole::Follower;
}

} // namespace amaranth::replication
