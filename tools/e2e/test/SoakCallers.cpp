#include "SoakCallers.h"

#include "amaranth/harness/Process.h"

#include <fmt/format.h>

#include <memory>

namespace amaranth::e2e {

namespace {

constexpr base::Millis CallLimit = base::Millis::seconds(4);
constexpr base::Millis CrashingInterval = base::Millis(40);
constexpr base::Millis CallPause = base::Millis(5);
constexpr unsigned KeyedPercent = 40;
constexpr unsigned MaxSends = 3;

/// Connections of one thread, one to each node.
class Connections {
public:
  explicit Connections(const std::vector<base::Address> &Nodes) {
    for (const base::Address &Node : Nodes)
      Clients.push_back(std::make_unique<harness::KeepAliveClient>(Node));
  }
  harness::HttpResponse send(std::size_t Node,
                             const harness::HttpRequest &Request) {
    return Clients[Node % Clients.size()]->send(Request, CallLimit);
  }

private:
  std::vector<std::unique_ptr<harness::KeepAliveClient>> Clients;
};

bool isNotRun(const harness::HttpResponse &Answer) {
  return Answer.header("x-amaranth-outcome") == "not-run";
}

} // namespace

SoakCallers::SoakCallers(std::vector<base::Address> Nodes, unsigned ThreadCount,
                         std::uint64_t Seed)
    : Nodes(std::move(Nodes)) {
  for (unsigned I = 0; I < ThreadCount; ++I)
    Threads.emplace_back([this, I, Seed] { call(I, Seed + I); });
  Threads.emplace_back([this, Seed] { crash(Seed); });
}

SoakCallers::~SoakCallers() { stop(); }

void SoakCallers::stop() {
  Stopped = true;
  for (std::thread &Each : Threads)
    Each.join();
  Threads.clear();
}

void SoakCallers::setCrashing(const std::string &Target) {
  std::lock_guard<std::mutex> Lock(Mutex);
  CrashingTarget = Target;
}

void SoakCallers::beginPhase() {
  std::lock_guard<std::mutex> Lock(Mutex);
  ++Phase;
  Total = {};
}

void SoakCallers::record(const harness::HttpResponse &Answer,
                         unsigned SentPhase, const std::string &Method,
                         const std::string &Target) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (SentPhase == Phase) {
    ++Total.Sent;
    Total.Refused += isNotRun(Answer) ? 1 : 0;
    Total.Answered += Answer.Status == 200 ? 1 : 0;
  }
  if (Answer.Status != 200)
    return;
  std::string Expected = fmt::format("{} {} ", Method, Target);
  if (!Answer.Body.starts_with(Expected))
    Violations.push_back(fmt::format("'{}' got the response '{}'", Expected,
                                     Answer.Body.substr(0, 100)));
}

void SoakCallers::call(unsigned Thread, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  Connections Links(Nodes);
  for (unsigned Count = 0; !Stopped; ++Count) {
    harness::HttpRequest Request;
    Request.Target = fmt::format("/bookings/{}/{}", Thread, Count);
    bool IsKeyed = Random() % 100 < KeyedPercent;
    std::string Key = fmt::format("{}-{}", Thread, Count);
    if (IsKeyed) {
      Request.Method = "POST";
      Request.Headers["Idempotency-Key"] = Key;
    }
    Keyed Told;
    for (unsigned Sends = 0; Sends < MaxSends && !Told.Answered; ++Sends) {
      unsigned SentPhase = Phase;
      auto Answer = Links.send(Random(), Request);
      record(Answer, SentPhase, Request.Method, Request.Target);
      Told.Answered = Answer.Status == 200;
      Told.OnlyRefused = Told.OnlyRefused && isNotRun(Answer);
    }
    if (IsKeyed) {
      std::lock_guard<std::mutex> Lock(Mutex);
      KeyedRequests[Key] = Told;
    }
    harness::pause(CallPause);
  }
}

void SoakCallers::crash(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  Connections Links(Nodes);
  while (!Stopped) {
    harness::HttpRequest Request;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Request.Target = CrashingTarget;
    }
    if (!Request.Target.empty())
      Links.send(Random(), Request);
    harness::pause(CrashingInterval);
  }
}

} // namespace amaranth::e2e
