#include "KeysFile.h"
#include "amaranth/control/OperatorKeys.h"

#include <catch2/catch.hpp>

namespace amaranth::control {

static const std::string Good = "[operator ana]\nkey = 0123456789abcdef-ana\n"
                                "teams = studio, foto\n[operator bo]\n"
                                "key = 0123456789abcdef-bo\nteams = archive\n";

TEST_CASE("OperatorKeys::find matches complete keys only") {
  KeysFile File(Good);
  OperatorKeys Keys = OperatorKeys::read(File.path());
  auto Found = Keys.find("0123456789abcdef-ana");
  REQUIRE(Found.has_value());
  CHECK(Found->Name.value() == "ana");
  CHECK(Found->Teams.size() == 2);
  for (const char *Bad : {"", "0123456789abcdef", "0123456789abcdef-an",
                          "0123456789abcdef-ana ", "ana"})
    CHECK_FALSE(Keys.find(Bad).has_value());
}

TEST_CASE("OperatorKeys::read rejects a file that others can read") {
  KeysFile File(Good);
  File.setMode(0640);
  CHECK_THROWS_AS(OperatorKeys::read(File.path()), base::FileError);
}

// Guards against secrets in error messages, which are written to logs.
TEST_CASE("OperatorKeys::read reports all faults without the keys") {
  KeysFile File("[operator a]\nkey = secret\nteams = x y\nkeys = secret-2\n"
                "[operator b]\nkey = secret-0123456789\n"
                "[operator c]\nkey = secret-0123456789\n[user d]\n"
                "key = secret-9876543210\nsecret-line\n");
  try {
    OperatorKeys::read(File.path());
    FAIL("the file was accepted");
  } catch (const base::FileError &Failure) {
    INFO(Failure.what());
    CHECK(Failure.faults().size() == 6);
    CHECK(std::string(Failure.what()).find("secret") == std::string::npos);
  }
}

} // namespace amaranth::control
