// A configuration adds a route whose host name has a capital letter; clients
// send that host name just as it is written there.

#include "Target.h"

#include <cstdio>
#include <cstdlib>
#include <exception>

namespace review {

namespace {

constexpr int FirstLabel = 3;
constexpr int SecondLabel = 5;
constexpr int RequestsEach = 60;
constexpr Millis ConfigTime = Millis(2000);
const std::string Service = "galerie";

/// Sends requests to a route and counts those that are refused with 404.
int countNotFound(const Address &Entry, const Route &Of, Record &Log) {
  int NotFound = 0;
  int Served = 0;
  for (int I = 0; I < RequestsEach; ++I) {
    std::string Path = Of.Prefix + std::to_string(I);
    Response Got = call(Entry, "GET", Path,
                        {{"Host", Of.Host},
                         {field::AttemptId, randomId()},
                         {field::Deadline, "3000"}},
                        "", Millis(4000));
    NotFound += Got.Status == 404 ? 1 : 0;
    Served += Got.Status == 200 ? 1 : 0;
    std::string Text =
        Got.Status == 0 ? Got.Failure : std::to_string(Got.Status);
    std::string Line = "client: GET http://";
    Line.append(Of.Host).append(Path).append(": ").append(Text);
    Log.line(Line);
  }
  Log.line("route " + Of.Name + ": " + std::to_string(Served) + " served, " +
           std::to_string(NotFound) + " answered 404");
  return NotFound;
}

int run(const std::string &Root, const std::string &RecordPath) {
  Record Log(RecordPath);
  const char *Choice = std::getenv("TROUBLE");
  bool Trouble = !Choice || std::string(Choice) != "0";
  Deployment Mesh(Root, {3, 1}, Log);
  RunLog Runs;
  Machine &Node = Mesh.addNode(Service);
  AppAddress App(Mesh.app(Node));
  Mesh.startCore();
  Node.Process->start();
  App.assign(
      std::make_shared<Target>(TargetOptions{Service, "v1", 9, Millis(10)},
                               Mesh.app(Node), Mesh.control(Node), Runs, Log));
  Route Old{
      "gallery-view", "studio.example", "/gallery/", "idempotent", 3.0, 0.5,
      Service};
  Route Added{"gallery-cluj",
              "Cluj.studio.example",
              "/gallery/",
              "idempotent",
              3.0,
              0.5,
              Service};
  if (sendConfiguration(Mesh, configuration(FirstLabel, 0, {Service}, {Old}),
                        Millis(15000), Log) != 200)
    return CouldNotRun;
  pauseFor(Millis(4000));
  if (countNotFound(Mesh.outbound(Node), Old, Log) != 0)
    return CouldNotRun;
  int NotFound = 0;
  if (Trouble) {
    Log.line("disruption: a configuration adds a route");
    std::string Body =
        configuration(SecondLabel, FirstLabel, {Service}, {Old, Added});
    if (sendConfiguration(Mesh, Body, Millis(15000), Log) != 200)
      return CouldNotRun;
    pauseFor(ConfigTime + Millis(1000));
    NotFound = countNotFound(Mesh.outbound(Node), Added, Log);
  }
  NotFound += countNotFound(Mesh.outbound(Node), Old, Log);
  Log.line("result: " + std::to_string(NotFound) +
           " requests refused with 404 though the route is there");
  return NotFound != 0 ? RuleBroken : RuleHeld;
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
