#include "CallTable.h"

#include "amaranth/base/Timeout.h"

namespace asio = boost::asio;

namespace amaranth::follower::detail {

std::uint64_t CallTable::add() {
  Pending.emplace(++LastId, std::make_shared<Call>(Executor));
  return LastId;
}

asio::awaitable<std::optional<control::CallReply>>
CallTable::waitForReply(std::uint64_t Id, base::Clock &Time,
                        base::TimePoint Deadline) {
  auto Entry = Pending.at(Id);
  /// Removes the call on every exit, including cancellation of the coroutine.
  struct Removal {
    CallTable &Table;
    std::uint64_t Id;
    ~Removal() { Table.Pending.erase(Id); }
  };
  Removal RemoveOnExit{*this, Id};
  while (!Entry->Reply && !Entry->ConnectionLost && Time.now() < Deadline)
    co_await base::withTimeout(Time, Deadline - Time.now(),
                               Entry->Changed.wait());
  co_return std::move(Entry->Reply);
}

void CallTable::complete(std::uint64_t Id, control::CallReply Reply) {
  auto Found = Pending.find(Id);
  if (Found == Pending.end())
    return;
  Found->second->Reply = std::move(Reply);
  Found->second->Changed.notifyAll();
}

void CallTable::failAll() {
  for (const auto &[Id, Entry] : Pending) {
    Entry->ConnectionLost = true;
    Entry->Changed.notifyAll();
  }
}

} // namespace amaranth::follower::detail
