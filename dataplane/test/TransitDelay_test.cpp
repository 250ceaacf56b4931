#include "TransitDelay.h"

#include <catch2/catch.hpp>

namespace amaranth::dataplane {

class TransitDelayTest {
protected:
  /// Records a message that was on its way for `Delay`, between two clocks that
  /// differ by `Offset`.
  base::Millis record(base::Millis At, base::Millis Delay) {
    base::BootTime Sent(At.count());
    return Transit.record(Sent, Sent + Offset + Delay);
  }

  base::Millis Offset = base::Millis(-987'654);
  TransitDelay Transit;
};

TEST_CASE_METHOD(TransitDelayTest,
                 "TransitDelay of a late message is its excess delay") {
  CHECK(record(base::Millis(0), base::Millis(5)) == base::Millis(0));
  CHECK(record(base::Millis(10), base::Millis(5)) == base::Millis(0));
  CHECK(record(base::Millis(20), base::Millis(605)) == base::Millis(600));
  CHECK(record(base::Millis(30), base::Millis(2)) == base::Millis(0));
  CHECK(record(base::Millis(40), base::Millis(5)) == base::Millis(3));
}

// Guards against a first delayed message that hides later delays for good.
TEST_CASE_METHOD(TransitDelayTest,
                 "TransitDelay after a slow first message uses a faster one") {
  CHECK(record(base::Millis(0), base::Millis(500)) == base::Millis(0));
  CHECK(record(base::Millis(10), base::Millis(1)) == base::Millis(0));
  CHECK(record(base::Millis(20), base::Millis(500)) == base::Millis(499));
}

// Guards against a reference that is forgotten while traffic is delayed.
TEST_CASE_METHOD(TransitDelayTest,
                 "TransitDelay keeps its reference for one window") {
  record(base::Millis(0), base::Millis(1));
  for (std::int64_t At = 1000; At < TransitDelay::Window.count(); At += 1000)
    CHECK(record(base::Millis(At), base::Millis(301)) == base::Millis(300));
}

// Guards against clocks that drift: an old reference would make every request
// look late.
TEST_CASE_METHOD(TransitDelayTest,
                 "TransitDelay forgets its reference after two windows") {
  record(base::Millis(0), base::Millis(1));
  Offset = Offset + base::Millis(2000);
  base::Millis Last;
  for (std::int64_t At = 1000; At <= 2 * TransitDelay::Window.count() + 3000;
       At += 1000)
    Last = record(base::Millis(At), base::Millis(1));
  CHECK(Last == base::Millis(0));
}

TEST_CASE_METHOD(TransitDelayTest,
                 "TransitDelay after an idle time starts anew") {
  record(base::Millis(0), base::Millis(1));
  Offset = Offset + base::Millis(2000);
  CHECK(record(TransitDelay::Window * 3, base::Millis(1)) == base::Millis(0));
}

} // namespace amaranth::dataplane
