#include "ReplicaCore.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

#include <algorithm>
#include <set>

namespace asio = boost::asio;

namespace amaranth::replication {

// Cluster formation. The initial voter with the lowest address chooses the
// cluster id. It does so only after all initial voters have answered that they
// belong to no cluster, and it writes the first entry only after all of them
// have stored the id. From then on, each of them prevents another formation, so
// that a lost disk cannot lead to a second cluster.

asio::awaitable<void> ReplicaCore::formationLoop() {
  while (!Stopped) {
    if (MembershipHistory.empty() || isWithoutLeader())
      co_await formOrJoin();
    co_await Time.sleepFor(Settings.HeartbeatInterval * 2);
  }
}

void ReplicaCore::keepInitialVoters() {
  if (Settings.InitialVoters.empty()) {
    Settings.InitialVoters = Identity.InitialVoters;
    return;
  }
  if (Identity.InitialVoters == Settings.InitialVoters)
    return;
  Identity.InitialVoters = Settings.InitialVoters;
  Disk.write(Identity);
}

bool ReplicaCore::isWithoutLeader() const {
  // This learner may have been removed while it was down, or may have been
  // replaced by a delayed join request of a previous process at this address.
  return CurrentRole != RaftRole::Leader &&
         Time.now() - LastLeaderContact.value_or(base::TimePoint()) >
             Settings.ElectionTimeoutMax * 3;
}

namespace {

/// Replies to `Identify` requests that were sent at the same time.
struct Identification {
  explicit Identification(const asio::any_io_executor &Executor)
      : Changed(Executor) {}

