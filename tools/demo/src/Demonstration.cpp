#include "Demonstration.h"

#include "amaranth/base/Clock.h"
#include "amaranth/base/Digest.h"
#include "amaranth/base/IniFile.h"
#include "amaranth/document/UtcTime.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <regex>

namespace json = boost::json;

namespace amaranth::demo {

namespace {

constexpr base::Millis StartLimit = base::Millis::seconds(60);
constexpr base::Millis RequestLimit = base::Millis::seconds(10);
constexpr base::Millis DownloadLimit = base::Millis::seconds(60);
/// From the start of a rollout of the demonstration to its deadline.
constexpr base::Millis RolloutLength = base::Millis::seconds(120);
constexpr base::Millis RolloutLimit = base::Millis::seconds(150);
constexpr std::size_t DownloadBytes = 64U << 20U;

struct ServicePlan {
  const char *Service;
  const char *Region;
  unsigned Upstreams;
  unsigned Slots;
};

// The upstreams of both deployments.
constexpr ServicePlan Services[] = {
    {"galerie", "ro-nord", 6, 9},        {"programari", "ro-nord", 3, 9},
    {"fisiere", "ro-nord", 3, 9},        {"plati", "ro-nord", 3, 9},
    {"hyllregister", "sve-mitt", 4, 12}, {"hamtning", "sve-mitt", 3, 12},
    {"skanning", "sve-mitt", 3, 12},     {"gallring", "sve-mitt", 3, 12}};

std::string zoneOf(const char *Region, unsigned Index) {
  return fmt::format("{}-{}", Region, 1 + Index % 3);
}

std::string rolloutSection(const std::string &Service, const std::string &Owner,
                           const std::string &Guards) {
  base::SystemClock Time;
  base::WallTime Start = Time.wallNow();
  return fmt::format("[rollout {}]\nowner = {}\nfrom = v1\nto = v2\n"
                     "start = {}\ndeadline = {}\n{}\n",
                     Service, Owner, document::formatUtcTime(Start),
                     document::formatUtcTime(Start + RolloutLength), Guards);
}

void writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::ofstream(Path) << Text;
}

} // namespace

Demonstration::Demonstration(std::filesystem::path Programs,
                             std::filesystem::path Folder)
    : Mesh(std::move(Programs), std::move(Folder)) {}

bool Demonstration::run() {
  startEverything();
  applyDocument();
  sendRequests();
  downloadSlowly();
  resendWithKey();
  changeTimeout();
  killAndRestart();
  runRollouts();
  printControlBytes();
  std::cout << (Failures == 0 ? "\nevery step passed\n"
                              : fmt::format("\n{} checks failed\n", Failures));
  return Failures == 0;
}

void Demonstration::startEverything() {
  step("start 3 control processes, and a node and an upstream for each VM");
  Mesh.startControl(3, {"ro-nord-1", "ro-nord-2", "ro-nord-3"});
  check(Mesh.waitForControl(StartLimit),
        "the control processes form a cluster");
  for (const ServicePlan &Plan : Services)
    for (unsigned I = 0; I < Plan.Upstreams; ++I)
      Mesh.startVm(Plan.Service, "v1", zoneOf(Plan.Region, I), Plan.Slots,
                   {"--time=exp:3"});
  for (unsigned I = 0; I < 3; ++I)
    Mesh.startVm("programari", "v2", zoneOf("ro-nord", I), 9, {"--time=exp:3"});
  for (unsigned I = 0; I < 3; ++I)
    Mesh.startVm("plati", "v2", zoneOf("ro-nord", I), 9,
                 {"--time=exp:3", "--fault=fail", "--fault-rate=0.5"});
  std::cout << fmt::format("  {} VMs\n", Mesh.Vms.size());
}

void Demonstration::applyDocument() {
  step("apply the document of both deployments");
  harness::Output Applied = Mesh.ctl({"apply", AMARANTH_DEMO_DOCUMENT});
  std::cout << Applied.StandardOutput << Applied.StandardError;
  check(Applied.ExitCode == 0, "amaranthctl apply reports accepted");
  check(Mesh.waitForNodes(StartLimit), "every node is ready");
  printConvergence();
}

