// A target leaves while the core is down, its node acknowledges this
// and is then restarted. A late heartbeat of the target reaches the new process
// of the node. From `drain_s` after the acknowledgement on, no request may
// reach the target.

#include "Stage.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

using namespace review;

namespace {

constexpr double DrainSeconds = 2;
constexpr double ContactSeconds = 3;
/// How long the core is down.
constexpr double DownSeconds = 2.0;
/// How late the heartbeat arrives.
constexpr double LateSeconds = 3.0;

struct Arrival {
  double At;
  std::string Attempt;
};

int run(const std::string &Root, const std::string &Folder) {
  Record Log(Folder + "/record.txt");
  // TROUBLE=core and TROUBLE=node give one of the two disruptions only.
  const char *Wanted = std::getenv("TROUBLE");
  std::string Kind = Wanted ? Wanted : "1";
  bool CoreDown = Kind != "0" && Kind != "node";
  bool NodeKilled = Kind != "0" && Kind != "core";
  std::string Mode = std::string(CoreDown ? "core down" : "core up") +
                     (NodeKilled ? ", node killed" : ", node not killed");
  Log.line("run: " + Mode);
  // One of 10 node machines is killed.
  Deployment Fleet(Root,
                   {"front", "front", "front", "front", "work", "work", "work",
                    "other", "other", "other"},
                   Log);
  constexpr std::size_t Leaver = 4;
  std::mutex Lock;
  std::vector<Arrival> Arrivals;
  std::map<std::string, double> SentAt;
  std::vector<std::unique_ptr<Target>> Targets;
  Fleet.start();
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node)
    Targets.push_back(std::make_unique<Target>(
        "i-" + std::to_string(Node), Fleet.service(Node), Fleet.target(Node),
        Fleet.announce(Node), Fleet.zone(Node),
        [&, Node](Stream &Caller, const Message &Request) {
          if (Node == Leaver) {
            std::lock_guard<std::mutex> Guard(Lock);
            Arrivals.push_back({now(), attemptOf(Request)});
          }
          Caller.send(answerHead(Request, 4) + "done");
        }));
  Fleet.configure({{"r-work", "work.example", "non_idempotent", "work", 1, 2}});
  Fleet.waitReady();
  // All machines are in touch `contact_s` after their start.
  sleepFor(6);

  std::atomic<bool> Running{true};
  std::atomic<std::size_t> Good{0};
  std::atomic<std::size_t> Other{0};
  std::vector<std::thread> Clients;
  for (std::size_t Client = 0; Client < 4; ++Client)
    Clients.emplace_back([&, Client] {
      for (int Index = 0; Running; ++Index) {
        std::string Id =
            "c-" + std::to_string(Client) + "-" + std::to_string(Index);
        {
          std::lock_guard<std::mutex> Guard(Lock);
          SentAt[Id] = now();
        }
        Outcome Got =
            call(Fleet.caller(Client),
                 requestText("POST", "work.example", "/order", Id, 1000, 10),
                 now() + 1.5);
        ++(Got.Status == 200 ? Good : Other);
        sleepFor(0.02);
      }
    });
  sleepFor(2);

  Target &Leaving = *Targets[Leaver];
  Leaving.stopAnnouncing();
  // Sent now, and delivered later.
  std::string Late = Leaving.takeHeartbeat();
  double LateAt = now() + LateSeconds;
  Log.line("target i-4: sent its last heartbeat (ready), which is delayed");
  double Down = now();
  if (CoreDown) {
    Fleet.killControls();
    Log.line("platform: all control processes killed");
  }
  sleepUntil(Down + 0.3);
  if (!Leaving.signOff())
    throw CannotRun{"the departure was not acknowledged"};
  double Acknowledged = now();
  Log.line("target i-4: its departure was acknowledged");
  sleepUntil(Down + 0.5);
  if (NodeKilled) {
    Fleet.restart(Leaver);
    Log.line("platform: node 4 killed and started again");
  }
  sleepUntil(Down + DownSeconds);
  if (CoreDown) {
    Fleet.restartControls();
    Log.line("platform: control processes started again");
  }
  double InTouch = now() + ContactSeconds + 0.2;
  sleepUntil(LateAt);
  bool Taken = Leaving.deliver(Late);
  Log.line(std::string("target i-4: its delayed heartbeat arrived, ") +
           (Taken ? "acknowledged" : "not acknowledged"));
  sleepUntil(LateAt + 7);
  Running = false;
  for (std::thread &Each : Clients)
    Each.join();

  std::size_t Broken = 0;
  std::lock_guard<std::mutex> Guard(Lock);
  for (const Arrival &Each : Arrivals) {
    double Sent = SentAt[Each.Attempt];
    if (Each.At < Acknowledged)
      continue;
    bool Counts = Each.At > Acknowledged + DrainSeconds && Sent > InTouch;
    Broken += Counts;
    char Line[160];
    std::snprintf(Line, sizeof(Line),
                  "target i-4: got %s %.3f s after the acknowledgement%s",
                  Each.Attempt.c_str(), Each.At - Acknowledged,
                  Counts ? ", all machines in touch" : "");
    Log.line(Line);
  }
  char Line[200];
  std::snprintf(Line, sizeof(Line),
                "%s: %zu good answers, %zu others; %zu requests reached the "
                "target later than drain_s after the acknowledgement, from "
                "machines in touch: %s",
                Mode.c_str(), Good.load(), Other.load(), Broken,
                Broken > 0 ? "DRAIN broken" : "rule held");
  Log.line(Line);
  std::puts(Line);
  if (Fleet.ended() > 0 || Good < 100) {
    Log.line("the run is not sound");
    return 2;
  }
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Words) {
  if (Count != 3)
    return 2;
  ::signal(SIGPIPE, SIG_IGN);
  try {
    return run(Words[1], Words[2]);
  } catch (const CannotRun &Fault) {
    std::puts(("cannot run: " + Fault.Why).c_str());
    return 2;
  }
}
