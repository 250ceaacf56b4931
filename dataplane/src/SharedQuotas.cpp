#include "amaranth/dataplane/SharedQuotas.h"

#include "amaranth/base/Digest.h"
#include "amaranth/base/Log.h"
#include "amaranth/dataplane/QuotaNode.h"

#include <boost/asio/post.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include <algorithm>
#include <map>
#include <optional>

namespace asio = boost::asio;

namespace amaranth::dataplane {

namespace {

/// Endpoints change several times a second in a large fleet, and choosing the
/// groups of all shards anew costs milliseconds there.
constexpr base::Millis MembersInterval = base::Millis(500);
/// Finds nodes that have not been live for long.
constexpr base::Millis MembersCheckInterval = base::Millis::seconds(10);
constexpr base::Millis MetricsInterval = base::Millis(1000);
constexpr base::Millis LogInterval = base::Millis(1000);

/// Renews a counter from a total.
class TotalCounter {
public:
  TotalCounter(prometheus::Family<prometheus::Counter> &Family,
               const std::string &Label, const std::string &Value)
      : Count(Family.Add(Label.empty() ? prometheus::Labels()
                                       : prometheus::Labels{{Label, Value}})) {}

  void set(std::uint64_t NewTotal) {
    Count.Increment(static_cast<double>(NewTotal - Total));
    Total = NewTotal;
  }

private:
  prometheus::Counter &Count;
  std::uint64_t Total = 0;
};

prometheus::Family<prometheus::Counter> &
counters(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

prometheus::Gauge &gauge(prometheus::Registry &Registry, const char *Name,
                         const char *Help) {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

class QuotaMetrics {
public:
  explicit QuotaMetrics(prometheus::Registry &Registry)
      : Requests(counters(Registry, "amaranth_quota_requests_total",
                          "Requests of customers with a limit, by result")),
        Granted(counters(Registry, "amaranth_quota_tokens_total",
                         "Tokens that this node was granted, by source")),
        Asks(counters(Registry, "amaranth_quota_asks_total",
                      "Asks for tokens sent to other nodes, by receiver")),
        Admitted(Requests, "result", "admitted"),
        Refused(Requests, "result", "refused"),
        FromOwner(Granted, "source", "owner"),
        FromReserve(Granted, "source", "reserve"), ToOwner(Asks, "to", "owner"),
        ToDeputy(Asks, "to", "deputy"),
        Timeouts(counters(Registry, "amaranth_quota_timeouts_total",
                          "Asks for tokens without an answer in time"),
                 "", ""),
        Tokens(gauge(Registry, "amaranth_quota_tokens_outstanding",
                     "Tokens that this node holds for its callers")),
        Owned(gauge(Registry, "amaranth_quota_owned_shards",
                    "Shards of customers' limits that this node owns")) {}

  void set(const QuotaCounts &Counts) {
    Admitted.set(Counts.Admitted);
    Refused.set(Counts.Refused);
    FromOwner.set(Counts.GrantedOwner);
    FromReserve.set(Counts.GrantedReserve);
    ToOwner.set(Counts.AsksOwner);
    ToDeputy.set(Counts.AsksDeputy);
    Timeouts.set(Counts.Timeouts);
    Tokens.Set(static_cast<double>(Counts.Tokens));
    Owned.Set(static_cast<double>(Counts.Owned));
  }

private:
  prometheus::Family<prometheus::Counter> &Requests;
  prometheus::Family<prometheus::Counter> &Granted;
  prometheus::Family<prometheus::Counter> &Asks;
  TotalCounter Admitted;
  TotalCounter Refused;
  TotalCounter FromOwner;
  TotalCounter FromReserve;
  TotalCounter ToOwner;
  TotalCounter ToDeputy;
  TotalCounter Timeouts;
  prometheus::Gauge &Tokens;
  prometheus::Gauge &Owned;
};

/// The nodes of a snapshot. A node is live if one of its endpoints is.
std::vector<QuotaMember> membersOf(const document::MeshSnapshot &Mesh) {
  std::map<base::NodeId, QuotaMember> Nodes;
  for (const auto &[Id, Entry] : Mesh.Endpoints) {
    bool Live = Entry.State == document::EndpointState::Ready ||
                Entry.State == document::EndpointState::Starting;
    auto [Found, Added] =
        Nodes.try_emplace(Entry.Node, QuotaMember{Entry.Node, Entry.NodeAddress,
                                                  Entry.Zone, Live});
    if (!Added && Live)
      Found->second = {Entry.Node, Entry.NodeAddress, Entry.Zone, true};
  }
  std::vector<QuotaMember> Result;
  Result.reserve(Nodes.size());
  for (auto &[Id, Member] : Nodes)
    Result.push_back(std::move(Member));
  return Result;
}

} // namespace

struct SharedQuotas::Impl : std::enable_shared_from_this<SharedQuotas::Impl> {
  struct Pending {
    explicit Pending(const asio::any_io_executor &Executor)
        : Decided(Executor) {}

    base::Signal Decided;
    std::optional<Verdict> Result;
  };
  struct RefusalLog {
    base::TimePoint LoggedAt;
    std::uint64_t Refused = 0;
  };

  Impl(const asio::any_io_executor &Executor, base::NodeId Self,
       base::Clock &Time, follower::SnapshotSource &Snapshots, PeerPool &Peers,
       prometheus::Registry &Registry, std::function<bool()> InContact,
       std::uint64_t Seed)
      : Executor(Executor), Time(Time), Snapshots(Snapshots), Peers(Peers),
        InContact(std::move(InContact)), Counters(Registry), Wake(Executor),
        // Wall time orders the sequences of two processes of one node.
        Node(std::move(Self), Seed,
             static_cast<std::uint64_t>(Time.wallNow().count()) << 16U,
             Time.now()) {}

  QuotaTime time() const { return {Time.now(), Time.bootNow()}; }
  void followSnapshot();
  void flush();
  void deliverDecisions();
  void scheduleFlush();
  void logRefusal(const document::Customer &Sender, base::Millis RetryAfter);

  asio::any_io_executor Executor;
  base::Clock &Time;
  follower::SnapshotSource &Snapshots;
  PeerPool &Peers;
  std::function<bool()> InContact;
  QuotaMetrics Counters;
  base::Signal Wake;
  QuotaNode Node;
  std::shared_ptr<const document::MeshSnapshot> Applied;
  /// Whether a customer of `Applied` has a limit.
  bool HasLimits = false;
  std::optional<decltype(document::MeshSnapshot::Endpoints)> Endpoints;
  base::TimePoint MembersAt;
  base::TimePoint MetricsAt;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Waiting;
  std::map<base::CustomerName, RefusalLog> Refusals;
  bool FlushScheduled = false;
};

void SharedQuotas::Impl::followSnapshot() {
  auto Current = Snapshots.current();
  if (!Current)
    return;
  base::TimePoint Now = Time.now();
  bool SameCustomers =
      Applied && Applied->Customers.sharesWith(Current->Customers);
  if (!SameCustomers)
    HasLimits = std::ranges::any_of(Current->Customers, [](const auto &Each) {
      return Each.second.RequestsPerSecond > 0;
    });
  // The members first, so that new customers find their groups.
  bool Changed = !Endpoints || !Endpoints->sharesWith(Current->Endpoints);
  if (HasLimits &&
      (!Endpoints || (Changed && Now - MembersAt >= MembersInterval) ||
       Now - MembersAt >= MembersCheckInterval)) {
    Endpoints = Current->Endpoints;
    MembersAt = Now;
    Node.setMembers(membersOf(*Current), Now);
  }
  Applied = std::move(Current);
  if (SameCustomers)
    return;
  std::vector<document::Customer> Customers;
  for (const auto &[Name, Customer] : Applied->Customers)
    Customers.push_back(Customer);
  Node.setCustomers(Customers, Now);
  std::erase_if(Refusals, [&](const auto &Entry) {
    return !Applied->Customers.contains(Entry.first);
  });
}

void SharedQuotas::Impl::flush() {
  for (QuotaNode::Outgoing &Each : Node.takeMessages())
    Peers.post(Each.Address, protocol::MessageType::QuotaRequest,
               encode(Each.Message));
}

void SharedQuotas::Impl::scheduleFlush() {
  if (std::exchange(FlushScheduled, true))
    return;
  // Requests that are handled in the same turn of the event loop share a
  // message to the same owner.
  asio::post(Executor, [Keep = shared_from_this()] {
    Keep->FlushScheduled = false;
    Keep->flush();
  });
}

void SharedQuotas::Impl::deliverDecisions() {
  for (const QuotaNode::Decision &Each : Node.takeDecisions()) {
    auto Found = Waiting.find(Each.Request);
    if (Found == Waiting.end())
      continue;
    Found->second->Result = Each.Verdict;
    Found->second->Decided.notifyAll();
    Waiting.erase(Found);
  }
}

void SharedQuotas::Impl::logRefusal(const document::Customer &Sender,
                                    base::Millis RetryAfter) {
  base::TimePoint Now = Time.now();
  auto [Found, Added] = Refusals.try_emplace(Sender.Name);
  RefusalLog &Log = Found->second;
  ++Log.Refused;
  if (!Added && Now - Log.LoggedAt < LogInterval)
    return;
  auto Known = Node.state(Sender.Name, Now);
  base::logger("quota")->info(
      "customer exceeds its limit customer={} limit={} burst={} refused={} "
      "tokens={} tokens_age_ms={} waiting={} retry_after_ms={}",
      Sender.Name.value(), Sender.RequestsPerSecond, Sender.Burst, Log.Refused,
      Known.Tokens, Known.TokenAge.count(), Known.Waiting, RetryAfter.count());
  Log = {Now, 0};
}

SharedQuotas::SharedQuotas(const asio::any_io_executor &Executor,
                           base::NodeId Self, base::Clock &Time,
                           follower::SnapshotSource &Snapshots, PeerPool &Peers,
                           prometheus::Registry &Registry,
                           std::function<bool()> InContact, std::uint64_t Seed)
    : State(std::make_shared<Impl>(Executor, std::move(Self), Time, Snapshots,
                                   Peers, Registry, std::move(InContact),
                                   Seed != 0 ? Seed : base::randomU64())) {
  Peers.onQuotaGrant([Weak = std::weak_ptr(State)](const base::NodeId &From,
                                                   base::ByteView Payload) {
    auto Keep = Weak.lock();
    if (!Keep)
      return;
    QuotaGrant Grant = decodeQuotaGrant(Payload);
    Keep->Node.onGrant(From, Grant, Keep->time());
    Keep->deliverDecisions();
    Keep->scheduleFlush();
  });
}

SharedQuotas::~SharedQuotas() { State->Peers.onQuotaGrant({}); }

asio::awaitable<QuotaLimiter::Verdict>
SharedQuotas::admit(const document::Customer &Sender, base::Millis MaxWait) {
  if (Sender.RequestsPerSecond <= 0)
    co_return Verdict{};
  auto Keep = State;
  Keep->followSnapshot();
  // The caller learns that there is no endpoint, which is the true reason.
  if (Keep->Node.isAlone())
    co_return Verdict{};
  base::Millis Wait = std::clamp(MaxWait, base::Millis(0), MaxWaitTime);
  base::TimePoint Deadline = Keep->Time.now() + Wait;
  auto Entry = std::make_shared<Impl::Pending>(Keep->Executor);
  std::uint64_t Id = Keep->Node.request(Sender, Wait, Keep->time());
  Keep->Waiting.emplace(Id, Entry);
  Keep->deliverDecisions();
  Keep->scheduleFlush();
  try {
    while (!Entry->Result) {
      if (Keep->Waiting.size() == 1)
        Keep->Wake.notifyAll();
      co_await Keep->Time.waitFor(Entry->Decided, Deadline);
      if (!Entry->Result && Keep->Time.now() >= Deadline) {
        Keep->Node.advance(Keep->time());
        Keep->deliverDecisions();
        Keep->scheduleFlush();
        if (!Entry->Result)
          break;
      }
    }
  } catch (const std::exception &) {
    // The request was cancelled; its token, if any, is lost.
  }
  Keep->Waiting.erase(Id);
  Verdict Result = Entry->Result.value_or(Verdict{false, MaxWaitTime});
  if (!Result.Admitted)
    Keep->logRefusal(Sender, Result.RetryAfter);
  co_return Result;
}

base::Bytes SharedQuotas::answer(const base::NodeId &From,
                                 base::ByteView Request) {
  QuotaRequest Message = decodeQuotaRequest(Request);
  State->followSnapshot();
  QuotaGrant Grant = State->Node.onRequest(From, Message, State->time());
  return Grant.empty() ? base::Bytes() : encode(Grant);
}

asio::awaitable<void> SharedQuotas::run() {
  auto Keep = State;
  for (;;) {
    base::TimePoint Now = Keep->Time.now();
    if (Keep->InContact())
      Keep->Node.onControlContact(Now);
    Keep->followSnapshot();
    Keep->Node.advance(Keep->time());
    Keep->deliverDecisions();
    Keep->flush();
    if (Now - Keep->MetricsAt >= MetricsInterval) {
      Keep->MetricsAt = Now;
      Keep->Counters.set(Keep->Node.counts(Now));
    }
    co_await Keep->Time.waitFor(Keep->Wake, Keep->Node.wakeTime(Now));
  }
}

} // namespace amaranth::dataplane
