#ifndef AMARANTH_DATAPLANE_SHAREDQUOTAS_H
#define AMARANTH_DATAPLANE_SHAREDQUOTAS_H

#include "amaranth/base/Clock.h"
#include "amaranth/dataplane/ExchangeServer.h"
#include "amaranth/dataplane/PeerPool.h"
#include "amaranth/dataplane/QuotaLimiter.h"
#include "amaranth/follower/SnapshotSource.h"

#include <prometheus/registry.h>

#include <functional>
#include <memory>

namespace amaranth::dataplane {

/// Holds the limits of customers for the sum over all nodes, with the decisions
/// of `QuotaNode`, over the connections of `PeerPool`. Single-threaded.
class SharedQuotas final : public QuotaLimiter, public QuotaService {
public:
  /// Longest wait for a token, whatever the caller accepts: time for an owner
  /// that does not answer (50 ms) and two other nodes.
  static constexpr base::Millis MaxWaitTime = base::Millis(150);

  /// `InContact` tells whether the node is connected to a control process. The
  /// references must outlive the limiter and its tasks. `Seed` 0 uses a random
  /// one.
  SharedQuotas(const boost::asio::any_io_executor &Executor, base::NodeId Self,
               base::Clock &Time, follower::SnapshotSource &Snapshots,
               PeerPool &Peers, prometheus::Registry &Registry,
               std::function<bool()> InContact, std::uint64_t Seed = 0);
  ~SharedQuotas() override;

  boost::asio::awaitable<Verdict> admit(const document::Customer &Sender,
                                        base::Millis MaxWait) override;
  base::Bytes answer(const base::NodeId &From, base::ByteView Request) override;

  /// Renews the ownership of shards and follows the snapshots; runs until
  /// cancelled.
  boost::asio::awaitable<void> run();

private:
  struct Impl;
  std::shared_ptr<Impl> State;
};

} // namespace amaranth::dataplane

#endif