  /// By address.
  std::map<std::string, wire::MemberReplyT> Replies;
  /// Requests without a reply so far.
  std::size_t Outstanding = 0;
  bool LeaderFound = false;
  base::Signal Changed;
};

} // namespace

asio::awaitable<std::map<std::string, wire::MemberReplyT>>
ReplicaCore::identify(std::set<std::string> Addresses) {
  auto Found = std::make_shared<Identification>(Executor);
  wire::MemberRequestT Identify;
  Identify.from = self();
  for (const std::string &Address : Addresses) {
    ++Found->Outstanding;
    spawn([Self = shared_from_this(), Found, Address,
           Raw = encode(Identify)]() -> asio::awaitable<void> {
      auto Reply = co_await Self->callPeer<wire::MemberReplyT>(
          Address, protocol::MessageType::MemberRequest, Raw);
      --Found->Outstanding;
      if (Reply) {
        Found->LeaderFound |= Reply->formed && !Reply->leader_address.empty();
        Found->Replies.emplace(Address, std::move(*Reply));
      }
      Found->Changed.notifyAll();
    });
  }
  while (Found->Outstanding != 0 && !Found->LeaderFound && !Stopped)
    co_await Found->Changed.wait();
  co_return Found->Replies;
}

asio::awaitable<void> ReplicaCore::formOrJoin() {
  const std::vector<std::string> &Voters = Settings.InitialVoters;
  std::set<std::string> Known(Voters.begin(), Voters.end());
  Known.insert(Settings.KnownPeers.begin(), Settings.KnownPeers.end());
  // A member that was removed while it was cut off may find that all processes
  // of its settings were replaced meanwhile.
  for (const Member &Each : membership().Members)
    Known.insert(Each.Address);
  Known.erase(Settings.Address);
  auto Replies = co_await identify(std::move(Known));
  if (Stopped)
    co_return;
  // A process that names a leader is more likely to be a member itself.
  std::optional<std::string> Contact;
  std::map<std::string, std::uint64_t> FormableIds;
  FormableIds[Settings.Address] = self();
  for (const auto &[Address, Reply] : Replies) {
    if (Reply.formed && (!Contact || !Reply.leader_address.empty()))
      Contact = Address;
    if (Reply.cluster == 0 || Reply.cluster == Identity.Cluster)
      FormableIds[Address] = Reply.id;
  }
  if (Contact) {
    co_await joinCluster(*Contact, Replies.at(*Contact));
    co_return;
  }
  bool IsCoordinator =
      !Voters.empty() &&
      *std::min_element(Voters.begin(), Voters.end()) == Settings.Address;
  bool AllAnswered = std::all_of(Voters.begin(), Voters.end(),
                                 [&FormableIds](const std::string &Address) {
                                   return FormableIds.contains(Address);
                                 });
  // A replica with a cluster id that it did not choose itself already belongs
  // to a cluster and must not form one.
  if (MembershipHistory.empty() && IsCoordinator && AllAnswered &&
      (Identity.Cluster == 0 || Identity.Forming))
    co_await formCluster(std::move(FormableIds));
}

asio::awaitable<void> ReplicaCore::joinCluster(std::string ContactAddress,
                                               wire::MemberReplyT Found) {
  if (Identity.Cluster != 0 && Identity.Cluster != Found.cluster)
    co_return;
  wire::MemberRequestT Request;
  Request.cluster = Found.cluster;
  Request.from = self();
  Request.action = wire::MemberAction::Join;
  Request.subject = self();
  Request.subject_address = Settings.Address;
  if (!Found.leader_address.empty())
    ContactAddress = Found.leader_address;
  base::Bytes Raw = encode(Request);
  auto Reply = co_await callPeer<wire::MemberReplyT>(
      ContactAddress, protocol::MessageType::MemberRequest, std::move(Raw));
  if (Reply && Reply->outcome == wire::Outcome::Refused)
    Logger->warn("the leader rejected the join request reason=\"{}\"",
                 Reply->message);
}

asio::awaitable<void>
ReplicaCore::formCluster(std::map<std::string, std::uint64_t> Ids) {
  while (Identity.Cluster == 0)
    Identity.Cluster = base::randomU64();
  Identity.Forming = true;
  co_await waitUntilSynced(Disk, Disk.write(Identity));
  Membership InitialMembership;
  for (const std::string &Address : Settings.InitialVoters) {
    base::ReplicaId Id(Ids.at(Address));
    InitialMembership.Members.push_back({Id, Address, true});
    if (Id == Identity.Id)
      continue;
    auto Request = makeRequest<wire::MemberRequestT>(Id);
    Request.action = wire::MemberAction::AdoptCluster;
    base::Bytes Raw = encode(Request);
    auto Reply = co_await callPeer<wire::MemberReplyT>(
        Address, protocol::MessageType::MemberRequest, std::move(Raw));
    if (!Reply || Reply->outcome != wire::Outcome::Done || Stopped)
      co_return;
  }
  if (!MembershipHistory.empty())
    co_return;
  AMARANTH_INVARIANT(Log.lastIndex() == 0,
                     "a cluster is formed on an empty log");
  auto Entry = std::make_shared<LogEntry>();
  Entry->Index = base::LogIndex(1);
  Entry->EntryTerm = base::Term(1);
  Entry->Time = Time.wallNow();
  Entry->Kind = EntryKind::Membership;
  Entry->Payload = InitialMembership.encode();
  if (term() == 0)
    setVote(1, 0);
  storeEntries({Entry});
  Identity.Forming = false;
  co_await waitUntilSynced(Disk, Disk.write(Identity));
  Logger->info("cluster formed cluster={:x} voters={}", Identity.Cluster,
               InitialMembership.voterCount());
}

asio::awaitable<base::Bytes>
ReplicaCore::onAdopt(wire::MemberRequestT Request) {
  bool CanAdopt =
      MembershipHistory.empty() && Log.lastIndex() == 0 && !Identity.Forming &&
      (Identity.Cluster == 0 || Identity.Cluster == Request.cluster);
  if (Request.to != self() || Request.cluster == 0 || !CanAdopt)
    co_return base::Bytes();
  if (Identity.Cluster == 0) {
    Identity.Cluster = Request.cluster;
    Disk.write(Identity);
  }
  wire::MemberReplyT Reply;
  Reply.id = self();
  Reply.cluster = Identity.Cluster;
  co_await waitUntilSynced(Disk, Disk.lastQueuedWrite());
  co_return encode(Reply);
}

} // namespace amaranth::replication
