// A large configuration is acknowledged; then all control processes are killed
// and come back with their disks.

#include "Stage.h"

#include <cstdlib>
#include <exception>

namespace review {

namespace {

constexpr int SmallLabel = 3;
constexpr int LargeLabel = 8;
constexpr int SmallRoutes = 300;
constexpr int LargeRoutes = 4500;
constexpr Millis RecoverTime = Millis(15000);
constexpr Millis ContactTime = Millis(3000);

/// Routes like those of a site: four services and routes that are rarely used.
std::vector<Route> routes(const std::vector<std::string> &Services, int Count) {
  std::vector<Route> Result;
  for (int I = 0; I < Count; ++I) {
    std::string Number = std::to_string(100000 + I);
    const std::string &Service =
        Services[static_cast<std::size_t>(I) % Services.size()];
    Route Next;
    Next.Name.append(Service).append("-session-").append(Number);
    Next.Host.append("studio-")
        .append(std::to_string(I % 40))
        .append(".lumina.example");
    Next.Prefix.append("/")
        .append(Service)
        .append("/cluj/sessions/2026/owner-")
        .append(Number)
        .append("/");
    Next.Kind = I % 2 == 0 ? "idempotent" : "download";
    Next.TimeoutS = 3.0;
    Next.ObjectiveS = 0.5;
    Next.Service = Service;
    Result.push_back(std::move(Next));
  }
  return Result;
}

/// Reads the configuration back at one machine and records the answer.
Response readBack(Deployment &Mesh, Machine &At, Record &Log) {
  Response Got = call(Mesh.control(At), "GET", "/config/get",
                      {{"Host", Mesh.control(At).text()}}, "", Millis(2000));
  std::string Text = Got.Failure;
  if (Got.Status == 200)
    Text =
        "200, configuration " + std::to_string(labelOf(Got.Body).value_or(0));
  else if (Got.Status != 0)
    Text = std::to_string(Got.Status) + " " + Got.Body.substr(0, 120);
  Log.line("operator: read at " + At.Name + ": " + Text);
  return Got;
}

int run(const std::string &Root, const std::string &RecordPath) {
  Record Log(RecordPath);
  const char *Choice = std::getenv("TROUBLE");
  bool Trouble = !Choice || std::string(Choice) != "0";
  Deployment Mesh(Root, {5, 2}, Log);
  Mesh.startCore();
  std::vector<std::string> Services = {"galerie", "programari", "fisiere",
                                       "plati"};
  std::string Small =
      configuration(SmallLabel, 0, Services, routes(Services, SmallRoutes));
  std::string Large = configuration(LargeLabel, SmallLabel, Services,
                                    routes(Services, LargeRoutes));
  if (sendConfiguration(Mesh, Small, Millis(15000), Log) != 200)
    return CouldNotRun;
  // The two control processes that are no seeds become voters meanwhile.
  pauseFor(ContactTime);
  if (sendConfiguration(Mesh, Large, Millis(15000), Log) != 200)
    return CouldNotRun;
  pauseFor(ContactTime);
  for (auto &Each : Mesh.core())
    if (labelOf(readBack(Mesh, *Each, Log).Body) != LargeLabel)
      return CouldNotRun;
  if (Trouble) {
    Log.line("disruption: all control processes are killed");
    for (auto &Each : Mesh.core())
      Each->Process->kill();
    for (auto &Each : Mesh.core())
      Mesh.writeSettings(*Each, false);
    pauseFor(Millis(800));
    Mesh.startCore();
  }
  // The operator reads back for `contact_s` after `recover_s`.
  Clock::time_point Back = Clock::now();
  bool Older = false;
  bool Came = false;
  while (!Older && Clock::now() < Back + RecoverTime + ContactTime) {
    for (auto &Each : Mesh.core()) {
      Response Got = readBack(Mesh, *Each, Log);
      bool IsLarge = Got.Status == 200 && labelOf(Got.Body) == LargeLabel;
      Older = Older || (Got.Status == 200 && !IsLarge);
      Came = Came || IsLarge;
    }
    if (Came && !Trouble)
      break;
    pauseFor(Millis(1000));
  }
  int Ends = 0;
  for (auto &Each : Mesh.core())
    Ends += Each->Process->endsByItself();
  Log.line("result: configuration " + std::to_string(LargeLabel) +
           (Came ? " was read back" : " was never read back") +
           (Older ? ", an older one was read" : "") +
           "; processes ended by "
           "themselves " +
           std::to_string(Ends) + " times");
  return Older || !Came ? RuleBroken : RuleHeld;
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
