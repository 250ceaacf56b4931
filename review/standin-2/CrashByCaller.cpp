// A request that crashes each target that runs it, for one caller only. The
// callers of other services ask for the same path and are answered.
//
// Usage: crash-by-caller ROOT RECORD
// TROUBLE=0 in the environment: the others ask for another path.

#include "../standin/Stage.h"
#include "../standin/Target.h"
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>

namespace review {

namespace {

const std::string Service = "hyllregister";
const std::string CrashingCaller = "gallring";
const std::string OtherCaller = "skanning";
constexpr const char *CrashingPath = "/hylla/carton-77";
constexpr int Targets = 4;
constexpr int OrderClients = 4;
constexpr int Slots = 12;
constexpr Millis Work = Millis(90);
/// "The target is back after some seconds".
constexpr Millis DownTime = Millis(2000);
constexpr Millis HeartbeatInterval = Millis(870);
constexpr Millis HeartbeatTimeout = Millis(1000);
/// `contact_s` of the site.
constexpr Millis Contact = Millis(3000);
constexpr Millis RunTime = Millis(40000);
constexpr Millis Before = Millis(4000);
/// The request comes again this long after its answer.
constexpr Millis RetryPause = Millis(1000);
constexpr Millis Deadline = Millis(800);
constexpr Millis RefusedPause = Millis(250);
constexpr std::size_t AllowedRetries = 3;

/// What the targets and the clients saw.
struct Sightings {
  std::mutex Mutex;
  std::vector<Clock::time_point> Crashes;
  std::set<std::string> OrdersRun;
  std::set<std::string> OrdersAnswered;
  int OrdersUnknown = 0;
  int OrdersRefused = 0;
};

/// A target whose process ends when it begins to run the crashing request, and
/// that is back some seconds later as a new process.
class FragileTarget {
public:
  FragileTarget(Address App, Address Node, Sightings &Seen, Record &Log)
      : App(std::move(App)), Node(std::move(Node)), Seen(Seen), Log(Log) {
    start();
    Keeper = std::thread([this] { keep(); });
  }
  ~FragileTarget() {
    Stopping = true;
    Keeper.join();
  }
  FragileTarget(const FragileTarget &) = delete;
  FragileTarget &operator=(const FragileTarget &) = delete;

private:
  void start() {
    std::lock_guard<std::mutex> Guard(Mutex);
    Id = "i-" + randomId().substr(0, 8);
    Born = wallMillis();
    Sequence = 0;
    Crashed = false;
    Server = std::make_unique<Listener>(
        App, [this](const std::shared_ptr<Connection> &Peer) { serve(Peer); });
  }

  void keep() {
    while (!Stopping) {
      if (Crashed) {
        Server.reset();
        pauseFor(DownTime);
        start();
      }
      sendHeartbeat();
      Clock::time_point Next = Clock::now() + HeartbeatInterval;
      while (!Stopping && !Crashed && Clock::now() < Next)
        pauseFor(Millis(2));
    }
    Server.reset();
  }

  void sendHeartbeat() {
    std::string Body =
        R"({"born":)" + std::to_string(Born) + R"(,"address":")" + App.text() +
        R"(","info":{"service":")" + Service +
        R"(","version":"v1","zone":"zone-a","slots":)" + std::to_string(Slots) +
        R"(},"status":{"phase":"ready","sequence":)" +
        std::to_string(++Sequence) + R"(,"cold_left_s":0}})";
    call(Node, "POST", "/instances/" + Id + "/heartbeat",
         {{"Host", Node.text()}, {"Content-Type", "application/json"}}, Body,
         HeartbeatTimeout);
  }

  void serve(const std::shared_ptr<Connection> &Peer) {
    Request Asked;
    while (!Crashed && Peer->read(Asked)) {
      std::string Attempt = Asked.Headers[field::AttemptId];
      std::string Caller = Asked.Headers[field::CallerService];
      if (Crashed)
        return;
      if (Asked.Headers[field::ExpectInstance] != Id) {
        if (!Peer->writeResponse(421, {{field::AttemptId, Attempt}}, ""))
          return;
        continue;
      }
      if (Asked.Target == CrashingPath && Caller == CrashingCaller) {
        Crashed = true;
        std::lock_guard<std::mutex> Guard(Seen.Mutex);
        Seen.Crashes.push_back(Clock::now());
        Log.line("target " + Id + " at " + App.text() + " crashes on " +
                 Attempt + ", time " + std::to_string(Seen.Crashes.size()));
        return;
      }
      if (Asked.Method == "POST") {
        std::lock_guard<std::mutex> Guard(Seen.Mutex);
        Seen.OrdersRun.insert(Attempt);
      }
      pauseFor(Work);
      // A process that has ended answers nothing.
      if (Crashed ||
          !Peer->writeResponse(200,
                               {{field::AttemptId, Attempt},
                                {field::Signature, Id + "." + Attempt}},
                               "done\n"))
        return;
    }
  }

