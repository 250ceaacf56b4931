#include "SimulatedNetwork.h"

#include "amaranth/base/Timeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;

namespace amaranth::replication::testing {

class SimulatedNetwork::Endpoint final : public Transport {
public:
  Endpoint(SimulatedNetwork &Network, std::string Address)
      : Network(Network), Address(std::move(Address)) {}

  asio::awaitable<base::Bytes> call(std::string Peer,
                                    protocol::MessageType Type,
                                    base::Bytes Request,
                                    base::Millis Timeout) override {
    ++Network.CallCount;
    Network.LargestRequestBytes =
        std::max(Network.LargestRequestBytes, Request.size());
    auto Result = std::make_shared<PendingCall>(Network.Executor);
    // The transport never repeats a proposal: if one is rejected, the caller
    // relies on it not being applied.
    bool NoDuplicate = Type == protocol::MessageType::ProposeRequest;
    int Copies = !NoDuplicate && Network.faultOccurs() ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      asio::co_spawn(Network.Executor,
                     Network.deliver(Address, Peer, Type, Request, Result),
                     asio::detached);
    co_await base::withTimeout(Network.Time, Timeout, waitForReply(Result));
    if (Result->ConnectionRefused)
      throw protocol::ChannelClosed("connection refused");
    if (!Result->Reply)
      throw base::TimeoutError("no reply within the timeout");
    co_return *Result->Reply;
  }

private:
  static asio::awaitable<void>
  waitForReply(std::shared_ptr<PendingCall> Result) {
    while (!Result->Reply && !Result->ConnectionRefused)
      co_await Result->Completed.wait();
  }

  SimulatedNetwork &Network;
  std::string Address;
};

std::unique_ptr<Transport>
SimulatedNetwork::makeTransport(std::string Address) {
  return std::make_unique<Endpoint>(*this, std::move(Address));
}

base::Millis SimulatedNetwork::delay() {
  // A message delayed by up to 4 s may arrive after several elections.
  auto DelayMs =
      static_cast<std::int64_t>(Random() % (faultOccurs() ? 4000 : 10));
  return base::Millis(1 + DelayMs);
}

asio::awaitable<void>
SimulatedNetwork::deliver(std::string From, std::string To,
                          protocol::MessageType Type, base::Bytes Request,
                          std::shared_ptr<PendingCall> Result) {
  co_await Time.sleepFor(delay());
  if (!canReach(From, To) || faultOccurs())
    co_return;
  auto Found = Replicas.find(To);
  if (Found == Replicas.end() || !Found->second) {
    // A refused connection tells the caller that the request was not delivered.
    // With faults enabled that is unknown: a second copy may have arrived.
    if (!faultOccurs() && FaultsPerMille == 0) {
      Result->ConnectionRefused = true;
      Result->Completed.notifyAll();
    }
    co_return;
  }
  base::Bytes Reply = co_await Found->second->handle(Type, std::move(Request));
  co_await Time.sleepFor(delay());
  if (!canReach(From, To) || faultOccurs())
    co_return;
  Result->Reply = std::move(Reply);
  Result->Completed.notifyAll();
}

} // namespace amaranth::replication::testing
