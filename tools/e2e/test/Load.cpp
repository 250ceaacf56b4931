#include "Load.h"

#include "MeshTest.h"

namespace amaranth::e2e {

namespace {

constexpr base::Millis PauseBetween = base::Millis(10);

} // namespace

Load::Load(unsigned Count, Sender Send) : Send(std::move(Send)) {
  for (unsigned I = 0; I < Count; ++I)
    Threads.emplace_back([this, I] { work(I); });
}

Load::~Load() { stop(); }

void Load::work(unsigned Thread) {
  for (unsigned Count = 0; !Stopped; ++Count) {
    harness::HttpResponse Answer = Send(Thread, Count);
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Answers.push_back(std::move(Answer));
    }
    harness::pause(PauseBetween);
  }
}

std::size_t Load::answered() {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Answers.size();
}

bool Load::waitForMore(std::size_t More) {
  std::size_t Goal = answered() + More;
  return harness::waitUntil([&] { return answered() >= Goal; }, WaitLimit);
}

std::vector<harness::HttpResponse> Load::stop() {
  Stopped = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  return Answers;
}

} // namespace amaranth::e2e
