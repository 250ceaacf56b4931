// Downloads are in progress when the machine of their target freezes.
// The clients' machines are calm; they have to give a final answer half a
// second after the route's `timeout_s` at the latest.

#include "Stage.h"

#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr std::size_t Clients = 48;
constexpr std::size_t Pieces = 8;
constexpr std::size_t PieceBytes = 64U << 10U;
constexpr double TimeoutSeconds = 1.0;
constexpr int DeadlineMs = 5000;
constexpr double FreezeSeconds = 4.0;

void serveDownload(Stream &Caller, const Message &Request, Record &Log,
                   const std::string &Id) {
  Log.line("target " + Id + ": began " + attemptOf(Request));
  if (!Caller.send(answerHead(Request, Pieces * PieceBytes)))
    return;
  for (std::size_t Piece = 0; Piece < Pieces; ++Piece) {
    sleepFor(0.05);
    if (!Caller.send(std::string(PieceBytes, 'd'))) {
      Log.line("target " + Id + ": dropped " + attemptOf(Request));
      return;
    }
  }
  Log.line("target " + Id + ": wrote all of " + attemptOf(Request));
}

int run(const std::string &Root, const std::string &Folder) {
  Record Log(Folder + "/record.txt");
  std::string Mode = withTrouble() ? "with the freeze" : "without the freeze";
  Log.line("run " + Mode);
  // Clients are at the machines of "front". One of 10 machines freezes.
  Deployment Fleet(Root,
                   {"front", "front", "front", "front", "scan", "scan", "scan",
                    "other", "other", "other"},
                   Log);
  constexpr std::size_t Frozen = 4;
  std::vector<std::unique_ptr<Target>> Targets;
  Fleet.start();
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node) {
    std::string Id = "i-" + std::to_string(Node);
    Targets.push_back(std::make_unique<Target>(
        Id, Fleet.service(Node), Fleet.target(Node), Fleet.announce(Node),
        Fleet.zone(Node), [&Log, Id](Stream &Caller, const Message &Request) {
          serveDownload(Caller, Request, Log, Id);
        }));
  }
  Fleet.configure(
      {{"r-scan", "scan.example", "download", "scan", TimeoutSeconds, 2}});
  Fleet.waitReady();
  // All machines are in touch `contact_s` (3 s) after their start.
  sleepFor(6);

  std::vector<Outcome> Outcomes(Clients);
  std::vector<std::thread> Threads;
  for (std::size_t Client = 0; Client < Clients; ++Client)
    Threads.emplace_back([&, Client] {
      std::string Id = "d-" + std::to_string(Client);
      Log.line("client: sent " + Id);
      Outcomes[Client] =
          call(Fleet.caller(Client % 4),
               requestText("GET", "scan.example", "/book", Id, DeadlineMs, 0),
               now() + DeadlineMs / 1000.0 + 3);
    });
  sleepFor(0.2);
  if (withTrouble()) {
    Fleet.signal(Frozen, SIGSTOP);
    Log.line("platform: node " + std::to_string(Frozen) + " frozen");
    sleepFor(FreezeSeconds);
    Fleet.signal(Frozen, SIGCONT);
    Log.line("platform: node " + std::to_string(Frozen) + " thawed");
  }
  for (std::thread &Each : Threads)
    Each.join();

  std::size_t Longer = 0;
  std::size_t Late = 0;
  std::size_t Good = 0;
  for (std::size_t Client = 0; Client < Clients; ++Client) {
    const Outcome &Each = Outcomes[Client];
    double Took = Each.Ended - Each.Sent;
    Longer += Took > TimeoutSeconds;
    Late += Took > TimeoutSeconds + 0.5;
    Good += Each.Status == 200 && Each.Complete && Each.Signed;
    char Line[160];
    std::snprintf(Line, sizeof(Line),
                  "client: d-%zu ended after %.3f s, status %d, %zu bytes, %s",
                  Client, Took, Each.Status, Each.BodyBytes,
                  Each.Complete ? "complete" : "not complete");
    Log.line(Line);
  }
  std::size_t Ended = Fleet.ended();
  bool Broken = Late >= 8 && Late * 4 > Longer;
  char Line[200];
  std::snprintf(Line, sizeof(Line),
                "%s: %zu requests, %zu complete; %zu lasted longer than "
                "timeout_s, %zu of them had no final answer 0.5 s after it: "
                "%s",
                Mode.c_str(), Clients, Good, Longer, Late,
                Broken ? "CONFIG broken" : "rule held");
  Log.line(Line);
  std::puts(Line);
  if (Ended > 0) {
    Log.line("a daemon has ended");
    return 2;
  }
  if (!withTrouble() && Good < Clients) {
    Log.line("the run without the disruption is not sound");
    return 2;
  }
  return Broken ? 1 : 0;
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
