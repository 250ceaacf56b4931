#ifndef AMARANTH_CONTROL_TEST_FAKELOG_H
#define AMARANTH_CONTROL_TEST_FAKELOG_H

#include "amaranth/control/ControlState.h"
#include "amaranth/control/MembershipControl.h"
#include "amaranth/control/StatusSource.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <functional>
#include <utility>

namespace amaranth::control {

/// A single-process log that applies each proposal immediately.
class FakeLog final : public replication::ReplicatedLog {
public:
  enum class Mode { Normal, NotLeader, Timeout, AppliedThenTimeout, Rejected };

  FakeLog(const boost::asio::any_io_executor &Executor, ControlState &State)
      : State(State), Changed(Executor) {}

  boost::asio::awaitable<base::Bytes>
  propose(base::Bytes Command, base::Millis /*Timeout*/) override {
    throwIfFailing();
    if (Behaviour == Mode::Rejected)
      throw replication::RequestRejected("the command is too large");
    base::Bytes Result =
        State.apply({base::LogIndex(++Index), base::Term(1),
                     base::WallTime(1'800'000'000'000), Command});
    if (Behaviour == Mode::AppliedThenTimeout)
      throw base::TimeoutError("the response was lost");
    co_return Result;
  }

  boost::asio::awaitable<base::LogIndex>
  readIndex(base::Millis /*Timeout*/) override {
    throwIfFailing();
    co_return base::LogIndex(Index);
  }

  bool isLeader() const override { return true; }
  std::optional<base::ReplicaId> leader() const override { return self(); }
  base::ReplicaId self() const override {
    return base::ReplicaId(0xffffffffffffffffU);
  }
  base::Term term() const override { return base::Term(1); }
  base::LogIndex appliedIndex() const override { return base::LogIndex(Index); }
  base::LogIndex commitIndex() const override { return base::LogIndex(Index); }
  base::Millis staleness() const override { return SinceCurrent; }
  std::vector<replication::MemberStatus> members() const override {
    return {{self(), "127.0.0.1:1", true, base::LogIndex(Index), {}}};
  }
  base::Signal &changed() override { return Changed; }
  void postToLeader(base::Bytes /*Message*/) override {}

  Mode Behaviour = Mode::Normal;
  base::Millis SinceCurrent;

private:
  void throwIfFailing() const {
    if (Behaviour == Mode::NotLeader)
      throw replication::NotLeader("no leader is known");
    if (Behaviour == Mode::Timeout)
      throw base::TimeoutError("no majority answered");
  }

  ControlState &State;
  base::Signal Changed;
  std::uint64_t Index = 0;
};

/// Reports one node and a version that 1 of 2 nodes has applied.
class FakeStatusSource final : public StatusSource {
public:
  std::vector<NodeStatus> nodes() const override {
    return {{base::NodeId("n1"), base::AvailabilityZone("a"),
             base::DocumentVersion(1), base::StateIndex(1), base::Millis(5)}};
  }
  ConvergenceStatus convergence() const override {
    return {base::DocumentVersion(1), 2, 1, std::nullopt};
  }
};

/// Records replacements. `Fail`, if set, is called first and may throw.
class FakeMembershipControl final : public MembershipControl {
public:
  boost::asio::awaitable<void> replaceVoter(base::ReplicaId Lost,
                                            base::ReplicaId Replacement,
                                            base::Millis /*Timeout*/) override {
    if (Fail)
      Fail();
    Replaced.emplace_back(Lost, Replacement);
    co_return;
  }
  boost::asio::awaitable<void> removeMember(base::ReplicaId /*Id*/,
                                            base::Millis /*Timeout*/) override {
    co_return;
  }

  std::function<void()> Fail;
  std::vector<std::pair<base::ReplicaId, base::ReplicaId>> Replaced;
};

} // namespace amaranth::control

#endif
