#ifndef AMARANTH_E2E_TEST_LOAD_H
#define AMARANTH_E2E_TEST_LOAD_H

#include "amaranth/harness/HttpClient.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace amaranth::e2e {

/// Threads that send one request after the other until they are stopped.
/// Assertions of Catch2 belong to the main thread, so the answers are
/// collected.
class Load {
public:
  /// `Send(Thread, Count)` sends request `Count` of a thread.
  using Sender =
      std::function<harness::HttpResponse(unsigned Thread, unsigned Count)>;

  Load(unsigned Threads, Sender Send);
  ~Load();
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;

  std::size_t answered();
  /// Waits until `More` further answers arrived; false if they never do.
  bool waitForMore(std::size_t More);
  /// Ends the threads and returns every answer.
  std::vector<harness::HttpResponse> stop();

private:
  void work(unsigned Thread);

  Sender Send;
  std::atomic<bool> Stopped = false;
  std::mutex Mutex;
  std::vector<harness::HttpResponse> Answers;
  std::vector<std::thread> Threads;
};

} // namespace amaranth::e2e

#endif