  Address App;
  Address Node;
  Sightings &Seen;
  Record &Log;
  std::mutex Mutex;
  std::string Id;
  std::int64_t Born = 0;
  int Sequence = 0;
  std::atomic<bool> Crashed{false};
  std::atomic<bool> Stopping{false};
  std::unique_ptr<Listener> Server;
  std::thread Keeper;
};

Response ask(const Address &Entry, const std::string &Method,
             const std::string &Path, const std::string &Attempt) {
  return call(Entry, Method, Path,
              {{"Host", "arkiv.example"},
               {field::AttemptId, Attempt},
               {field::Deadline, std::to_string(Deadline.count())}},
              "", Deadline + Millis(500));
}

int run(const std::string &Root, const std::string &RecordPath) {
  Record Log(RecordPath);
  const char *Choice = std::getenv("TROUBLE");
  bool Trouble = !Choice || std::string(Choice) != "0";
  Deployment Mesh(Root, {3, 1, "1000.0"}, Log);
  std::vector<Machine *> Beside;
  Beside.reserve(Targets);
  for (int I = 0; I < Targets; ++I)
    Beside.push_back(&Mesh.addNode(Service));
  Machine &Crashing = Mesh.addNode(CrashingCaller);
  Machine &Other = Mesh.addNode(OtherCaller);
  Mesh.startCore();
  for (auto &Each : Mesh.nodes())
    Each->Process->start();
  Route Lookups{
      "shelf-lookup", "arkiv.example", "/hylla/", "idempotent", 0.8, 0.3,
      Service};
  Route Orders{
      "recall-order", "arkiv.example", "/order/", "non_idempotent", 0.8, 0.3,
      Service};
  if (sendConfiguration(Mesh,
                        configuration(1, 0,
                                      {Service, CrashingCaller, OtherCaller},
                                      {Lookups, Orders}),
                        Millis(15000), Log) != 200)
    return CouldNotRun;
  Sightings Seen;
  std::vector<std::unique_ptr<FragileTarget>> Fleet;
  Fleet.reserve(Targets);
  for (Machine *Each : Beside)
    Fleet.push_back(std::make_unique<FragileTarget>(
        Mesh.app(*Each), Mesh.control(*Each), Seen, Log));
  pauseFor(Millis(4000));

  Clock::time_point End = Clock::now() + RunTime;
  std::vector<std::thread> Clients;
  Clients.reserve(OrderClients + Mesh.nodes().size());
  std::atomic<int> Answered{0};
  for (int I = 0; I < OrderClients; ++I) {
    Clients.emplace_back([&] {
      while (Clock::now() < End) {
        std::string Attempt = randomId();
        std::string Path = "/order/";
        Path += Attempt;
        Response Got = ask(Mesh.outbound(Other), "POST", Path, Attempt);
        if (Got.Status != 200)
          pauseFor(RefusedPause);
        std::lock_guard<std::mutex> Guard(Seen.Mutex);
        if (Got.Status == 200)
          Seen.OrdersAnswered.insert(Attempt);
        else if (Got.Status == 503)
          ++Seen.OrdersRefused;
        else
          ++Seen.OrdersUnknown;
      }
    });
  }
  // Clients of every machine but one look up the same path.
  for (auto &Machine : Mesh.nodes()) {
    if (Machine->Service == CrashingCaller)
      continue;
    Clients.emplace_back([&, Entry = Mesh.outbound(*Machine)] {
      while (Clock::now() < End) {
        std::string Path = Trouble ? CrashingPath : "/hylla/carton-78";
        Answered += ask(Entry, "GET", Path, randomId()).Status == 200;
        pauseFor(Millis(50));
      }
    });
  }
  std::vector<Clock::time_point> Sent;
  pauseFor(Before);
  while (Clock::now() < End) {
    std::string Attempt = randomId();
    Sent.push_back(Clock::now());
    Response Got = ask(Mesh.outbound(Crashing), "GET", CrashingPath, Attempt);
    std::string Line = "client of " + CrashingCaller;
    Line.append(": ").append(Attempt).append(" ");
    Line += Got.Status == 0 ? Got.Failure : std::to_string(Got.Status);
    Log.line(Line);
    pauseFor(RetryPause);
  }
  for (std::thread &Each : Clients)
    Each.join();
  Fleet.clear();

  // Each retry that reached a target crashed it. Counted are those that were
  // sent later than `Contact` after the third crash.
  std::size_t Late = 0;
  for (std::size_t I = 0; I < Sent.size() && Seen.Crashes.size() >= 3; ++I) {
    Clock::time_point Until = I + 1 < Sent.size() ? Sent[I + 1] : End + Contact;
    bool Reached = std::any_of(Seen.Crashes.begin(), Seen.Crashes.end(),
                               [&](const Clock::time_point &At) {
                                 return At >= Sent[I] && At < Until;
                               });
    Late += Reached && Sent[I] > Seen.Crashes[2] + Contact ? 1 : 0;
  }
  std::size_t Lost = 0;
  for (const std::string &Each : Seen.OrdersRun)
    Lost += Seen.OrdersAnswered.count(Each) == 0 ? 1 : 0;
  Log.line("lookups of other callers answered: " +
           std::to_string(Answered.load()));
  Log.line("orders answered: " + std::to_string(Seen.OrdersAnswered.size()) +
           ", refused: " + std::to_string(Seen.OrdersRefused) +
           ", other: " + std::to_string(Seen.OrdersUnknown) +
           ", begun by a target and not answered with success: " +
           std::to_string(Lost));
  Log.line("result: " + std::to_string(Seen.Crashes.size()) +
           " crashes; retries that reached a target, sent later than 3 s after "
           "the third crash: " +
           std::to_string(Late) + " (" + std::to_string(AllowedRetries) +
           " allowed)");
  if (Seen.OrdersAnswered.empty())
    return CouldNotRun;
  return Late > AllowedRetries ? RuleBroken : RuleHeld;
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
