#include "amaranth/follower/Follower.h"

#include "CallTable.h"
#include "ControlSearch.h"
#include "EndpointPublisher.h"
#include "FollowerImpl.h"
#include "SnapshotApplier.h"
#include "amaranth/base/Log.h"
#include "amaranth/base/Timeout.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::follower {

FollowerSettings FollowerSettings::withinRegion() {
  FollowerSettings Result;
  Result.BackoffMax = base::Millis(1000);
  Result.DialStagger = base::Millis(150);
  Result.DialTimeout = base::Millis(500);
  // A handshake over a link on which packets wait for half a second each way.
  Result.MaxDialTime = base::Millis(3000);
  // Three `Currency` messages have been missed by then.
  Result.SilenceTimeout = base::Millis(1800);
  // With the time of a search, a node returns within 3 s to processes that are
  // current again.
  Result.MaxStalePause = Result.SilenceTimeout;
  // Longer than a leader election takes.
  Result.MaxStaleness = base::Millis(1200);
  return Result;
}

Follower::Follower(FollowerSettings Settings,
                   const asio::any_io_executor &Executor, base::Clock &Time,
                   protocol::Dialer &Dial, prometheus::Registry &Metrics)
    : Shared(std::make_shared<Impl>(std::move(Settings), Executor, Time, Dial,
                                    Metrics)) {}

Follower::~Follower() { stop(); }

void Follower::start() {
  auto Run = [this](auto Loop) {
    asio::co_spawn(
        Shared->Executor,
        [Self = Shared, Loop]() -> asio::awaitable<void> {
          co_await ((*Self).*Loop)();
        },
        asio::detached);
  };
  Run(&Impl::connectLoop);
  Run(&Impl::tickLoop);
}

void Follower::stop() { Shared->stop(); }

std::shared_ptr<const document::MeshSnapshot> Follower::current() const {
  return Shared->Applier.current();
}

base::Signal &Follower::changed() { return Shared->SnapshotChanged; }

asio::awaitable<control::CommandResult> Follower::call(control::Command Request,
                                                       base::Millis Timeout) {
  auto Self = Shared;
  base::TimePoint Deadline = Self->Time.now() + Timeout;
  base::Bytes Encoded = control::encodeCommand(Request);
  co_await Self->waitUntilConnected(Deadline);
  if (!Self->isConnected())
    throw replication::NotLeader("no control process is connected");
  if (Self->Calls.size() >= Self->Settings.MaxCallsInFlight)
    throw replication::NotLeader("too many calls in flight");
  std::uint64_t Id = Self->sendCall(std::move(Encoded), Deadline);
  auto Reply = co_await Self->Calls.waitForReply(Id, Self->Time, Deadline);
  if (!Reply)
    throw base::TimeoutError("no reply from the control process");
  if (Reply->Status == control::CallStatus::NotApplied)
    throw replication::NotLeader(Reply->Reason);
  if (Reply->Status == control::CallStatus::Unknown)
    throw base::TimeoutError(Reply->Reason);
  co_return control::decodeResult(Reply->Result);
}

void Follower::publish(document::Endpoint Entry) {
  Shared->addService(Entry.Service);
  Shared->Publisher.publish(std::move(Entry));
  Shared->sendEndpoints(false);
}

void Follower::report(const rollout::EvidenceReport &Report) {
  control::mergeEvidence(Shared->PendingEvidence, Report);
}

FollowerStatus Follower::status() const { return Shared->status(); }

void Follower::setControlProcesses(
    const std::vector<ControlProcess> &Processes) {
  Shared->Search->processes().setSeeds(Processes);
  Shared->Search->wake();
}

} // namespace amaranth::follower
