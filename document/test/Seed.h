#ifndef AMARANTH_DOCUMENT_TEST_SEED_H
#define AMARANTH_DOCUMENT_TEST_SEED_H

#include <cstdlib>
#include <random>
#include <string>

namespace amaranth::testing {

/// Seed of a randomized test: the value of the environment variable
/// AMARANTH_SEED, or a random number if it is not set.
inline unsigned seed() {
  const char *Text = std::getenv("AMARANTH_SEED");
  return Text ? static_cast<unsigned>(std::stoul(Text))
              : std::random_device{}();
}

/// Tells how to reproduce a run, for the message of a failed test.
inline std::string reproductionHint(unsigned Seed) {
  return "repeat with AMARANTH_SEED=" + std::to_string(Seed);
}

} // namespace amaranth::testing

#endif
