#ifndef AMARANTH_ROLLOUT_ROLLOUTMACHINE_H
#define AMARANTH_ROLLOUT_ROLLOUTMACHINE_H

#include "amaranth/base/Millis.h"
#include "amaranth/rollout/RolloutEvidence.h"
#include "amaranth/rollout/RolloutPlan.h"
#include "amaranth/rollout/RolloutState.h"

#include <optional>

namespace amaranth::rollout {

/// Returns the next decision on a rollout, or nothing if its state should not
/// change. This is a pure function: equal inputs give equal decisions, so any
/// controller can continue from the replicated state.
///
/// `Plan` must be valid (`validatePlan`). Never returns a decision for a state
/// in a final phase. From `Plan.finalDecisionTime()` on the returned decision
/// is always final. `docs/decisions/0002-rollout-test.md` describes the rules.
std::optional<Decision> decide(base::WallTime Now, const RolloutPlan &Plan,
                               const RolloutState &State,
                               const EvidenceSummary &Evidence);

} // namespace amaranth::rollout

#endif
