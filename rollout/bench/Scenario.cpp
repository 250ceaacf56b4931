#include "Scenario.h"

#include <cmath>
#include <utility>

namespace amaranth::rollout::bench {

namespace {

std::string sizeName(FaultKind Kind, double Size) {
  if (Kind == FaultKind::Fail)
    return "fail" + std::to_string(std::lround(Size * 100)) + "%";
  return "slow" + std::to_string(std::lround(Size)) + "x";
}

void addBad(std::vector<Scenario> &All, FaultKind Kind, double Size) {
  const std::pair<FaultTime, const char *> Times[] = {
      {FaultTime::AtOnce, "at-once"},
      {FaultTime::Later, "later"},
      {FaultTime::UnderLoad, "under-load"},
      {FaultTime::OneRoute, "one-route"}};
  for (const auto &[Time, Name] : Times)
    All.push_back({sizeName(Kind, Size) + "-" + Name, Disturbance::None, Kind,
                   Time, Size});
}

} // namespace

std::vector<Scenario> allScenarios() {
  std::vector<Scenario> All = {
      {"good-plain"},
      {"good-noise", Disturbance::Noise},
      {"good-cold-start", Disturbance::ColdStart},
      {"good-lost-zone", Disturbance::LostZone},
      {"good-shared-outage", Disturbance::SharedOutage},
      {"good-old-errors", Disturbance::OldErrors},
      {"good-night", Disturbance::Night},
      {"good-high-risk", Disturbance::None, FaultKind::None, FaultTime::AtOnce,
       0, true}};
  for (double Size : {0.05, 0.2, 0.5, 1.0})
    addBad(All, FaultKind::Fail, Size);
  for (double Size : {2.0, 4.0, 10.0})
    addBad(All, FaultKind::Slow, Size);
  return All;
}

} // namespace amaranth::rollout::bench
