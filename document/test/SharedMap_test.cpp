#include "amaranth/document/SharedMap.h"

#include <catch2/catch.hpp>

#include <string>

namespace amaranth::document {

class SharedMapTest {
protected:
  SharedMapTest() { Original[1] = "one"; }

  SharedMap<int, std::string> Original;
};

TEST_CASE_METHOD(SharedMapTest, "SharedMap change does not affect a copy") {
  SharedMap<int, std::string> Copy = Original;
  CHECK(Copy.sharesWith(Original));
  Copy[2] = "two";
  CHECK_FALSE(Copy.sharesWith(Original));
  CHECK(Original.size() == 1);
  Original.edit().at(1) = "changed";
  CHECK(Copy.at(1) == "one");
  Copy.clear();
  CHECK(Copy.empty());
  CHECK(Original.contains(1));
}

TEST_CASE_METHOD(SharedMapTest, "SharedMap is compared by content") {
  SharedMap<int, std::string> Other;
  Other[1] = "one";
  CHECK_FALSE(Other.sharesWith(Original));
  CHECK(Other == Original);
  Other.erase(1);
  CHECK_FALSE(Other == Original);
}

} // namespace amaranth::document
