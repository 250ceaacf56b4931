#include "amaranth/upstream/Faults.h"

#include <cmath>

namespace amaranth::upstream {

base::Millis Faults::serviceTime() {
  double Value = Time.First;
  if (Time.Kind == ServiceTime::Shape::Uniform)
    Value =
        std::uniform_real_distribution<double>(Time.First, Time.Second)(Random);
  if (Time.Kind == ServiceTime::Shape::Exponential)
    Value = std::exponential_distribution<double>(1 / Time.First)(Random);
  return base::Millis(std::llround(Value));
}

bool Faults::hits(const std::string &Path, std::uint32_t Running,
                  base::Millis Age) {
  if (Plan.What == FaultPlan::Kind::None || Age < Plan.After ||
      !Path.starts_with(Plan.PathPrefix))
    return false;
  if (Plan.AboveLoad != 0 && Running <= Plan.AboveLoad)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(Random) < Plan.Rate;
}

Faults::Decision Faults::decide(const std::string &Path, std::uint32_t Running,
                                base::Millis Age) {
  Decision Result;
  Result.Took = serviceTime();
  if (!hits(Path, Running, Age))
    return Result;
  Result.Fail = Plan.What == FaultPlan::Kind::Fail;
  if (Plan.What == FaultPlan::Kind::Slow)
    Result.Took = Result.Took + Plan.SlowBy;
  return Result;
}

} // namespace amaranth::upstream
