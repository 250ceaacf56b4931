#include "amaranth/rollout/RolloutPlan.h"

#include <algorithm>

namespace amaranth::rollout {

base::WallTime RolloutPlan::finalDecisionTime() const {
  return Deadline - std::min(base::Millis::seconds(5), duration() / 20);
}

std::vector<std::string> validatePlan(const RolloutPlan &Plan) {
  std::vector<std::string> Faults;
  if (Plan.From == Plan.To)
    Faults.push_back("from and to name the same version \"" +
                     Plan.From.value() + "\"");
  if (Plan.duration() < MinRolloutDuration)
    Faults.emplace_back("the deadline must be at least 120 s after the start");
  if (Plan.Steps.empty() || Plan.Steps.back() != FullShare)
    Faults.emplace_back("the last step must be 100 %");
  if (Plan.Steps.size() > 20)
    Faults.emplace_back("more than 20 steps");
  if (!Plan.Steps.empty() && Plan.Steps.front() == 0)
    Faults.emplace_back("the first step must be more than 0 %");
  if (std::adjacent_find(Plan.Steps.begin(), Plan.Steps.end(),
                         std::greater_equal<>()) != Plan.Steps.end())
    Faults.emplace_back("steps must be strictly increasing");
  const RolloutThresholds &Thresholds = Plan.Thresholds;
  if (!(Thresholds.MaxErrorIncrease >= 0 && Thresholds.MaxErrorIncrease <= 0.5))
    Faults.emplace_back("max-error-increase must be from 0 to 0.5");
  if (!(Thresholds.MaxLatencyRatio >= 1 && Thresholds.MaxLatencyRatio <= 100))
    Faults.emplace_back("max-latency-ratio must be from 1 to 100");
  if (Thresholds.MinRequests == 0)
    Faults.emplace_back("min-requests must be at least 1");
  return Faults;
}

} // namespace amaranth::rollout
