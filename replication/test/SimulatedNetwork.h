#ifndef AMARANTH_REPLICATION_TEST_SIMULATEDNETWORK_H
#define AMARANTH_REPLICATION_TEST_SIMULATEDNETWORK_H

#include "amaranth/base/Clock.h"
#include "amaranth/base/Signal.h"
#include "amaranth/replication/Replica.h"

#include <map>
#include <random>
#include <set>

namespace amaranth::replication::testing {

/// Delivers calls between replicas of one test with delay, loss, duplication
/// and partitions.
class SimulatedNetwork {
public:
  SimulatedNetwork(base::Clock &Time, boost::asio::any_io_executor Executor,
                   std::uint64_t Seed)
      : Time(Time), Executor(std::move(Executor)), Random(Seed) {}

  /// Null while the process is down.
  std::map<std::string, Replica *> Processes;
  /// Addresses that cannot reach the others; they reach one another.
  std::set<std::string> CutOff;
  /// Messages of 1,000 that are lost, delivered late or delivered twice.
  unsigned LossPerMille = 0;
  std::uint64_t Calls = 0;
  std::size_t LargestRequest = 0;

  std::unique_ptr<Transport> transportOf(std::string Address);

private:
  struct Exchange {
    explicit Exchange(const boost::asio::any_io_executor &Executor)
        : Changed(Executor) {}
    std::optional<base::Bytes> Reply;
    bool Undelivered = false;
    base::Signal Changed;
  };
  class End;

  bool reaches(const std::string &From, const std::string &To) const {
    return CutOff.contains(From) == CutOff.contains(To);
  }
  bool unlucky() { return Random() % 1000 < LossPerMille; }
  base::Millis delay();
  boost::asio::awaitable<void> deliver(std::string From, std::string To,
                                       protocol::MessageType Type,
                                       base::Bytes Request,
                                       std::shared_ptr<Exchange> Result);

  base::Clock &Time;
  boost::asio::any_io_executor Executor;
  std::mt19937_64 Random;
};

} // namespace amaranth::replication::testing

#endif
