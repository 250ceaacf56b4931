#include "MeshTest.h"
#include "SoakCallers.h"
#include "amaranth/base/Digest.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <regex>

namespace amaranth::e2e {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr unsigned Callers = 8;
constexpr base::Millis EventGap = base::Millis(400);
constexpr base::Millis MaxOutage = base::Millis(2500);
constexpr base::Millis CrashingPeriod = base::Millis(3000);
constexpr base::Millis LoopPause = base::Millis(20);
constexpr base::Millis CalmTime = base::Millis::seconds(2);
/// Time after the last fault until promises with a bound hold again.
constexpr base::Millis SettleTime = base::Millis::seconds(3);

unsigned numberFromEnvironment(const char *Name, unsigned Default) {
  const char *Text = std::getenv(Name);
  return Text ? static_cast<unsigned>(std::stoul(Text)) : Default;
}

SteadyClock::time_point after(base::Millis Span) {
  return SteadyClock::now() + std::chrono::milliseconds(Span.count());
}

} // namespace

/// Runs the real programs under random signals and changes that overlap. The
/// seed is that of `--rng-seed`; AMARANTH_SOAK_SECONDS and AMARANTH_SOAK_VMS
/// set length and size.
class SoakTest : public MeshTest {
protected:
  /// A process that is stopped, killed or restarted; it is left alone until it
  /// runs again.
  using Target = std::optional<harness::Process> *;

  void run(unsigned VmCount, base::Millis Length) {
    start(VmCount, {"--time=fixed:10", "--crash-marker=poison"});
    std::vector<base::Address> Nodes;
    for (const auto &Vm : Mesh.Vms)
      Nodes.push_back(Vm->Caller);
    SoakCallers Calls(Nodes, Callers, Random());
    auto End = after(Length);
    auto NextEvent = after(EventGap);
    auto NextPoison = after(CrashingPeriod);
    for (; SteadyClock::now() < End; harness::pause(LoopPause)) {
      runDueActions();
      checkProcesses();
      if (SteadyClock::now() >= NextEvent) {
        startEvent();
        NextEvent = after(randomTime(EventGap) + EventGap / 2);
      }
      if (SteadyClock::now() >= NextPoison) {
        Calls.setCrashing(fmt::format("/bookings/poison/{}", ++Poisons));
        NextPoison = after(CrashingPeriod);
      }
    }
    finish(Calls, VmCount);
  }

  base::Millis randomTime(base::Millis Most) {
    return base::Millis(static_cast<std::int64_t>(
        Random() % static_cast<std::uint64_t>(Most.count())));
  }

  void later(base::Millis Delay, std::function<void()> Action) {
    Actions.emplace(after(Delay), std::move(Action));
  }

  void runDueActions() {
    while (!Actions.empty() && Actions.begin()->first <= SteadyClock::now()) {
      auto Action = std::move(Actions.begin()->second);
      Actions.erase(Actions.begin());
      Action();
    }
  }

  void startEvent() {
    auto &Vm = *Mesh.Vms[Random() % Mesh.Vms.size()];
    auto &Control = *Mesh.Controls[Random() % Mesh.Controls.size()];
    auto StartNode = [&, this] { Mesh.startNode(Vm); };
    auto StartUpstream = [&, this] { Mesh.startUpstream(Vm); };
    auto StartControl = [&, this] { Mesh.startControlProcess(Control); };
    switch (Random() % 8) {
    case 0:
      return freeze(Vm.Node);
    case 1:
      return end(Vm.Node, SIGKILL, StartNode);
    case 2:
      return end(Vm.Node, SIGTERM, StartNode);
    case 3:
      return end(Vm.Server, SIGKILL, StartUpstream);
    case 4:
      return freeze(Vm.Server);
    // A majority of the control processes stays undisturbed.
    case 5:
      if (!ControlDisturbed)
        freeze(Control.Running);
      return;
    case 6:
      if (!ControlDisturbed)
        end(Control.Running, SIGKILL, StartControl);
      return;
    default:
      return change();
    }
  }

