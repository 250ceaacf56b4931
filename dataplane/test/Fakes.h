#ifndef AMARANTH_DATAPLANE_TEST_FAKES_H
#define AMARANTH_DATAPLANE_TEST_FAKES_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Error.h"
#include "amaranth/dataplane/QuotaLimiter.h"
#include "amaranth/follower/ControlCalls.h"
#include "amaranth/follower/SnapshotSource.h"
#include "amaranth/replication/ReplicatedLog.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranth::dataplane::testing {

/// A snapshot source whose configuration is set by the test.
class FakeSnapshots final : public follower::SnapshotSource {
public:
  explicit FakeSnapshots(const boost::asio::any_io_executor &Executor)
      : Signal(Executor) {}

  std::shared_ptr<const document::MeshSnapshot> current() const override {
    return Value;
  }
  base::Signal &changed() override { return Signal; }
  void set(const document::MeshSnapshot &Mesh) {
    Value = std::make_shared<document::MeshSnapshot>(Mesh);
    Signal.notifyAll();
  }

  /// As before the first configuration.
  void clear() { Value.reset(); }

private:
  std::shared_ptr<const document::MeshSnapshot> Value;
  base::Signal Signal;
};

/// Admits every request until the test sets another verdict, and notes who
/// asked.
class FakeQuotas final : public QuotaLimiter {
public:
  boost::asio::awaitable<Verdict> admit(const document::Customer &Sender,
                                        base::Millis /*MaxWait*/) override {
    Asked.push_back(Sender.Name.value());
    co_return Next;
  }

  Verdict Next;
  std::vector<std::string> Asked;
};

/// In-memory control with the rules for claims, without replication.
class FakeControl final : public follower::ControlCalls {
public:
  explicit FakeControl(base::Clock &Time) : Time(Time) {}

  boost::asio::awaitable<control::CommandResult>
  call(control::Command Request, base::Millis Timeout) override;
  void publish(document::Endpoint Entry) override {
    Published.push_back(std::move(Entry));
  }
  void report(const rollout::EvidenceReport &Report) override {
    for (const auto &[Key, Counts] : Report.Counts)
      Evidence.Counts[Key] += Counts;
  }

  /// Calls fail with `NotLeader`, as without a majority.
  bool Down = false;
  /// Calls take effect, but their replies are lost.
  bool LoseReplies = false;
  std::vector<control::Command> Seen;
  std::vector<document::Endpoint> Published;
  rollout::EvidenceReport Evidence;

private:
  struct Entry {
    std::string Attempt;
    std::uint64_t Hash = 0;
    bool Finished = false;
    std::optional<control::StoredResponse> Stored;
  };

  control::CommandResult apply(const control::Command &Request);
  control::CommandResult claim(const control::Claim &Request);

  base::Clock &Time;
  std::map<std::string, Entry> Claims;
};

} // namespace amaranth::dataplane::testing

#endif
