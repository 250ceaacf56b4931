#include "MeshFixture.h"
#include "amaranth/base/Digest.h"

#include <catch2/catch.hpp>

namespace amaranth::dataplane::testing {

/// One node, whose upstream runs requests that another node has sent.
class RepeatedCallsTest : public OneNodeFixture {
protected:
  /// A request of another node to this upstream.
  struct Sent {
    std::shared_ptr<ClientExchange> Exchange;
    std::optional<Refusal> Refused;
  };

  std::shared_ptr<Sent> sendToGate(bool Repeat) {
    RequestHead Head;
    Head.Service = base::ServiceName("s");
    Head.Version = base::VersionName("v1");
    Head.Method = "GET";
    Head.Target = "/hold";
    Head.Route = base::RouteName("all");
    Head.Attempt = Head.CallerAttempt = base::randomHexId();
    Head.BodyLength = 0;
    Head.Repeat = Repeat;
    auto Result = std::make_shared<Sent>();
    spawn(open(std::move(Head), Result));
    return Result;
  }

  /// Waits until the upstream runs `Count` requests in all.
  void waitForRuns(std::size_t Count) {
    runUntil([&] { return Upstream.Seen.size() == Count; });
  }

  /// The local upstream calls the service that it belongs to.
  void callFromUpstream() {
    auto Call = get(Node, "/call", "X-Request-Deadline-Ms: 1000\r\n");
    runUntil([&] { return Call->Done; });
    REQUIRE(Call->status() == 200);
  }

  double callsOfRepeats() const {
    double Sum = 0;
    for (const auto &Family : Node.Registry.Collect())
      if (Family.name == "amaranth_calls_of_repeats_total")
        for (const auto &Metric : Family.metric)
          Sum += Metric.counter.value;
    return Sum;
  }

private:
  boost::asio::awaitable<void> open(RequestHead Head,
                                    std::shared_ptr<Sent> Into) {
    base::TimePoint Deadline = Time.now() + base::Millis(5'000);
    Into->Exchange =
        co_await Node.Peers.open(Node.Inner.local(), std::move(Head), Deadline);
    try {
      co_await Into->Exchange->readHead(Deadline);
    } catch (const ExchangeAborted &Failure) {
      Into->Refused = Failure.refusal();
    }
  }
};

// Guards against calls that a repeated run makes and that nobody knows of.
TEST_CASE_METHOD(RepeatedCallsTest,
                 "Calls that an upstream makes for a repeat are counted") {
  callFromUpstream();
  CHECK(callsOfRepeats() == 0);
  auto Repeat = sendToGate(true);
  waitForRuns(2);
  callFromUpstream();
  CHECK(callsOfRepeats() == 1);
}

// Guards against repeats that run although their calls cannot be made any more.
TEST_CASE_METHOD(RepeatedCallsTest,
                 "A gate refuses a repeat whose calls exceed the budget") {
  auto First = sendToGate(false);
  waitForRuns(1);
  callFromUpstream();
  RetryBudget &Budget = Node.Budgets.budgetOf(base::ServiceName("s"));
  while (Budget.tryAcquire(Time.now()))
    ;
  auto Repeat = sendToGate(true);
  runUntil([&] { return Repeat->Refused.has_value(); });
  CHECK(Repeat->Refused->Reason == RefusalReason::RetryBudgetUsed);
  CHECK(Repeat->Refused->Outcome == ExecutionOutcome::NotRun);
  // Nothing was repeated for these requests.
  auto Other = sendToGate(false);
  waitForRuns(3);
}

} // namespace amaranth::dataplane::testing
