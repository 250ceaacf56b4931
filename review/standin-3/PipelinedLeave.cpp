// Case 12: a client sends a further request behind the first one and leaves
// before its deadline. The target of the first request has to be told.

#include "Stage.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace review;

namespace {

constexpr std::size_t Clients = 24;
/// The clients that leave: a share of .25.
constexpr std::size_t Leaving = 6;
constexpr double WorkSeconds = 3.0;
constexpr double LeaveSeconds = 0.5;
constexpr int DeadlineMs = 8000;

/// What the targets did with the first request of each client.
struct Runs {
  std::mutex Lock;
  std::map<std::string, double> Ended;
};

void serveWork(Stream &Caller, const Message &Request, Record &Log, Runs &Seen,
               const std::string &Id) {
  std::string Attempt = attemptOf(Request);
  double Began = now();
  Log.line("target " + Id + ": began " + Attempt);
  // The second request of a connection needs no time.
  double End = Attempt.back() == 'a' ? Began + WorkSeconds : Began;
  bool Dropped = false;
  while (now() < End && !Dropped) {
    sleepFor(0.02);
    Dropped = Caller.peerClosed();
  }
  Log.line("target " + Id + (Dropped ? ": dropped " : ": finished ") + Attempt);
  {
    std::lock_guard<std::mutex> Guard(Seen.Lock);
    Seen.Ended[Attempt] = now();
  }
  if (!Dropped)
    Caller.send(answerHead(Request, 4) + "done");
}

/// Sends two requests on one connection. Returns the time of the close if the
/// client leaves, and otherwise 0 for two good responses and -1 for others.
double callTwice(const Address &To, const std::string &Id,
                 std::size_t BodyBytes, bool Leaves) {
  auto Node = Stream::connect(To, To.Ip);
  if (!Node)
    throw CannotRun{"no connection to a node"};
  Node->send(
      requestText("GET", "work.example", "/one", Id + "a", DeadlineMs, 0));
  sleepFor(0.05);
  Node->send(requestText("POST", "work.example", "/two", Id + "b", DeadlineMs,
                         BodyBytes));
  if (Leaves) {
    sleepFor(LeaveSeconds);
    Node->close();
    return now();
  }
  for (int Index = 0; Index < 2; ++Index) {
    auto Answer = readResponse(*Node, now() + DeadlineMs / 1000.0);
    if (!Answer || Answer->status() != 200 || !Answer->Complete)
      return -1;
  }
  return 0;
}

int run(const std::string &Root, const std::string &Folder) {
  Record Log(Folder + "/record.txt");
  // Without the disruption nobody leaves.
  bool Trouble = withTrouble();
  std::string Mode = Trouble ? "clients leave" : "all clients stay";
  Log.line("run: " + Mode);
  // SHORT=1 leaves with a short second request, which the node notices.
  const char *Short = std::getenv("SHORT");
  std::size_t BodyBytes = Short ? 100 : 24000;
  Runs Seen;
  Deployment Fleet(Root, {"front", "front", "work", "work", "work"}, Log);
  std::vector<std::unique_ptr<Target>> Targets;
  Fleet.start();
  for (std::size_t Node = 0; Node < Fleet.size(); ++Node) {
    std::string Id = "i-" + std::to_string(Node);
    Targets.push_back(std::make_unique<Target>(
        Id, Fleet.service(Node), Fleet.target(Node), Fleet.announce(Node),
        Fleet.zone(Node),
        [&Log, &Seen, Id](Stream &Caller, const Message &Request) {
          serveWork(Caller, Request, Log, Seen, Id);
        }));
  }
  Fleet.configure({{"r-work", "work.example", "idempotent", "work", 6.0, 2}});
  Fleet.waitReady();
  // All machines are in touch `contact_s` (3 s) after their start.
  sleepFor(6);

  std::vector<double> Left(Clients);
  std::vector<std::thread> Threads;
  for (std::size_t Client = 0; Client < Clients; ++Client)
    Threads.emplace_back([&, Client] {
      std::string Id = "p-" + std::to_string(Client);
      bool Leaves = Trouble && Client < Leaving;
      Left[Client] = callTwice(Fleet.caller(Client % 2), Id, BodyBytes, Leaves);
      Log.line("client: " + Id +
               (Left[Client] > 0    ? " left"
                : Left[Client] == 0 ? " got two good responses"
                                    : " got no good response"));
    });
  for (std::thread &Each : Threads)
    Each.join();
  sleepFor(WorkSeconds);

  std::size_t Counted = 0;
  std::size_t AtWork = 0;
  std::size_t Bad = 0;
  for (std::size_t Client = 0; Client < Clients; ++Client) {
    Bad += Left[Client] < 0;
    if (Left[Client] <= 0)
      continue;
    std::string Id = "p-" + std::to_string(Client) + "a";
    std::lock_guard<std::mutex> Guard(Seen.Lock);
    auto Entry = Seen.Ended.find(Id);
    if (Entry == Seen.Ended.end())
      continue;
    ++Counted;
    double Later = Entry->second - Left[Client];
    AtWork += Later > 0.5;
    char Line[120];
    std::snprintf(Line, sizeof(Line),
                  "target: work on %s ended %.3f s after the client left",
                  Id.c_str(), Later);
    Log.line(Line);
  }
  bool Broken = AtWork > 3 && AtWork * 4 > Counted;
  char Line[200];
  std::snprintf(Line, sizeof(Line),
                "%s: %zu left; the targets were still at work 0.5 s later on "
                "%zu of %zu: %s; %zu other clients got a bad answer",
                Mode.c_str(), Trouble ? Leaving : 0, AtWork, Counted,
                Broken ? "GONE broken" : "rule held", Bad);
  Log.line(Line);
  std::puts(Line);
  if (Fleet.ended() > 0 || Bad > 0 || (Trouble && Counted < Leaving)) {
    Log.line("the run is not sound");
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