  bool isControl(Target Process) const {
    return std::any_of(
        Mesh.Controls.begin(), Mesh.Controls.end(),
        [&](const auto &Each) { return &Each->Running == Process; });
  }

  bool claim(std::optional<harness::Process> &Process) {
    if (!Disturbed.insert(&Process).second)
      return false;
    ControlDisturbed = ControlDisturbed || isControl(&Process);
    return true;
  }

  void release(Target Process) {
    Disturbed.erase(Process);
    if (isControl(Process))
      ControlDisturbed = false;
  }

  void freeze(std::optional<harness::Process> &Process) {
    if (!claim(Process))
      return;
    Process->signal(SIGSTOP);
    later(randomTime(MaxOutage), [this, &Process] {
      Process->signal(SIGCONT);
      release(&Process);
    });
  }

  void end(std::optional<harness::Process> &Process, int Signal,
           std::function<void()> Start) {
    if (!claim(Process))
      return;
    Process->signal(Signal);
    later(randomTime(MaxOutage), [this, &Process, Start = std::move(Start)] {
      restartWhenEnded(Process, Start);
    });
  }

  void restartWhenEnded(std::optional<harness::Process> &Process,
                        std::function<void()> Start) {
    if (Process->isRunning()) {
      later(LoopPause, [this, &Process, Start = std::move(Start)] {
        restartWhenEnded(Process, Start);
      });
      return;
    }
    Start();
    release(&Process);
  }

  /// Tries to change the route's timeout. An attempt with an unknown outcome is
  /// sent again, with the same id, by the next call.
  void change() {
    if (Operation.empty()) {
      std::string Section = routeSection();
      if (Section.empty())
        return;
      ++Timeout;
      std::ofstream(Mesh.folder() / "change.ini")
          << std::regex_replace(Section, std::regex("timeout = \\S+"),
                                fmt::format("timeout = {}s", Timeout));
      Operation = "--operation=" + base::randomHexId();
    }
    auto Applied = Mesh.ctl({"apply", "--timeout=2s", Operation,
                             (Mesh.folder() / "change.ini").string()});
    if (Applied.ExitCode != 0)
      return;
    Operation.clear();
    ++Changes;
    checkTimeout();
  }

  /// What was acknowledged is read back, whoever answers.
  void checkTimeout() {
    std::string Section = routeSection();
    INFO(Section);
    if (!Section.empty())
      CHECK(Section.find(fmt::format("timeout = {}s", Timeout)) !=
            std::string::npos);
  }

  /// Nothing ends by itself but upstreams that a request has crashed.
  void checkProcesses() {
    for (auto &Vm : Mesh.Vms) {
      if (!Disturbed.contains(&Vm->Node) && !Vm->Node->isRunning())
        FAIL(Vm->Id << " ended by itself: " << lastLines(Vm->Id));
      if (Disturbed.contains(&Vm->Server) || Vm->Server->isRunning())
        continue;
      ++Crashes;
      claim(Vm->Server);
      later(randomTime(MaxOutage), [this, &Vm = *Vm] {
        Mesh.startUpstream(Vm);
        release(&Vm.Server);
      });
    }
    for (auto &Control : Mesh.Controls)
      if (!Disturbed.contains(&Control->Running) &&
          !Control->Running->isRunning())
        FAIL("a control process ended by itself: "
             << lastLines(Control->Settings.stem().string()));
  }

  /// End of the log of the process `Name`.
  std::string lastLines(const std::string &Name) const {
    constexpr std::size_t Bytes = 2000;
    std::ifstream File(Mesh.folder() / (Name + ".log"));
    std::string Text{std::istreambuf_iterator<char>(File), {}};
    return Text.substr(Text.size() - std::min(Text.size(), Bytes));
  }