void Demonstration::sendRequests() {
  step("send requests for every service through every node");
  unsigned Sent = 0;
  unsigned Good = 0;
  for (const auto &Entry : Mesh.Vms) {
    for (const ServicePlan &Plan : Services) {
      auto Target = fmt::format("/{}/hello", Plan.Service);
      // The upstreams may still be announcing themselves.
      harness::HttpResponse Answer;
      bool Arrived = harness::waitUntil(
          [&] {
            Answer = request(*Entry, "GET", Target);
            return Answer.Status == 200;
          },
          RequestLimit);
      ++Sent;
      Good += Arrived ? 1 : 0;
      if (!Arrived)
        std::cout << fmt::format(
            "  {} via {}: status {} {} {}\n", Target, Entry->Id, Answer.Status,
            Answer.header("x-amaranth-reason"), Answer.Failure);
    }
  }
  check(Sent == Good, fmt::format("{} of {} requests answered", Good, Sent));
}

void Demonstration::downloadSlowly() {
  step("download 64 MiB with a caller that reads slowly");
  harness::HttpRequest Download;
  Download.Target = fmt::format("/fisiere/size/{}", DownloadBytes);
  Download.ReadPause = base::Millis(10);
  auto Answer =
      harness::sendRequest(Mesh.Vms.front()->Caller, Download, DownloadLimit);
  check(Answer.Status == 200 && Answer.Body.size() == DownloadBytes,
        fmt::format("status {}, {} bytes {}", Answer.Status, Answer.Body.size(),
                    Answer.Failure));
}

void Demonstration::resendWithKey() {
  step("send one booking twice with the same Idempotency-Key");
  std::string Key = base::randomHexId();
  auto First = request(*Mesh.Vms[0], "POST", "/programari/book", Key);
  auto Second = request(*Mesh.Vms[1], "POST", "/programari/book", Key);
  check(First.Status == 200, fmt::format("first: status {} {}", First.Status,
                                         First.header("x-amaranth-reason")));
  check(Second.Status == 200 && Second.Body == First.Body,
        "the second one gets the stored response of the first");
}

void Demonstration::changeTimeout() {
  step("change one section and measure the convergence time");
  writeFile(Mesh.folder() / "change.ini", changedDocument());
  harness::Output Applied =
      Mesh.ctl({"apply", (Mesh.folder() / "change.ini").string()});
  std::cout << Applied.StandardOutput << Applied.StandardError;
  check(Applied.ExitCode == 0, "amaranthctl apply reports accepted");
  printConvergence();
  harness::Output Stale =
      Mesh.ctl({"apply", (Mesh.folder() / "change.ini").string()});
  check(Stale.ExitCode == 5, "the same revision again is a conflict");
}

void Demonstration::runRollouts() {
  step("move programari to a good v2 and plati to a faulty v2");
  writeFile(Mesh.folder() / "rollouts.ini",
            rolloutSection("programari", "studio",
                           "steps = 10, 50, 100\nmin-requests = 20") +
                rolloutSection("plati", "office",
                               "steps = 10, 50, 100\nmin-requests = 20\n"
                               "risk = high"));
  std::vector<harness::Process> Loads;
  for (const char *Service : {"programari", "plati"})
    Loads.emplace_back(
        Mesh.program("amaranth-bench"),
        std::vector<std::string>{
            "load", "--target=" + Mesh.Vms.front()->Caller.text(),
            fmt::format("--path=/{}/slots", Service), "--rate=100",
            fmt::format("--seconds={}", RolloutLimit.count() / 1000)},
        Mesh.folder() / "load.log");
  harness::Output Applied =
      Mesh.ctl({"apply", (Mesh.folder() / "rollouts.ini").string()});
  std::cout << Applied.StandardOutput << Applied.StandardError;
  check(Applied.ExitCode == 0, "amaranthctl apply reports accepted");
  check(waitForPhase("plati", "rolled-back"), "the faulty v2 is rolled back");
  check(waitForPhase("programari", "done"), "the good v2 is done");
  std::cout << Mesh.ctl({"versions"}).StandardOutput;
}

