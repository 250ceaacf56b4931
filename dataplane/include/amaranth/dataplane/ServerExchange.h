#ifndef AMARANTH_DATAPLANE_SERVEREXCHANGE_H
#define AMARANTH_DATAPLANE_SERVEREXCHANGE_H

#include "amaranth/dataplane/ExchangeStream.h"

#include <functional>

namespace amaranth::dataplane {

/// An exchange as the node beside the upstream sees it.
class ServerExchange {
public:
  ServerExchange(const boost::asio::any_io_executor &Executor,
                 std::shared_ptr<protocol::Channel> Channel,
                 std::uint64_t StreamId, RequestHead Request,
                 base::TimePoint Deadline)
      : Head(std::move(Request)), Deadline(Deadline),
        Objective(Deadline - Head.Remaining + Head.Objective),
        Arrived(Deadline - Head.Remaining),
        Body(Executor, std::move(Channel), StreamId,
             ExchangeStream::Role::Gate) {}

  /// The entry node cancelled, or the connection to it ended.
  void end(Refusal Cause) {
    Body.end(std::move(Cause));
    if (OnEnd)
      std::exchange(OnEnd, nullptr)();
  }

  const RequestHead Head;
  const base::TimePoint Deadline;
  /// When a response is wanted.
  const base::TimePoint Objective;
  const base::TimePoint Arrived;
  /// When the request got a slot; empty before.
  std::optional<base::TimePoint> Started;
  /// When the upstream had sent the whole response; empty before.
  std::optional<base::TimePoint> ResponseRead;
  /// Bytes of the response body that were passed on.
  std::size_t BytesSent = 0;
  ExchangeStream Body;
  /// Called once when the exchange is ended from outside.
  std::function<void()> OnEnd;
};

} // namespace amaranth::dataplane

#endif
