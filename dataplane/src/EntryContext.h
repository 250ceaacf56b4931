#ifndef AMARANTH_DATAPLANE_SRC_ENTRYCONTEXT_H
#define AMARANTH_DATAPLANE_SRC_ENTRYCONTEXT_H

#include "amaranth/dataplane/EntryServer.h"
#include "amaranth/dataplane/RetryBudget.h"
#include "amaranth/dataplane/VersionGuard.h"

namespace amaranth::dataplane {

/// What all requests of an entry node share.
struct EntryContext {
  EntryContext(const boost::asio::any_io_executor &Executor,
               EntrySettings Settings, base::Clock &Time,
               follower::SnapshotSource &Snapshots,
               follower::ControlCalls &Control, PeerPool &Peers,
               Metrics &Counters)
      : Executor(Executor), Options(std::move(Settings)), Time(Time),
        Snapshots(Snapshots), Control(Control), Peers(Peers),
        Counters(Counters),
        Endpoints(Options.Balance, Time, Counters, Options.Seed), Guard(Time),
        Random(Options.Seed + 1) {}

  RetryBudget &budget(const base::ServiceName &Service) {
    return Budgets.try_emplace(Service, Time.now()).first->second;
  }

  boost::asio::any_io_executor Executor;
  EntrySettings Options;
  base::Clock &Time;
  follower::SnapshotSource &Snapshots;
  follower::ControlCalls &Control;
  PeerPool &Peers;
  Metrics &Counters;
  Balancer Endpoints;
  VersionGuard Guard;
  std::mt19937_64 Random;
  std::map<base::ServiceName, RetryBudget> Budgets;
  rollout::EvidenceReport Evidence;
};

} // namespace amaranth::dataplane

#endif
