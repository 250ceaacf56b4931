#ifndef AMARANTH_DATAPLANE_SRC_ENTRYCONTEXT_H
#define AMARANTH_DATAPLANE_SRC_ENTRYCONTEXT_H

#include "SlotOdds.h"
#include "amaranth/dataplane/CustomerIndex.h"
#include "amaranth/dataplane/EntryServer.h"
#include "amaranth/dataplane/HttpDialect.h"
#include "amaranth/dataplane/RetryBudgets.h"
#include "amaranth/dataplane/UpstreamRuns.h"
#include "amaranth/dataplane/VersionCircuitBreaker.h"
#include "amaranth/document/RouteIndex.h"

#include <set>

namespace amaranth::dataplane {

class EntryRequest;

/// State that all requests of an entry node share.
struct EntryContext {
  EntryContext(const boost::asio::any_io_executor &Executor,
               EntrySettings Settings, base::Clock &Time,
               follower::SnapshotSource &Snapshots,
               follower::ControlCalls &Control, CrashQuarantine &Quarantine,
               PeerPool &Peers, Metrics &Counters, const HttpDialect &Dialect,
               QuotaLimiter &Quotas, RetryBudgets &Budgets, UpstreamRuns &Runs)
      : Executor(Executor), Options(std::move(Settings)), Time(Time),
        Snapshots(Snapshots), Control(Control), Quarantine(Quarantine),
        Peers(Peers), Counters(Counters), Dialect(Dialect), Quotas(Quotas),
        Budgets(Budgets), Runs(Runs),
        LoadBalancer(Options.LoadBalancing, Time, Counters, Options.Seed),
        Guard(Time), Random(Options.Seed + 1) {}

  /// The current routes, or null before the first configuration.
  std::shared_ptr<const document::RouteIndex> routes() {
    auto Snapshot = Snapshots.current();
    if (Snapshot && (!Routes || &Routes->mesh() != Snapshot.get()))
      Routes =
          std::make_shared<const document::RouteIndex>(Snapshot, Routes.get());
    return Routes;
  }

  /// The index of the customers of `Snapshot`, which is the current one.
  std::shared_ptr<const CustomerIndex>
  customers(const document::MeshSnapshot &Snapshot) {
    if (!Customers || !Customers->isFor(Snapshot.Customers))
      Customers = std::make_shared<const CustomerIndex>(Snapshot.Customers);
    return Customers;
  }

  boost::asio::any_io_executor Executor;
  EntrySettings Options;
  base::Clock &Time;
  follower::SnapshotSource &Snapshots;
  follower::ControlCalls &Control;
  CrashQuarantine &Quarantine;
  PeerPool &Peers;
  Metrics &Counters;
  const HttpDialect &Dialect;
  QuotaLimiter &Quotas;
  RetryBudgets &Budgets;
  UpstreamRuns &Runs;
  Balancer LoadBalancer;
  VersionCircuitBreaker Guard;
  std::mt19937_64 Random;
  std::map<base::ServiceName, SlotOdds> Odds;
  rollout::EvidenceReport Evidence;
  std::shared_ptr<const document::RouteIndex> Routes;
  std::shared_ptr<const CustomerIndex> Customers;
  /// Requests that are being served.
  std::set<EntryRequest *> Requests;
  /// Time by which the responses must be complete because the node shuts down.
  base::TimePoint ShutdownEnd = base::TimePoint::max();
  /// Requests that arrive later are refused unless they are due before
  /// `ShutdownEnd`: a response that would be cut off could not be repeated.
  base::TimePoint IntakeEnd = base::TimePoint::max();
};

} // namespace amaranth::dataplane

#endif
