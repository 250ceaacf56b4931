#ifndef AMARANTH_REPLICATION_TEST_SIMULATEDNETWORK_H
#define AMARANTH_REPLICATION_TEST_SIMULATEDNETWORK_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Signal.h"
#include "amaranth/replication/Replica.h"

#include <map>
#include <random>
#include <set>

namespace amaranth::replication::testing {

/// Network between the replicas of a test, with delays, message loss,
/// duplication and partitions.
class SimulatedNetwork {
public:
  SimulatedNetwork(base::Clock &Time, boost::asio::any_io_executor Executor,
                   std::uint64_t Seed)
      : Time(Time), Executor(std::move(Executor)), Random(Seed) {}

  /// Replicas by address; null while the process is down.
  std::map<std::string, Replica *> Replicas;
  /// Partition: these addresses reach only one another.
  std::set<std::string> IsolatedAddresses;
  /// Probability, in units of 1/1000, that a message is lost, that it is
  /// delayed by up to 4 s, and that a request is delivered twice.
  unsigned FaultsPerMille = 0;
  std::uint64_t CallCount = 0;
  std::size_t LargestRequestBytes = 0;

  std::unique_ptr<Transport> makeTransport(std::string Address);

private:
  struct PendingCall {
    explicit PendingCall(const boost::asio::any_io_executor &Executor)
        : Completed(Executor) {}
    std::optional<base::Bytes> Reply;
    bool ConnectionRefused = false;
    base::Signal Completed;
  };
  class Endpoint;

  bool canReach(const std::string &From, const std::string &To) const {
    return IsolatedAddresses.contains(From) == IsolatedAddresses.contains(To);
  }
  bool faultOccurs() { return Random() % 1000 < FaultsPerMille; }
  base::Millis delay();
  boost::asio::awaitable<void> deliver(std::string From, std::string To,
                                       protocol::MessageType Type,
                                       base::Bytes Request,
                                       std::shared_ptr<PendingCall> Result);

  base::Clock &Time;
  boost::asio::any_io_executor Executor;
  std::mt19937_64 Random;
};

} // namespace amaranth::replication::testing

#endif
