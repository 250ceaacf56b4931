#include "Target.h"

namespace review {

namespace {

constexpr Millis HeartbeatInterval = Millis(1500);
constexpr Millis HeartbeatTimeout = Millis(1000);

} // namespace

void RunLog::add(Run Entry) {
  std::lock_guard<std::mutex> Guard(Mutex);
  Runs.push_back(std::move(Entry));
}

void RunLog::markAnswered(const std::string &Attempt) {
  std::lock_guard<std::mutex> Guard(Mutex);
  for (Run &Each : Runs)
    if (Each.Attempt == Attempt)
      Each.Answered = Clock::now();
}

std::vector<Run> RunLog::all() const {
  std::lock_guard<std::mutex> Guard(Mutex);
  return Runs;
}

Target::Target(TargetOptions Given, Address App, Address Node, RunLog &Runs,
               Record &Log)
    : Options(std::move(Given)), App(std::move(App)), Node(std::move(Node)),
      Runs(Runs), Log(Log), Id("i-" + randomId().substr(0, 8)),
      Born(wallMillis()) {
  Log.line("target: " + Id + " of " + Options.Service + " started at " +
           this->App.text());
  Heart = std::thread([this] { sendHeartbeats(); });
}

Target::~Target() {
  Stopping = true;
  Heart.join();
}

Response Target::heartbeat() {
  std::string Zone = "zone-a";
  std::string Body = R"({"born":)" + std::to_string(Born) + R"(,"address":")" +
                     App.text() + R"(","info":{"service":")" + Options.Service +
                     R"(","version":")" + Options.Version + R"(","zone":")" +
                     Zone + R"(","slots":)" + std::to_string(Options.Slots) +
                     R"(},"status":{"phase":")" +
                     (Draining ? "draining" : "ready") + R"(","sequence":)" +
                     std::to_string(++Sequence) + R"(,"cold_left_s":0}})";
  return call(Node, "POST", "/instances/" + Id + "/heartbeat",
              {{"Host", Node.text()}, {"Content-Type", "application/json"}},
              Body, HeartbeatTimeout);
}

void Target::sendHeartbeats() {
  bool Known = false;
  while (!Stopping) {
    if (!Silent) {
      Response Got = heartbeat();
      if ((Got.Status == 200) != Known)
        Log.line("target: heartbeat of " + Id + ": " +
                 (Got.Status == 0 ? Got.Failure : std::to_string(Got.Status)));
      Known = Got.Status == 200;
    }
    Clock::time_point Next = Clock::now() + HeartbeatInterval;
    while (!Stopping && Clock::now() < Next)
      pauseFor(Millis(20));
  }
}

void Target::fallSilent() {
  Silent = true;
  Log.line("disruption: target " + Id + " falls silent");
}

bool Target::drain() {
  Draining = true;
  Response Got = heartbeat();
  Log.line("target: " + Id +
           " reported draining: " + std::to_string(Got.Status));
  return Got.Status >= 200 && Got.Status < 300;
}

Response Target::runRequest(const Request &Asked) {
  Response Result;
  auto Attempt = Asked.Headers.find(field::AttemptId);
  if (Attempt == Asked.Headers.end()) {
    Result.Status = 400;
    Result.Headers = {{field::NotExecuted, "1"}};
    return Result;
  }
  Result.Headers = {{field::AttemptId, Attempt->second}};
  auto Expected = Asked.Headers.find(field::ExpectInstance);
  if (Expected != Asked.Headers.end() && Expected->second != Id) {
    Log.line("target: " + Id + " answered 421 to " + Attempt->second);
    Result.Status = 421;
    Result.Headers[field::InstanceId] = Id;
    return Result;
  }
  auto Caller = Asked.Headers.find(field::CallerService);
  Run Entry{
      Attempt->second, Asked.Target,
      Options.Service, Caller == Asked.Headers.end() ? "" : Caller->second,
      Clock::now(),    std::nullopt};
  Runs.add(Entry);
  Log.line("target: " + Id + " of " + Options.Service + " runs " +
           Entry.Attempt + " " + Asked.Method + " " + Entry.Path +
           " of caller " + Entry.CallerService);
  int Busy = ++Running;
  pauseFor(Options.Work);
  --Running;
  Result.Status = 200;
  Result.Headers[field::Signature] = Id + "." + Entry.Attempt;
  Result.Headers[field::ServerLoad] =
      std::to_string(Busy) + ",0," + std::to_string(Options.Slots);
  Result.Body = "done by " + Options.Service + "\n";
  if (Options.AnswerBytes != 0)
    Result.Body = std::string(Options.AnswerBytes, 'x');
  return Result;
}

void Target::serve(const std::shared_ptr<Connection> &Peer) {
  Request Asked;
  while (Peer->read(Asked)) {
    if (Silent)
      continue;
    Response Answer = runRequest(Asked);
    if (Silent)
      continue;
    if (!Peer->writeResponse(Answer.Status, Answer.Headers, Answer.Body))
      return;
    auto Attempt = Answer.Headers.find(field::AttemptId);
    if (Attempt != Answer.Headers.end())
      Runs.markAnswered(Attempt->second);
  }
}

AppAddress::AppAddress(const Address &Local) {
  Server = std::make_unique<Listener>(
      Local, [this](const std::shared_ptr<Connection> &Peer) { serve(Peer); });
}

AppAddress::~AppAddress() { Server.reset(); }

void AppAddress::assign(std::shared_ptr<Target> Next) {
  std::lock_guard<std::mutex> Guard(Mutex);
  Earlier.push_back(Current);
  Current = std::move(Next);
}

void AppAddress::serve(const std::shared_ptr<Connection> &Peer) {
  std::shared_ptr<Target> Owner;
  {
    std::lock_guard<std::mutex> Guard(Mutex);
    Owner = Current;
  }
  if (Owner)
    Owner->serve(Peer);
}

} // namespace review
