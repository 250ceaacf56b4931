#include "amaranth/base/Settings.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace amaranth::base {

class SectionReaderTest {
protected:
  SectionReader reader(std::string_view Text) {
    File = parseIni(Text, "test.ini", Faults);
    return SectionReader(File.Sections.at(0), "test.ini", Faults);
  }

  IniFile File;
  std::vector<FileFault> Faults;
};

TEST_CASE("parseDuration accepts a number with a unit only") {
  CHECK(parseDuration("250ms") == Millis(250));
  CHECK(parseDuration("2h") == Millis(7'200'000));
  for (const char *Bad : {"", "5", "s", "-1s", "1.5s", "5 s", "5sec",
                          "99999999999999999999ms", "4000d"})
    CHECK_FALSE(parseDuration(Bad).has_value());
}

TEST_CASE("formatDuration result is read back by parseDuration") {
  for (std::int64_t Count : {0, 1, 999, 1000, 60'000, 90'000, 86'400'000})
    CHECK(parseDuration(formatDuration(Millis(Count))) == Millis(Count));
}

TEST_CASE("parseAddress accepts IP and port only") {
  CHECK(parseAddress("127.0.0.1:80") == Address{"127.0.0.1", 80});
  CHECK(parseAddress("[::1]:80")->text() == "[::1]:80");
  for (const char *Bad : {"", "localhost:80", "1.2.3.4", "1.2.3.4:99999",
                          "::1:80", "1.2.3.4:", "[::1]"})
    CHECK_FALSE(parseAddress(Bad).has_value());
}

TEST_CASE_METHOD(SectionReaderTest,
                 "SectionReader unknown key is a fault with its line") {
  auto Reader = reader("[s]\nport = 1\nprot = 2\n");
  CHECK(Reader.integer("port", 1, 10) == 1);
  Reader.finish();
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].message() == "test.ini:3: [s] prot: unknown key");
}

TEST_CASE_METHOD(SectionReaderTest,
                 "SectionReader bad values are all reported") {
  auto Reader = reader("[s]\na = 5\nb = 11\nc = maybe\nd = x:1\n");
  Reader.duration("a");
  Reader.integer("b", 1, 10);
  Reader.boolean("c");
  Reader.address("d");
  Reader.text("e");
  Reader.finish();
  CHECK(Faults.size() == 5);
}

TEST_CASE("readSecretFile readable by others is refused") {
  auto Path = std::filesystem::temp_directory_path() /
              ("amaranth_secret_" + std::to_string(::getpid()));
  std::ofstream(Path) << "secret\n";
  std::filesystem::permissions(Path, std::filesystem::perms(0644));
  CHECK_THROWS_AS(readSecretFile(Path), FileError);
  std::filesystem::permissions(Path, std::filesystem::perms(0600));
  CHECK(readSecretFile(Path) == "secret");
  std::filesystem::remove(Path);
}

} // namespace amaranth::base
