#include "amaranth/replication/Replica.h"

#include "ReplicaCore.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/Invariant.h"

#include <fmt/format.h>

#include <algorithm>

namespace asio = boost::asio;

namespace amaranth::replication {

namespace {

/// `staleness` of a replica that has never been up to date: one year.
constexpr base::Millis NeverUpToDate = base::Millis::seconds(365LL * 86'400);

} // namespace

std::size_t ReplicaSettings::maxLogMemoryBytes(std::size_t StateBytes) const {
  // Each part may exceed its limit by the entry that reaches it.
  std::size_t Entry = MaxCommandBytes + EntryOverheadBytes;
  std::size_t Applied = std::max(CompactBytes, StateBytes) + Entry;
  std::size_t Uncommitted = MaxQueuedBytes + Entry;
  return TrailingBytes + Applied + Uncommitted;
}

std::size_t ReplicaSettings::maxDiskBytes(std::size_t StateBytes) const {
  std::size_t Entry = MaxCommandBytes + EntryOverheadBytes;
  std::size_t Applied = std::max(CompactBytes, StateBytes) + Entry;
  // While a snapshot is being written, as much may be applied again. The first
  // and the last segment may contain entries that are not needed.
  std::size_t Segments = 2 * (LogSegmentBytes + Entry);
  return 2 * StateBytes + 2 * Applied + MaxQueuedBytes + Entry + Segments;
}

ReplicaCore::ReplicaCore(Storage &Disk, StateMachine &State, Transport &Net,
                         ReplicaSettings Options, base::Clock &Time,
                         const asio::any_io_executor &Executor)
    : Disk(Disk), State(State), Net(Net), Settings(std::move(Options)),
      Time(Time), Executor(Executor), Logger(base::logger("replication")),
      Random(Settings.Seed != 0 ? Settings.Seed : base::randomU64()),
      ElectionTimerStart(Time.now()), ReplicationNeeded(Executor),
      PeerProgress(Executor), Changed(Executor), StopRequested(Executor) {
  if (Settings.MaxCommandBytes > MaxEntryPayloadBytes)
    throw base::Error(fmt::format(
        "commands of {} bytes exceed the largest log entry, {} bytes",
        Settings.MaxCommandBytes, MaxEntryPayloadBytes));
  RecoveredState Found = Disk.recover();
  Identity = Found.Identity;
  Vote = Found.Vote;
  if (Identity.Cluster == 0 || Identity.Forming)
    keepInitialVoters();
  if (Found.Snapshot) {
    const StoredSnapshot &Base = *Found.Snapshot;
    Log = MemoryLog(Base.Index.value(), Base.IndexTerm.value());
    MembershipHistory.emplace_back(Log.baseIndex(),
                                   Membership::decode(Base.Membership));
    State.restore(Base.State);
    CommitIndex = SnapshotIndex = Log.baseIndex();
    SnapshotBytes = Base.State.size();
    CommitTime = Base.Time;
  }
  for (EntryRef &Entry : Found.Entries) {
    if (Entry->Kind == EntryKind::Membership)
      MembershipHistory.emplace_back(Entry->Index.value(),
                                     Membership::decode(Entry->Payload));
    Log.append(std::move(Entry));
  }
  DurableIndex = Log.lastIndex();
  // A crash may have left entries of a new term on disk before the vote file.
  if (Log.lastTerm() > term())
    Vote = {base::Term(Log.lastTerm()), base::ReplicaId()};
  Logger->info(
      "recovered from storage id={:x} cluster={:x} term={} first={} last={}",
      self(), Identity.Cluster, term(), Log.baseIndex() + 1, Log.lastIndex());
}

asio::awaitable<void> ReplicaCore::run() {
  auto Self = shared_from_this();
  spawn([Self]() { return Self->syncLoop(); });
  spawn([Self]() { return Self->electionLoop(); });
  spawn([Self]() { return Self->formationLoop(); });
  while (!Stopped)
    co_await StopRequested.wait();
  if (Failure)
    std::rethrow_exception(Failure);
}

void ReplicaCore::stop() {
  if (Stopped)
    return;
  Stopped = true;
  becomeFollower();
  for (auto &[Index, Each] : PendingProposals) {
    Each->Aborted = true;
    Each->Changed.notifyAll();
  }
  StopRequested.notifyAll();
}

void ReplicaCore::fail(std::exception_ptr Error) {
  if (!Failure)
    Failure = std::move(Error);
  stop();
}

asio::awaitable<void> ReplicaCore::syncLoop() {
  while (!Stopped) {
    if (std::exception_ptr Error = Disk.failure())
      std::rethrow_exception(Error);
    while (!PendingSyncs.empty() &&
           PendingSyncs.front().first <= Disk.lastSyncedWrite()) {
      DurableIndex = std::max(DurableIndex, PendingSyncs.front().second);
      PendingSyncs.pop_front();
    }
    if (CurrentRole == RaftRole::Leader)
      advanceCommit();
    co_await Disk.progress().wait();
  }
}

void ReplicaCore::setVote(std::uint64_t Term, std::uint64_t VotedFor) {
  AMARANTH_INVARIANT(Term >= term(), "the term of a replica never decreases");
  AMARANTH_INVARIANT(Term > term() || Vote.VotedFor.value() == 0 ||
                         Vote.VotedFor.value() == VotedFor,
                     "a replica votes once per term");
  Vote = {base::Term(Term), base::ReplicaId(VotedFor)};
  Disk.write(Vote);
}

void ReplicaCore::observeTerm(std::uint64_t Term) {
  if (Term <= term())
    return;
  setVote(Term, 0);
  becomeFollower();
}

void ReplicaCore::becomeFollower() {
  if (CurrentRole == RaftRole::Leader) {
    Logger->info("leadership ended id={:x} term={}", self(), term());
    UpToDateAt = lastMajorityContact();
    ElectionTimerStart = Time.now();
  }
  CurrentRole = RaftRole::Follower;
  Leader.reset();
  for (auto &[Id, Peer] : Peers)
    Peer->Cancelled = true;
  Peers.clear();
  ReplicationNeeded.notifyAll();
  PeerProgress.notifyAll();
  Changed.notifyAll();
}

void ReplicaCore::storeEntries(std::vector<EntryRef> Entries) {
  for (const EntryRef &Entry : Entries) {
    Log.append(Entry);
    if (Entry->Kind == EntryKind::Membership)
      MembershipHistory.emplace_back(Entry->Index.value(),
                                     Membership::decode(Entry->Payload));
  }
  std::uint64_t Number = Disk.write(AppendEntries{std::move(Entries)});
  PendingSyncs.emplace_back(Number, Log.lastIndex());
}

void ReplicaCore::truncateFrom(std::uint64_t Index) {
  AMARANTH_INVARIANT(Index > CommitIndex, "committed entries never change");
  AMARANTH_INVARIANT(CurrentRole != RaftRole::Leader,
                     "a leader never overwrites its log");
  Log.truncateFrom(Index);
  Disk.write(TruncateFrom{base::LogIndex(Index)});
  DurableIndex = std::min(DurableIndex, Index - 1);
  for (auto &[Number, Last] : PendingSyncs)
    Last = std::min(Last, Index - 1);
  while (!MembershipHistory.empty() && MembershipHistory.back().first >= Index)
    MembershipHistory.pop_back();
}

void ReplicaCore::commitTo(std::uint64_t Index) {
  if (Index <= CommitIndex)
    return;
  AMARANTH_INVARIANT(Index <= Log.lastIndex(),
                     "a committed entry is in the log");
  while (CommitIndex < Index) {
    applyEntry(*loadedEntry(CommitIndex + 1));
    if (isCompactionDue())
      compact();
  }
  updateStaleness();
  if (CurrentRole == RaftRole::Leader) {
    ReplicationNeeded.notifyAll();
    continueReplacement();
  }
  Changed.notifyAll();
}

EntryRef ReplicaCore::loadedEntry(std::uint64_t Index) {
  const EntryRef &Entry = Log.at(Index);
  return Entry->isLoaded() ? Entry : Disk.load(*Entry);
}

void ReplicaCore::applyEntry(const LogEntry &Entry) {
  AMARANTH_INVARIANT(Entry.Index.value() == CommitIndex + 1,
                     "entries are applied once and in order");
  AMARANTH_INVARIANT(Entry.Time >= CommitTime, "entry times never decrease");
  CommitIndex = Entry.Index.value();
  CommitTime = Entry.Time;
  base::Bytes Result;
  if (Entry.Kind == EntryKind::Command)
    Result =
        State.apply({Entry.Index, Entry.EntryTerm, Entry.Time, Entry.Payload});
  auto [Begin, End] = PendingProposals.equal_range(CommitIndex);
  for (auto It = Begin; It != End; ++It) {
    PendingProposal &Each = *It->second;
    if (Each.EntryTerm == Entry.EntryTerm.value())
      Each.Result = Result;
    else
      Each.Overwritten = true;
    Each.Changed.notifyAll();
  }
}

const Membership &ReplicaCore::membership() const {
  static const Membership None;
  return MembershipHistory.empty() ? None : MembershipHistory.back().second;
}

const Membership &ReplicaCore::committedMembership() const {
  static const Membership None;
  auto Found = std::find_if(
      MembershipHistory.rbegin(), MembershipHistory.rend(),
      [this](const auto &Each) { return Each.first <= CommitIndex; });
  return Found == MembershipHistory.rend() ? None : Found->second;
}

std::string ReplicaCore::addressOf(base::ReplicaId Id) const {
  const Member *Found = membership().find(Id);
  return Found ? Found->Address : std::string();
}

void ReplicaCore::updateStaleness() {
  if (!PendingUpToDate || CommitIndex < PendingUpToDate->second)
    return;
  UpToDateAt = std::max(UpToDateAt.value_or(PendingUpToDate->first),
                        PendingUpToDate->first);
  PendingUpToDate.reset();
}

base::Millis ReplicaCore::staleness() const {
  if (CurrentRole == RaftRole::Leader)
    return Time.now() - lastMajorityContact();
  return UpToDateAt ? Time.now() - *UpToDateAt : NeverUpToDate;
}

Replica::Replica(Storage &Disk, StateMachine &State, Transport &Net,
                 ReplicaSettings Settings, base::Clock &Time,
                 const asio::any_io_executor &Executor)
    : Core(std::make_shared<ReplicaCore>(Disk, State, Net, std::move(Settings),
                                         Time, Executor)) {}

Replica::~Replica() { Core->stop(); }

asio::awaitable<void> Replica::run() { return Core->run(); }
void Replica::stop() { Core->stop(); }
asio::awaitable<void>
Replica::serve(std::shared_ptr<protocol::Channel> Connection) {
  return Core->serve(std::move(Connection));
}
asio::awaitable<base::Bytes> Replica::handle(protocol::MessageType Type,
                                             base::Bytes Request) {
  return Core->handle(Type, std::move(Request));
}
void Replica::onMessage(MessageHandler Handler) {
  Core->OnMessage = std::move(Handler);
}
void Replica::setKnownPeers(std::vector<std::string> Peers) {
  Core->Settings.KnownPeers = std::move(Peers);
}
asio::awaitable<base::Bytes> Replica::propose(base::Bytes Command,
                                              base::Millis Timeout) {
  return Core->propose(std::move(Command), Timeout);
}
asio::awaitable<base::LogIndex> Replica::readIndex(base::Millis Timeout) {
  return Core->readIndex(Timeout);
}

static wire::MemberRequestT change(wire::MemberAction Action,
                                   base::ReplicaId Id) {
  wire::MemberRequestT Request;
  Request.action = Action;
  Request.subject = Id.value();
  return Request;
}

asio::awaitable<void> Replica::addLearner(base::ReplicaId Id,
                                          std::string Address,
                                          base::Millis Timeout) {
  wire::MemberRequestT Request = change(wire::MemberAction::AddLearner, Id);
  Request.subject_address = std::move(Address);
  return Core->changeMembers(std::move(Request), Timeout);
}
asio::awaitable<void> Replica::promote(base::ReplicaId Id,
                                       base::Millis Timeout) {
  return Core->changeMembers(change(wire::MemberAction::Promote, Id), Timeout);
}
asio::awaitable<void> Replica::remove(base::ReplicaId Id,
                                      base::Millis Timeout) {
  return Core->changeMembers(change(wire::MemberAction::Remove, Id), Timeout);
}
asio::awaitable<void> Replica::replaceVoter(base::ReplicaId Lost,
                                            base::ReplicaId Replacement,
                                            base::Millis Timeout) {
  wire::MemberRequestT Request =
      change(wire::MemberAction::ReplaceVoter, Replacement);
  Request.lost = Lost.value();
  return Core->changeMembers(std::move(Request), Timeout);
}

bool Replica::isLeader() const { return Core->CurrentRole == RaftRole::Leader; }
std::optional<base::ReplicaId> Replica::leader() const { return Core->Leader; }
base::ReplicaId Replica::self() const { return Core->Identity.Id; }
base::Term Replica::term() const { return Core->Vote.CurrentTerm; }
base::LogIndex Replica::appliedIndex() const {
  return base::LogIndex(Core->CommitIndex);
}
base::LogIndex Replica::commitIndex() const {
  return base::LogIndex(Core->CommitIndex);
}
base::Millis Replica::staleness() const { return Core->staleness(); }
base::Signal &Replica::changed() { return Core->Changed; }
void Replica::postToLeader(base::Bytes Message) {
  Core->postToLeader(std::move(Message));
}
std::uint64_t Replica::clusterId() const { return Core->Identity.Cluster; }
base::LogIndex Replica::firstLogIndex() const {
  return base::LogIndex(Core->Log.baseIndex() + 1);
}

std::size_t Replica::logMemoryBytes() const { return Core->Log.loadedBytes(); }

std::vector<MemberStatus> Replica::members() const {
  std::vector<MemberStatus> Result;
  for (const Member &Each : Core->committedMembership().Members) {
    MemberStatus Status;
    Status.Id = Each.Id;
    Status.Address = Each.Address;
    Status.Voter = Each.Voter;
    if (Each.Id == self())
      Status.MatchIndex = base::LogIndex(Core->DurableIndex);
    auto Found = Core->Peers.find(Each.Id);
    if (Found != Core->Peers.end()) {
      Status.MatchIndex = base::LogIndex(Found->second->MatchIndex);
      if (Found->second->HasReplied)
        Status.SinceHeard = Core->Time.now() - Found->second->LastAckedSendTime;
    }
    Result.push_back(std::move(Status));
  }
  return Result;
}

} // namespace amaranth::replication