void Demonstration::killAndRestart() {
  step("kill a control process and a node, and start them again");
  harness::ControlProcess &Control = *Mesh.Controls.front();
  harness::UpstreamVm &Vm = *Mesh.Vms.front();
  Control.Running->kill();
  Vm.Node->kill();
  auto Answer = request(*Mesh.Vms[1], "GET", "/galerie/while-down");
  check(Answer.Status == 200, "another node answers meanwhile");
  Mesh.startControlProcess(Control);
  Mesh.startNode(Vm);
  check(Mesh.waitForNodes(StartLimit), "every node is ready again");
  check(harness::waitUntil(
            [&] { return request(Vm, "GET", "/galerie/after").Status == 200; },
            RequestLimit),
        "the restarted node answers");
}

void Demonstration::printControlBytes() {
  step("control bytes so far, received by each node");
  double Sum = 0;
  double Max = 0;
  for (const auto &Vm : Mesh.Vms) {
    harness::HttpRequest Scrape;
    Scrape.Target = "/metrics";
    auto Page = harness::sendRequest(Vm->Announce, Scrape, RequestLimit);
    double Bytes = harness::metricValue(
        Page.Body, "amaranth_follower_received_bytes_total");
    Sum += Bytes;
    Max = std::max(Max, Bytes);
  }
  std::cout << fmt::format("  mean {:.0f} bytes, largest {:.0f} bytes\n",
                           Sum / static_cast<double>(Mesh.Vms.size()), Max);
}

void Demonstration::check(bool Passed, const std::string &What) {
  std::cout << (Passed ? "  ok      " : "  FAILED  ") << What << std::endl;
  Failures += Passed ? 0 : 1;
}

void Demonstration::step(const std::string &Title) {
  std::cout << "\n== " << Title << std::endl;
}

harness::HttpResponse Demonstration::request(const harness::UpstreamVm &Entry,
                                             const std::string &Method,
                                             const std::string &Target,
                                             const std::string &Key) {
  harness::HttpRequest Request;
  Request.Method = Method;
  Request.Target = Target;
  if (!Key.empty())
    Request.Headers["Idempotency-Key"] = Key;
  return harness::sendRequest(Entry.Caller, Request, RequestLimit);
}

std::string Demonstration::changedDocument() {
  std::string Text = Mesh.ctl({"get"}).StandardOutput;
  auto Section = Text.find("[route hyllregister]");
  auto Next = Text.find("\n[", Section);
  std::string Changed = Text.substr(Section, Next - Section);
  return std::regex_replace(Changed, std::regex("timeout = \\S+"),
                            "timeout = 4s") +
         "\n";
}

void Demonstration::printConvergence() {
  base::Millis Longest;
  bool Complete = harness::waitUntil(
      [&] {
        Longest = base::Millis();
        for (const auto &Control : Mesh.Controls) {
          auto Answer = Mesh.operatorGet(*Control, "/v1/status?stale=true");
          if (Answer.Status != 200)
            return false;
          json::value Status = json::parse(Answer.Body);
          const json::value &Took = Status.at("nodes").at("converged_after_ms");
          bool Latest =
              Status.at("nodes").at("document") == Status.at("document");
          if (!Latest || !Took.is_int64())
            return false;
          Longest = std::max(Longest, base::Millis(Took.as_int64()));
        }
        return true;
      },
      StartLimit);
  check(Complete,
        fmt::format("in force on every node after {} ms", Longest.count()));
}

bool Demonstration::waitForPhase(const std::string &Service,
                                 const std::string &Phase) {
  return harness::waitUntil(
      [&] {
        auto Answer = Mesh.operatorGet(*Mesh.Controls.back(), "/v1/versions");
        if (Answer.Status != 200)
          return false;
        json::value Versions = json::parse(Answer.Body);
        for (const json::value &Entry : Versions.at("services").as_array())
          if (Entry.at("service").as_string() == Service)
            return Entry.at("rollout").at("phase").as_string() == Phase;
        return false;
      },
      RolloutLimit);
}

void Demonstration::waitForEnter() {
  std::cout << fmt::format(
      "\namaranthctl --server={} --key-file={}\ncallers: {}\n"
      "Press Enter to end.\n",
      Mesh.operatorServers(), Mesh.operatorKeyFile().string(),
      Mesh.Vms.front()->Caller.text());
  std::string Line;
  std::getline(std::cin, Line);
}

} // namespace amaranth::demo
