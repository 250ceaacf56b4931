#include "amaranth/dataplane/RetryBudgets.h"

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
  std::erase_if(Budgets, [&](const auto &Entry) {
    return !Snapshot->Services.contains(Entry.first);
  });
  RetryBudget::Rates Current = rates();
  for (auto &[Service, Budget] : Budgets)
    Budget.setRates(Current);
}

RetryBudget::Rates RetryBudgets::rates() {
  if (!Shared)
    return {};
  auto Snapshot = Snapshots.current();
  if (Snapshot && !Snapshot->Endpoints.sharesWith(CountedEndpoints)) {
    CountedEndpoints = Snapshot->Endpoints;
    std::set<base::NodeId> Nodes;
    for (const auto &[Id, Entry] : CountedEndpoints)
      if (Entry.State != document::EndpointState::Unreachable)
        Nodes.insert(Entry.Node);
    NodeCount = Nodes.size();
  }
  return Shared->ratesPerNode(NodeCount);
}

} // namespace amaranth::dataplane
