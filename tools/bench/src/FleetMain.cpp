#include "amaranth/base/CommandLine.h"
#include "amaranth/base/Error.h"
#include "amaranth/harness/Deployment.h"

#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace amaranth::bench {

namespace {

const char *const Usage =
    R"(amaranth-bench-fleet: cost of control on real processes.

Usage:
  amaranth-bench-fleet --programs=DIR [--nodes=N] [--changes=N] [--seconds=S]
  amaranth-bench-fleet (-h | --help)

Starts three control processes and N nodes with their upstreams on loopback,
measures an idle period, then applies changes one after the other, and prints
processor time, memory and control bytes for each node and each control
process as the difference between the two periods.

Options:
  --programs=DIR  Build folder with the programs.
  --nodes=N       Number of nodes [default: 25].
  --changes=N     Number of changes [default: 20].
  --seconds=S     Length of each period in seconds [default: 20].
  -h --help       Show this text.
)";

constexpr base::Millis StartLimit = base::Millis::seconds(120);
constexpr unsigned ServiceCount = 4;

/// Counters of one process at one moment.
struct ProcessUsage {
  double CpuMillis = 0;
  double ResidentKiB = 0;
};

ProcessUsage usageOf(pid_t Pid) {
  ProcessUsage Result;
  std::ifstream Stat(fmt::format("/proc/{}/stat", Pid));
  std::string Line;
  std::getline(Stat, Line);
  // The name in parentheses may contain spaces; fields count from there.
  std::istringstream Fields(Line.substr(Line.rfind(')') + 2));
  std::string Field;
  constexpr int UserTimeField = 11;
  for (int I = 0; I < UserTimeField; ++I)
    Fields >> Field;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  Result.CpuMillis =
      (User + System) * 1000 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::ifstream Status(fmt::format("/proc/{}/status", Pid));
  while (std::getline(Status, Line))
    if (Line.starts_with("VmHWM:"))
      Result.ResidentKiB = std::stod(Line.substr(6));
  return Result;
}

/// Sums over all processes of one role.
struct Sample {
  double CpuMillis = 0;
  double MaxResidentKiB = 0;
  double Bytes = 0;
};

class FleetRun {
public:
  FleetRun(const base::Arguments &Args)
      : Mesh(Args.at("--programs").asString(),
             std::filesystem::temp_directory_path() /
                 fmt::format("amaranth-fleet-{}", ::getpid())),
        Nodes(static_cast<unsigned>(Args.at("--nodes").asLong())),
        Changes(static_cast<unsigned>(Args.at("--changes").asLong())),
        Seconds(Args.at("--seconds").asLong()) {}

  void run() {
    start();
    Sample Nodes0 = sampleNodes();
    Sample Control0 = sampleControl();
    harness::pause(base::Millis::seconds(Seconds));
    Sample Nodes1 = sampleNodes();
    Sample Control1 = sampleControl();
    for (unsigned I = 0; I < Changes; ++I) {
      apply(I + 1);
      harness::pause(base::Millis(Seconds * 1000 / Changes));
    }
    Sample Nodes2 = sampleNodes();
    Sample Control2 = sampleControl();
    print(Nodes0, Nodes1, Nodes2, Control0, Control1, Control2);
  }

private:
  void start() {
    Mesh.startControl(3, {"z1", "z2", "z3"});
    if (!Mesh.waitForControl(StartLimit))
      throw base::Error("the control processes formed no cluster");
    for (unsigned I = 0; I < Nodes; ++I)
      Mesh.startVm(fmt::format("s{}", I % ServiceCount), "v1",
                   fmt::format("z{}", 1 + I % 3), 9);
    apply(0);
    if (!Mesh.waitForNodes(StartLimit))
      throw base::Error("not every node became ready");
    harness::pause(base::Millis::seconds(5));
  }

  void apply(unsigned Number) {
    std::string Text;
    if (Number == 0) {
      for (unsigned I = 0; I < ServiceCount; ++I)
        Text += fmt::format("[service s{0}]\nowner = studio\nversion = v1\n"
                            "[version s{0}/v1]\nowner = studio\nnote = x\n"
                            "[route s{0}]\nowner = studio\npath = /s{0}\n"
                            "service = s{0}\ntimeout = 5s\n",
                            I);
    } else {
      Text = fmt::format("[route s0]\nrevision = {}\nowner = studio\n"
                         "path = /s0\nservice = s0\ntimeout = {}ms\n",
                         RouteRevision, 5000 + Number);
    }
    auto File = Mesh.folder() / "change.ini";
    std::ofstream(File) << Text;
    harness::Output Result = Mesh.ctl({"apply", File.string()});
    if (Result.ExitCode != 0)
      throw base::Error("apply failed: " + Result.StandardError);
    auto Mark = Result.StandardOutput.find("[route s0] revision ");
    RouteRevision = std::stoull(
        Result.StandardOutput.substr(Mark + sizeof "[route s0] revision " - 1));
  }

  Sample sampleNodes() {
    Sample Sum;
    for (const auto &Vm : Mesh.Vms) {
      add(Sum, usageOf(Vm->Node->pid()));
      harness::HttpRequest Scrape;
      Scrape.Target = "/metrics";
      auto Page = harness::sendRequest(Vm->Announce, Scrape, StartLimit);
      Sum.Bytes += harness::metricValue(
          Page.Body, "amaranth_follower_received_bytes_total");
    }
    return Sum;
  }

  Sample sampleControl() {
    Sample Sum;
    for (const auto &Control : Mesh.Controls)
      add(Sum, usageOf(Control->Running->pid()));
    return Sum;
  }

  static void add(Sample &Sum, const ProcessUsage &One) {
    Sum.CpuMillis += One.CpuMillis;
    Sum.MaxResidentKiB = std::max(Sum.MaxResidentKiB, One.ResidentKiB);
  }

  void print(const Sample &N0, const Sample &N1, const Sample &N2,
             const Sample &C0, const Sample &C1, const Sample &C2) const {
    auto Span = static_cast<double>(Seconds);
    double Count = Nodes;
    std::cout << fmt::format(
        "nodes {} changes {} period {} s\n"
        "node idle:    {:.3f} % of a core, {:.1f} bytes/s\n"
        "node changes: {:.3f} % of a core, {:.1f} bytes per change\n"
        "node memory:  {:.1f} MiB at most\n"
        "control idle: {:.3f} % of a core, changes {:.3f} %, memory {:.1f} MiB "
        "at most (each of 3)\n",
        Nodes, Changes, Seconds,
        (N1.CpuMillis - N0.CpuMillis) / Count / Span / 10,
        (N1.Bytes - N0.Bytes) / Count / Span,
        (N2.CpuMillis - N1.CpuMillis) / Count / Span / 10,
        ((N2.Bytes - N1.Bytes) - (N1.Bytes - N0.Bytes)) / Count / Changes,
        N2.MaxResidentKiB / 1024, (C1.CpuMillis - C0.CpuMillis) / 3 / Span / 10,
        (C2.CpuMillis - C1.CpuMillis) / 3 / Span / 10,
        C2.MaxResidentKiB / 1024);
  }

  harness::Deployment Mesh;
  unsigned Nodes;
  unsigned Changes;
  std::int64_t Seconds;
  std::uint64_t RouteRevision = 0;
};

} // namespace

} // namespace amaranth::bench

int main(int Count, char **Values) {
  using namespace amaranth;
  auto Args = base::parseCommandLine(bench::Usage, Count, Values);
  try {
    bench::FleetRun(Args).run();
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << "amaranth-bench-fleet: " << Failure.what() << '\n';
    return 1;
  }
}
