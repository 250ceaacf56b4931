#ifndef AMARANTH_ROLLOUT_ROLLOUTMACHINE_H
#define AMARANTH_ROLLOUT_ROLLOUTMACHINE_H

#include "amaranth/base/Millis.h"
#include "amaranth/rollout/RolloutEvidence.h"
#include "amaranth/rollout/RolloutPlan.h"
#include "amaranth/rollout/RolloutState.h"

#include <optional>

namespace amaranth::rollout {

/// The next decision about a rollout, or nothing while it should go on as it
/// is. A pure function: the same inputs give the same decision, so any
/// controller can go on from the replicated state.
///
/// `Plan` must be valid (`validatePlan`). A state in a final phase never gives
/// a decision. From `Plan.finalDecisionTime()` on the decision is always final.
/// `docs/decisions/0002-rollout-test.md` describes the rules.
std::optional<Decision> decide(base::WallTime Now, const RolloutPlan &Plan,
                               const RolloutState &State,
                               const EvidenceSummary &Evidence);

} // namespace amaranth::rollout

#endif
