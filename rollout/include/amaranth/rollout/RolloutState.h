#ifndef AMARANTH_ROLLOUT_ROLLOUTSTATE_H
#define AMARANTH_ROLLOUT_ROLLOUTSTATE_H

#include "amaranth/base/Millis.h"
#include "amaranth/base/StrongId.h"

#include <cstdint>
#include <string>

namespace amaranth::rollout {

/// The values match those of the replicated decision.
enum class Phase : std::uint8_t {
  Waiting = 1,
  Stepping = 2,
  Watching = 3,
  Done = 4,
  RolledBack = 5,
};

inline bool isFinal(Phase Value) {
  return Value == Phase::Done || Value == Phase::RolledBack;
}

/// The replicated state of one rollout.
struct RolloutState {
  Phase CurrentPhase = Phase::Waiting;
  /// Share of the new version in millionths.
  std::uint32_t Share = 0;
  /// 1-based index of the current step, also while the share is still below
  /// that of the step; 0 while waiting.
  std::uint32_t Step = 0;
  /// Incremented by each decision.
  std::uint64_t Epoch = 0;
  /// Time of the last decision.
  base::WallTime LastChange;
};

/// A state change to be committed.
struct Decision {
  base::ServiceName Service;
  base::Revision Section;
  /// Epoch of the state on which the decision is based.
  std::uint64_t ExpectedEpoch = 0;
  Phase NextPhase = Phase::Waiting;
  std::uint32_t Share = 0;
  std::uint32_t Step = 0;
  /// One-line explanation for operators.
  std::string Reason;
};

} // namespace amaranth::rollout

#endif
