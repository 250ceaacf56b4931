#include "amaranth/base/IniFile.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>
#include <unistd.h>

namespace amaranth::base {

class IniFileTest {
protected:
  IniFile parse(std::string_view Text) {
    Faults.clear();
    return parseIni(Text, "test.ini", Faults);
  }

  std::vector<FileFault> Faults;
};

TEST_CASE_METHOD(IniFileTest, "parseIni valid text keeps order and lines") {
  IniFile File = parse("; comment\n[a]\nx = 1\n\n[b c]\ny= two words \n");
  CHECK(Faults.empty());
  REQUIRE(File.Sections.size() == 2);
  CHECK(File.Sections[0].Entries[0].Line == 3);
  CHECK(File.find("b c")->find("y")->Value == "two words");
}

TEST_CASE_METHOD(IniFileTest, "parseIni several faults reports all of them") {
  parse("x = 1\n[a]\nk = 1\nk = 2\nnonsense\n[a]\n[open\n= 3\n");
  std::vector<unsigned> Lines;
  for (const FileFault &Fault : Faults)
    Lines.push_back(Fault.Line);
  CHECK(Lines == std::vector<unsigned>{1, 4, 5, 6, 7, 8});
  CHECK(Faults[1].message() ==
        "test.ini:4: [a] k: duplicate key in this section");
}

TEST_CASE_METHOD(IniFileTest, "parseIni oversized line is refused") {
  parse("[a]\nx = " + std::string(MaxIniLineBytes, 'y') + "\n");
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].Line == 2);
}

// An empty file was once refused as unreadable.
TEST_CASE("readTextFile empty file gives an empty text") {
  auto Path = std::filesystem::temp_directory_path() /
              ("amaranth_empty_" + std::to_string(::getpid()));
  std::ofstream(Path).flush();
  CHECK(readTextFile(Path.string()).empty());
  std::filesystem::remove(Path);
  CHECK_THROWS_AS(readTextFile(Path.string()), FileError);
}

// Guards against crashes and unbounded loops on arbitrary input.
TEST_CASE_METHOD(IniFileTest, "parseIni random bytes never fails hard") {
  std::mt19937 Random(20261204);
  std::uniform_int_distribution<int> Size(0, 200);
  const std::string Alphabet = "[]=;#\n\r\t ab\x01\xff";
  std::uniform_int_distribution<std::size_t> Pick(0, Alphabet.size() - 1);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Text;
    for (int I = Size(Random); I > 0; --I)
      Text += Alphabet[Pick(Random)];
    CHECK_NOTHROW(parse(Text));
  }
}

} // namespace amaranth::base
