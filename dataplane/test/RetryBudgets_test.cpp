#include "Fakes.h"
#include "amaranth/dataplane/RetryBudgets.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace amaranth::dataplane {

/// Nodes without requests, so that only the fixed part of the budget counts.
class RetryBudgetsTest {
protected:
  static constexpr std::size_t Nodes = 10;

  RetryBudgetsTest() {
    Mesh.Services[Service].Name = Service;
    for (std::size_t I = 0; I < Nodes; ++I) {
      document::Endpoint Each;
      Each.Id = base::EndpointId(fmt::format("n{}", I));
      Each.Node = base::NodeId(Each.Id.value());
      Each.Service = Service;
      Each.State = document::EndpointState::Ready;
      Mesh.Endpoints[Each.Id] = Each;
    }
    Snapshots.set(Mesh);
  }

  void setReachable(std::size_t Node, bool Reachable) {
    document::Endpoint Changed =
        Mesh.Endpoints.at(base::EndpointId(fmt::format("n{}", Node)));
    Changed.State = Reachable ? document::EndpointState::Ready
                              : document::EndpointState::Unreachable;
    Mesh.Endpoints[Changed.Id] = Changed;
    Snapshots.set(Mesh);
  }

  /// Takes all tokens that `Node` grants within a window.
  int takeWindow(RetryBudgets &Node) {
    int Taken = 0;
    for (int Slice = 0; Slice < 10; ++Slice) {
      Node.update();
      while (Node.budgetOf(Service).tryAcquire(Time.now()))
        ++Taken;
      Time.advance(base::Millis(1'000));
    }
    return Taken;
  }

  void passWindow() { Time.advance(Shared.Window * 2); }

  boost::asio::io_context Context;
  base::ManualClock Time;
  document::MeshSnapshot Mesh;
  testing::FakeSnapshots Snapshots{Context.get_executor()};
  base::ServiceName Service{"s"};
  SharedRetryBudget Shared{0.2, 1000, base::Millis(10'000)};
};

TEST_CASE_METHOD(RetryBudgetsTest,
                 "A node uses its part of the fixed retries") {
  RetryBudgets Node(Time, Snapshots, Shared);
  passWindow();
  CHECK(takeWindow(Node) == 90);
}

// Guards against a process that uses the part of its predecessor once more.
TEST_CASE_METHOD(RetryBudgetsTest,
                 "A new process has no fixed retries in its first window") {
  RetryBudgets Before(Time, Snapshots, Shared);
  passWindow();
  CHECK(takeWindow(Before) == 90);
  RetryBudgets After(Time, Snapshots, Shared);
  CHECK(takeWindow(After) == 0);
  CHECK(takeWindow(After) == 90);
}

// Guards against two sides of a partition that both use the whole budget.
TEST_CASE_METHOD(RetryBudgetsTest,
                 "Nodes that are cut off keep their part of the retries") {
  RetryBudgets Node(Time, Snapshots, Shared);
  passWindow();
  Node.update();
  for (std::size_t I = 1; I < Nodes; ++I)
    setReachable(I, false);
  CHECK(takeWindow(Node) == 90);
  Time.advance(RetryBudgets::NodeRetention);
  CHECK(takeWindow(Node) == 900);
  for (std::size_t I = 1; I < Nodes; ++I)
    setReachable(I, true);
  passWindow();
  CHECK(takeWindow(Node) == 90);
}

// Guards against a service that is removed and added again within a window.
TEST_CASE_METHOD(RetryBudgetsTest,
                 "A service that returns does not get its retries once more") {
  RetryBudgets Node(Time, Snapshots, Shared);
  passWindow();
  while (Node.budgetOf(Service).tryAcquire(Time.now()))
    ;
  document::MeshSnapshot Without = Mesh;
  Without.Services.erase(Service);
  Snapshots.set(Without);
  Node.update();
  Snapshots.set(Mesh);
  CHECK_FALSE(Node.budgetOf(Service).hasToken(Time.now()));
}

} // namespace amaranth::dataplane
