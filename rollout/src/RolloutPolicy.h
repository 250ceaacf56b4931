#ifndef AMARANTH_ROLLOUT_ROLLOUTPOLICY_H
#define AMARANTH_ROLLOUT_ROLLOUTPOLICY_H

#include "amaranth/rollout/RolloutEvidence.h"
#include "amaranth/rollout/RolloutPlan.h"
#include "amaranth/rollout/RolloutState.h"

#include <cstdint>
#include <string>

namespace amaranth::rollout::detail {

/// The action chosen by the policy. The state machine checks that the current
/// phase allows it.
enum class PolicyAction : std::uint8_t {
  Wait,
  StepTo,
  Recheck,
  Watch,
  Finish,
  RollBack
};

struct PolicyDecision {
  PolicyAction Action = PolicyAction::Wait;
  std::uint32_t Share = 0;
  std::uint32_t Step = 0;
  std::string Reason;
};

PolicyDecision evaluatePolicy(base::WallTime Now, const RolloutPlan &Plan,
                              const RolloutState &State,
                              const EvidenceSummary &Evidence);

} // namespace amaranth::rollout::detail

#endif
