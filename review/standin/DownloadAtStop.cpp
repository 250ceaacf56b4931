// The machine that took downloads from its clients is stopped as planned while
// the answers wait for the narrow link of the machine beside the target.

#include "Target.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

namespace review {

namespace {

/// Values of fullres-download and its machines in large/lumina-mesh-large.toml.
constexpr const char *LinkMegabits = "6.9";
constexpr int DeadlineMs = 8000;
constexpr std::size_t AnswerBytes = 540000;
constexpr int Slots = 8;
constexpr Millis Work = Millis(130);
constexpr Millis Grace = Millis(6000);
/// From the requests to the SIGTERM; all requests have been read by then.
constexpr Millis StopAfter = Millis(400);
constexpr int Downloads = 9;
const std::string Service = "fisiere";

struct Download {
  std::string Attempt;
  Response Got;
  Millis Took{0};
};

int run(const std::string &Root, const std::string &RecordPath) {
  Record Log(RecordPath);
  const char *Choice = std::getenv("TROUBLE");
  bool Trouble = !Choice || std::string(Choice) != "0";
  Deployment Mesh(Root, {3, 1, LinkMegabits}, Log);
  RunLog Runs;
  Machine &Beside = Mesh.addNode(Service);
  Machine &Entry = Mesh.addNode("galerie");
  AppAddress App(Mesh.app(Beside));
  Mesh.startCore();
  for (auto &Each : Mesh.nodes())
    Each->Process->start();
  App.assign(std::make_shared<Target>(
      TargetOptions{Service, "v1", Slots, Work, AnswerBytes}, Mesh.app(Beside),
      Mesh.control(Beside), Runs, Log));
  Route Only{"fullres-download",
             "studio.example",
             "/files/",
             "download",
             8.0,
             2.0,
             Service};
  if (sendConfiguration(Mesh, configuration(1, 0, {Service, "galerie"}, {Only}),
                        Millis(15000), Log) != 200)
    return CouldNotRun;
  pauseFor(Millis(4000));

  std::vector<Download> All(Downloads);
  std::vector<std::thread> Clients;
  Clock::time_point Start = Clock::now();
  for (Download &Each : All) {
    Each.Attempt = randomId();
    Clients.emplace_back([&Each, &Mesh, &Entry, &Log, Start] {
      Each.Got = call(Mesh.outbound(Entry), "GET", "/files/" + Each.Attempt,
                      {{"Host", "studio.example"},
                       {field::AttemptId, Each.Attempt},
                       {field::Deadline, std::to_string(DeadlineMs)}},
                      "", Millis(DeadlineMs + 1000));
      Each.Took = std::chrono::duration_cast<Millis>(Clock::now() - Start);
      Log.line("client: " + Each.Attempt + ": " +
               (Each.Got.Status == 0 ? Each.Got.Failure
                                     : std::to_string(Each.Got.Status)) +
               ", " + std::to_string(Each.Got.Body.size()) + " bytes, after " +
               std::to_string(Each.Took.count()) + " ms");
    });
  }
  pauseFor(StopAfter);
  Clock::time_point Stop = Clock::now();
  if (Trouble) {
    Log.line("planned work: SIGTERM to " + Entry.Name);
    Entry.Process->signal(SIGTERM);
    pauseFor(Grace);
    Entry.Process->kill();
  }
  for (std::thread &Each : Clients)
    Each.join();

  // A request at which its target is at work in the last sixth of the grace
  // time does not count.
  std::set<std::string> Done;
  for (const Run &Each : Runs.all()) {
    if (!Each.Answered)
      continue;
    auto After =
        std::chrono::duration_cast<Millis>(*Each.Answered - Stop).count();
    Log.line("target: wrote the whole answer to " + Each.Attempt + " " +
             std::to_string(After) + " ms after the SIGTERM");
    if (After < Grace.count() * 5 / 6)
      Done.insert(Each.Attempt);
  }
  int Whole = 0;
  int Lost = 0;
  for (const Download &Each : All) {
    Whole += Each.Got.Status == 200 ? 1 : 0;
    bool Cut = Each.Got.Status == 0 && Each.Took.count() < DeadlineMs;
    Lost += Cut && Done.count(Each.Attempt) != 0 ? 1 : 0;
  }
  Log.line("result: " + std::to_string(Whole) + " downloads whole, " +
           std::to_string(Lost) +
           " passed on and cut without a whole answer before their deadline");
  if (Whole == 0)
    return CouldNotRun;
  return Lost != 0 ? RuleBroken : RuleHeld;
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
