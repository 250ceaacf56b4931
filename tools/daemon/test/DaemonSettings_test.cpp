#include "amaranth/daemon/DaemonSettings.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace amaranth::daemon {

class DaemonSettingsTest {
protected:
  DaemonSettingsTest()
      : Path(std::filesystem::temp_directory_path() /
             ("amaranth_settings_" + std::to_string(::getpid()) + ".ini")) {}
  ~DaemonSettingsTest() { std::filesystem::remove(Path); }

  std::string write(const std::string &Text) {
    std::ofstream(Path) << Text;
    return Path.string();
  }

  template <typename Function> std::size_t countFaults(Function Read) {
    try {
      Read();
    } catch (const base::FileError &Error) {
      UNSCOPED_INFO(Error.what());
      return Error.faults().size();
    }
    return 0;
  }

  std::filesystem::path Path;
};

static const std::string ValidNode =
    "[node]\nid = n1\navailability-zone = z1\n"
    "inner-address = 127.0.0.1:1\ncaller-address = 127.0.0.1:2\n"
    "node-key-file = k\ncontrol = 127.0.0.1:4@z1, 127.0.0.1:5@z2\n";

TEST_CASE_METHOD(DaemonSettingsTest, "readNodeSettings reads a valid file") {
  auto Settings =
      readNodeSettings(write(ValidNode + "announce-address = 127.0.0.1:3\n"));
  REQUIRE(Settings.Control.size() == 2);
  CHECK(Settings.Control[1].Zone == base::AvailabilityZone("z2"));
  CHECK(Settings.ShutdownTimeout == base::Millis::seconds(30));
}

TEST_CASE_METHOD(DaemonSettingsTest,
                 "readNodeSettings reads the link speed in megabits") {
  std::string Text = ValidNode + "announce-address = 127.0.0.1:3\n";
  CHECK(readNodeSettings(write(Text)).LinkBytesPerSecond == 0);
  CHECK(readNodeSettings(write(Text + "link-megabits-per-second = 12.5\n"))
            .LinkBytesPerSecond == 1'562'500);
  CHECK(countFaults([&] {
          readNodeSettings(write(Text + "link-megabits-per-second = -1\n"));
        }) == 1);
}

TEST_CASE_METHOD(DaemonSettingsTest,
                 "readNodeSettings requires a loopback announce address") {
  auto File = write(ValidNode + "announce-address = 10.0.0.1:3\n");
  CHECK(countFaults([&] { readNodeSettings(File); }) == 1);
}

TEST_CASE_METHOD(DaemonSettingsTest,
                 "readNodeSettings reports every fault in the file") {
  auto File = write("[node]\nid = \ncaller-address = x\ncontrol = y\n"
                    "nonsense = 1\n[other]\n");
  // Section, id, zone, three addresses, two for control, key file, unknown.
  CHECK(countFaults([&] { readNodeSettings(File); }) == 10);
}

TEST_CASE_METHOD(DaemonSettingsTest,
                 "readControlSettings requires join outside the voters") {
  std::string Text = "[control]\ndata-folder = d\navailability-zone = z\n"
                     "inner-address = 127.0.0.1:1\n"
                     "operator-address = 127.0.0.1:2\n"
                     "voters = 127.0.0.1:7\ncontrol-key-file = a\n"
                     "node-key-file = b\noperator-keys-file = c\n";
  CHECK(countFaults([&] { readControlSettings(write(Text)); }) == 1);
  CHECK(countFaults(
            [&] { readControlSettings(write(Text + "join = true\n")); }) == 0);
}

TEST_CASE_METHOD(DaemonSettingsTest,
                 "readControlSettings replaces the port of the seeds") {
  std::string Text = "[control]\ndata-folder = d\navailability-zone = z\n"
                     "inner-address = 127.0.0.1:1\n"
                     "operator-address = 127.0.0.1:2\n"
                     "trusted-network = true\nseed-port = 7\n";
  auto Settings =
      readControlSettings(write(Text + "seeds = 10.0.0.1:80, 10.0.0.2:81\n"
                                       "bootstrap = true\n"));
  CHECK(Settings.Seeds ==
        std::vector<base::Address>{{"10.0.0.1", 7}, {"10.0.0.2", 7}});
  CHECK(Settings.Bootstrap);
  CHECK(countFaults([&] {
          readControlSettings(write(Text + "seeds = 10.0.0.1, x:1\n"));
        }) == 2);
}

// Guards against disabling authentication by mistake: either keys or an
// explicit trusted network is required, but not both.
TEST_CASE_METHOD(
    DaemonSettingsTest,
    "readNodeSettings requires either a key or a trusted network") {
  std::string Text = ValidNode + "announce-address = 127.0.0.1:3\n";
  CHECK(countFaults([&] {
          readNodeSettings(write(Text + "trusted-network = true\n"));
        }) == 1);
  Text.erase(Text.find("node-key-file"),
             std::string("node-key-file = k\n").size());
  CHECK(countFaults([&] { readNodeSettings(write(Text)); }) == 1);
  CHECK(countFaults([&] {
          readNodeSettings(write(Text + "trusted-network = true\n"));
        }) == 0);
}

} // namespace amaranth::daemon
