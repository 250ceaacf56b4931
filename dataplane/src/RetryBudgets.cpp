#include "amaranth/dataplane/RetryBudgets.h"

#include <iterator>
#include <set>

namespace amaranth::dataplane {

RetryBudget &RetryBudgets::budgetOf(const base::ServiceName &Service) {
  auto Found = Budgets.find(Service);
  if (Found != Budgets.end())
    return Found->second;
  return Budgets.emplace(Service, RetryBudget(Time.now(), rates()))
      .first->second;
}

void RetryBudgets::update() {
  auto Snapshot = Snapshots.current();
  if (!Snapshot)
    return;
  base::TimePoint Now = Time.now();
  for (auto It = Budgets.begin(); It != Budgets.end();) {
    bool Unused =
        !Snapshot->Services.contains(It->first) && !It->second.hasRetries(Now);
    It = Unused ? Budgets.erase(It) : std::next(It);
  }
  RetryBudget::Rates Current = rates();
  for (auto &[Service, Budget] : Budgets)
    Budget.setRates(Current);
}

RetryBudget::Rates RetryBudgets::rates() {
  if (!Shared)
    return {};
  countNodes();
  RetryBudget::Rates Result = Shared->ratesPerNode(UnreachableSince.size());
  if (Time.now() - Created < Shared->Window)
    Result.RetriesPerWindow = 0;
  return Result;
}

void RetryBudgets::countNodes() {
  base::TimePoint Now = Time.now();
  auto Snapshot = Snapshots.current();
  if (Snapshot && !Snapshot->Endpoints.sharesWith(CountedEndpoints)) {
    CountedEndpoints = Snapshot->Endpoints;
    std::set<base::NodeId> Reachable;
    for (const auto &[Id, Entry] : CountedEndpoints)
      if (Entry.State != document::EndpointState::Unreachable)
        Reachable.insert(Entry.Node);
    for (auto &[Node, Since] : UnreachableSince)
      if (!Since && !Reachable.contains(Node))
        Since = Now;
    for (const base::NodeId &Node : Reachable)
      UnreachableSince[Node].reset();
  }
  std::erase_if(UnreachableSince, [Now](const auto &Node) {
    return Node.second && Now - *Node.second >= NodeRetention;
  });
}

} // namespace amaranth::dataplane
