#include "amaranth/daemon/DaemonSettings.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <unistd.h>

namespace amaranth::daemon {

/// Fills in the settings templates of `deploy/` like the users' platform.
class DeploySettingsTest {
protected:
  DeploySettingsTest()
      : Path(std::filesystem::temp_directory_path() /
             ("amaranth_deploy_" + std::to_string(::getpid()) + ".ini")) {}
  ~DeploySettingsTest() { std::filesystem::remove(Path); }

  std::string render(const std::string &Template) {
    std::ifstream In(std::string(AMARANTH_SOURCE_DIR) + "/deploy/" + Template);
    REQUIRE(In.good());
    std::ostringstream Text;
    Text << In.rdbuf();
    std::string Result = std::regex_replace(
        Text.str(), std::regex(R"(\{\{[#/][^}]*\}\}\n?)"), "");
    for (const auto &[Name, Value] : Fields)
      for (auto At = Result.find("{{" + Name + "}}"); At != std::string::npos;
           At = Result.find("{{" + Name + "}}"))
        Result.replace(At, Name.size() + 4, Value);
    INFO(Result);
    REQUIRE(Result.find("{{") == std::string::npos);
    std::ofstream(Path) << Result;
    return Path.string();
  }

  std::map<std::string, std::string> Fields = {
      {"node_name", "n"},
      {"zone", "z"},
      {"ip", "127.0.0.1"},
      {"internal_ports.0", "7620"},
      {"listen.outbound", "127.0.0.1:1"},
      {"listen.control", "127.0.0.1:2"},
      {"listen.readiness_addr", "127.0.0.1:3"},
      {"seeds", "127.0.0.1:4,127.0.0.1:5"},
      {"service", "s"},
      {"heartbeat_s", "0.87"},
      {"bounds.grace_s", "6"},
      {"limits.link_mbps", "1000"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_min_retries", "56"},
      {"bounds.budget_window_s", "10"},
      {"data_dir", "/data"},
      {"bootstrap", "true"},
      {"fault_tolerance.machines", "2"},
  };
  std::filesystem::path Path;
};

// Guards against shipped settings that switch off a promise of the design: a
// request that crashes upstreams was never refused in the incident BUDGET.
TEST_CASE_METHOD(
    DeploySettingsTest,
    "Shipped node settings isolate requests that crash upstreams") {
  CHECK(readNodeSettings(render("node.ini")).IsolateCrashes);
}

TEST_CASE_METHOD(DeploySettingsTest, "Shipped control settings are valid") {
  CHECK(readControlSettings(render("control.ini")).ToleratedLosses == 2);
}

} // namespace amaranth::daemon
