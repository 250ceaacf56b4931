#ifndef AMARANTH_FOLLOWER_SRC_CALLTABLE_H
#define AMARANTH_FOLLOWER_SRC_CALLTABLE_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Signal.h"
#include "amaranth/control/FollowMessages.h"

#include <map>
#include <memory>
#include <optional>

namespace amaranth::follower::detail {

/// Calls in flight: sent, but not yet replied to.
class CallTable {
public:
  explicit CallTable(const boost::asio::any_io_executor &Executor)
      : Executor(Executor) {}

  std::size_t size() const { return Pending.size(); }

  /// Registers a call and returns its correlation id.
  std::uint64_t add();
  /// Waits for the reply to a registered call and removes the call. Returns
  /// nothing if the connection closed or the deadline passed first; the outcome
  /// of the call is unknown then.
  boost::asio::awaitable<std::optional<control::CallReply>>
  waitForReply(std::uint64_t Id, base::Clock &Time, base::TimePoint Deadline);
  /// Removes a call that could not be sent.
  void remove(std::uint64_t Id) { Pending.erase(Id); }

  /// Delivers a reply. Ignored if the call was already removed.
  void complete(std::uint64_t Id, control::CallReply Reply);
  /// Ends all calls without a reply after their connection closed.
  void failAll();

private:
  struct Call {
    explicit Call(const boost::asio::any_io_executor &Executor)
        : Changed(Executor) {}
    base::Signal Changed;
    std::optional<control::CallReply> Reply;
    bool ConnectionLost = false;
  };

  boost::asio::any_io_executor Executor;
  std::uint64_t LastId = 0;
  std::map<std::uint64_t, std::shared_ptr<Call>> Pending;
};

} // namespace amaranth::follower::detail

#endif
