#ifndef AMARANTH_E2E_TEST_SOAKCALLERS_H
#define AMARANTH_E2E_TEST_SOAKCALLERS_H

#include "amaranth/harness/HttpClient.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace amaranth::e2e {

/// Callers of a soak: threads that send requests to random nodes on connections
/// that they keep until the node's process is gone. They collect what they are
/// told; the main thread judges it.
class SoakCallers {
public:
  /// What the callers were told about a keyed request.
  struct Keyed {
    bool Answered = false;
    /// Every send was refused as not run.
    bool OnlyRefused = true;
  };
  /// Sends that began and ended in one phase of the soak.
  struct Counts {
    std::size_t Sent = 0;
    std::size_t Answered = 0;
    std::size_t Refused = 0;
  };

  SoakCallers(std::vector<base::Address> Nodes, unsigned Threads,
              std::uint64_t Seed);
  ~SoakCallers();
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  /// Sends `Target` again and again until it is replaced; none if empty.
  void setCrashing(const std::string &Target);
  /// Starts to count anew; sends that are on their way do not count.
  void beginPhase();
  void stop();

  const std::map<std::string, Keyed> &keyed() const { return KeyedRequests; }
  /// Responses that do not belong to their request. Empty when all is well.
  const std::vector<std::string> &violations() const { return Violations; }
  /// Counts of the current phase.
  Counts counts() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Total;
  }

private:
  void call(unsigned Thread, std::uint64_t Seed);
  void crash(std::uint64_t Seed);
  void record(const harness::HttpResponse &Answer, unsigned SentPhase,
              const std::string &Method, const std::string &Target);

  std::vector<base::Address> Nodes;
  std::atomic<bool> Stopped = false;
  std::atomic<unsigned> Phase = 0;
  std::mutex Mutex;
  std::string CrashingTarget;
  std::map<std::string, Keyed> KeyedRequests;
  std::vector<std::string> Violations;
  Counts Total;
  std::vector<std::thread> Threads;
};

} // namespace amaranth::e2e

#endif
