#ifndef AMARANTH_DATAPLANE_QUOTANODE_H
#define AMARANTH_DATAPLANE_QUOTANODE_H

#include "amaranth/dataplane/QuotaAsker.h"
#include "amaranth/dataplane/QuotaLimiter.h"
#include "amaranth/dataplane/QuotaOwner.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace amaranth::dataplane {

/// Both clocks of a node at one moment.
struct QuotaTime {
  base::TimePoint Now;
  base::BootTime Boot;
};

struct QuotaCounts {
  /// Tokens that this node got for its callers.
  std::uint64_t GrantedOwner = 0;
  std::uint64_t GrantedReserve = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t Refused = 0;
  /// Asks that this node sent to another node, without and after an owner that
  /// did not answer.
  std::uint64_t AsksOwner = 0;
  std::uint64_t AsksDeputy = 0;
  std::uint64_t Timeouts = 0;
  /// Shards that this node owns.
  std::size_t Owned = 0;
  /// Tokens that this node holds for its callers.
  std::uint64_t Tokens = 0;
};

/// The quotas at one node, without I/O: decides whom to ask, answers other
/// nodes, and decides the requests of its callers.
///
/// Load: 78 customers on 71 nodes with 1,850 requests a second, one to three of
/// the customers at five to seven times their limit; nodes killed, frozen, slow
/// or cut off, and snapshots that lag.
class QuotaNode {
public:
  /// A node that has not answered is taken as lost after this time.
  static constexpr base::Millis AnswerTimeout = base::Millis(50);
  /// Such a node is not asked for this time, doubled with each further loss up
  /// to eight times. Short, because a node that was merely late grants again.
  static constexpr base::Millis SuspectTime = base::Millis(200);
  /// How long a node that was named as the owner is asked first.
  static constexpr base::Millis HintTime = base::Millis(1000);
  /// A node that is not live stays in its groups for `LeaveTime`, and a node
  /// without contact to control does not vote after `IsolationTime`. Control
  /// may have replaced the nodes of a group after that time.
  static constexpr base::Millis LeaveTime = base::Millis::seconds(900);
  static constexpr base::Millis IsolationTime = base::Millis::seconds(600);

  struct Outgoing {
    base::NodeId To;
    base::Address Address;
    QuotaRequest Message;
  };
  struct Decision {
    std::uint64_t Request = 0;
    QuotaLimiter::Verdict Verdict;
  };
  struct CustomerState {
    std::uint32_t Tokens = 0;
    base::Millis TokenAge;
    std::size_t Waiting = 0;
  };

  /// `FirstSequence` must be higher than that of an earlier process of the
  /// node.
  QuotaNode(base::NodeId Self, std::uint64_t Seed, std::uint64_t FirstSequence,
            base::TimePoint Now);

  /// Whether no node is known that could own a part of a limit. Then no
  /// upstream is known either that could run a request.
  bool isAlone() const { return Members.empty(); }
  /// The nodes that the snapshot lists, each once.
  void setMembers(const std::vector<QuotaMember> &Listed, base::TimePoint Now);
  /// The customers of the snapshot; those without a limit are ignored.
  void setCustomers(const std::vector<document::Customer> &Customers,
                    base::TimePoint Now);
  /// The node was in contact with control at `Now`.
  void onControlContact(base::TimePoint Now) { ControlContact = Now; }

  /// A request of `Sender`; `decisions` returns the result.
  std::uint64_t request(const document::Customer &Sender, base::Millis MaxWait,
                        QuotaTime Time);
  /// Answers another node. Items for customers that this node does not know are
  /// answered with nothing: its snapshot may lag.
  QuotaGrant onRequest(const base::NodeId &From, const QuotaRequest &Message,
                       QuotaTime Time);
  /// Throws `base::ProtocolError` if `From` grants more than it was asked for.
  void onGrant(const base::NodeId &From, const QuotaGrant &Message,
               QuotaTime Time);
  /// Does what is due. Call it at `wakeTime` at the latest.
  void advance(QuotaTime Time);
  base::TimePoint wakeTime(base::TimePoint Now) const;

  std::vector<Outgoing> takeMessages();
  std::vector<Decision> takeDecisions();

  QuotaCounts counts(base::TimePoint Now);
  CustomerState state(const base::CustomerName &Customer,
                      base::TimePoint Now) const;

private:
  struct Route {
    /// Group in order of preference, as positions in `Members`.
    std::vector<std::size_t> Group;
    base::NodeId Hint;
    base::TimePoint HintUntil;
    /// Nodes of the group whose reserve was asked in vain.
    std::size_t Tried = 0;
    /// Asks in sequence that were passed on to another node.
    unsigned Hops = 0;
  };
  struct Sender {
    document::Customer Limit;
    QuotaAsker Asker;
    std::vector<Route> Routes;
  };
  struct Sent {
    QuotaShard Shard;
    base::NodeId To;
    std::uint32_t Tokens = 0;
    base::TimePoint SentAt;
    /// Given up; tokens that arrive late are still used.
    bool TimedOut = false;
  };
  struct Suspicion {
    base::TimePoint Until;
    unsigned Losses = 0;
  };

  Sender &sender(const document::Customer &Customer);
  void rebuildRoutes(Sender &Of);
  void rebuildOwners(base::TimePoint Now);
  void checkSuspension(QuotaTime Time);
  bool suspected(const base::NodeId &Node, base::TimePoint Now) const;
  bool mayVote(base::TimePoint Now) const;
  /// The node to ask, and whether it should become the owner.
  std::optional<std::pair<std::size_t, bool>> target(const Route &Path,
                                                     base::TimePoint Now) const;
  void ask(Sender &From, const QuotaAsker::Ask &Wanted, base::TimePoint Now);
  void onTokens(const base::NodeId &From, const QuotaTokens &Answer,
                base::TimePoint Now);
  /// Asks as often as necessary and decides what can be decided.
  void pump(Sender &From, base::TimePoint Now);
  void checkTimeouts(base::TimePoint Now);
  void sendVotes(const QuotaOwner::Outgoing &Votes, base::TimePoint Now);
  QuotaRequest &messageTo(const base::NodeId &Node,
                          const base::Address &Address);
  double random() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

  base::NodeId Self;
  std::mt19937_64 Random;
  std::uint64_t Sequence;
  std::uint64_t NextId = 1;
  base::TimePoint StartedAt;
  base::TimePoint ControlContact;
  QuotaSuspension Suspension;
  /// The listed nodes that are not gone, in order of their ids.
  std::vector<QuotaMember> Members;
  std::vector<std::uint64_t> Hashes;
  std::map<base::NodeId, base::Address> Addresses;
  std::map<base::NodeId, base::TimePoint> LastLive;
  std::map<base::CustomerName, document::Customer> Customers;
  std::map<QuotaShard, std::unique_ptr<QuotaOwner>> Owners;
  /// When shards were removed with their votes.
  std::map<QuotaShard, base::TimePoint> RemovedAt;
  std::map<base::CustomerName, Sender> Senders;
  std::map<std::uint64_t, Sent> SentAsks;
  std::map<base::NodeId, Suspicion> Suspects;
  std::map<base::NodeId, Outgoing> Outbox;
  std::vector<Decision> Decided;
  QuotaCounts Totals;
};

} // namespace amaranth::dataplane

#endif