  void settle(base::Millis Span) {
    for (auto End = after(Span); SteadyClock::now() < End || !Actions.empty();
         harness::pause(LoopPause)) {
      runDueActions();
      checkProcesses();
    }
  }

  void finish(SoakCallers &Calls, unsigned VmCount) {
    Calls.setCrashing("");
    settle(SettleTime);
    REQUIRE(Mesh.waitForControl(WaitLimit));
    REQUIRE(Mesh.waitForNodes(WaitLimit));
    unsigned CrashesUnderFaults = Crashes;
    // Each gate convicts after two crashes of its own, also without control.
    CHECK(Crashes <= Poisons * VmCount * 2);
    Calls.setCrashing("/bookings/poison/last");
    settle(SettleTime);
    CHECK(Crashes - CrashesUnderFaults >= 1);
    CHECK(Crashes - CrashesUnderFaults <= 2);
    Calls.setCrashing("");
    settle(SettleTime);
    for (const auto &Vm : Mesh.Vms) {
      harness::HttpResponse Answer;
      bool Served = harness::waitUntil(
          [&] {
            Answer = send(*Vm, "GET", "/bookings/end");
            return Answer.Status == 200;
          },
          WaitLimit);
      INFO(describe(Answer));
      CHECK(Served);
    }
    if (Changes != 0 && Operation.empty())
      checkTimeout();
    // Nothing is disturbed any more, so every request is served.
    auto Disturbance = Calls.counts();
    Calls.beginPhase();
    settle(CalmTime);
    auto Calm = Calls.counts();
    Calls.stop();
    std::cout << fmt::format(
        "soak: {} sent, {} answered, {} refused, {} keyed, {} crashing "
        "requests "
        "crashed {} upstreams, {} changes; in calm {} sent, {} answered\n",
        Disturbance.Sent, Disturbance.Answered, Disturbance.Refused,
        Calls.keyed().size(), Poisons + 1, Crashes, Changes, Calm.Sent,
        Calm.Answered);
    checkAnswers(Calls);
    CHECK(Calm.Sent > 0);
    CHECK(Calm.Answered == Calm.Sent);
  }

  void checkAnswers(const SoakCallers &Calls) {
    for (const std::string &Violation : Calls.violations())
      FAIL_CHECK(Violation);
    auto Executed = executions();
    for (const auto &[Key, Count] : Executed) {
      INFO("key " << Key);
      CHECK(Count == 1);
    }
    for (const auto &[Key, Told] : Calls.keyed()) {
      INFO("key " << Key);
      if (Told.Answered)
        CHECK(Executed.contains(Key));
      if (Told.OnlyRefused)
        CHECK_FALSE(Executed.contains(Key));
    }
  }

  std::mt19937_64 Random{Catch::rngSeed()};
  std::multimap<SteadyClock::time_point, std::function<void()>> Actions;
  std::set<const std::optional<harness::Process> *> Disturbed;
  bool ControlDisturbed = false;
  std::string Operation;
  unsigned Timeout = 15;
  unsigned Changes = 0;
  unsigned Poisons = 0;
  unsigned Crashes = 0;
};

// Guards the promises P3, P5, P6, P7 and P10 and crash isolation against
// signals, restarts and changes in any order.
TEST_CASE_METHOD(SoakTest, "Soak under random signals keeps the promises") {
  unsigned Seconds = numberFromEnvironment("AMARANTH_SOAK_SECONDS", 20);
  unsigned Vms = numberFromEnvironment("AMARANTH_SOAK_VMS", 6);
  std::cout << fmt::format("soak: repeat with AMARANTH_SOAK_SECONDS={} "
                           "AMARANTH_SOAK_VMS={} soak_test --rng-seed {}\n",
                           Seconds, Vms, Catch::rngSeed());
  run(Vms, base::Millis::seconds(Seconds));
}

} // namespace amaranth::e2e
