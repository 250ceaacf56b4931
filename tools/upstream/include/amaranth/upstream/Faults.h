#ifndef AMARANTH_UPSTREAM_FAULTS_H
#define AMARANTH_UPSTREAM_FAULTS_H

#include "amaranth/upstream/Options.h"

#include <random>
#include <string>

namespace amaranth::upstream {

/// Decides what happens to each request, from seeded random numbers.
class Faults {
public:
  Faults(FaultPlan Plan, ServiceTime Time, std::uint64_t Seed)
      : Plan(std::move(Plan)), Time(Time), Random(Seed) {}

  struct Decision {
    bool Fail = false;
    base::Millis Took;
  };

  /// `Running` counts this request too; `Age` is the time since the start.
  Decision decide(const std::string &Path, std::uint32_t Running,
                  base::Millis Age);

private:
  bool hits(const std::string &Path, std::uint32_t Running, base::Millis Age);
  base::Millis serviceTime();

  FaultPlan Plan;
  ServiceTime Time;
  std::mt19937_64 Random;
};

} // namespace amaranth::upstream

#endif
