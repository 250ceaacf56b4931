// One control process is killed in the first second of the whole system's first
// start and comes back, as the platform starts it again.

#include "Target.h"

#include <cstdio>
#include <cstdlib>
#include <exception>

namespace review {

namespace {

/// From the start of the machines to the start of traffic, and the length of
/// the traffic, as in the site file.
constexpr Millis LeadTime = Millis(8000);
constexpr Millis TrafficTime = Millis(32000);
/// The machines start within 0.3 s of each other.
constexpr Millis StartSpread = Millis(250);
constexpr Millis DownTime = Millis(1500);
const std::string Service = "galerie";

int run(const std::string &Root, const std::string &RecordPath) {
  Record Log(RecordPath);
  const char *Choice = std::getenv("TROUBLE");
  bool Trouble = !Choice || std::string(Choice) != "0";
  Deployment Mesh(Root, {5, 2}, Log);
  RunLog Runs;
  Machine &Node = Mesh.addNode(Service);
  AppAddress App(Mesh.app(Node));
  Clock::time_point Start = Clock::now();
  Machine &First = *Mesh.core().front();
  First.Process->start();
  pauseFor(StartSpread);
  if (Trouble) {
    Log.line("disruption: " + First.Name + " is killed");
    First.Process->kill();
    // The first start of the whole system is over for this process.
    Mesh.writeSettings(First, false);
  }
  for (auto &Each : Mesh.core())
    if (Each.get() != &First)
      Each->Process->start();
  Node.Process->start();
  App.assign(std::make_shared<Target>(TargetOptions{Service}, Mesh.app(Node),
                                      Mesh.control(Node), Runs, Log));
  if (Trouble) {
    pauseFor(DownTime);
    First.Process->start();
  }
  Route Only{
      "gallery-view", "studio.example", "/gallery/", "idempotent", 3.0, 0.5,
      Service};
  Clock::time_point End = Start + LeadTime + TrafficTime;
  std::atomic<int> Served{0};
  std::atomic<int> Sent{0};
  // The clients come at the start of traffic, whether or not the configuration
  // has been accepted by then. Without the disruption a few requests suffice.
  std::thread Client([&] {
    while (Clock::now() < Start + LeadTime)
      pauseFor(Millis(50));
    while (Clock::now() < End && (Trouble || Served < 3)) {
      Response Got =
          call(Mesh.outbound(Node), "GET", "/gallery/" + std::to_string(++Sent),
               {{"Host", "studio.example"},
                {field::AttemptId, randomId()},
                {field::Deadline, "3000"}},
               "", Millis(4000));
      Served += Got.Status == 200 ? 1 : 0;
      Log.line("client: GET: " +
               (Got.Status == 0 ? Got.Failure : std::to_string(Got.Status)));
      pauseFor(Millis(500));
    }
  });
  int Accepted = sendConfiguration(Mesh, configuration(1, 0, {Service}, {Only}),
                                   LeadTime + TrafficTime, Log);
  Client.join();
  Log.line("result: configuration " +
           std::string(Accepted == 200 ? "accepted" : "never accepted") + ", " +
           std::to_string(Served) + " of " + std::to_string(Sent) +
           " requests served");
  return Served == 0 ? RuleBroken : RuleHeld;
}

} // namespace

} // namespace review

int main(int Count, char **Arguments) {
  if (Count != 3)
    return review::CouldNotRun;
  try {
    return review::run(Arguments[1], Arguments[2]);
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "%s\n", Failure.what());
    return review::CouldNotRun;
  }
}
