#include "MeshTest.h"

#include <catch2/catch.hpp>

#include <fstream>

namespace amaranth::e2e {

class SettingsTest : public MeshTest {
protected:
  SettingsTest() {
    Mesh.startControl(1, {"zone-1"});
    Mesh.startVm("bookings", "v1", "zone-1", 1);
    for (const auto &Vm : Mesh.Vms) {
      Vm->Node->kill();
      Vm->Server->kill();
    }
    Mesh.Controls.front()->Running->kill();
  }

  harness::Output run(const std::string &Program,
                      const std::vector<std::string> &Arguments) {
    return harness::runProgram(Mesh.program(Program), Arguments, Mesh.folder(),
                               WaitLimit);
  }

  /// Copies settings with a further line and returns the copy's path and the
  /// number of that line.
  std::pair<std::string, unsigned> spoil(const std::filesystem::path &Good,
                                         const std::string &Line) {
    std::ifstream In(Good);
    auto Copy = Mesh.folder() / "bad.ini";
    std::ofstream Out(Copy);
    unsigned Count = 1;
    for (std::string Text; std::getline(In, Text); ++Count)
      Out << Text << '\n';
    Out << Line << '\n';
    return {Copy.string(), Count};
  }

  void checkBadSettings(const std::string &Program,
                        const std::filesystem::path &Good,
                        const std::string &Line, const std::string &Key) {
    auto [File, Number] = spoil(Good, Line);
    for (bool CheckOnly : {true, false}) {
      std::vector<std::string> Arguments = {"--config=" + File};
      if (CheckOnly)
        Arguments.emplace_back("--check-config");
      harness::Output Result = run(Program, Arguments);
      INFO(Program << ' ' << Line << ": " << Result.StandardError);
      CHECK(Result.ExitCode == 1);
      CHECK(Result.StandardError.find(File + ":" + std::to_string(Number)) !=
            std::string::npos);
      CHECK(Result.StandardError.find(Key) != std::string::npos);
    }
  }
};

// Guards against settings that are taken with a fault in them.
TEST_CASE_METHOD(SettingsTest, "Bad settings name file, line and key") {
  const auto &Control = Mesh.Controls.front()->Settings;
  const auto &Node = Mesh.Vms.front()->NodeSettings;
  for (const auto &[Program, Good] :
       {std::pair("amaranth-control", Control), {"amaranth-node", Node}}) {
    harness::Output Valid =
        run(Program, {"--config=" + Good.string(), "--check-config"});
    INFO(Program << ": " << Valid.StandardError);
    CHECK(Valid.ExitCode == 0);
    CHECK(Valid.StandardOutput == "settings are valid\n");
    checkBadSettings(Program, Good, "log-level = loud", "log-level");
    checkBadSettings(Program, Good, "colour = red", "colour");
    checkBadSettings(Program, Good, "availability-zone = zone-9",
                     "availability-zone: duplicate key");
    // Such a line has no key, so the message tells what is expected.
    checkBadSettings(Program, Good, "no equals sign", "expected 'key = value'");
  }
  checkBadSettings("amaranth-node", Node, "shutdown-timeout = 5",
                   "shutdown-timeout");
}

// Guards against a wrong document that `check` lets through.
TEST_CASE_METHOD(SettingsTest, "Bad document names file, line and key") {
  auto File = Mesh.folder() / "document.ini";
  std::ofstream(File) << "[service bookings]\nowner = studio\n"
                         "version = v1\ncolour = red\n";
  harness::Output Result = run("amaranthctl", {"check", File.string()});
  std::string Text = Result.StandardOutput + Result.StandardError;
  INFO(Text);
  CHECK(Result.ExitCode == 1);
  CHECK(Text.find(File.string() + ":4") != std::string::npos);
  CHECK(Text.find("colour") != std::string::npos);
}

// Guards against a wrong command line that starts a program all the same.
TEST_CASE_METHOD(SettingsTest, "Wrong command line is refused") {
  for (const char *Program :
       {"amaranth-control", "amaranth-node", "amaranthctl"}) {
    for (const std::vector<std::string> &Arguments :
         {std::vector<std::string>{}, {"--no-such-option"}}) {
      harness::Output Result = run(Program, Arguments);
      INFO(Program << ": " << Result.StandardError);
      CHECK(Result.ExitCode == 2);
      CHECK_FALSE(Result.StandardError.empty());
    }
  }
  std::vector<std::string> Upstream = Mesh.Vms.front()->UpstreamArguments;
  Upstream.emplace_back("--time=soon");
  harness::Output Result = run("amaranth-upstream", Upstream);
  CHECK(Result.ExitCode != 0);
  CHECK(Result.StandardError.find("--time") != std::string::npos);
  CHECK(run("amaranth-upstream", {"--no-such-option"}).ExitCode != 0);
}

} // namespace amaranth::e2e
