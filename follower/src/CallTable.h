#ifndef AMARANTH_FOLLOWER_SRC_CALLTABLE_H
#define AMARANTH_FOLLOWER_SRC_CALLTABLE_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Signal.h"
#include "amaranth/control/FollowMessages.h"

#include <map>
#include <memory>
#include <optional>

namespace amaranth::follower::detail {

/// Calls that were sent and wait for their answer.
class CallTable {
public:
  explicit CallTable(const boost::asio::any_io_executor &Executor)
      : Executor(Executor) {}

  std::size_t size() const { return Pending.size(); }

  /// Registers a call and returns its correlation id.
  std::uint64_t add();
  /// Waits for the answer of a registered call and removes it. Empty when the
  /// connection ended or the deadline passed; the outcome is unknown then.
  boost::asio::awaitable<std::optional<control::CallReply>>
  waitForReply(std::uint64_t Id, base::Clock &Time, base::TimePoint Deadline);
  /// Removes a call that could not be sent.
  void remove(std::uint64_t Id) { Pending.erase(Id); }

  /// An answer to a call that is gone is ignored.
  void complete(std::uint64_t Id, control::CallReply Reply);
  /// The connection ended: no call gets an answer any more.
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
