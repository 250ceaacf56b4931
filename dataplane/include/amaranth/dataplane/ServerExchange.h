#ifndef AMARANTH_DATAPLANE_SERVEREXCHANGE_H
#define AMARANTH_DATAPLANE_SERVEREXCHANGE_H

#include "amaranth/dataplane/ExchangeStream.h"

#include <algorithm>
#include <functional>

namespace amaranth::dataplane {

/// Server side of an exchange, at the node beside the upstream.
class ServerExchange {
public:
  ServerExchange(const boost::asio::any_io_executor &Executor,
                 std::shared_ptr<protocol::Channel> Channel,
                 std::uint64_t StreamId, RequestHead Request,
                 base::TimePoint Arrived, base::Millis TransitDelay)
      : Head(std::move(Request)), Arrived(Arrived), TransitDelay(TransitDelay),
        Deadline(Arrived - TransitDelay + Head.Remaining),
        Objective(Arrived - TransitDelay + Head.Objective),
        Priority(Head.Priority), Body(Executor, std::move(Channel), StreamId,
                                      ExchangeStream::Role::Gate) {}

  /// Ends the exchange because the entry node cancelled it or its connection
  /// closed.
  void end(Refusal Cause) {
    Body.end(std::move(Cause));
    if (OnEnd)
      std::exchange(OnEnd, nullptr)();
  }

  /// The entry node ends at `End`: the response must be complete by then, and
  /// precedes those to other nodes.
  void endBy(base::TimePoint End) {
    if (Deadline <= End)
      return;
    Priority = HighestPriority;
    limitDeadline(End);
  }

  /// A node that takes part in the exchange ends at `End`, so the response must
  /// be complete by then.
  void limitDeadline(base::TimePoint End) {
    if (Deadline <= End)
      return;
    Deadline = End;
    Objective = std::min(Objective, Deadline);
    EndsWithNode = true;
    if (OnReschedule)
      OnReschedule();
    Body.changed().notifyAll();
  }

  const RequestHead Head;
  const base::TimePoint Arrived;
  /// How long the request was on its way from the entry node, at least.
  const base::Millis TransitDelay;
  base::TimePoint Deadline;
  /// Time by which a response meets the latency objective.
  base::TimePoint Objective;
  std::uint32_t Priority;
  /// `Deadline` is the end of a node.
  bool EndsWithNode = false;
  /// Time at which the request got a slot.
  std::optional<base::TimePoint> Started;
  /// Time at which the whole response had been read from the upstream.
  std::optional<base::TimePoint> ResponseRead;
  /// Response body bytes forwarded so far.
  std::size_t BytesSent = 0;
  ExchangeStream Body;
  /// Called by the first `end`.
  std::function<void()> OnEnd;
  /// Called when the deadline was limited.
  std::function<void()> OnReschedule;
};

} // namespace amaranth::dataplane

#endif
