#ifndef AMARANTH_DATAPLANE_BENCH_QUOTASIMULATION_H
#define AMARANTH_DATAPLANE_BENCH_QUOTASIMULATION_H

#include "amaranth/dataplane/QuotaNode.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace amaranth::dataplane::testing {

/// Nodes with quotas, their messages and the views that control gives them, in
/// simulated milliseconds.
class QuotaSimulation {
public:
  struct Settings {
    std::size_t Nodes = 71;
    std::size_t Zones = 3;
    std::uint64_t Seed = 1;
    /// One way.
    std::int64_t MinDelay = 1;
    std::int64_t MaxDelay = 2;
    double Loss = 0;
    /// Largest difference of a clock's rate from the true one.
    double ClockError = 0;
    /// Time after which control marks a lost node, and longest time until a
    /// node in contact with control knows it.
    std::int64_t ControlLease = 3000;
    std::int64_t MaxViewLag = 0;
  };
  struct Result {
    std::vector<std::int64_t> AdmittedAt;
    std::uint64_t Refused = 0;
    std::uint64_t Requests = 0;
  };

  explicit QuotaSimulation(Settings Options);

  void setCustomers(std::vector<document::Customer> Customers);
  /// Requests of the customer at the given nodes by a Poisson process from now
  /// to `Until`. With `Within` > 0, only those that keep within this share of
  /// the limit in every window.
  void load(const document::Customer &Customer, double PerSecond,
            std::vector<std::size_t> Nodes, std::int64_t Until,
            double Within = 0);
  void at(std::int64_t Time, std::function<void()> Action) {
    Events.push({Time, NextEvent++, std::move(Action)});
  }
  void run(std::int64_t Until);
  std::int64_t now() const { return Now; }

  /// Stops the process; with `Suspend`, the machine and its steady clock.
  void freeze(std::size_t Node, std::int64_t Until, bool Suspend);
  void restart(std::size_t Node, std::int64_t DownUntil);
  /// The upstream of the node leaves; the process goes on.
  void drain(std::size_t Node) { Nodes[Node].Draining = true; }
  /// Nodes in different parts do not reach each other; control is in part 0.
  void setPart(std::size_t Node, int Part);
  void controlDown(bool Down) { ControlIsDown = Down; }

  Result &result(const document::Customer &Customer) {
    return Results[Customer.Name];
  }
  /// Largest number of admitted requests in a window of 5 s that starts at
  /// `From` or later.
  std::uint64_t worstWindow(const document::Customer &Customer,
                            std::int64_t From = 0);
  static double bound(const document::Customer &Customer) {
    return (Customer.RequestsPerSecond * 5 + Customer.Burst) * 1.1 + 20;
  }
  /// Shards that the node owns.
  std::size_t owned(std::size_t Node) {
    return Nodes[Node].Core->counts(time(Nodes[Node]).Now).Owned;
  }

  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  /// Counts the encoded size of messages.
  bool CountBytes = false;

private:
  struct Event {
    std::int64_t Time = 0;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::pair(Other.Time, Other.Order) < std::pair(Time, Order);
    }
  };
  struct Node {
    std::string Name;
    std::unique_ptr<QuotaNode> Core;
    double Rate = 1;
    std::int64_t Offset = 0;
    /// Time for which the steady clock stood still.
    std::int64_t Suspended = 0;
    std::int64_t StoppedUntil = 0;
    bool Down = false;
    bool Live = true;
    bool Draining = false;
    int Part = 0;
    std::int64_t LostSince = -1;
    std::int64_t WakeAt = 0;
    std::vector<std::function<void()>> Inbox;
    std::map<std::uint64_t, base::CustomerName> Pending;
  };

  QuotaTime time(const Node &At) const;
  void collect(std::size_t Index);
  void wake(std::size_t Index);
  void deliver(std::size_t To, int FromPart, std::function<void()> Action);
  void arrive(std::size_t Index, const document::Customer &Customer);
  void startNode(std::size_t Index);
  void controlRound();
  std::shared_ptr<const std::vector<QuotaMember>> members() const;
  void sendView(std::size_t Index);
  void sendViews();
  void sendView(std::size_t Index,
                std::shared_ptr<const std::vector<QuotaMember>> Members);
  std::int64_t delay();
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }

  Settings Options;
  std::mt19937_64 Random;
  std::int64_t Now = 0;
  std::uint64_t NextEvent = 0;
  std::priority_queue<Event> Events;
  std::vector<Node> Nodes;
  std::map<base::NodeId, std::size_t> Index;
  std::vector<document::Customer> Customers;
  std::map<base::CustomerName, Result> Results;
  bool ControlIsDown = false;
};

} // namespace amaranth::dataplane::testing

#endif
